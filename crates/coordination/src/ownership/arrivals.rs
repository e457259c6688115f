//! Tracks how long grants of this node may still arrive at a back end.
//!
//! A back end counts the duration of a grant from its arrival. A grant that
//! nobody waits for any more may still be queued in a full link, so a timeout
//! proves nothing. Only its answer proves that it arrived, or the end of its
//! connection that nothing more of it is sent.

use threadledge_types::Timestamp;

use crate::holders::LATE_ORDER_WINDOW;
use crate::order::OrderId;

/// A grant that was sent and has neither been answered nor lost its connection.
#[derive(Clone, Copy, Debug)]
struct OpenGrant {
    id: OrderId,
    /// Latest time at which its connection is closed.
    until: Timestamp,
}

/// Arrival times of the grants of one range at one back end.
#[derive(Clone, Debug, Default)]
pub(super) struct GrantArrivals {
    /// Latest possible arrival of the grants that have ended.
    last_arrival: Timestamp,
    open: Vec<OpenGrant>,
    /// Time at which a grant last ended without an answer.
    last_unanswered: Option<Timestamp>,
    /// The last grant that was sent.
    newest: OrderId,
    /// True if the back end answered that grant.
    newest_answered: bool,
}

impl GrantArrivals {
    /// Records that a grant is sent and that its connection is closed at
    /// `until` at the latest.
    pub(super) fn sent(&mut self, id: OrderId, until: Timestamp) {
        self.open.push(OpenGrant { id, until });
        self.newest = id;
        self.newest_answered = false;
    }

    /// Records that the back end answered a grant, whether it accepted it or
    /// not.
    pub(super) fn answered(&mut self, id: OrderId) {
        self.newest_answered |= self.newest == id;
    }

    /// Returns whether the last grant was answered.
    pub(super) fn newest_answered(&self) -> bool {
        self.newest_answered
    }

    /// Records that a grant was answered or that its connection has ended: it
    /// arrived before `now` or never will.
    pub(super) fn ended(&mut self, id: OrderId, now: Timestamp) {
        if self.remove(id) {
            self.last_arrival = self.last_arrival.max(now);
        }
    }

    /// Records that the connection of a grant has ended without an answer.
    pub(super) fn lost(&mut self, id: OrderId, now: Timestamp) {
        self.ended(id, now);
        self.last_unanswered = Some(now);
    }

    /// Returns whether the back end may carry out a grant from now on.
    pub(super) fn any_late(&self, now: Timestamp) -> bool {
        let recent = |since: Timestamp| now.since(since) < LATE_ORDER_WINDOW;
        self.any_open() || self.last_unanswered.is_some_and(recent)
    }

    /// Removes a grant that was never sent or was refused.
    pub(super) fn discard(&mut self, id: OrderId) {
        self.remove(id);
    }

    /// Returns whether a grant has not ended, so that its arrival time is
    /// unknown.
    pub(super) fn any_open(&self) -> bool {
        !self.open.is_empty()
    }

    /// Returns the time after which no grant arrives any more.
    pub(super) fn latest(&self) -> Timestamp {
        let open = self.open.iter().map(|open| open.until);
        open.fold(self.last_arrival, Timestamp::max)
    }

    /// Adds the grants of an adjacent range.
    pub(super) fn merge(&mut self, other: &GrantArrivals) {
        self.last_arrival = self.last_arrival.max(other.last_arrival);
        self.last_unanswered = self.last_unanswered.max(other.last_unanswered);
        self.newest = self.newest.max(other.newest);
        self.newest_answered &= other.newest_answered;
        for open in &other.open {
            if self.open.iter().any(|known| known.id == open.id) {
                continue;
            }
            self.open.push(*open);
        }
    }

    fn remove(&mut self, id: OrderId) -> bool {
        let before = self.open.len();
        self.open.retain(|open| open.id != id);
        self.open.len() < before
    }
}
