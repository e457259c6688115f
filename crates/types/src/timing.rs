//! Intervals and timeouts that the safety of leases and elections depends on.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Intervals and timeouts, the same on every router of a deployment.
///
/// `lease_ms` and `drift_percent` are safety settings: grantor and holder must
/// agree on them, so the grantor sends the lease length with each renewal.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct Timing {
    /// Interval between session renewals, in milliseconds.
    pub renewal_ms: u64,
    /// Length of a session lease, in milliseconds.
    pub lease_ms: u64,
    /// Largest difference in rate between the clocks of two machines, in
    /// percent.
    pub drift_percent: u64,
    /// Shortest election timeout, in milliseconds.
    pub election_min_ms: u64,
    /// Longest election timeout, in milliseconds.
    pub election_max_ms: u64,
    /// Interval between leader heartbeats, in milliseconds.
    pub heartbeat_ms: u64,
    /// Interval at which a router confirms its revision with its parent in the
    /// distribution tree, in milliseconds.
    pub confirm_ms: u64,
    /// Time without confirmation after which a router stops taking new
    /// requests, in milliseconds.
    pub confirm_bound_ms: u64,
}

impl Default for Timing {
    fn default() -> Self {
        Timing {
            renewal_ms: 500,
            lease_ms: 2_000,
            drift_percent: 5,
            election_min_ms: 400,
            election_max_ms: 800,
            heartbeat_ms: 100,
            confirm_ms: 500,
            confirm_bound_ms: 4_000,
        }
    }
}

impl Timing {
    /// Returns the interval between session renewals.
    pub fn renewal(&self) -> Duration {
        Duration::from_millis(self.renewal_ms)
    }

    /// Returns the lease length by the holder's clock.
    pub fn lease(&self) -> Duration {
        Duration::from_millis(self.lease_ms)
    }

    /// Returns the lease length by the grantor's clock. The holder's clock may
    /// run slower by `drift_percent`, so the grantor waits that much longer.
    pub fn lease_with_drift(&self) -> Duration {
        Duration::from_micros(self.lease_ms * 10 * (100 + self.drift_percent))
    }

    /// Returns the shortest election timeout.
    pub fn election_min(&self) -> Duration {
        Duration::from_millis(self.election_min_ms)
    }

    /// Returns the longest election timeout.
    pub fn election_max(&self) -> Duration {
        Duration::from_millis(self.election_max_ms)
    }

    /// Returns the length of the leader lease that a quorum of heartbeat
    /// responses gives. The leader counts it from the time before it sent the
    /// heartbeats.
    pub fn leader_lease(&self) -> Duration {
        Duration::from_micros(self.election_min_ms * 10 * (100 - self.drift_percent))
    }

    /// Returns the interval between leader heartbeats.
    pub fn heartbeat(&self) -> Duration {
        Duration::from_millis(self.heartbeat_ms)
    }

    /// Returns the interval between revision confirmations.
    pub fn confirm(&self) -> Duration {
        Duration::from_millis(self.confirm_ms)
    }

    /// Returns the time without confirmation after which a router stops taking
    /// new requests.
    pub fn confirm_bound(&self) -> Duration {
        Duration::from_millis(self.confirm_bound_ms)
    }
}
