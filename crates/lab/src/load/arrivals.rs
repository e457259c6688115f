//! Open-loop arrivals: a Poisson process that does not wait for answers.

use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use threadledge_types::Timestamp;

/// Intended send times from a seed.
#[derive(Debug)]
pub struct Arrivals {
    next: Timestamp,
    per_second: f64,
    random: ChaCha8Rng,
}

impl Arrivals {
    /// Arrivals from `begin` on, `per_second` on average.
    pub fn new(begin: Timestamp, per_second: f64, seed: u64) -> Self {
        Arrivals {
            next: begin,
            per_second,
            random: ChaCha8Rng::seed_from_u64(seed),
        }
    }
}

impl Iterator for Arrivals {
    type Item = Timestamp;

    fn next(&mut self) -> Option<Timestamp> {
        if self.per_second <= 0.0 {
            return None;
        }
        let uniform: f64 = 1.0 - self.random.random::<f64>();
        let gap = Duration::from_secs_f64(-uniform.ln() / self.per_second);
        self.next = self.next + gap;
        Some(self.next)
    }
}
