//! Attempts that broke, while it is open whether their process ended.
//!
//! A link that is reset, an answer that is lost and a full back end that
//! resets look like a crash from the connection on which they happen. What
//! tells them apart is the process: one that answers something sent to it
//! later has not ended; one at whose address nobody, or another process,
//! listens has.

use std::collections::BTreeMap;
use std::time::Duration;

use threadledge_types::Timestamp;
use threadledge_types::deployment::BackEndName;

use crate::identity::RequestIdentity;

/// How long a break stays open: longer than it takes to find a silent back end
/// out, by a deadline and a connection that does not come up.
const OPEN: Duration = Duration::from_secs(10);
/// Breaks that are open at once at one process: more than run there at once.
const MOST_OPEN: usize = 32;

/// An attempt that broke.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BrokenAttempt {
    /// The request.
    pub identity: RequestIdentity,
    /// Method, host and path.
    pub label: String,
    /// The process that ran it.
    pub process: BackEndName,
    /// When it broke.
    pub at: Timestamp,
    /// It counts as a crash before it is known whether the process ended.
    pub presumed: bool,
}

/// Every break that is open, by process.
#[derive(Debug, Default)]
pub struct UnconfirmedCrashes {
    breaks: BTreeMap<BackEndName, Vec<BrokenAttempt>>,
}

impl UnconfirmedCrashes {
    /// An attempt broke. Says whether its process is to be looked at: the
    /// first break of a process calls for that, and those that follow wait for
    /// the same look.
    pub fn add(&mut self, found: BrokenAttempt) -> bool {
        let now = found.at;
        let is_open = |known: &BrokenAttempt| now.since(known.at) < OPEN;
        self.breaks.retain(|_, breaks| breaks.iter().any(is_open));
        let breaks = self.breaks.entry(found.process.clone()).or_default();
        breaks.retain(is_open);
        let first = breaks.is_empty();
        if breaks.len() < MOST_OPEN {
            breaks.push(found);
        }
        first
    }

    /// Whether a break of this process is open.
    pub fn contains(&self, process: &BackEndName) -> bool {
        self.breaks.contains_key(process)
    }

    /// Processes that may have ended under a request of this caller.
    pub fn possible_crashes(&self, identity: &RequestIdentity) -> usize {
        let open = self.breaks.values();
        open.filter(|breaks| breaks.iter().any(|known| known.identity == *identity))
            .count()
    }

    /// Breaks that are open and do not count as crashes yet.
    pub fn unpresumed(&self) -> impl Iterator<Item = &BrokenAttempt> {
        let open = self.breaks.values().flatten();
        open.filter(|found| !found.presumed)
    }

    /// The break of this request at this process counts as a crash from now on.
    pub fn mark_presumed(&mut self, process: &BackEndName, identity: &RequestIdentity) {
        let open = self.breaks.get_mut(process).into_iter().flatten();
        for found in open.filter(|found| found.identity == *identity) {
            found.presumed = true;
        }
    }

    /// Processes at which an attempt broke.
    pub fn processes(&self) -> Vec<BackEndName> {
        self.breaks.keys().cloned().collect()
    }

    /// The process answered something that was sent to it at `sent`.
    pub fn on_response(&mut self, sent: Timestamp, process: &BackEndName) {
        let Some(breaks) = self.breaks.get_mut(process) else {
            return;
        };
        breaks.retain(|known| known.at > sent);
        if breaks.is_empty() {
            self.breaks.remove(process);
        }
    }

    /// A request of this caller was answered: it does not end back ends.
    pub fn on_success(&mut self, identity: &RequestIdentity) {
        if self.breaks.is_empty() {
            return;
        }
        self.breaks.retain(|_, breaks| {
            breaks.retain(|known| known.identity != *identity);
            !breaks.is_empty()
        });
    }

    /// The process has ended: what broke at it was cut off by that.
    pub fn remove_ended(&mut self, process: &BackEndName) -> Vec<BrokenAttempt> {
        self.breaks.remove(process).unwrap_or_default()
    }
}
