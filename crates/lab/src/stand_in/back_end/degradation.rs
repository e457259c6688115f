//! Degradation of a back end that its health endpoint does not report.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Degradation of a back end whose health endpoint still reports healthy.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Degradation {
    /// Multiple of the normal service times.
    pub slow_factor: f64,
    /// Share of requests dropped without a response and without an effect,
    /// between 0 and 1.
    pub error_share: f64,
}

impl Default for Degradation {
    /// No degradation.
    fn default() -> Self {
        Degradation {
            slow_factor: 1.0,
            error_share: 0.0,
        }
    }
}

/// Applies a degradation to incoming requests.
#[derive(Debug, Default)]
pub(super) struct DegradationState {
    degradation: Degradation,
    /// Accumulated share of dropped requests; a request is dropped whenever it
    /// reaches 1.
    drops_due: f64,
}

impl DegradationState {
    pub fn set(&mut self, degradation: Degradation) {
        self.degradation = degradation;
    }

    /// Returns the service time of work that normally takes `service_time`.
    pub fn slow_down(&self, service_time: Duration) -> Duration {
        service_time.mul_f64(self.degradation.slow_factor)
    }

    /// Returns whether the next request is dropped. Drops are spread evenly.
    pub fn drop_next(&mut self) -> bool {
        self.drops_due += self.degradation.error_share;
        let due = self.drops_due >= 1.0;
        if due {
            self.drops_due -= 1.0;
        }
        due
    }
}
