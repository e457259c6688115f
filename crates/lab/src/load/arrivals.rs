//! Open-loop arrivals: a Poisson process that does not wait for answers.

use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use threadledge_types::Timestamp;

use super::settings::{Surge, load_factor};

/// Intended send times from a seed.
#[derive(Debug)]
pub struct Arrivals {
    next: Timestamp,
    begin: Timestamp,
    per_second: f64,
    surges: Vec<Surge>,
    random: ChaCha8Rng,
}

impl Arrivals {
    /// Arrivals from `begin` on, `per_second` on average.
    pub fn new(begin: Timestamp, per_second: f64, seed: u64) -> Self {
        Arrivals {
            next: begin,
            begin,
            per_second,
            surges: Vec::new(),
            random: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// The same with another load in some stretches.
    pub fn with_surges(mut self, surges: &[Surge]) -> Self {
        self.surges = surges.to_vec();
        self
    }
}

impl Iterator for Arrivals {
    type Item = Timestamp;

    fn next(&mut self) -> Option<Timestamp> {
        let factor = load_factor(&self.surges, self.next.since(self.begin));
        let per_second = self.per_second * factor;
        if per_second <= 0.0 {
            return None;
        }
        let uniform: f64 = 1.0 - self.random.random::<f64>();
        let gap = Duration::from_secs_f64(-uniform.ln() / per_second);
        self.next = self.next + gap;
        Some(self.next)
    }
}
