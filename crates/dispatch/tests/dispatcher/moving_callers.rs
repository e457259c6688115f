//! The retry budget over all routers while callers move between them.

use std::time::Duration;

use threadledge_dispatch::budget::{RATIO_FRACTION, RetryBudget};
use threadledge_dispatch::{Settings, Step};
use threadledge_types::Timestamp;

use super::support::{Harness, answered, failed_answer};

const ROUTERS: usize = 25;
/// Routers at which all callers are for a while.
const CROWDED: std::ops::Range<usize> = 0..5;
/// Retries that the deployment allows for each request in a window.
const RATIO: f64 = 0.2;
const WINDOW: Duration = Duration::from_secs(10);
const STEP: Duration = Duration::from_millis(100);
/// Longest time until an allowed retry reaches a back end.
const LONGEST_DELAY_MS: u64 = 2_000;

/// Routers without any slack, and the times at which requests and retries of
/// all of them reach back ends.
struct Routers {
    instances: Vec<Harness>,
    now: Timestamp,
    requests: Vec<Timestamp>,
    retries: Vec<Timestamp>,
}

impl Routers {
    fn start() -> Routers {
        let settings = Settings {
            retry_ratio: RATIO,
            retry_slack: 0,
            retry_window: WINDOW,
            ..Settings::default()
        };
        Routers {
            instances: (0..ROUTERS as u64)
                .map(|seed| Harness::with(settings.clone(), seed))
                .collect(),
            now: Timestamp::from_millis(100_000),
            requests: Vec::new(),
            retries: Vec::new(),
        }
    }

    /// Sends as many requests in each step as there are routers, evenly through
    /// those in `through`. If `failing`, each fails and is retried if the
    /// budget allows it.
    fn run(&mut self, time: Duration, through: std::ops::Range<usize>, failing: bool) {
        let end = self.now + time;
        while self.now < end {
            self.now = self.now + STEP;
            for index in through.clone().cycle().take(ROUTERS) {
                self.send(index, failing);
            }
        }
    }

    fn send(&mut self, index: usize, failing: bool) {
        let harness = &mut self.instances[index];
        harness.now = self.now;
        let begun = harness.begin("safe").expect("admitted");
        self.requests.push(self.now);
        let first = harness.send(&begun);
        if !failing {
            harness.end(&begun, &first, answered());
            return;
        }
        harness.end(&begun, &first, failed_answer());
        if let Step::Send(second) = harness.next(&begun) {
            self.retries.push(self.now);
            harness.end(&begun, &second, answered());
        }
    }

    fn check_budget(&self) {
        check_budget(&self.requests, &self.retries, 0.0);
    }
}

/// Invariant: in each window, the retries stay within the ratio of the requests
/// of that window, the one before or the one half a window before, whichever
/// has most, plus the slack.
fn check_budget(requests: &[Timestamp], retries: &[Timestamp], slack: f64) {
    for first in retries {
        let starts = [*first, *first - WINDOW / 2, *first - WINDOW];
        let most = starts.map(|start| count_in_window(requests, start));
        let most = most.into_iter().max().unwrap_or(0);
        let allowed = most as f64 * RATIO + slack;
        let sent = count_in_window(retries, *first);
        assert!(
            sent as f64 <= allowed,
            "{sent} retries from {first:?} on for {most} requests; allowed {allowed}"
        );
    }
}

/// Number of sorted times in the window from `start` on.
fn count_in_window(times: &[Timestamp], start: Timestamp) -> usize {
    let end = start + WINDOW;
    times.partition_point(|at| *at < end) - times.partition_point(|at| *at < start)
}

/// Requests that were answered at the routers that callers left pay for retries
/// there, and so do the next requests of the same callers elsewhere.
#[test]
fn callers_that_move_to_other_routers_do_not_exceed_the_total_retry_budget() {
    let mut routers = Routers::start();
    routers.run(Duration::from_secs(12), CROWDED, false);
    routers.run(Duration::from_secs(2), CROWDED, true);
    routers.run(Duration::from_secs(10), CROWDED.end..ROUTERS, true);
    routers.check_budget();
}

/// Bursts, moves, restarts and failures in any order, and retries that reach a
/// back end some time after they were allowed.
#[test]
fn total_retry_budget_holds_however_callers_move_between_routers() {
    for seed in 0..200_u64 {
        total_budget_holds((seed << 32) | 0x4000);
    }
}

fn total_budget_holds(seed: u64) {
    arbtest::arbtest(|data| {
        const MOST_PER_STEP: u32 = 400;
        let mut now = Timestamp::from_millis(100_000);
        let start = |now| RetryBudget::new(now, RATIO * RATIO_FRACTION, WINDOW);
        let mut budgets = vec![start(now); 4];
        let mut requests = Vec::new();
        let mut retries = Vec::new();
        for _ in 0..40 {
            now = now + Duration::from_millis(data.int_in_range(0..=3_000)?);
            let budget = &mut budgets[data.int_in_range(0..=3)?];
            if data.ratio(1, 12)? {
                *budget = start(now);
            }
            let failing = data.ratio(2, 3)?;
            for _ in 0..data.int_in_range(0..=MOST_PER_STEP)? {
                budget.count_request(now);
                requests.push(now);
            }
            if !failing {
                continue;
            }
            let delay = Duration::from_millis(data.int_in_range(0..=LONGEST_DELAY_MS)?);
            while budget.take(now).is_some() {
                retries.push(now + delay);
            }
        }
        retries.sort();
        check_budget(&requests, &retries, 0.0);
        Ok(())
    })
    .seed(seed);
}
