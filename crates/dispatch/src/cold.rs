//! How many requests a back end gets while it is cold.
//!
//! A cold back end bears few requests from all routers together, and no router
//! knows what the others send. So each sends it at most one request in each
//! interval that is as long as there are routers, beginning at a time of its
//! own: what arrives is then spread as if by chance, around a mean that all
//! of them know.
//!
//! Where a cold back end only counted as twice as slow, up to 27 of them in a
//! day got more than the 14 requests in one second that they may get (74
//! routers, measured on four days of 30 s with a zone that came back cold or
//! was drained); with turns none did on these and 16 further days.

use std::time::Duration;

use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use threadledge_types::Timestamp;

/// Chance that the requests of one second exceed the bound. A zone of 100
/// back ends that is cold for 3 s has some thousand such seconds that differ.
const EXCESS_CHANCE: f64 = 1e-7;
/// How long a turn lasts: turns that pile up unused would all be used in the
/// same second. A router with ten requests a second of the service has three to
/// use it for.
const TURN_LASTS: Duration = Duration::from_millis(300);

/// Requests a second that a cold back end should get on average, so that
/// hardly any second exceeds `bound`; at most the `borne` ones.
pub(crate) fn mean_rate(borne: f64, bound: f64) -> f64 {
    let mut low = 0.0;
    let mut high = borne;
    if excess(high, bound) <= EXCESS_CHANCE {
        return high;
    }
    // Halving the interval 30 times leaves a billionth of it.
    for _ in 0..30 {
        let middle = (low + high) / 2.0;
        if excess(middle, bound) <= EXCESS_CHANCE {
            low = middle;
        } else {
            high = middle;
        }
    }
    low
}

/// Chance that a count that comes by chance around `mean` exceeds `bound`, by
/// Poisson's distribution.
fn excess(mean: f64, bound: f64) -> f64 {
    let mut chance = (-mean).exp();
    let mut within = 0.0;
    let mut count = 0.0;
    while count <= bound {
        within += chance;
        count += 1.0;
        chance *= mean / count;
    }
    1.0 - within
}

/// When one router may send to one cold back end.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ColdTurns {
    until: Timestamp,
    /// Place of this router's turns within the interval, from 0 to 1.
    phase: f64,
    /// Since when it is cold.
    since: Timestamp,
    /// The turn that was taken last.
    taken: Option<u64>,
}

impl ColdTurns {
    /// The back end says that it is cold until then.
    pub(crate) fn set(&mut self, now: Timestamp, until: Timestamp, random: &mut ChaCha8Rng) {
        if now >= self.until && until > now {
            self.phase = random.random();
            self.since = now;
            self.taken = None;
        }
        self.until = until;
    }

    pub(crate) fn is_cold(&self, now: Timestamp) -> bool {
        now < self.until
    }

    /// Whether a request may be sent now, with turns that are `interval`
    /// apart.
    pub(crate) fn open(&self, now: Timestamp, interval: Duration) -> bool {
        if !self.is_cold(now) {
            return true;
        }
        let Some((turn, age)) = self.turn(now, interval) else {
            return false;
        };
        age < TURN_LASTS && self.taken.is_none_or(|taken| taken < turn)
    }

    /// A request is being sent.
    pub(crate) fn take(&mut self, now: Timestamp, interval: Duration) {
        if let Some((turn, _)) = self.turn(now, interval) {
            self.taken = Some(turn);
        }
    }

    /// When a request may be sent that may not be sent now.
    pub(crate) fn next_open(&self, now: Timestamp, interval: Duration) -> Timestamp {
        let first = self.since + interval.mul_f64(self.phase);
        let next = match self.turn(now, interval) {
            None => first,
            Some((turn, _)) => first + interval.mul_f64((turn + 1) as f64),
        };
        next.min(self.until)
    }

    /// The turn that came last, and how long ago.
    fn turn(&self, now: Timestamp, interval: Duration) -> Option<(u64, Duration)> {
        let first = self.since + interval.mul_f64(self.phase);
        if now < first {
            return None;
        }
        let passed = now.since(first).as_secs_f64();
        let length = interval.as_secs_f64().max(1e-3);
        let turn = (passed / length).floor();
        // Rounding may put the turn a little later than now.
        let age = Duration::from_secs_f64((passed - turn * length).max(0.0));
        Some((turn as u64, age))
    }
}
