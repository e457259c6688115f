//! Back ends send a second answer after some of theirs to orders, late: in the
//! place of the next answer due on the connection.

use std::time::Duration;

use crate::deployment::{play, Plan, Planned, Seen};
use crate::record::Record;
use crate::{Arguments, Verdict};

/// Share of answers after which a second one follows: the largest `x` of
/// `garble` with `extra late` in the site file.
const SURPLUS_SHARE: f64 = 0.03;

const PLAN: Plan = Plan {
    route_kind: "safe",
    method: "GET",
    timeout_s: 2.5,
    target_latency_s: 1.0,
    deadline: Duration::from_millis(2_500),
    back_ends: 5,
    // Three of five are 0.6, the largest share of the site file.
    faulty: 3,
    slots: 4,
    queue: 8,
    work_ms: (150, 400),
    callers: 80,
    pause_ms: 900,
    length: Duration::from_secs(95),
    planned: Planned::Replace(Duration::from_millis(1_000)),
    // The longest time of the fault in the site file.
    fault_length: Duration::from_secs(5),
    set_fault: |state, on| state.order_surplus_share = if on { SURPLUS_SHARE } else { 0.0 },
};

pub fn run(arguments: &Arguments) -> Verdict {
    let record = Record::create(&arguments.record);
    let verdict = match play(arguments, &PLAN, &record) {
        Some(seen) => judge(&record, &seen),
        None => Verdict::CouldNotRun,
    };
    record.finish();
    verdict
}

fn judge(record: &Record, seen: &Seen) -> Verdict {
    let given_early = seen.runs.given_early.lock().unwrap();
    let (orders, surplus) = seen.back_ends.iter().fold((0, 0), |sum, back_end| {
        let state = back_end.state.0.lock().unwrap();
        (sum.0 + state.order_answers, sum.1 + state.surplus_answers)
    });
    let summary = format!(
        "{} tries; {orders} answers to orders, {surplus} with a second one; OWNER {}, a gateway ended: {}",
        seen.outcomes.0.lock().unwrap().len(),
        given_early.len(),
        seen.gateway_ended
    );
    record.line(&summary);
    println!("{summary}");
    if given_early.is_empty() {
        return Verdict::Held;
    }
    Verdict::Broken
}
