//! Settings for spreading records.

use std::time::Duration;

use threadledge_types::Timing;

/// Settings of a [`SpreadNode`](crate::SpreadNode).
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Interval at which a router pulls from its parent.
    pub confirm_interval: Duration,
    /// Timeout of a pull; afterwards the next candidate is tried.
    pub pull_timeout: Duration,
    /// Maximum age of a parent's own confirmation; with an older one the next
    /// candidate is tried.
    pub max_parent_staleness: Duration,
    /// Time after which a router that left its preferred parent tries it again.
    pub preferred_retry: Duration,
    /// Minimum time between two rounds of pushes.
    pub push_interval: Duration,
    /// Maximum number of children; further ones are refused as busy.
    pub max_children: usize,
    /// Time without a pull after which a child is removed.
    pub child_expiry: Duration,
    /// Maximum difference in rate between two machines' clocks, in percent.
    pub drift_percent: u64,
    /// Maximum size of the changes in one message, in bytes of JSON. A single
    /// larger change is sent alone.
    pub max_page_bytes: usize,
}

impl Settings {
    /// Derives the settings from the timing of a deployment.
    pub fn from_timing(timing: &Timing) -> Self {
        let confirm = timing.confirm();
        Settings {
            confirm_interval: confirm,
            pull_timeout: confirm / 2,
            max_parent_staleness: timing.confirm_bound() * 3 / 4,
            preferred_retry: confirm * 10,
            push_interval: Duration::from_millis(20),
            max_children: 24,
            child_expiry: confirm * 3,
            drift_percent: timing.drift_percent,
            max_page_bytes: 48 * 1024,
        }
    }
}

impl Default for Settings {
    fn default() -> Self {
        Settings::from_timing(&Timing::default())
    }
}
