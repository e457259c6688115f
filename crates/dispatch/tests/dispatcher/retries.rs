//! The retry budget of a service, over all routers together.

use std::time::Duration;

use threadledge_dispatch::budget::{RATIO_FRACTION, RetryBudget};
use threadledge_dispatch::{Settings, Step};
use threadledge_types::Timestamp;

use super::support::{Harness, answered, failed_answer};

/// Retries that all routers may send in a window in addition to the ratio.
const SLACK: u32 = 100;
const ROUTERS: u32 = 25;
/// Retries that each request pays for.
const RATIO: f64 = 0.15;
const WINDOW: Duration = Duration::from_secs(10);
/// How long the number of routers stays valid.
const CONFIRMED_FOR: Duration = Duration::from_secs(10);

/// Routers whose requests all fail at first, and the times of their requests
/// and retries.
struct Routers {
    instances: Vec<Harness>,
    started: u64,
    now: Timestamp,
    requests: Vec<Timestamp>,
    retries: Vec<Timestamp>,
}

impl Routers {
    fn start(count: u32) -> Routers {
        let mut routers = Routers {
            instances: Vec::new(),
            started: 0,
            now: Timestamp::from_millis(100_000),
            requests: Vec::new(),
            retries: Vec::new(),
        };
        routers.instances = (0..count).map(|_| routers.start_instance()).collect();
        routers
    }

    fn start_instance(&mut self) -> Harness {
        self.started += 1;
        let settings = Settings {
            retry_ratio: RATIO / RATIO_FRACTION,
            retry_slack: SLACK,
            retry_window: WINDOW,
            ..Settings::default()
        };
        Harness::with(settings, self.started)
    }

    /// Replaces the first routers by new processes.
    fn restart(&mut self, first: usize) {
        for index in 0..first {
            self.instances[index] = self.start_instance();
        }
    }

    /// Tells every router the number of routers.
    fn set_router_count_of_all(&mut self) {
        self.set_router_count_of(self.instances.len(), ROUTERS);
    }

    /// Tells the first routers this number of routers.
    fn set_router_count_of(&mut self, first: usize, count: u32) {
        for harness in &mut self.instances[..first] {
            harness.now = self.now;
            let until = self.now + CONFIRMED_FOR;
            harness
                .dispatcher
                .set_router_count(self.now, count, Some(until));
        }
    }

    /// Sends one request through each router. It fails and is retried if the
    /// budget allows it.
    fn fail_one_each(&mut self) {
        for harness in &mut self.instances {
            harness.now = self.now;
            let begun = harness.begin("safe").expect("admitted");
            self.requests.push(self.now);
            let first = harness.send(&begun);
            harness.end(&begun, &first, failed_answer());
            if let Step::Send(second) = harness.next(&begun) {
                self.retries.push(self.now);
                harness.end(&begun, &second, answered());
            }
        }
    }

    fn advance(&mut self, millis: u64) {
        self.now = self.now + Duration::from_millis(millis);
    }

    /// Invariant: in no window are there more retries than the ratio and the
    /// slack allow.
    fn check_budget(&self) {
        for first in &self.retries {
            let within = |at: &&Timestamp| **at >= *first && at.since(*first) < WINDOW;
            let retries = self.retries.iter().filter(within).count();
            let requests = self.requests.iter().filter(within).count();
            let allowed = requests as f64 * RATIO + f64::from(SLACK);
            assert!(
                retries as f64 <= allowed,
                "{retries} retries from {first:?} on for {requests} requests; allowed {allowed}"
            );
        }
    }
}

/// A process that restarts has forgotten what it used, and must not get it
/// again.
#[test]
fn routers_that_restart_repeatedly_keep_the_total_retry_budget() {
    let mut routers = Routers::start(ROUTERS);
    for _incarnation in 0..12 {
        for round in 0..4 {
            routers.advance(400);
            if round == 1 {
                routers.set_router_count_of_all();
            }
            routers.fail_one_each();
        }
        routers.restart(routers.instances.len());
    }
    routers.check_budget();
}

/// Whatever number a starting router guessed, there could be many more.
#[test]
fn router_that_does_not_know_the_number_of_routers_uses_no_slack() {
    let mut routers = Routers::start(ROUTERS);
    for _second in 0..10 {
        routers.advance(1_000);
        routers.fail_one_each();
    }
    let allowed = routers.requests.len() as f64 * RATIO;
    let retries = routers.retries.len();
    assert!(
        retries as f64 <= allowed,
        "{retries} retries; allowed {allowed}"
    );
}

/// Invariant: in every sliding window, retries stay within the ratio of the
/// requests of that window and the one before, plus the slack.
#[test]
fn budget_holds_in_every_sliding_window() {
    for seed in 0..40_u64 {
        budget_holds((seed << 32) | 0x400);
    }
}

fn budget_holds(seed: u64) {
    arbtest::arbtest(|data| {
        let window = Duration::from_secs(10);
        let mut now = Timestamp::from_millis(5);
        let mut budget = RetryBudget::new(now, 0.15, window);
        budget.set_slack(now, 3.0, None);
        let mut requests: Vec<Timestamp> = Vec::new();
        let mut retries: Vec<Timestamp> = Vec::new();
        for _ in 0..400 {
            now = now + Duration::from_millis(data.int_in_range(0..=120)?);
            if data.ratio(3, 5)? {
                budget.count_request(now);
                requests.push(now);
            } else if budget.take(now).is_some() {
                retries.push(now);
            }
        }
        for last in &retries {
            let within =
                |at: &&Timestamp, length: Duration| **at <= *last && last.since(**at) < length;
            let retry_count = retries.iter().filter(|at| within(at, window)).count();
            let request_count = requests.iter().filter(|at| within(at, window * 2)).count();
            assert!(retry_count as f64 <= request_count as f64 * 0.15 + 3.0);
        }
        Ok(())
    })
    .seed(seed);
}

