//! Sickness that the health endpoint knows nothing of.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// How a back end ails while its health endpoint says that all is well.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Sickness {
    /// Service times are this many times longer.
    pub slow_factor: f64,
    /// Share of requests that it drops without an answer and without an
    /// effect, between 0 and 1.
    pub error_share: f64,
}

impl Default for Sickness {
    /// Well.
    fn default() -> Self {
        Sickness {
            slow_factor: 1.0,
            error_share: 0.0,
        }
    }
}

/// What sickness does to the requests that come.
#[derive(Debug, Default)]
pub(super) struct Ailing {
    sickness: Sickness,
    /// Drops that are due; one happens whenever it reaches 1.
    drops_due: f64,
}

impl Ailing {
    pub fn set(&mut self, sickness: Sickness) {
        self.sickness = sickness;
    }

    /// How long work takes that would take `takes` in health.
    pub fn slowed(&self, takes: Duration) -> Duration {
        takes.mul_f64(self.sickness.slow_factor)
    }

    /// Whether the next request is dropped: drops are spread evenly.
    pub fn next_is_dropped(&mut self) -> bool {
        self.drops_due += self.sickness.error_share;
        let due = self.drops_due >= 1.0;
        if due {
            self.drops_due -= 1.0;
        }
        due
    }
}
