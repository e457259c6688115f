//! What the grantor knows about one back end.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use threadledge_types::records::SliceKey;
use threadledge_types::session::Grant;
use threadledge_types::{Incarnation, Revision, SessionId, Timestamp};

use super::holdings::Holdings;

/// A reading of the holder's clock.
#[derive(Clone, Copy, Debug)]
pub(super) struct Reading {
    pub incarnation: Incarnation,
    /// By the holder's clock.
    pub holder_time: Timestamp,
    /// When it arrived, by the grantor's clock: it was taken before.
    pub received_at: Timestamp,
    /// The process announced that it is leaving.
    pub draining: bool,
}

/// A request that awaits its answer.
#[derive(Clone, Copy, Debug)]
pub(super) struct Outstanding {
    pub sequence: u64,
    pub sent_at: Timestamp,
}

/// A session that this grantor gives grants to.
#[derive(Clone, Debug)]
pub(super) struct GrantedSession {
    pub id: SessionId,
    pub opened: Revision,
    pub holdings: Holdings,
}

/// One back end.
#[derive(Clone, Debug)]
pub(super) struct Contact {
    pub address: SocketAddr,
    /// Number of the last request sent.
    pub sequence: u64,
    /// Number of the first request sent to the present address.
    pub first_sequence: u64,
    /// Number of the latest request that was answered.
    pub answered: u64,
    pub outstanding: Option<Outstanding>,
    /// When the next request is due.
    pub next_send: Timestamp,
    /// A change waits to be sent.
    pub changed: bool,
    /// When the first of the requests without answer was sent.
    pub unanswered_since: Option<Timestamp>,
    /// It was reported as not answering.
    pub reported_silent: bool,
    pub reading: Option<Reading>,
    /// When the last lease that any request so far may have given is over,
    /// by the grantor's clock.
    pub lease_bound: Timestamp,
    pub session: Option<GrantedSession>,
    /// Session (by its opening) whose end was proposed. It is never renewed
    /// again.
    pub closing: Option<Revision>,
    /// When a command about the session was proposed last.
    pub proposed_at: Option<Timestamp>,
    /// Slices that the back end is ready to own.
    pub ready: BTreeSet<Grant>,
    /// Slices withheld from the session whose release is not confirmed.
    pub withheld: BTreeSet<SliceKey>,
    /// When this contact is scheduled.
    pub scheduled: Option<Timestamp>,
}

impl Contact {
    pub fn new(address: SocketAddr, next_send: Timestamp, lease_bound: Timestamp) -> Self {
        Contact {
            address,
            sequence: 0,
            first_sequence: 1,
            answered: 0,
            outstanding: None,
            next_send,
            changed: false,
            unanswered_since: None,
            reported_silent: false,
            reading: None,
            lease_bound,
            session: None,
            closing: None,
            proposed_at: None,
            ready: BTreeSet::new(),
            withheld: BTreeSet::new(),
            scheduled: None,
        }
    }

    /// Moves to another address: nothing heard before counts any more.
    pub fn move_to(&mut self, address: SocketAddr, now: Timestamp) {
        self.address = address;
        self.first_sequence = self.sequence + 1;
        self.outstanding = None;
        self.reading = None;
        self.ready.clear();
        self.next_send = now;
    }

    /// When the next request is due: at most one is outstanding.
    pub fn send_due(&self, now: Timestamp, retry: Duration) -> Timestamp {
        match self.outstanding {
            Some(outstanding) => outstanding.sent_at + retry,
            None if self.changed => now,
            None => self.next_send,
        }
    }

    /// Asks for a request as soon as none is outstanding.
    pub fn mark_changed(&mut self) {
        self.changed = true;
    }

    /// Life of the process that answered last.
    pub fn incarnation(&self) -> Option<Incarnation> {
        self.reading.map(|reading| reading.incarnation)
    }
}
