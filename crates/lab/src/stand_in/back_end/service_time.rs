//! Draws the service time of each request.

use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::settings::{ColdStart, ServiceTimeSettings};

/// Maximum service time, as a multiple of the median.
const MAX_MULTIPLE: f64 = 20.0;

/// Generates log-normal service times from a seed.
#[derive(Debug)]
pub struct ServiceTimes {
    settings: ServiceTimeSettings,
    cold_start: ColdStart,
    random: ChaCha8Rng,
}

impl ServiceTimes {
    /// Creates a sequence that depends only on the settings and the seed.
    pub fn new(settings: ServiceTimeSettings, cold_start: ColdStart, seed: u64) -> Self {
        ServiceTimes {
            settings,
            cold_start,
            random: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Returns the next service time of a process of the given age.
    pub fn next(&mut self, age: Duration) -> Duration {
        let normal = standard_normal(&mut self.random);
        let multiple = (normal * self.settings.spread).exp().min(MAX_MULTIPLE);
        let millis = self.settings.median_ms * multiple * self.cold_factor(age);
        Duration::from_secs_f64(millis.max(0.0) / 1_000.0)
    }

    /// Returns the cold start factor, which falls linearly to 1.
    fn cold_factor(&self, age: Duration) -> f64 {
        let cold_start_ms = self.cold_start.for_ms as f64;
        let elapsed = age.as_secs_f64() * 1_000.0;
        if elapsed >= cold_start_ms {
            return 1.0;
        }
        1.0 + (self.cold_start.factor - 1.0) * (1.0 - elapsed / cold_start_ms)
    }
}

/// Draws from the standard normal distribution by the Box-Muller transform.
fn standard_normal(random: &mut ChaCha8Rng) -> f64 {
    let first: f64 = 1.0 - random.random::<f64>();
    let second: f64 = random.random();
    (-2.0 * first.ln()).sqrt() * (std::f64::consts::TAU * second).cos()
}
