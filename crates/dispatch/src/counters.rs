//! Counts of what a dispatcher did.

use std::collections::BTreeMap;

use crate::outcome::{RefusalReason, UnknownReason};

/// Counts since the start.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Requests that began.
    pub begun: u64,
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
