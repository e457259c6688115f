//! Which back ends this gateway can connect to itself.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use threadledge_types::Timestamp;

/// Time from a failed check of a lost path to the next one.
const CHECK_INTERVAL: Duration = Duration::from_millis(300);
/// Most lost paths that are checked in one [`CHECK_INTERVAL`]. Once one of them
/// works again, all are checked at once.
const CHECKS_PER_INTERVAL: usize = 6;
/// Most paths that are checked at once after a silence.
const CHECKS_AFTER_SILENCE: usize = 64;
/// Shortest time between two checks of the same path after silences.
const SILENCE_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Time for which a contact shows that a path works.
const CONTACT_VALIDITY: Duration = Duration::from_millis(200);

/// A witness reaches at least one in this many back ends of a service: fewer
/// than all end at once, while a gateway that is cut off loses nearly all.
const MIN_WITNESS_SHARE: usize = 3;

/// What shows that a path is lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Evidence {
    /// The connection was refused or reset while it was opened.
    Refused,
    /// No connection was established in time.
    Timeout,
}

impl Evidence {
    /// Returns the name used in logs.
    pub const fn as_str(self) -> &'static str {
        match self {
            Evidence::Refused => "refused",
            Evidence::Timeout => "timeout",
        }
    }
}

/// A path that was lost or works again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PathChange {
    /// No connection could be opened.
    Lost {
        /// Address of the back end.
        address: SocketAddr,
        /// What showed it.
        evidence: Evidence,
    },
    /// A connection could be opened again.
    Restored {
        /// Address of the back end.
        address: SocketAddr,
        /// Time since the path was lost.
        after: Duration,
    },
}

/// The path to one back end.
#[derive(Clone, Copy, Debug, Default)]
struct DirectPath {
    /// When the path was lost, unless it works.
    lost_since: Option<Timestamp>,
    /// When the back end last answered or accepted a connection.
    last_contact: Option<Timestamp>,
    next_check: Timestamp,
    /// A check is running.
    checking: bool,
}

/// The paths to all back ends that were contacted, by address.
#[derive(Debug, Default)]
pub struct DirectPaths {
    paths: HashMap<SocketAddr, DirectPath>,
    /// When any back end last answered or accepted a connection.
    last_contact: Option<Timestamp>,
    next_round: Timestamp,
    changes: Vec<PathChange>,
}

impl DirectPaths {
    /// Returns whether the last attempt to connect to a back end failed.
    pub fn is_lost(&self, address: SocketAddr) -> bool {
        let path = self.paths.get(&address);
        path.is_some_and(|path| path.lost_since.is_some())
    }

    /// Returns whether a back end has answered or accepted a connection within
    /// [`CONTACT_VALIDITY`], so that its path surely works.
    pub fn is_proven(&self, now: Timestamp, address: SocketAddr) -> bool {
        let path = self.paths.get(&address);
        let contact = path.and_then(|path| path.last_contact);
        contact.is_some_and(|contact| now.since(contact) < CONTACT_VALIDITY)
    }

    /// Returns whether this gateway is a witness for the end of a back end of
    /// the service with these addresses: it has not lost too many of its own
    /// paths to them.
    pub fn is_witness(&self, service: &[SocketAddr]) -> bool {
        let lost = service.iter().filter(|address| self.is_lost(**address));
        let working = service.len() - lost.count();
        working * MIN_WITNESS_SHARE >= service.len()
    }

    /// Records that a connection to a back end was opened.
    pub fn on_connected(&mut self, now: Timestamp, address: SocketAddr) {
        self.on_answer(now, address);
        let path = self.paths.entry(address).or_default();
        path.checking = false;
        let Some(since) = path.lost_since.take() else {
            return;
        };
        let after = now.since(since);
        self.changes.push(PathChange::Restored { address, after });
        // Where one path works again, the others probably do.
        for path in self.paths.values_mut() {
            path.next_check = now;
        }
        self.next_round = now;
    }

