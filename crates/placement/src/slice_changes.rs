//! Updates from the records of slices.

use std::sync::Arc;

use threadledge_types::records::SliceRecord;
use threadledge_types::{BackEndId, Point, Timestamp};

use crate::service::ServiceState;
use crate::slices::{Owner, SliceState};
use crate::transfers::Transfer;

impl ServiceState {
    /// Applies a slice record.
    pub(crate) fn put_slice(
        &mut self,
        record: &SliceRecord,
        shared_id: impl Fn(&BackEndId) -> Arc<BackEndId>,
        now: Timestamp,
    ) {
        let slice = record.slice;
        let old = self.detach(slice.first);
        let old_load = old.as_ref().map(|old| (old.last, old.load));
        let owner = record.owner.as_ref().map(|session| Owner {
            back_end: shared_id(&session.back_end),
            incarnation: session.incarnation,
        });
        let changed = old
            .as_ref()
            .is_none_or(|old| old.owner != owner || old.last != slice.last);
        let changed_at = match &old {
            Some(old) if !changed => old.changed_at,
            _ => now,
        };
        let moved_at = match &old {
            // Part of a split, or seen for the first time: nothing was moved.
            None => Timestamp::ZERO,
            Some(old) if old.owner.is_none() || old.owner == owner => old.moved_at,
            Some(_) => now,
        };
        let previous = match (&owner, old) {
            (None, Some(old)) => old.owner.map(|owner| owner.back_end).or(old.previous),
            _ => None,
        };
        let state = SliceState {
            last: slice.last,
            epoch: record.epoch,
            owner,
            previous,
            next: record.next.as_ref().map(shared_id),
            load: self.table.load_after_change(slice, old_load),
            changed_at,
            moved_at,
        };
        self.attach(slice.first, state);
    }

    /// Applies the removal of a slice that was merged into the one before it.
    pub(crate) fn remove_slice(&mut self, first: Point, now: Timestamp) {
        let Some(old) = self.detach(first) else {
            return;
        };
        let grown = self
            .table
            .before(first)
            .filter(|(_, state)| state.last >= first)
            .map(|(point, _)| point);
        match grown {
            None => self.table.store_unclaimed_load(first, old.load),
            Some(point) => {
                if let Some(mut state) = self.detach(point) {
                    state.load = state.load.join(old.load);
                    state.changed_at = now;
                    self.attach(point, state);
                }
            }
        }
    }

    /// Adds a slice to every index and sum.
    fn attach(&mut self, first: Point, state: SliceState) {
        let weight = state.weight(first);
        match &state.owner {
            Some(owner) => {
                let allocation = self.allocation(&owner.back_end);
                allocation.add(first, weight);
                let back_end = Arc::clone(&owner.back_end);
                self.refresh_ineligible_owner(&back_end);
            }
            None => {
                self.unowned.insert(first);
            }
        }
        if let Some(next) = &state.next {
            let transfer = Transfer {
                from: state
                    .owner
                    .as_ref()
                    .map(|owner| Arc::clone(&owner.back_end)),
                to: Arc::clone(next),
                weight,
            };
            self.add_transfer(&transfer);
            if !self.receivers.contains_key(next) {
                self.invalid_moves.insert(first);
            }
            self.moving.insert(first, transfer);
        }
        self.table.insert(first, state);
    }

    /// Removes a slice from every index and sum that includes it.
    fn detach(&mut self, first: Point) -> Option<SliceState> {
        self.remove_proposal(first);
        if let Some(transfer) = self.moving.remove(&first) {
            self.remove_transfer(&transfer);
        }
        self.invalid_moves.remove(&first);
        self.unowned.remove(&first);
        let state = self.table.remove(first)?;
        if let Some(owner) = &state.owner {
            let weight = state.weight(first);
            self.allocation(&owner.back_end).remove(first, weight);
            self.remove_allocation_if_empty(&owner.back_end);
        }
        Some(state)
    }
}
