//! Open-loop arrivals: a Poisson process that does not wait for responses.

use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use threadledge_types::Timestamp;

use super::settings::{Surge, load_factor};

/// Generates intended send times from a seed.
#[derive(Debug)]
pub struct Arrivals {
    next: Timestamp,
    begin: Timestamp,
    per_second: f64,
    surges: Vec<Surge>,
    random: ChaCha8Rng,
}

impl Arrivals {
    /// Creates arrivals from `begin` on, `per_second` on average.
    pub fn new(begin: Timestamp, per_second: f64, seed: u64) -> Self {
        Arrivals {
            next: begin,
            begin,
            per_second,
            surges: Vec::new(),
            random: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Sets intervals in which the arrival rate is multiplied by a factor.
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
