//! Counters of a dispatcher.

use std::collections::BTreeMap;
use std::time::Duration;

use threadledge_types::deployment::ServiceName;

use crate::outcome::{RefusalReason, UnknownReason};

/// Retries of one service since the process started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RetryCounts {
    /// Retries that were sent to a back end.
    pub sent: u64,
    /// Retries that the budget denied.
    pub denied: u64,
    /// Retries that the budget allowed but that were never sent.
    pub given_back: u64,
    /// The part of `given_back` that was allowed more than a second earlier.
    pub given_back_late: u64,
}

/// The retries of a service that its budget allowed since the last report.
#[derive(Clone, Debug, PartialEq)]
pub struct AllowedRetries {
    /// The service.
    pub service: ServiceName,
    /// Number of allowed retries since the last report.
    pub allowed: u64,
    /// Retries sent to a back end since the last report.
    pub sent: u64,
    /// The part of the allowed retries that was charged to the slack.
    pub from_slack: f64,
    /// Age of the oldest request whose part of the ratio paid for one of them.
    pub oldest_request: Duration,
}

/// The retries of a service that its budget denied since the last report.
#[derive(Clone, Debug, PartialEq)]
pub struct RetryDenials {
    /// The service.
    pub service: ServiceName,
    /// Number of denied retries since the last report.
    pub denied: u64,
    /// Requests in the budget's window.
    pub requests: u32,
    /// Retries in the budget's window.
    pub retries: u32,
    /// Retries that this router may send in a window in addition to the ratio
    /// of its requests.
    pub slack: f64,
    /// Number of routers that share the slack, if known.
    pub routers: Option<u32>,
}

/// Counts since the process started.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Requests that were started.
    pub started: u64,
    /// Requests that a back end answered.
    pub answered: u64,
    /// Requests that were refused, by reason.
    pub refused: BTreeMap<RefusalReason, u64>,
    /// Requests that may or may not have run, by reason.
    pub unknown: BTreeMap<UnknownReason, u64>,
    /// Requests whose caller disconnected before a response.
    pub abandoned: u64,
    /// Attempts that were started.
    pub attempts: u64,
    /// Attempts after the first of a request that may have reached a back end.
    pub repeats: u64,
    /// Hedged attempts: those started while another attempt was in flight.
    pub hedges: u64,
    /// Repeated attempts that the retry budget denied.
    pub repeats_denied: u64,
    /// Times that a back end was ejected.
    pub ejections: u64,
    /// Processes that crashed while they ran a request of this router.
    pub crashes: u64,
}
