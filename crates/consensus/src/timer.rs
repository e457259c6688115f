//! Election timeouts.

use std::time::Duration;

use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{Rng, SeedableRng};
use threadledge_types::{Timestamp, Timing};

/// When a voter that hears from no leader campaigns.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct ElectionTimer {
    generator: ChaCha8Rng,
    shortest: Duration,
    span_micros: u64,
    deadline: Timestamp,
}

impl ElectionTimer {
    /// A timer that starts at `now`.
    pub(crate) fn new(timing: &Timing, seed: u64, now: Timestamp) -> Self {
        let shortest = timing.election_min();
        let span = timing.election_max().saturating_sub(shortest);
        let mut timer = ElectionTimer {
            generator: ChaCha8Rng::seed_from_u64(seed),
            shortest,
            span_micros: u64::try_from(span.as_micros()).unwrap_or(u64::MAX),
            deadline: now,
        };
        timer.restart(now);
        timer
    }

    /// Draws the next timeout, counted from `now`. Timeouts differ at random,
    /// so that one voter campaigns before the others do.
    pub(crate) fn restart(&mut self, now: Timestamp) {
        let extra = self.generator.next_u64() % self.span_micros.saturating_add(1).max(1);
        self.deadline = now + self.shortest + Duration::from_micros(extra);
    }

    /// When the voter campaigns.
    pub(crate) fn deadline(&self) -> Timestamp {
        self.deadline
    }
}
