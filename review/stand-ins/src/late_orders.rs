//! One back end leaves its orders unanswered and carries them out late. Another
//! one comes meanwhile, so that keys move.

use std::time::Duration;

use crate::back_end::LateOrders;
use crate::deployment::{play, Plan, Planned, Seen};
use crate::record::Record;
use crate::{Arguments, Verdict};

pub const PLAN: Plan = Plan {
    route_kind: "safe",
    method: "GET",
    timeout_s: 2.5,
    target_latency_s: 1.0,
    deadline: Duration::from_millis(2_500),
    // The orders to one of five; 0.3 of all is the largest share of the site file.
    back_ends: 5,
    faulty: 1,
    slots: 2,
    queue: 8,
    work_ms: (150, 250),
    callers: 60,
    pause_ms: 600,
    length: Duration::from_secs(95),
    planned: Planned::Grow {
        joins: 1,
        fault_while_leaving: false,
    },
    // The longest time of the fault in the site file.
    fault_length: Duration::from_millis(5_500),
    // Carried out 2 to 12 s late.
    set_fault: |state, on| {
        state.late_orders = on.then_some(LateOrders {
            share: 1.0,
            delays: Some((Duration::from_millis(2_100), Duration::from_secs(11))),
        });
    },
};

/// The same with 0.3 of the orders to all of twelve back ends, drawn at random, each
/// from 2 to 12 s late, while three others come and leave.
pub const DRAWN_PLAN: Plan = Plan {
    back_ends: 12,
    faulty: 12,
    callers: 150,
    planned: Planned::Grow {
        joins: 3,
        fault_while_leaving: true,
    },
    set_fault: |state, on| {
        state.late_orders = on.then_some(LateOrders {
            share: 0.3,
            delays: None,
        });
    },
    ..PLAN
};

pub fn run(arguments: &Arguments, plan: &Plan) -> Verdict {
    let record = Record::create(&arguments.record);
    let verdict = match play(arguments, plan, &record) {
        Some(seen) => judge(&record, &seen),
        None => Verdict::CouldNotRun,
    };
    record.finish();
    verdict
}

fn judge(record: &Record, seen: &Seen) -> Verdict {
    let both_began = seen.runs.both_began();
    let late: u64 = seen
        .back_ends
        .iter()
        .map(|back_end| back_end.state.0.lock().unwrap().late_order_count)
        .sum();
    let orders = seen.runs.orders_in_fault();
    let summary = format!(
        "{} tries; {orders} orders during the fault, {late} of them carried out late; OWNER {}, a gateway ended: {}",
        seen.outcomes.0.lock().unwrap().len(),
        both_began.len(),
        seen.gateway_ended
    );
    record.line(&summary);
    println!("{summary}");
    if both_began.is_empty() {
        return Verdict::Held;
    }
    Verdict::Broken
}
