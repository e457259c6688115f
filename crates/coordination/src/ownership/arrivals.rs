//! Until when grants of this node may still reach a back end.
//!
//! A back end counts a grant's hold from its arrival. A grant that nobody
//! waits for any more may stand in a full link, so that an order that is
//! overdue proves nothing: only its answer does, or the end of its connection,
//! after which nothing of it is sent.

use threadledge_types::Timestamp;

use crate::order::OrderId;

/// A grant that was sent and has not ended.
#[derive(Clone, Copy, Debug)]
struct Open {
    id: OrderId,
    /// Its connection is ended by then.
    until: Timestamp,
}

/// Arrivals of the grants of one range at one back end.
#[derive(Clone, Debug, Default)]
pub(super) struct Arrivals {
    /// No grant that has ended arrives later than this.
    ended_by: Timestamp,
    open: Vec<Open>,
}

impl Arrivals {
    /// A grant is sent; its connection is ended at `until` at the latest.
    pub(super) fn sent(&mut self, id: OrderId, until: Timestamp) {
        self.open.push(Open { id, until });
    }

    /// A grant was answered, or its connection ended: it arrived before `now`
    /// or never will.
    pub(super) fn ended(&mut self, id: OrderId, now: Timestamp) {
        if self.remove(id) {
            self.ended_by = self.ended_by.max(now);
        }
    }

    /// A grant never left, or was refused.
    pub(super) fn void(&mut self, id: OrderId) {
        self.remove(id);
    }

    /// Whether a grant has not ended: nobody knows yet when it arrives.
    pub(super) fn any_open(&self) -> bool {
        !self.open.is_empty()
    }

    /// No grant arrives later than this.
    pub(super) fn latest(&self) -> Timestamp {
        let open = self.open.iter().map(|open| open.until);
        open.fold(self.ended_by, Timestamp::max)
    }

    /// Takes over the grants of a neighbouring range.
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
