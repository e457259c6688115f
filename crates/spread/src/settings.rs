//! Settings of the spreading of records.

use std::time::Duration;

use threadledge_types::Timing;

/// Settings of a [`SpreadNode`](crate::SpreadNode).
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Interval at which a router pulls from its parent.
    pub confirm_interval: Duration,
    /// A pull without answer for this long goes to the next candidate.
    pub pull_timeout: Duration,
    /// A parent whose own confirmation is older than this is left for the
    /// next candidate.
    pub max_parent_staleness: Duration,
    /// A router that does not pull from its preferred parent tries it again
    /// after this time.
    pub preferred_retry: Duration,
    /// Shortest time between two rounds of pushes.
    pub push_interval: Duration,
    /// Most children served at once; others are refused as busy.
    pub max_children: usize,
    /// A child that did not pull for this long is forgotten.
    pub child_expiry: Duration,
    /// Largest difference in rate between two machines' clocks, in percent.
    pub drift_percent: u64,
    /// Most bytes of changes in one message, as JSON. A single change larger
    /// than this travels alone.
    pub max_page_bytes: usize,
}

impl Settings {
    /// Settings that follow from the timing of a deployment.
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
