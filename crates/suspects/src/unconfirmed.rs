//! Broken attempts for which it is not known yet whether their process crashed.
//!
//! A reset link, a lost response and an overloaded back end that resets
//! connections all look like a crash from the connection. The process tells
//! them apart: if it responds to something sent later, it has not crashed; if
//! nothing, or another process, listens at its address, it has.

use std::collections::BTreeMap;
use std::time::Duration;

use threadledge_types::Timestamp;
use threadledge_types::deployment::BackEndName;

use crate::identity::RequestIdentity;

/// How long a broken attempt stays open. It is longer than the detection of an
/// unresponsive back end, which takes a deadline and a failed connection
/// attempt.
const OPEN_PERIOD: Duration = Duration::from_secs(10);
/// Maximum number of open broken attempts per process; more than run there at
/// the same time.
const MAX_OPEN: usize = 32;

/// Attempt whose connection broke or timed out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BrokenAttempt {
    /// Request and caller.
    pub identity: RequestIdentity,
    /// Method, host and path.
    pub label: String,
    /// Process that ran the request.
    pub process: BackEndName,
    /// When the attempt broke.
    pub at: Timestamp,
    /// Whether it counts as a crash before it is known whether the process
    /// crashed.
    pub presumed: bool,
}

/// Open broken attempts per process.
#[derive(Debug, Default)]
pub struct UnconfirmedCrashes {
    attempts: BTreeMap<BackEndName, Vec<BrokenAttempt>>,
}

impl UnconfirmedCrashes {
    /// Adds a broken attempt and returns whether its process has to be checked.
    /// The first one of a process starts a check, and later ones wait for its
    /// result.
    pub fn add(&mut self, attempt: BrokenAttempt) -> bool {
        let now = attempt.at;
        let is_open = |known: &BrokenAttempt| now.since(known.at) < OPEN_PERIOD;
        self.attempts
            .retain(|_, attempts| attempts.iter().any(is_open));
        let attempts = self.attempts.entry(attempt.process.clone()).or_default();
        attempts.retain(is_open);
        let first = attempts.is_empty();
        if attempts.len() < MAX_OPEN {
            attempts.push(attempt);
        }
        first
    }

    /// Whether the process has an open broken attempt.
    pub fn contains(&self, process: &BackEndName) -> bool {
        self.attempts.contains_key(process)
    }

    /// Counts the processes that may have crashed under a request of this
    /// caller.
    pub fn possible_crashes(&self, identity: &RequestIdentity) -> usize {
        let open = self.attempts.values();
        open.filter(|attempts| attempts.iter().any(|known| known.identity == *identity))
            .count()
    }

    /// Returns the open broken attempts that do not count as crashes yet.
    pub fn not_presumed(&self) -> impl Iterator<Item = &BrokenAttempt> {
        let open = self.attempts.values().flatten();
        open.filter(|attempt| !attempt.presumed)
    }

    /// Counts the broken attempts of this request at this process as crashes
    /// from now on.
    pub fn mark_presumed(&mut self, process: &BackEndName, identity: &RequestIdentity) {
        let open = self.attempts.get_mut(process).into_iter().flatten();
        for attempt in open.filter(|attempt| attempt.identity == *identity) {
            attempt.presumed = true;
        }
    }

    /// Returns the processes with open broken attempts.
    pub fn processes(&self) -> Vec<BackEndName> {
        self.attempts.keys().cloned().collect()
    }

    /// Removes broken attempts disproved by a response of the process to
    /// something sent at `sent`.
    pub fn on_response(&mut self, sent: Timestamp, process: &BackEndName) {
        let Some(attempts) = self.attempts.get_mut(process) else {
            return;
        };
        attempts.retain(|known| known.at > sent);
        if attempts.is_empty() {
            self.attempts.remove(process);
        }
    }

    /// Removes broken attempts of a request that succeeded for this caller,
    /// because it does not crash back ends.
    pub fn on_success(&mut self, identity: &RequestIdentity) {
        if self.attempts.is_empty() {
            return;
        }
        self.attempts.retain(|_, attempts| {
            attempts.retain(|known| known.identity != *identity);
            !attempts.is_empty()
        });
    }

    /// Removes and returns the broken attempts of a process that has crashed,
    /// which explains them.
    pub fn remove_ended(&mut self, process: &BackEndName) -> Vec<BrokenAttempt> {
        self.attempts.remove(process).unwrap_or_default()
    }
}
