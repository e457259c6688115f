//! Settings that two routers must share before either believes the other.
//!
//! Kept here: *one owner per key*. A leader waits until the leases that
//! earlier leaders gave have run out, and a voter grants no vote while the
//! leader lease may hold. Both are counted by the router's own settings, so
//! that they only mean something among routers with the same ones. Routers
//! that differ exchange nothing: neither ever votes for, follows or replaces
//! the other. docs/design/0012-safety-settings.md has the ways weighed.

use std::fmt;

use http_types::Url;
use thiserror::Error;
use threadledge_types::Timing;

/// Query parameter of the lease length.
const LEASE: &str = "lease-ms";
/// Query parameter of the clocks' drift.
const DRIFT: &str = "drift-percent";
/// Query parameter of the shortest election timeout, which bounds the leader
/// lease.
const ELECTION: &str = "election-min-ms";

/// The settings on which *one owner per key* rests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SafetySettings {
    /// Length of a session lease, in milliseconds.
    pub lease_ms: u64,
    /// Largest difference in rate between two clocks, in percent.
    pub drift_percent: u64,
    /// Shortest election timeout, in milliseconds.
    pub election_min_ms: u64,
}

/// Why a batch of another router is not looked at.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum SafetyError {
    /// The request does not state the sender's settings.
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
    /// The safety settings among the durations.
    pub fn from_timing(timing: &Timing) -> Self {
        SafetySettings {
            lease_ms: timing.lease_ms,
            drift_percent: timing.drift_percent,
            election_min_ms: timing.election_min_ms,
        }
    }

    /// `path` with the settings as query parameters.
    pub fn add_to_path(&self, path: &str) -> String {
        let SafetySettings {
            lease_ms,
            drift_percent,
            election_min_ms,
        } = self;
        format!("{path}?{LEASE}={lease_ms}&{DRIFT}={drift_percent}&{ELECTION}={election_min_ms}")
    }

    /// Compares with what the sender of a request stated.
    ///
    /// # Errors
    ///
    /// The sender stated nothing, or other settings.
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
