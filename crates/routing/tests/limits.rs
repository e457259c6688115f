//! Unit tests of each limit that applies to a back end.

use std::time::Duration;

use threadledge_routing::ExchangeId;
use threadledge_routing::backoff::{backoff, splitmix64};
use threadledge_routing::budget::Budget;
use threadledge_routing::concurrency::{Bounds, ConcurrencyLimit};
use threadledge_routing::deadline::request_deadline;
use threadledge_routing::ejection::{Ejection, EjectionChange, EjectionPolicy};
use threadledge_routing::latency::LatencyEstimate;
use threadledge_routing::queue::{PushOutcome, QueuePosition, WaitQueue};
use threadledge_routing::ramp::Ramp;
use threadledge_types::objects::Priority;
use threadledge_types::{NotRunReason, Timestamp};

const MILLI: Duration = Duration::from_millis(1);

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

fn position(priority: Priority, deadline: u64, id: u64) -> QueuePosition {
    QueuePosition::new(priority, at(deadline), ExchangeId(id))
}

#[test]
fn the_shorter_deadline_of_route_and_caller_holds() {
    let deadline = |value| request_deadline(at(10), 100, &[("Threadledge-Deadline-Ms", value)]);
    assert_eq!(deadline(" 30 "), Ok(at(40)));
    assert_eq!(deadline("5000"), Ok(at(110)));
    assert_eq!(deadline("0"), Err(NotRunReason::DeadlinePassed));
    assert_eq!(deadline("-1"), Err(NotRunReason::Malformed));
    assert_eq!(deadline("1.5"), Err(NotRunReason::Malformed));
}

#[test]
fn extra_attempts_never_exceed_the_reserve_and_the_percentage() {
    for seed in 0..50 {
        let (percent, reserve) = (10, 5);
        let mut budget = Budget::new(percent, reserve);
        let (mut first, mut extra) = (0_u64, 0_u64);
        for step in 0..2_000 {
            if splitmix64(seed << 32 | step).is_multiple_of(3) {
                budget.deposit();
                first += 1;
            } else {
                extra += u64::from(budget.withdraw());
            }
            assert!(extra * 100 <= u64::from(reserve) * 100 + first * u64::from(percent));
        }
    }
}

#[test]
fn shares_of_all_routers_fit_the_connections() {
    for routers in 1..=130 {
        let bounds = Bounds::new(2, 130, routers, 200);
        assert!(bounds.ceiling * routers <= 130);
        assert!(bounds.share >= 1 && bounds.share <= bounds.ceiling);
    }
    let more_routers_than_connections = Bounds::new(2, 130, 13_000, 200);
    assert_eq!(more_routers_than_connections.ceiling, 1);
    assert_eq!(Bounds::new(3, 50, 1, 200).ceiling, 6);
}

#[test]
fn the_limit_grows_only_when_reached_and_shrinks_once_per_overload() {
    let mut latency = LatencyEstimate::default();
    latency.record(10 * MILLI);
    let bounds = Bounds::new(10, 100, 2, 100);
    let mut limit = ConcurrencyLimit::new(bounds);
    assert_eq!(limit.allowed(), 5);
    for step in 0..100 {
        limit.on_response(at(step), 4, &latency);
    }
    assert_eq!(limit.allowed(), 5);
    for step in 0..400 {
        limit.on_response(at(step), 10, &latency);
    }
    assert_eq!(limit.allowed(), 10);
    limit.on_overload(at(1_000), &latency);
    limit.on_overload(at(1_001), &latency);
    assert_eq!(limit.allowed(), 7);
    for step in 0..400 {
        limit.on_response(at(1_002 + step), 10, &latency);
    }
    assert_eq!(limit.allowed(), 7, "after a refusal more is tried seldom");
    for step in 2..100 {
        limit.on_overload(at(1_000 * step), &latency);
    }
    assert_eq!(limit.allowed(), 1);
}

