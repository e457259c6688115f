//! The retry budget of a service, over all routers together.

use std::time::Duration;

use threadledge_dispatch::budget::RetryBudget;
use threadledge_dispatch::{Settings, Step};
use threadledge_types::Timestamp;

use super::support::{Station, answered, failed_answer};

/// Retries that all routers may make in a window beside the ratio.
const SLACK: u32 = 100;
const ROUTERS: u32 = 25;
const RATIO: f64 = 0.15;
const WINDOW: Duration = Duration::from_secs(10);
/// How long a count of the routers holds.
const CONFIRMED_FOR: Duration = Duration::from_secs(10);

/// Routers whose requests all fail at first, and what reached the back ends.
struct Routers {
    stations: Vec<Station>,
    lives: u64,
    now: Timestamp,
    requests: Vec<Timestamp>,
    retries: Vec<Timestamp>,
}

impl Routers {
    fn start(count: u32) -> Routers {
        let mut routers = Routers {
            stations: Vec::new(),
            lives: 0,
            now: Timestamp::from_millis(100_000),
            requests: Vec::new(),
            retries: Vec::new(),
        };
        routers.stations = (0..count).map(|_| routers.begin_life()).collect();
        routers
    }

    fn begin_life(&mut self) -> Station {
        self.lives += 1;
        let settings = Settings {
            retry_ratio: RATIO,
            retry_slack: SLACK,
            retry_window: WINDOW,
            ..Settings::default()
        };
        Station::with(settings, self.lives)
    }

    /// The first of the routers end, and another life begins in their place.
    fn restart(&mut self, first: usize) {
        for index in 0..first {
            self.stations[index] = self.begin_life();
        }
    }

    /// Every router is told how many there are.
    fn tell_count(&mut self) {
        self.tell_some(self.stations.len(), ROUTERS);
    }

    /// The first of the routers are told that there are so many.
    fn tell_some(&mut self, first: usize, count: u32) {
        for station in &mut self.stations[..first] {
            station.now = self.now;
            let until = self.now + CONFIRMED_FOR;
            station
                .dispatcher
                .set_router_count(self.now, count, Some(until));
        }
    }

    /// One request at each router: it fails, and is tried again if the budget
    /// allows it.
    fn fail_one_each(&mut self) {
        for station in &mut self.stations {
            station.now = self.now;
            let begun = station.begin("safe").expect("admitted");
            self.requests.push(self.now);
            let first = station.send(&begun);
            station.end(&begun, &first, failed_answer());
            if let Step::Send(second) = station.next(&begun) {
                self.retries.push(self.now);
                station.end(&begun, &second, answered());
            }
        }
    }

    fn after(&mut self, millis: u64) {
        self.now = self.now + Duration::from_millis(millis);
    }

    /// Invariant: in no window more retries than the ratio and the slack allow.
    fn check(&self) {
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

/// What a life used is forgotten with it: its successor must not use it again.
#[test]
fn routers_that_start_again_and_again_keep_the_retry_budget_of_all() {
    let mut routers = Routers::start(ROUTERS);
    for _life in 0..12 {
        for round in 0..4 {
            routers.after(400);
            if round == 1 {
                routers.tell_count();
            }
            routers.fail_one_each();
        }
        routers.restart(routers.stations.len());
    }
    routers.check();
}

/// Whatever number it guessed, the routers that start may be many more.
#[test]
fn router_that_does_not_know_how_many_there_are_uses_no_slack() {
    let mut routers = Routers::start(ROUTERS);
    for _second in 0..10 {
        routers.after(1_000);
        routers.fail_one_each();
    }
    let allowed = routers.requests.len() as f64 * RATIO;
    let retries = routers.retries.len();
    assert!(
        retries as f64 <= allowed,
        "{retries} retries; allowed {allowed}"
    );
}

/// Invariant: in every window that slides, repeats stay within the ratio of
/// the requests of that window and the one before, and the slack.
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
        let mut repeats: Vec<Timestamp> = Vec::new();
        for _ in 0..400 {
            now = now + Duration::from_millis(data.int_in_range(0..=120)?);
            if data.ratio(3, 5)? {
                budget.count_request(now);
                requests.push(now);
            } else if budget.take(now).is_some() {
                repeats.push(now);
            }
        }
        for last in &repeats {
            let within =
                |at: &&Timestamp, length: Duration| **at <= *last && last.since(**at) < length;
            let repeated = repeats.iter().filter(|at| within(at, window)).count();
            let asked = requests.iter().filter(|at| within(at, window * 2)).count();
            assert!(repeated as f64 <= asked as f64 * 0.15 + 3.0);
        }
        Ok(())
    })
    .seed(seed);
}

#[test]
fn right_that_was_not_used_can_be_given_back() {
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

/// What was earned meanwhile has taken the place of a right that comes back.
#[test]
fn retry_given_back_late_does_not_add_to_the_slack_earned_meanwhile() {
    let start = Timestamp::from_millis(100);
    let mut budget = RetryBudget::new(start, 0.0, WINDOW);
    budget.set_slack(start, 2.0, None);
    let late = budget.take(start + WINDOW).expect("one is saved up");
    let now = start + WINDOW * 2;
    assert!(budget.take(now).is_some(), "the next is earned");
    budget.return_permit(now, late);
    assert!(budget.take(now).is_none());
}

/// Counted off the present window, it would hide a retry of that window.
#[test]
fn retry_given_back_late_leaves_the_window_in_which_it_was_taken() {
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

/// A right given back within its window is there again.
#[test]
fn retry_given_back_in_time_can_be_made_by_another_request() {
    let start = Timestamp::from_millis(100);
    let mut budget = RetryBudget::new(start, 0.1, WINDOW);
    (0..10).for_each(|_| budget.count_request(start));
    let permit = budget.take(start).expect("ten requests pay for it");
    let now = start + WINDOW / 2;
    assert!(budget.take(now).is_none());
    budget.return_permit(now, permit);
    assert!(budget.take(now).is_some());
}

/// Routers that were cut off go on by the old count while the others, told of
/// fewer, divide by the new one.
#[test]
fn routers_cut_off_from_the_others_do_not_keep_a_share_that_these_use() {
    let mut routers = Routers::start(ROUTERS);
    routers.tell_count();
    routers.after(30_000);
    routers.tell_count();
    for second in 0..30 {
        routers.after(1_000);
        let counted = if second < 12 { ROUTERS } else { 5 };
        routers.tell_some(5, counted);
    }
    for _ in 0..60 {
        routers.after(200);
        routers.tell_some(5, 5);
        routers.fail_one_each();
    }
    routers.check();
}

/// Restarts, silence and bursts of failures in any order, at some of them.
#[test]
fn no_order_of_restarts_and_failures_takes_more_than_the_budget_of_all() {
    for seed in 0..40_u64 {
        budget_of_all_holds((seed << 32) | 0x800);
    }
}

fn budget_of_all_holds(seed: u64) {
    arbtest::arbtest(|data| {
        let mut routers = Routers::start(ROUTERS);
        for _ in 0..60 {
            routers.after(data.int_in_range(0..=900)?);
            let first = data.int_in_range(0..=routers.stations.len())?;
            match data.int_in_range(0..=5)? {
                0 => routers.restart(first),
                1 => routers.tell_some(first, ROUTERS),
                2 => routers.tell_count(),
                _ => routers.fail_one_each(),
            }
        }
        routers.check();
        Ok(())
    })
    .seed(seed);
}