#[test]
fn unused_permit_can_be_returned() {
    let start = Timestamp::from_millis(100);
    let mut budget = RetryBudget::new(start, 0.0, WINDOW);
    budget.set_slack(start, 2.0, None);
    assert!(budget.take(start).is_none(), "nothing is earned yet");
    let now = start + WINDOW;
    let permit = budget.take(now).expect("one is saved up");
    assert!(budget.take(now).is_none());
    budget.return_permit(now, permit);
    assert!(budget.take(now).is_some());
    assert!(budget.take(now + Duration::from_secs(9)).is_none());
    assert!(budget.take(now + Duration::from_secs(11)).is_some());
}

/// The slack earned meanwhile has taken the place of the returned permit.
#[test]
fn permit_returned_late_does_not_add_to_the_slack_earned_meanwhile() {
    let start = Timestamp::from_millis(100);
    let mut budget = RetryBudget::new(start, 0.0, WINDOW);
    budget.set_slack(start, 2.0, None);
    let late = budget.take(start + WINDOW).expect("one is saved up");
    let now = start + WINDOW * 2;
    assert!(budget.take(now).is_some(), "the next is earned");
    budget.return_permit(now, late);
    assert!(budget.take(now).is_none());
}

/// Subtracting it from the current window would hide a retry of that window.
#[test]
fn permit_returned_late_does_not_change_the_current_window() {
    let start = Timestamp::from_millis(100);
    let mut budget = RetryBudget::new(start, 0.1, WINDOW);
    (0..10).for_each(|_| budget.count_request(start));
    let late = budget.take(start).expect("ten requests pay for it");
    let now = start + WINDOW * 2;
    (0..10).for_each(|_| budget.count_request(now));
    assert!(budget.take(now).is_some(), "ten others pay for it");
    budget.return_permit(now, late);
    assert!(budget.take(now).is_none());
}

/// A permit that is returned within its window is available again.
#[test]
fn permit_returned_in_time_can_be_used_by_another_request() {
    let start = Timestamp::from_millis(100);
    let mut budget = RetryBudget::new(start, 0.1, WINDOW);
    (0..10).for_each(|_| budget.count_request(start));
    let permit = budget.take(start).expect("ten requests pay for it");
    let now = start + WINDOW / 2;
    assert!(budget.take(now).is_none());
    budget.return_permit(now, permit);
    assert!(budget.take(now).is_some());
}

/// Routers that were cut off keep using the old number, while the others are
/// told a smaller one and divide by that.
#[test]
fn routers_cut_off_from_the_others_lose_their_share_of_the_slack() {
    let mut routers = Routers::start(ROUTERS);
    routers.set_router_count_of_all();
    routers.advance(30_000);
    routers.set_router_count_of_all();
    for second in 0..30 {
        routers.advance(1_000);
        let counted = if second < 12 { ROUTERS } else { 5 };
        routers.set_router_count_of(5, counted);
    }
    for _ in 0..60 {
        routers.advance(200);
        routers.set_router_count_of(5, 5);
        routers.fail_one_each();
    }
    routers.check_budget();
}

/// Restarts, missing updates and bursts of failures in any order, at some of
/// the routers.
#[test]
fn total_retry_budget_holds_in_any_order_of_restarts_and_failures() {
    for seed in 0..40_u64 {
        total_budget_holds((seed << 32) | 0x800);
    }
}

fn total_budget_holds(seed: u64) {
    arbtest::arbtest(|data| {
        let mut routers = Routers::start(ROUTERS);
        for _ in 0..60 {
            routers.advance(data.int_in_range(0..=900)?);
            let first = data.int_in_range(0..=routers.instances.len())?;
            match data.int_in_range(0..=5)? {
                0 => routers.restart(first),
                1 => routers.set_router_count_of(first, ROUTERS),
                2 => routers.set_router_count_of_all(),
                _ => routers.fail_one_each(),
            }
        }
        routers.check_budget();
        Ok(())
    })
    .seed(seed);
}

#[test]
fn report_of_allowed_retries_tells_the_age_of_the_request_that_paid() {
    let start = Timestamp::from_millis(100_000);
    let mut budget = RetryBudget::new(start, 0.1, WINDOW);
    (0..10).for_each(|_| budget.count_request(start));
    let later = start + Duration::from_secs(6);
    assert!(budget.take(later).is_some());
    budget.count_sent();
    let service = "plain".into();
    let report = budget.take_allowed(later, &service).expect("a retry");
    assert_eq!((report.allowed, report.sent), (1, 1));
    assert!(report.oldest_request >= Duration::from_secs(6));
    assert!(report.oldest_request < Duration::from_millis(6_500));
    assert!(report.from_slack.abs() < 1e-9);
    assert_eq!(budget.take_allowed(later + WINDOW, &service), None);
}

/// Callers would lose retries of single failures for a window after a burst.
#[test]
fn burst_of_retries_leaves_the_credit_of_later_requests() {
    let start = Timestamp::from_millis(100_000);
    let mut budget = RetryBudget::new(start, 0.1, WINDOW);
    (0..100).for_each(|_| budget.count_request(start));
    let failure = start + Duration::from_secs(7);
    let retries = (0..100).filter(|_| budget.take(failure).is_some()).count();
    assert_eq!(retries, 10);
    let later = start + Duration::from_secs(11);
    (0..10).for_each(|_| budget.count_request(later));
    assert!(budget.take(later).is_some());
}