#[test]
fn a_changed_share_restarts_the_limit() {
    let mut limit = ConcurrencyLimit::new(Bounds::new(8, 100, 1, 200));
    assert_eq!(limit.allowed(), 8);
    limit.set_bounds(Bounds::new(8, 100, 4, 200));
    assert_eq!(limit.allowed(), 2);
    limit.set_bounds(Bounds::new(8, 100, 2, 200));
    assert_eq!(limit.allowed(), 4);
}

#[test]
fn growing_response_times_shrink_the_limit() {
    let mut latency = LatencyEstimate::default();
    let mut limit = ConcurrencyLimit::new(Bounds::new(10, 100, 1, 100));
    for _ in 0..100 {
        latency.record(10 * MILLI);
    }
    for step in 0..50 {
        latency.record(100 * MILLI);
        limit.on_response(at(step * 100), 10, &latency);
    }
    assert!(limit.allowed() < 6, "{}", limit.allowed());
}

#[test]
fn response_times_that_vary_by_microseconds_do_not_change_the_limit() {
    let mut latency = LatencyEstimate::default();
    let mut limit = ConcurrencyLimit::new(Bounds::new(256, 1_000, 1, 100));
    for step in 0..10_000 {
        // Every fourth run of five responses takes thirty times as long as the
        // others.
        let slow = step / 5 % 4 == 0;
        latency.record(Duration::from_micros(if slow { 600 } else { 20 }));
        limit.on_response(at(step), 64, &latency);
    }
    assert_eq!(limit.allowed(), 256);
}

#[test]
fn a_limit_below_its_share_recovers_at_eight_responses_per_step() {
    let mut latency = LatencyEstimate::default();
    latency.record(10 * MILLI);
    let mut limit = ConcurrencyLimit::new(Bounds::new(10, 100, 1, 200));
    for step in 0..100 {
        limit.on_overload(at(1_000 * step), &latency);
    }
    assert_eq!(limit.allowed(), 1);
    // 8 × (1 + 2 + ... + 9) responses, and a few for the fractions between.
    for step in 0..400 {
        limit.on_response(at(200_000 + step), 10, &latency);
    }
    assert_eq!(limit.allowed(), 10);
    for step in 0..400 {
        limit.on_response(at(300_000 + step), 10, &latency);
    }
    assert_eq!(limit.allowed(), 10, "more is tried seldom");
}

#[test]
fn the_quantile_is_at_most_a_quarter_too_high() {
    let mut latency = LatencyEstimate::default();
    assert_eq!(latency.quantile(95), None);
    for micros in 1..=1_000 {
        latency.record(Duration::from_micros(micros));
    }
    let quantile = latency.quantile(95).expect("samples");
    assert!(quantile >= Duration::from_micros(950));
    assert!(quantile <= Duration::from_micros(1_188));
    for _ in 0..20_000 {
        latency.record(Duration::from_secs(u64::MAX));
    }
    assert!(latency.samples() < 2_000);
}

#[test]
fn a_cold_back_end_is_ramped_up_in_steps() {
    let ramp = Ramp::new(at(0), 900 * MILLI);
    assert_eq!(ramp.allowed(at(0), 4), 1);
    let mut now = at(0);
    let mut steps = Vec::new();
    while let Some(next) = ramp.next_change(now, 4) {
        now = next;
        steps.push((now.as_millis(), ramp.allowed(now, 4)));
    }
    assert_eq!(steps, [(300, 2), (600, 3), (900, 4)]);
}

