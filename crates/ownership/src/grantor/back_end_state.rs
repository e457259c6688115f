//! State that the grantor keeps for one back end.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use threadledge_types::records::SliceKey;
use threadledge_types::session::Grant;
use threadledge_types::{Incarnation, Revision, SessionId, Timestamp};

use super::session_grants::SessionGrants;

/// A reading of the holder's clock, from a response.
#[derive(Clone, Copy, Debug)]
pub(super) struct ClockReading {
    pub incarnation: Incarnation,
    /// The reading, by the holder's clock.
    pub holder_time: Timestamp,
    /// Time at which the response arrived, by the grantor's clock. The reading
    /// was taken before.
    pub received_at: Timestamp,
    /// The process announced that it is draining.
    pub draining: bool,
}

/// A request whose response has not arrived.
#[derive(Clone, Copy, Debug)]
pub(super) struct InFlightRequest {
    pub sequence: u64,
    pub sent_at: Timestamp,
}

/// A session to which this grantor sends grants.
#[derive(Clone, Debug)]
pub(super) struct GrantedSession {
    pub id: SessionId,
    /// Revision at which the session opened.
    pub opened: Revision,
    pub grants: SessionGrants,
}

/// State of one back end as far as the grantor knows it.
#[derive(Clone, Debug)]
pub(super) struct BackEndState {
    pub address: SocketAddr,
    /// Sequence number of the last request sent.
    pub sequence: u64,
    /// Sequence number of the first request sent to the current address.
    pub first_sequence: u64,
    /// Sequence number of the latest request that was answered.
    pub last_answered: u64,
    pub in_flight: Option<InFlightRequest>,
    /// Time at which the next request is due.
    pub next_send: Timestamp,
    /// A change is waiting to be sent.
    pub has_changes: bool,
    /// Time at which the first unanswered request was sent.
    pub unanswered_since: Option<Timestamp>,
    /// The back end was reported as unreachable.
    pub reported_unreachable: bool,
    /// Latest reading of the holder's clock.
    pub reading: Option<ClockReading>,
    /// Upper bound, by the grantor's clock, of the expiry of any lease that
    /// requests so far may have granted.
    pub lease_expiry_bound: Timestamp,
    pub session: Option<GrantedSession>,
    /// Opening revision of the session whose closing was proposed. It is never
    /// renewed again.
    pub closing: Option<Revision>,
    /// Time at which a command about the session was last proposed.
    pub proposed_at: Option<Timestamp>,
    /// Slices that the back end is ready to own.
    pub ready: BTreeSet<Grant>,
    /// Slices withheld from the session whose release is not confirmed yet.
    pub withheld: BTreeSet<SliceKey>,
    /// Time at which this back end is scheduled.
    pub scheduled_at: Option<Timestamp>,
}

impl BackEndState {
    pub fn new(address: SocketAddr, next_send: Timestamp, lease_expiry_bound: Timestamp) -> Self {
        BackEndState {
            address,
            sequence: 0,
            first_sequence: 1,
            last_answered: 0,
            in_flight: None,
            next_send,
            has_changes: false,
            unanswered_since: None,
            reported_unreachable: false,
            reading: None,
            lease_expiry_bound,
            session: None,
            closing: None,
            proposed_at: None,
            ready: BTreeSet::new(),
            withheld: BTreeSet::new(),
            scheduled_at: None,
        }
    }

    /// Changes the address. Nothing received from the former address counts any
    /// more.
    pub fn move_to(&mut self, address: SocketAddr, now: Timestamp) {
        self.address = address;
        self.first_sequence = self.sequence + 1;
        self.in_flight = None;
        self.reading = None;
        self.ready.clear();
        self.next_send = now;
    }

    /// Returns when the next request is due. At most one is in flight.
    pub fn send_due(&self, now: Timestamp, retry: Duration) -> Timestamp {
        match self.in_flight {
            Some(in_flight) => in_flight.sent_at + retry,
            None if self.has_changes => now,
            None => self.next_send,
        }
    }

    /// Makes the next request due as soon as none is in flight.
    pub fn mark_changed(&mut self) {
        self.has_changes = true;
    }

    /// Returns the incarnation of the process that responded last.
    pub fn incarnation(&self) -> Option<Incarnation> {
        self.reading.map(|reading| reading.incarnation)
    }
}
