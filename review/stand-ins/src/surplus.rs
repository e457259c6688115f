//! Back ends send a second answer after some of theirs, late: in the place of
//! the next answer due on the connection. Requests that must not run twice go to
//! a keyed service.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::client::Outcome;
use crate::deployment::{play, Plan, Planned, Seen};
use crate::record::Record;
use crate::{Arguments, Verdict};

/// Largest share of a back end's answers after which a second one follows: the
/// largest `x` of `garble` with `extra late` in the site file.
const SURPLUS_SHARE: f64 = 0.03;

const PLAN: Plan = Plan {
    route_kind: "unsafe",
    method: "POST",
    timeout_s: 2.5,
    target_latency_s: 1.0,
    deadline: Duration::from_millis(2_500),
    back_ends: 5,
    // Three of five are 0.6, the largest share of the site file.
    faulty: 3,
    slots: 2,
    queue: 8,
    work_ms: (40, 120),
    callers: 90,
    pause_ms: 900,
    length: Duration::from_secs(60),
    planned: Planned::Replace(Duration::from_secs(2)),
    // The longest time of the fault in the site file.
    fault_length: Duration::from_secs(5),
    set_fault: |state, on| state.surplus_share = if on { SURPLUS_SHARE } else { 0.0 },
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
    let Seen {
        runs,
        outcomes,
        back_ends,
        gateway_ended: ended,
    } = seen;
    let mut count: BTreeMap<String, u32> = BTreeMap::new();
    for run in runs.all.lock().unwrap().iter() {
        *count.entry(run.id.clone()).or_default() += 1;
    }
    let outcomes = outcomes.0.lock().unwrap();
    let mut by_status: BTreeMap<String, u32> = BTreeMap::new();
    let (mut twice, mut refused, mut unasked) = (0, 0, 0);
    for (id, outcome) in outcomes.iter() {
        *by_status.entry(format!("{outcome:?}")).or_default() += 1;
        let runs = count.get(id).copied().unwrap_or(0);
        if runs > 1 {
            twice += 1;
            record.line(&format!(
                "TWICE: {id} was run {runs} times, its caller got {outcome:?}"
            ));
        }
        if runs > 0 && matches!(outcome, Outcome::Status(429 | 503 | 408 | 421)) {
            refused += 1;
            record.line(&format!(
                "REFUSED: {id} was run {runs} times, its caller got {outcome:?}"
            ));
        }
    }
    for id in count.keys().filter(|id| !outcomes.contains_key(*id)) {
        unasked += 1;
        record.line(&format!("UNASKED: {id}"));
    }
    let (answers, surplus) = back_ends.iter().fold((0, 0), |sum, back_end| {
        let state = back_end.state.0.lock().unwrap();
        (sum.0 + state.answers, sum.1 + state.surplus_answers)
    });
    let summary = format!(
        "{} tries {by_status:?}; {answers} answers of back ends, {surplus} with a second one; TWICE {twice}, REFUSED {refused}, UNASKED {unasked}, a gateway ended: {ended}",
        outcomes.len()
    );
    record.line(&summary);
    record.finish();
    println!("{summary}");
    if twice + refused + unasked > 0 {
        return Verdict::Broken;
    }
    Verdict::Held
}
