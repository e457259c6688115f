//! Counts of what a dispatcher did.

use std::collections::BTreeMap;

use threadledge_types::deployment::ServiceName;

use crate::outcome::{RefusalReason, UnknownReason};

/// Retries of one service since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RetryCounts {
    /// Retries that were sent to a back end.
    pub sent: u64,
    /// Retries that the budget did not allow.
    pub denied: u64,
    /// Retries that were allowed and never left.
    pub given_back: u64,
    /// Of those, the ones that were allowed more than a second before.
    pub given_back_late: u64,
}

/// The budget of a service did not allow retries.
#[derive(Clone, Debug, PartialEq)]
pub struct RetryDenials {
    /// The service.
    pub service: ServiceName,
    /// Retries denied since the denial that was told before.
    pub denied: u64,
    /// Requests of the window.
    pub requests: u32,
    /// Retries of the window.
    pub retries: u32,
    /// Retries that this router may make in a window beside those that its
    /// requests allow.
    pub slack: f64,
    /// Routers that share the slack of the fleet, as far as it is known.
    pub routers: Option<u32>,
}

/// Counts since the start.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Requests that began.
    pub started: u64,
    /// Requests that a back end answered.
    pub answered: u64,
    /// Requests that were refused, by reason.
    pub refused: BTreeMap<RefusalReason, u64>,
    /// Requests of which nobody knows whether they ran, by reason.
    pub unknown: BTreeMap<UnknownReason, u64>,
    /// Requests whose caller left.
    pub abandoned: u64,
    /// Attempts made.
    pub attempts: u64,
    /// Attempts beyond the first that arrived at a back end.
    pub repeats: u64,
    /// Repeats made beside an attempt that had no answer yet.
    pub hedges: u64,
    /// Repeats that the retry budget did not allow.
    pub repeats_denied: u64,
    /// Times that a back end was left alone for a while.
    pub ejections: u64,
    /// Processes that ended while they ran a request from here.
    pub crashes: u64,
}
