//! Connections to one address.

use std::time::Duration;

use super::carried::{CarriedRequests, RequestIdentity};
use super::socket;
use crate::Instant;
use crate::buffered_stream::BufferedStream;

/// Time after a response without an id for which no connection to its peer is
/// reused, so that a further one answers the only request of its connection.
const NAMELESS_CAUTION: Duration = Duration::from_secs(60);

/// Connections to one address.
#[derive(Debug, Default)]
pub(super) struct AddressEntry {
    /// Connection limit; `None` if that of the pool applies.
    pub(super) limit: Option<usize>,
    /// Number of connections in use.
    pub(super) in_use: usize,
    /// Idle connections, most recently used last. The last one is taken first.
    pub(super) idle: Vec<IdleConnection>,
    /// Start times of exchanges on reused connections on which nothing has been
    /// received yet.
    pub(super) awaiting_response: Vec<Instant>,
    /// Connections idle since this time or earlier are suspect, because a
    /// connection that had been idle as long turned out to be dead.
    pub(super) suspect_until: Option<Instant>,
    /// Time of the latest response that did not name its request although it
    /// had to.
    pub(super) nameless_at: Option<Instant>,
}

/// A connection that waits for its next request.
#[derive(Debug)]
pub(super) struct IdleConnection {
    pub(super) buffered: BufferedStream,
    /// Start of the wait.
    pub(super) since: Instant,
    /// Requests that it has carried.
    pub(super) carried: CarriedRequests,
}

/// Which idle connections a demand accepts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Reuse {
    /// Any.
    Any,
    /// Those that have not lately carried this request.
    Without(RequestIdentity),
    /// None.
    Never,
}

impl IdleConnection {
    /// Closes gracefully: nothing is waiting to be sent, and the peer should
    /// not see an error.
    pub(super) fn close(self) {
        if let Err(error) = socket::close_gracefully(self.buffered.stream()) {
            tracing::debug!(%error, "closing an idle connection resets it");
        }
    }
}

impl AddressEntry {
    pub(super) fn is_unused(&self) -> bool {
        self.in_use == 0
            && self.idle.is_empty()
            && self.limit.is_none()
            && self.awaiting_response.is_empty()
            && !self.is_nameless()
    }

    /// Whether the peer has lately omitted the id in a response.
    pub(super) fn is_nameless(&self) -> bool {
        self.nameless_at
            .is_some_and(|at| at.elapsed() < NAMELESS_CAUTION)
    }

    /// Removes and returns the most recently used idle connection that the
    /// demand accepts.
    pub(super) fn take_idle(&mut self, reuse: Reuse) -> Option<IdleConnection> {
        let is_accepted = |idle: &IdleConnection| match reuse {
            Reuse::Any => true,
            Reuse::Without(request) => !idle.carried.contains(request),
            Reuse::Never => false,
        };
        let position = self.idle.iter().rposition(is_accepted)?;
        Some(self.idle.remove(position))
    }

    /// Removes and returns the suspect idle connections, which are then closed.
    pub(super) fn take_suspect(
        &mut self,
        suspect_idle_after: Option<Duration>,
    ) -> Vec<IdleConnection> {
        let silent_since = suspect_idle_after.and_then(|after| Instant::now().checked_sub(after));
        let silent = self.awaiting_response.iter().copied();
        let silent = silent.filter(|since| silent_since.is_some_and(|before| *since <= before));
        let suspect_until = silent.chain(self.suspect_until).max();
        let is_suspect = |idle: &IdleConnection| {
            suspect_until.is_some_and(|suspect_until| idle.since <= suspect_until)
        };
        let count = self.idle.iter().take_while(|idle| is_suspect(idle)).count();
        self.idle.drain(..count).collect()
    }

    /// Records the end of an exchange on a reused connection that began at
    /// `since`. After a silent one, connections idle since before are suspect.
    pub(super) fn end_exchange(&mut self, since: Instant, silent: bool) {
        let mut starts = self.awaiting_response.iter();
        if let Some(position) = starts.position(|start| *start == since) {
            self.awaiting_response.swap_remove(position);
        }
        if silent {
            self.suspect_until = self.suspect_until.max(Some(since));
        }
    }
}
