//! Tracks how long grants of this node may still arrive at a back end.
//!
//! A back end counts the duration of a grant from its arrival. A grant that
//! nobody waits for any more may still be queued in a full link, so a timeout
//! proves nothing. Only its answer proves that it arrived, or the end of its
//! connection that nothing more of it is sent.

use threadledge_types::Timestamp;

use crate::order::OrderId;

/// A grant that was sent and has neither been answered nor lost its connection.
#[derive(Clone, Copy, Debug)]
struct Open {
    id: OrderId,
    /// Latest time at which its connection is closed.
    until: Timestamp,
}

/// Arrival times of the grants of one range at one back end.
#[derive(Clone, Debug, Default)]
pub(super) struct Arrivals {
    /// Latest possible arrival of the grants that have ended.
    ended_by: Timestamp,
    open: Vec<Open>,
}

impl Arrivals {
    /// Records that a grant is sent and that its connection is closed at
    /// `until` at the latest.
    pub(super) fn sent(&mut self, id: OrderId, until: Timestamp) {
        self.open.push(Open { id, until });
    }

    /// Records that a grant was answered or that its connection has ended: it
    /// arrived before `now` or never will.
    pub(super) fn ended(&mut self, id: OrderId, now: Timestamp) {
        if self.remove(id) {
            self.ended_by = self.ended_by.max(now);
        }
    }

    /// Removes a grant that was never sent or was refused.
    pub(super) fn void(&mut self, id: OrderId) {
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
        open.fold(self.ended_by, Timestamp::max)
    }

    /// Adds the grants of an adjacent range.
    pub(super) fn join(&mut self, other: &Arrivals) {
        self.ended_by = self.ended_by.max(other.ended_by);
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
