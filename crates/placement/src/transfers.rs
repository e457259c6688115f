//! Slices in transfer: proposals without effect yet, and handovers.

use std::sync::Arc;

use threadledge_types::{BackEndId, Point, Timestamp};

use crate::service::ServiceState;
use crate::weight::Weight;

/// A slice in transfer, counted at its source and its destination.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Transfer {
    pub from: Option<Arc<BackEndId>>,
    pub to: Arc<BackEndId>,
    pub weight: Weight,
}

/// A proposal that has no effect in the records yet.
#[derive(Clone, Debug)]
pub(crate) struct PendingProposal {
    pub expires_at: Timestamp,
    pub transfer: Option<Transfer>,
}

impl ServiceState {
    /// Records a proposal. It is treated as done until its record arrives or
    /// `expires_at` passes.
    pub(crate) fn record_proposal(
        &mut self,
        first: Point,
        expires_at: Timestamp,
        transfer: Option<Transfer>,
    ) {
        self.remove_proposal(first);
        if let Some(transfer) = &transfer {
            self.add_transfer(transfer);
        }
        self.unowned.remove(&first);
        self.pending.insert(
            first,
            PendingProposal {
                expires_at,
                transfer,
            },
        );
    }

    /// Removes the proposal for a slice. A slice without an owner becomes
    /// assignable again.
    pub(crate) fn remove_proposal(&mut self, first: Point) {
        let Some(pending) = self.pending.remove(&first) else {
            return;
        };
        if let Some(transfer) = &pending.transfer {
            self.remove_transfer(transfer);
        }
        let unowned = self
            .table
            .get(first)
            .is_some_and(|state| state.owner.is_none());
        if unowned {
            self.unowned.insert(first);
        }
    }

    /// Returns whether the slice has a proposal or a handover.
    pub(crate) fn has_pending_change(&self, first: Point) -> bool {
        self.pending.contains_key(&first) || self.moving.contains_key(&first)
    }

    /// Returns whether a split or merge of the slice is proposed.
    pub(crate) fn is_being_split_or_merged(&self, first: Point) -> bool {
        self.pending
            .get(&first)
            .is_some_and(|pending| pending.transfer.is_none())
    }

    /// Counts a transfer at its source and its destination.
    pub(crate) fn add_transfer(&mut self, transfer: &Transfer) {
        self.allocation(&transfer.to).add_inbound(transfer.weight);
        if let Some(from) = &transfer.from {
            self.allocation(from).add_outbound(transfer.weight);
        }
    }

    /// Reverts [`Self::add_transfer`].
    pub(crate) fn remove_transfer(&mut self, transfer: &Transfer) {
        self.allocation(&transfer.to)
            .remove_inbound(transfer.weight);
        self.remove_allocation_if_empty(&transfer.to);
        if let Some(from) = &transfer.from {
            self.allocation(from).remove_outbound(transfer.weight);
            self.remove_allocation_if_empty(from);
        }
    }
}
