//! Slices on their way: proposals without effect yet, and handovers.

use std::sync::Arc;

use threadledge_types::{BackEndId, Point, Timestamp};

use crate::service::ServiceState;
use crate::weight::Weight;

/// A slice on its way, counted at its source and its destination.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Transfer {
    pub from: Option<Arc<BackEndId>>,
    pub to: Arc<BackEndId>,
    pub weight: Weight,
}

/// A proposal that has no effect in the records yet.
#[derive(Clone, Debug)]
pub(crate) struct Pending {
    pub until: Timestamp,
    pub transfer: Option<Transfer>,
}

impl ServiceState {
    /// Notes a proposal; it counts as done until its record comes or `until`
    /// passes.
    pub(crate) fn propose(&mut self, first: Point, until: Timestamp, transfer: Option<Transfer>) {
        self.drop_pending(first);
        if let Some(transfer) = &transfer {
            self.count_transfer(transfer);
        }
        self.unowned.remove(&first);
        self.pending.insert(first, Pending { until, transfer });
    }

    /// Forgets the proposal for a slice.
    pub(crate) fn drop_pending(&mut self, first: Point) {
        let Some(pending) = self.pending.remove(&first) else {
            return;
        };
        if let Some(transfer) = &pending.transfer {
            self.uncount_transfer(transfer);
        }
        let unowned = self
            .table
            .get(first)
            .is_some_and(|state| state.owner.is_none());
        if unowned {
            self.unowned.insert(first);
        }
    }

    /// Whether the slice has a proposal or a handover.
    pub(crate) fn is_busy(&self, first: Point) -> bool {
        self.pending.contains_key(&first) || self.moving.contains_key(&first)
    }

    /// Whether a split or merge of the slice is proposed.
    pub(crate) fn is_being_divided(&self, first: Point) -> bool {
        self.pending
            .get(&first)
            .is_some_and(|pending| pending.transfer.is_none())
    }

    pub(crate) fn count_transfer(&mut self, transfer: &Transfer) {
        self.holding(&transfer.to).add_inbound(transfer.weight);
        if let Some(from) = &transfer.from {
            self.holding(from).add_outbound(transfer.weight);
        }
    }

    pub(crate) fn uncount_transfer(&mut self, transfer: &Transfer) {
        self.holding(&transfer.to).remove_inbound(transfer.weight);
        self.tidy(&transfer.to);
        if let Some(from) = &transfer.from {
            self.holding(from).remove_outbound(transfer.weight);
            self.tidy(from);
        }
    }
}
