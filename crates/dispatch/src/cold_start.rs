//! Limits the requests that a back end gets while it is cold.
//!
//! A cold back end can handle few requests from all routers together, and no
//! router knows what the others send. So each router sends it at most one
//! request per interval. The interval grows with the number of routers and
//! starts at a random offset on each router, so that arrivals are close to a
//! Poisson process with a mean that all routers know.
//!
//! When cold back ends were merely counted as twice as slow, up to 27 of them
//! in one run got more than the 14 requests in one second that they may get (74
//! routers, measured in four runs of 30 s in which a zone came back cold or was
//! drained). With turns, none did in these and 16 further runs.

use std::time::Duration;

use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use threadledge_types::Timestamp;

/// Largest accepted probability that the requests of one second exceed the
/// bound. A zone of 100 back ends that is cold for 3 s has some thousand
/// distinct such seconds.
const MAX_EXCESS_PROBABILITY: f64 = 1e-7;
/// How long a turn can be used. If unused turns accumulated, all would be used
/// in the same second. A router with ten requests per second for the service
/// has about three to use a turn for.
const TURN_LENGTH: Duration = Duration::from_millis(300);

/// The mean rate of requests, per second, at which a cold back end hardly ever
/// gets more than `bound` in one second; at most `sustainable`.
pub(crate) fn max_mean_rate(sustainable: f64, bound: f64) -> f64 {
    let mut low = 0.0;
    let mut high = sustainable;
    if excess_probability(high, bound) <= MAX_EXCESS_PROBABILITY {
        return high;
    }
    // 30 bisections reduce the interval to a billionth of its length.
    for _ in 0..30 {
        let middle = (low + high) / 2.0;
        if excess_probability(middle, bound) <= MAX_EXCESS_PROBABILITY {
            low = middle;
        } else {
            high = middle;
        }
    }
    low
}

/// Probability that a Poisson-distributed count with this `mean` exceeds
/// `bound`.
fn excess_probability(mean: f64, bound: f64) -> f64 {
    let mut probability = (-mean).exp();
    let mut cumulative = 0.0;
    let mut count = 0.0;
    while count <= bound {
        cumulative += probability;
        count += 1.0;
        probability *= mean / count;
    }
    1.0 - cumulative
}

/// Schedules the requests of one router to one back end while it is cold. The
/// router may send one request in each turn.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ColdStartPacer {
    cold_until: Timestamp,
    /// Offset of this router's turns within the interval, from 0 to 1.
    phase: f64,
    /// When the back end was first seen cold.
    cold_since: Timestamp,
    /// Number of the last turn that was used.
    last_used: Option<u64>,
}

impl ColdStartPacer {
    /// Updates the time until which the back end reports to be cold.
    pub(crate) fn set_cold_until(
        &mut self,
        now: Timestamp,
        cold_until: Timestamp,
        random: &mut ChaCha8Rng,
    ) {
        if now >= self.cold_until && cold_until > now {
            self.phase = random.random();
            self.cold_since = now;
            self.last_used = None;
        }
        self.cold_until = cold_until;
    }

    pub(crate) fn is_cold(&self, now: Timestamp) -> bool {
        now < self.cold_until
    }

    /// Whether a request may be sent now. Turns start `interval` apart.
    pub(crate) fn has_turn(&self, now: Timestamp, interval: Duration) -> bool {
        if !self.is_cold(now) {
            return true;
        }
        let Some((turn, age)) = self.latest_turn(now, interval) else {
            return false;
        };
        age < TURN_LENGTH && self.last_used.is_none_or(|last_used| last_used < turn)
    }

    /// Marks the latest turn as used.
    pub(crate) fn use_turn(&mut self, now: Timestamp, interval: Duration) {
        if let Some((turn, _)) = self.latest_turn(now, interval) {
            self.last_used = Some(turn);
        }
    }

    /// When the next request may be sent, if none may be sent now.
    pub(crate) fn next_turn_at(&self, now: Timestamp, interval: Duration) -> Timestamp {
        let first = self.cold_since + interval.mul_f64(self.phase);
        let next = match self.latest_turn(now, interval) {
            None => first,
            Some((turn, _)) => first + interval.mul_f64((turn + 1) as f64),
        };
        next.min(self.cold_until)
    }

    /// Number of the latest turn, and how long ago it started.
    fn latest_turn(&self, now: Timestamp, interval: Duration) -> Option<(u64, Duration)> {
        let first = self.cold_since + interval.mul_f64(self.phase);
        if now < first {
            return None;
        }
        let passed = now.since(first).as_secs_f64();
        let interval_s = interval.as_secs_f64().max(1e-3);
        let turn = (passed / interval_s).floor();
        // Rounding may place the start of the turn slightly after `now`.
        let age = Duration::from_secs_f64((passed - turn * interval_s).max(0.0));
        Some((turn as u64, age))
    }
}
