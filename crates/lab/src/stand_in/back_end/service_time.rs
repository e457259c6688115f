//! How long the work of each request takes.

use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::settings::{ColdStart, ServiceTimeSettings};

/// Longest service time, as a multiple of the median.
const LARGEST_MULTIPLE: f64 = 20.0;

/// Draws service times from a seed.
#[derive(Debug)]
pub struct ServiceTimes {
    settings: ServiceTimeSettings,
    cold_start: ColdStart,
    random: ChaCha8Rng,
}

impl ServiceTimes {
    /// A sequence that depends on the settings and the seed only.
    pub fn new(settings: ServiceTimeSettings, cold_start: ColdStart, seed: u64) -> Self {
        ServiceTimes {
            settings,
            cold_start,
            random: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// The next service time of a process that is `age` old.
    pub fn next(&mut self, age: Duration) -> Duration {
        let normal = standard_normal(&mut self.random);
        let multiple = (normal * self.settings.spread).exp().min(LARGEST_MULTIPLE);
        let millis = self.settings.median_ms * multiple * self.cold_factor(age);
        Duration::from_secs_f64(millis.max(0.0) / 1_000.0)
    }

    /// Falls in a straight line from the factor to 1.
    fn cold_factor(&self, age: Duration) -> f64 {
        let lasts = self.cold_start.for_ms as f64;
        let passed = age.as_secs_f64() * 1_000.0;
        if passed >= lasts {
            return 1.0;
        }
        1.0 + (self.cold_start.factor - 1.0) * (1.0 - passed / lasts)
    }
}

/// Box-Muller transform.
fn standard_normal(random: &mut ChaCha8Rng) -> f64 {
    let first: f64 = 1.0 - random.random::<f64>();
    let second: f64 = random.random();
    (-2.0 * first.ln()).sqrt() * (std::f64::consts::TAU * second).cos()
}
