//! Settings that two routers must share before they accept each other's
//! messages.
//!
//! Invariant: *one owner per key*. A leader waits until the leases granted by
//! earlier leaders have expired, and a voter grants no vote while the leader
//! lease may be valid. Each router computes both times from its own settings,
//! so they are correct only among routers with the same settings. Routers with
//! different settings exchange no messages: neither ever votes for, follows or
//! replaces the other. docs/design/0012-safety-settings.md discusses the
//! alternatives.

use std::fmt;

use http_types::Url;
use thiserror::Error;
use threadledge_types::Timing;

/// Query parameter of the lease length.
const LEASE: &str = "lease-ms";
/// Query parameter of the maximum clock drift.
const DRIFT: &str = "drift-percent";
/// Query parameter of the minimum election timeout, which limits the leader
/// lease.
const ELECTION: &str = "election-min-ms";

/// The settings on which the invariant *one owner per key* depends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SafetySettings {
    /// Length of a session lease, in milliseconds.
    pub lease_ms: u64,
    /// Maximum difference in rate between two clocks, in percent.
    pub drift_percent: u64,
    /// Minimum election timeout, in milliseconds.
    pub election_min_ms: u64,
}

/// Reason why a batch of another router is refused.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum SafetyError {
    /// The request lacks one of the sender's settings.
    #[error(
        "the safety setting '{0}' of the sender is missing; run the same version on every router of the region"
    )]
    Missing(&'static str),
    /// The settings differ.
    #[error(
        "the safety settings differ: {theirs} at the sender, {own} here; give every router of the region the same"
    )]
    Differ {
        /// Settings of the sender.
        theirs: SafetySettings,
        /// Settings of this router.
        own: SafetySettings,
    },
}

impl SafetySettings {
    /// Extracts the safety settings from the timing settings.
    pub fn from_timing(timing: &Timing) -> Self {
        SafetySettings {
            lease_ms: timing.lease_ms,
            drift_percent: timing.drift_percent,
            election_min_ms: timing.election_min_ms,
        }
    }

    /// Returns `path` with the settings as query parameters.
    pub fn add_to_path(&self, path: &str) -> String {
        let SafetySettings {
            lease_ms,
            drift_percent,
            election_min_ms,
        } = self;
        format!("{path}?{LEASE}={lease_ms}&{DRIFT}={drift_percent}&{ELECTION}={election_min_ms}")
    }

    /// Compares the settings with those in the URL of a request.
    ///
    /// # Errors
    ///
    /// Fails if a setting is missing from the URL or differs.
    pub fn check(&self, url: &Url) -> Result<(), SafetyError> {
        let theirs = SafetySettings {
            lease_ms: parameter(url, LEASE)?,
            drift_percent: parameter(url, DRIFT)?,
            election_min_ms: parameter(url, ELECTION)?,
        };
        if theirs == *self {
            return Ok(());
        }
        Err(SafetyError::Differ { theirs, own: *self })
    }
}

impl fmt::Display for SafetySettings {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let SafetySettings {
            lease_ms,
            drift_percent,
            election_min_ms,
        } = self;
        write!(
            formatter,
            "{LEASE} {lease_ms}, {DRIFT} {drift_percent}, {ELECTION} {election_min_ms}"
        )
    }
}

fn parameter(url: &Url, name: &'static str) -> Result<u64, SafetyError> {
    let mut pairs = url.query_pairs();
    let value = pairs.find(|(known, _)| known == name);
    let value = value.and_then(|(_, value)| value.parse().ok());
    value.ok_or(SafetyError::Missing(name))
}