    /// Records that a back end answered on any connection. This does not
    /// restore a lost path: open connections may outlive the ability to open
    /// new ones.
    pub fn on_answer(&mut self, now: Timestamp, address: SocketAddr) {
        self.paths.entry(address).or_default().last_contact = Some(now);
        self.last_contact = Some(now);
    }

    /// Records that no connection to a back end could be opened.
    pub fn on_connect_failed(&mut self, now: Timestamp, address: SocketAddr, evidence: Evidence) {
        let path = self.paths.entry(address).or_default();
        path.checking = false;
        path.next_check = now + CHECK_INTERVAL;
        if path.lost_since.is_none() {
            path.lost_since = Some(now);
            self.changes.push(PathChange::Lost { address, evidence });
        }
    }

    /// Records that a check was not made, because no further connection to the
    /// back end is allowed.
    pub fn on_check_skipped(&mut self, now: Timestamp, address: SocketAddr) {
        if let Some(path) = self.paths.get_mut(&address) {
            path.checking = false;
            path.next_check = now + CHECK_INTERVAL;
        }
    }

    /// Handles a request that was sent over an old connection at `sent` and has
    /// no answer yet. Returns the back ends to which a new connection should be
    /// opened to check the path: this one and, if none has answered since,
    /// the others.
    pub fn on_silence(
        &mut self,
        now: Timestamp,
        address: SocketAddr,
        sent: Timestamp,
    ) -> Vec<SocketAddr> {
        let total_silence = self.last_contact.is_none_or(|contact| contact <= sent);
        let mut checks = Vec::new();
        for (other, path) in &mut self.paths {
            let silent = path.last_contact.is_none_or(|contact| contact <= sent);
            let wanted = silent && (*other == address || total_silence);
            let due = path.lost_since.is_none() && !path.checking && path.next_check <= now;
            if wanted && due && checks.len() < CHECKS_AFTER_SILENCE {
                path.checking = true;
                path.next_check = now + SILENCE_CHECK_INTERVAL;
                checks.push(*other);
            }
        }
        checks
    }

    /// Returns the lost paths to check now. Each check must be followed by
    /// [`DirectPaths::on_connected`] or [`DirectPaths::on_connect_failed`].
    pub fn take_due_checks(&mut self, now: Timestamp) -> Vec<SocketAddr> {
        if now < self.next_round {
            return Vec::new();
        }
        self.next_round = now + CHECK_INTERVAL;
        let is_due = |path: &DirectPath| {
            path.lost_since.is_some() && !path.checking && path.next_check <= now
        };
        let mut due: Vec<(Timestamp, SocketAddr)> = self
            .paths
            .iter()
            .filter(|(_, path)| is_due(path))
            .map(|(address, path)| (path.next_check, *address))
            .collect();
        due.sort();
        // After a success all are due at the same moment.
        let restored = due.iter().filter(|(at, _)| *at == now).count();
        due.truncate(CHECKS_PER_INTERVAL.max(restored));
        let due: Vec<SocketAddr> = due.into_iter().map(|(_, address)| address).collect();
        for address in &due {
            if let Some(path) = self.paths.get_mut(address) {
                path.checking = true;
            }
        }
        due
    }

    /// Returns when the next lost path is to be checked; `None` if none is
    /// lost.
    pub fn next_check(&self) -> Option<Timestamp> {
        let lost = self.paths.values();
        let lost = lost.filter(|path| path.lost_since.is_some() && !path.checking);
        let next = lost.map(|path| path.next_check).min()?;
        Some(next.max(self.next_round))
    }

    /// Forgets a back end that is no longer registered.
    pub fn forget(&mut self, address: SocketAddr) {
        self.paths.remove(&address);
    }

    /// Returns and clears the changes since the last call.
    pub fn take_changes(&mut self) -> Vec<PathChange> {
        std::mem::take(&mut self.changes)
    }
}
