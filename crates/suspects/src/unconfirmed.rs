//! Attempts that broke, while it is open whether their process ended.
//!
//! A link that is reset, an answer that is lost and a full back end that
//! resets look like a crash from the connection on which they happen. What
//! tells them apart is the process: one that answers something sent to it
//! later has not ended; one at whose address nobody, or another process,
//! listens has.

use std::collections::BTreeSet;
use std::time::Duration;

use threadledge_types::Timestamp;
use threadledge_types::deployment::BackEndName;

use crate::identity::RequestIdentity;

/// How long a break stays open: longer than it takes to find a silent back end
/// out, by a deadline and a connection that does not come up.
const OPEN: Duration = Duration::from_secs(10);
/// Breaks that are open at once; the oldest goes first.
const MOST_OPEN: usize = 256;

/// An attempt that broke.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Break {
    /// The request.
    pub identity: RequestIdentity,
    /// Method, host and path.
    pub label: String,
    /// The process that ran it.
    pub process: BackEndName,
    /// When it broke.
    pub at: Timestamp,
}

/// Every break that is open.
#[derive(Debug, Default)]
pub struct Unconfirmed {
    breaks: Vec<Break>,
}

impl Unconfirmed {
    /// Breaks that are open.
    pub fn len(&self) -> usize {
        self.breaks.len()
    }

    /// Whether none is.
    pub fn is_empty(&self) -> bool {
        self.breaks.is_empty()
    }

    /// An attempt broke. Says whether its process is to be looked at: the
    /// first break of a process calls for that, and those that follow wait for
    /// the same look.
    pub fn broke(&mut self, found: Break) -> bool {
        let now = found.at;
        self.breaks.retain(|known| now.since(known.at) < OPEN);
        if self.breaks.len() >= MOST_OPEN {
            self.breaks.remove(0);
        }
        let mut known = self.breaks.iter();
        let first = !known.any(|known| known.process == found.process);
        self.breaks.push(found);
        first
    }

    /// Processes that may have ended under a request, as breaks of it that
    /// are open say.
    pub fn count(&self, identity: &RequestIdentity) -> usize {
        let open = self.breaks.iter();
        open.filter(|known| known.identity == *identity).count()
    }

    /// Processes at which an attempt broke.
    pub fn processes(&self) -> BTreeSet<BackEndName> {
        let processes = self.breaks.iter().map(|known| &known.process);
        processes.cloned().collect()
    }

    /// The process answered something that was sent to it at `sent`.
    pub fn answered(&mut self, sent: Timestamp, process: &BackEndName) {
        self.breaks
            .retain(|known| known.process != *process || known.at > sent);
    }

    /// The process has ended: what broke at it was cut off by that.
    pub fn ended(&mut self, process: &BackEndName) -> Vec<Break> {
        let (ended, open) = std::mem::take(&mut self.breaks)
            .into_iter()
            .partition(|known| known.process == *process);
        self.breaks = open;
        ended
    }
}