#[test]
fn consecutive_failures_eject_and_successful_probes_readmit() {
    let policy = EjectionPolicy {
        failures: 3,
        min_duration: 100 * MILLI,
        max_duration: 300 * MILLI,
        successes_to_readmit: 2,
    };
    let mut ejection = Ejection::new(policy);
    ejection.on_failure(at(0));
    ejection.on_failure(at(0));
    ejection.on_success();
    ejection.on_failure(at(1));
    ejection.on_failure(at(1));
    assert_eq!(ejection.allowed(at(1), 8), 8);
    assert_eq!(ejection.on_failure(at(1)), Some(EjectionChange::Ejected));
    assert_eq!(ejection.on_failure(at(2)), None);
    assert_eq!(ejection.allowed(at(100), 8), 0);
    assert_eq!(ejection.allowed(at(101), 8), 1);
    ejection.on_failure(at(101));
    assert_eq!(ejection.closed_until(at(101)), Some(at(301)));
    ejection.on_failure(at(301));
    assert_eq!(ejection.closed_until(at(301)), Some(at(601)));
    assert_eq!(ejection.on_success(), None);
    assert_eq!(ejection.on_success(), Some(EjectionChange::Readmitted));
    assert_eq!(ejection.allowed(at(601), 8), 8);
}

#[test]
fn a_queue_is_ordered_by_priority_then_deadline_then_arrival() {
    let mut queue = WaitQueue::new(10, 100);
    queue.push(position(Priority::Background, 1, 1));
    queue.push(position(Priority::Normal, 9, 2));
    queue.push(position(Priority::Normal, 5, 4));
    queue.push(position(Priority::Normal, 5, 3));
    queue.push(position(Priority::Critical, 50, 5));
    assert_eq!(queue.ahead_of(position(Priority::Critical, 40, 9)), 0);
    assert_eq!(queue.ahead_of(position(Priority::Normal, 4, 9)), 1);
    assert_eq!(queue.ahead_of(position(Priority::Normal, 7, 9)), 4);
    let order: Vec<u64> = std::iter::from_fn(|| queue.pop()).map(|id| id.0).collect();
    assert_eq!(order, [5, 3, 4, 2, 1]);
}

#[test]
fn a_full_queue_admits_only_requests_that_go_first() {
    let mut queue = WaitQueue::new(2, 100);
    queue.push(position(Priority::Normal, 5, 1));
    queue.push(position(Priority::Normal, 6, 2));
    assert_eq!(
        queue.push(position(Priority::Normal, 7, 3)),
        PushOutcome::Full
    );
    let displaced = PushOutcome::Displaced(ExchangeId(2));
    assert_eq!(queue.push(position(Priority::Critical, 9, 4)), displaced);
    assert_eq!(queue.len(), 2);
}

#[test]
fn the_lowest_priority_is_not_starved_by_higher_ones() {
    let mut queue = WaitQueue::new(1_000, 16);
    queue.push(position(Priority::Background, 1, 1));
    queue.push(position(Priority::Background, 2, 2));
    let mut taken = Vec::new();
    for id in 10..42 {
        queue.push(position(Priority::Critical, id, id));
        taken.extend(queue.pop().map(|id| id.0));
    }
    assert_eq!(taken[15], 1);
    assert_eq!(taken[31], 2);
    assert!(taken[..15].iter().all(|id| *id >= 10));
}

#[test]
fn backoffs_double_up_to_the_longest_with_bounded_jitter() {
    for attempts in 1..40 {
        let whole = (5 * MILLI * (1 << (attempts - 1).min(10))).min(200 * MILLI);
        for draw in 0..20 {
            let wait = backoff(5 * MILLI, 200 * MILLI, attempts, draw);
            assert!(wait >= whole / 2 && wait <= whole);
        }
    }
}

#[test]
fn a_budget_that_refills_by_time_gains_one_token_per_interval() {
    let mut budget = Budget::new(0, 3);
    budget.set_refill(Duration::from_millis(500));
    budget.refill(Timestamp::from_millis(10_000));
    let mut taken = 0;
    for milli in 10_000..20_000 {
        budget.refill(Timestamp::from_millis(milli));
        taken += u64::from(budget.withdraw());
    }
    // The reserve, and one token for each full interval that has passed.
    assert_eq!(taken, 3 + 19);
    budget.refill(Timestamp::from_millis(1_000_000));
    assert_eq!(budget.available(), 3);
}
