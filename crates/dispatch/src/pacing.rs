//! Paces the requests of one router to a rate-limited back end when no
//! coordinator grants tokens for it.
//!
//! Each router may send one request per turn, and its turns start one interval
//! apart. If there are few routers, an unused turn stays available: even if all
//! routers send at once, the limit holds. If there are many, each router's
//! turns start at a random offset and end soon, so that arrivals are close to a
//! Poisson process.

use std::time::Duration;

use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use threadledge_types::Timestamp;

use crate::cold_start::max_mean_rate;

/// Window over which the requests to a back end with a rate limit are counted.
const WINDOW: Duration = Duration::from_secs(4);
/// Factor by which the requests of a window may exceed the rate limit.
const OVERAGE: f64 = 1.5;
/// Requests of a window that are allowed in addition.
const SLACK: f64 = 5.0;
/// How long a turn lasts if there are many routers.
const TURN_LENGTH: Duration = Duration::from_secs(1);
/// Longest time between two turns of one router. It exceeds the lifetime of any
/// limit.
const MAX_INTERVAL: Duration = Duration::from_secs(3_600);
/// Number of requests above which the Poisson distribution is approximated by
/// the normal distribution.
const NORMAL_APPROXIMATION_FROM: f64 = 200.0;
/// Distance kept from the bound under the normal approximation, in standard
/// deviations.
const SAFETY_DEVIATIONS: f64 = 6.0;

/// How often turns start and how long they last.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Pacing {
    pub(crate) interval: Duration,
    pub(crate) turn_length: Duration,
}

impl Pacing {
    /// Computes the pacing of `routers` that together send at most `rate`
    /// requests per second.
    ///
    /// Invariant: in any window, they send no more than a limit of `rate`
    /// allows; if there are many routers, except with a probability of about
    /// one in millions.
    pub(crate) fn of(rate: f64, routers: u32) -> Pacing {
        let routers = f64::from(routers.max(1));
        let bound = rate * WINDOW.as_secs_f64() * OVERAGE + SLACK;
        let interval = turn_interval(routers, rate);
        let turns_per_window = (WINDOW.as_secs_f64() / interval.as_secs_f64()).floor() + 1.0;
        if routers * turns_per_window <= bound {
            return Pacing {
                interval,
                turn_length: interval,
            };
        }
        let counted_s = (WINDOW + TURN_LENGTH).as_secs_f64();
        let mean = max_mean_count(rate * counted_s, bound);
        let interval = turn_interval(routers, mean / counted_s);
        Pacing {
            interval,
            turn_length: TURN_LENGTH.min(interval),
        }
    }

    /// Whether an unused turn stays available until it is used.
    fn keeps_unused_turns(&self) -> bool {
        self.turn_length >= self.interval
    }
}

/// The interval at which `routers` together send `rate` requests per second.
fn turn_interval(routers: f64, rate: f64) -> Duration {
    let interval = Duration::try_from_secs_f64(routers / rate);
    interval.map_or(MAX_INTERVAL, |interval| interval.min(MAX_INTERVAL))
}

/// The largest mean number of requests with which the actual number hardly ever
/// exceeds `bound`; at most `desired`.
fn max_mean_count(desired: f64, bound: f64) -> f64 {
    if bound <= NORMAL_APPROXIMATION_FROM {
        return max_mean_rate(desired, bound);
    }
    desired.min(bound - SAFETY_DEVIATIONS * bound.sqrt())
}

/// This router's turns at one back end.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Pacer {
    /// When the next turn starts.
    next_turn: Timestamp,
}

impl Pacer {
    /// Starts the first turn at a random offset within the interval.
    pub(crate) fn new(now: Timestamp, pacing: Pacing, random: &mut ChaCha8Rng) -> Self {
        let phase: f64 = random.random();
        Pacer {
            next_turn: now + pacing.interval.mul_f64(phase),
        }
    }

    /// When the current turn ends; `None` if there is no current turn.
    pub(crate) fn open_until(&self, now: Timestamp, pacing: Pacing) -> Option<Timestamp> {
        if pacing.keeps_unused_turns() {
            return (now >= self.next_turn).then_some(now + pacing.turn_length);
        }
        let start = self.current_turn_start(now, pacing)?;
        let end = start + pacing.turn_length;
        (now < end).then_some(end)
    }

    /// Marks the current turn as used.
    pub(crate) fn use_turn(&mut self, now: Timestamp, pacing: Pacing) {
        let start = match self.current_turn_start(now, pacing) {
            Some(start) if !pacing.keeps_unused_turns() => start,
            _ => now,
        };
        self.next_turn = start + pacing.interval;
    }

    /// When the next turn starts, if there is no current turn.
    pub(crate) fn next_turn_at(&self, now: Timestamp, pacing: Pacing) -> Timestamp {
        match self.current_turn_start(now, pacing) {
            Some(start) if !pacing.keeps_unused_turns() => start + pacing.interval,
            _ => self.next_turn.max(now),
        }
    }

    /// When the latest turn started.
    fn current_turn_start(&self, now: Timestamp, pacing: Pacing) -> Option<Timestamp> {
        if now < self.next_turn {
            return None;
        }
        let passed = now.since(self.next_turn).as_secs_f64();
        let turns = (passed / pacing.interval.as_secs_f64().max(1e-6)).floor();
        Some(self.next_turn + pacing.interval.mul_f64(turns))
    }
}
