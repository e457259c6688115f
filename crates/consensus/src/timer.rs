//! Election timeouts.

use std::time::Duration;

use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{Rng, SeedableRng};
use threadledge_types::{Timestamp, Timing};

/// Timer after which a voter that hears from no leader starts a campaign.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct ElectionTimer {
    rng: ChaCha8Rng,
    min_timeout: Duration,
    jitter_micros: u64,
    deadline: Timestamp,
}

impl ElectionTimer {
    /// Creates a timer that starts at `now`.
    pub(crate) fn new(timing: &Timing, seed: u64, now: Timestamp) -> Self {
        let min_timeout = timing.election_min();
        let span = timing.election_max().saturating_sub(min_timeout);
        let mut timer = ElectionTimer {
            rng: ChaCha8Rng::seed_from_u64(seed),
            min_timeout,
            jitter_micros: u64::try_from(span.as_micros()).unwrap_or(u64::MAX),
            deadline: now,
        };
        timer.restart(now);
        timer
    }

    /// Restarts the timer at `now` with a new random timeout. Timeouts are
    /// random so that one voter usually campaigns before the others.
    pub(crate) fn restart(&mut self, now: Timestamp) {
        let jitter = self.rng.next_u64() % self.jitter_micros.saturating_add(1).max(1);
        self.deadline = now + self.min_timeout + Duration::from_micros(jitter);
    }

    /// Returns when the timer expires.
    pub(crate) fn deadline(&self) -> Timestamp {
        self.deadline
    }
}
