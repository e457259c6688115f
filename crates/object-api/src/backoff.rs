//! Exponential backoff with seeded jitter.

use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Bounds of the backoff delays.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BackoffSettings {
    /// First delay before jitter.
    pub initial: Duration,
    /// Maximum delay.
    pub max: Duration,
}

impl Default for BackoffSettings {
    fn default() -> Self {
        BackoffSettings {
            initial: Duration::from_millis(200),
            max: Duration::from_secs(10),
        }
    }
}

/// Delays that double up to a maximum. Jitter places each between half of the
/// delay and all of it, so that clients that failed together do not retry
/// together.
#[derive(Clone, Debug)]
pub struct Backoff {
    settings: BackoffSettings,
    next: Duration,
    random: ChaCha8Rng,
}

impl Backoff {
    /// Creates a backoff that starts at the initial delay; equal seeds give
    /// equal delays.
    pub fn new(settings: BackoffSettings, seed: u64) -> Self {
        Backoff {
            next: settings.initial,
            settings,
            random: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Returns the delay before the next attempt.
    pub fn next_delay(&mut self) -> Duration {
        let base = self.next.min(self.settings.max);
        self.next = base.saturating_mul(2).min(self.settings.max);
        let share = self.random.random_range(0.5..=1.0);
        base.mul_f64(share)
    }

    /// Resets the delay to its initial value after a success.
    pub fn reset(&mut self) {
        self.next = self.settings.initial;
    }
}
