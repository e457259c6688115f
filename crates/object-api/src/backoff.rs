//! Growing waits between attempts, spread by a seed.

use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Bounds of the waits.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BackoffSettings {
    /// First wait before it is spread.
    pub initial: Duration,
    /// Longest wait.
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

/// Waits that double up to a bound. Each is spread between half of it and all
/// of it, so that readers that failed together do not come back together.
#[derive(Clone, Debug)]
pub struct Backoff {
    settings: BackoffSettings,
    next: Duration,
    random: ChaCha8Rng,
}

impl Backoff {
    /// Starts with the first wait; equal seeds give equal waits.
    pub fn new(settings: BackoffSettings, seed: u64) -> Self {
        Backoff {
            next: settings.initial,
            settings,
            random: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// The wait before the next attempt.
    pub fn next_delay(&mut self) -> Duration {
        let base = self.next.min(self.settings.max);
        self.next = base.saturating_mul(2).min(self.settings.max);
        let share = self.random.random_range(0.5..=1.0);
        base.mul_f64(share)
    }

    /// Begins anew after a success.
    pub fn reset(&mut self) {
        self.next = self.settings.initial;
    }
}
