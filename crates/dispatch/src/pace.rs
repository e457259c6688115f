//! How often one router may send to a back end that all routers together must
//! spare, where nobody hands out tokens.
//!
//! Each router takes turns, one interval apart. Few routers may save a turn up
//! until it is used: even if all send at once, that is within the bound. Of many
//! the turns begin at times of their own and end soon, so that what arrives is
//! spread as if by chance.

use std::time::Duration;

use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use threadledge_types::Timestamp;

use crate::cold::mean_rate;

/// What a back end that names a limit may get at the most is counted over this
/// time.
const WINDOW: Duration = Duration::from_secs(4);
/// What it may get in it, as a multiple of its limit.
const OVERAGE: f64 = 1.5;
/// What it may get in it besides.
const SLACK: f64 = 5.0;
/// How long a turn of many routers lasts.
const TURN_LASTS: Duration = Duration::from_secs(1);
/// Longest time between two turns of one router: longer than limits last.
const LONGEST_INTERVAL: Duration = Duration::from_secs(3_600);
/// Requests above which chance is reckoned by the normal distribution.
const MANY: f64 = 200.0;
/// Standard deviations by which a bound on many is kept away from.
const DEVIATIONS: f64 = 6.0;

/// When turns come and how long they last.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Pace {
    pub(crate) interval: Duration,
    pub(crate) lasts: Duration,
}

impl Pace {
    /// For `routers` that send together at most `rate` requests a second.
    ///
    /// Invariant: in any window they send no more than a limit of `rate`
    /// allows; of many routers, save by a chance of one in millions.
    pub(crate) fn of(rate: f64, routers: u32) -> Pace {
        let routers = f64::from(routers.max(1));
        let bound = rate * WINDOW.as_secs_f64() * OVERAGE + SLACK;
        let interval = interval(routers, rate);
        let each = (WINDOW.as_secs_f64() / interval.as_secs_f64()).floor() + 1.0;
        if routers * each <= bound {
            return Pace {
                interval,
                lasts: interval,
            };
        }
        let exposed = (WINDOW + TURN_LASTS).as_secs_f64();
        let mean = mean_within(rate * exposed, bound);
        let interval = self::interval(routers, mean / exposed);
        Pace {
            interval,
            lasts: TURN_LASTS.min(interval),
        }
    }

    /// Whether a turn that is not used stays until it is.
    fn is_saved(&self) -> bool {
        self.lasts >= self.interval
    }
}

fn interval(routers: f64, rate: f64) -> Duration {
    let interval = Duration::try_from_secs_f64(routers / rate);
    interval.map_or(LONGEST_INTERVAL, |interval| interval.min(LONGEST_INTERVAL))
}

/// Requests on average, so that hardly ever more than `bound` come; at most the
/// `wanted` ones.
fn mean_within(wanted: f64, bound: f64) -> f64 {
    if bound <= MANY {
        return mean_rate(wanted, bound);
    }
    wanted.min(bound - DEVIATIONS * bound.sqrt())
}

/// The turns of this router at one back end.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Turns {
    /// When the next one begins.
    next: Timestamp,
}

impl Turns {
    /// The first one comes by chance.
    pub(crate) fn new(now: Timestamp, pace: Pace, random: &mut ChaCha8Rng) -> Self {
        let phase: f64 = random.random();
        Turns {
            next: now + pace.interval.mul_f64(phase),
        }
    }

    /// When the turn that is open ends; `None`: none is.
    pub(crate) fn open(&self, now: Timestamp, pace: Pace) -> Option<Timestamp> {
        if pace.is_saved() {
            return (now >= self.next).then_some(now + pace.lasts);
        }
        let begun = self.begun(now, pace)?;
        let ends = begun + pace.lasts;
        (now < ends).then_some(ends)
    }

    /// The turn that is open is used.
    pub(crate) fn take(&mut self, now: Timestamp, pace: Pace) {
        let from = match self.begun(now, pace) {
            Some(begun) if !pace.is_saved() => begun,
            _ => now,
        };
        self.next = from + pace.interval;
    }

    /// When a turn is open that is not open now.
    pub(crate) fn next_open(&self, now: Timestamp, pace: Pace) -> Timestamp {
        match self.begun(now, pace) {
            Some(begun) if !pace.is_saved() => begun + pace.interval,
            _ => self.next.max(now),
        }
    }

    /// When the latest turn began.
    fn begun(&self, now: Timestamp, pace: Pace) -> Option<Timestamp> {
        if now < self.next {
            return None;
        }
        let passed = now.since(self.next).as_secs_f64();
        let turns = (passed / pace.interval.as_secs_f64().max(1e-6)).floor();
        Some(self.next + pace.interval.mul_f64(turns))
    }
}
