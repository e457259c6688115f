//! Splitting and merging slices.

use threadledge_types::records::RecordChange;
use threadledge_types::{Epoch, Point, ServiceId, Slice};

use super::entries::SliceEntry;
use super::slices::key_of;
use super::{Applied, Rejection, StateMachine};
use crate::command::Command;

impl StateMachine {
    pub(super) fn split(
        &mut self,
        service: &ServiceId,
        slice: Slice,
        at: Point,
        expected: Epoch,
        applied: &mut Applied,
    ) -> Result<(), Rejection> {
        self.check_live(service)?;
        let entry = self.checked_slice(service, slice, expected)?;
        if entry.next.is_some() {
            return Err(Rejection::MovePending(service.clone(), slice));
        }
        let Some((low, high)) = slice.split_at(at) else {
            return Err(Rejection::InvalidSplit(service.clone(), slice, at));
        };
        // The epoch is kept, because every point keeps the owner that it had
        // under that epoch: requests that carry it continue, and each part gets
        // a new epoch when it is assigned to another owner.
        let upper = SliceEntry {
            revision: self.revision,
            ..entry.clone()
        };
        let upper_key = key_of(service, high);
        if let Some(entry) = self.services.get_mut(service) {
            entry.owned += usize::from(upper.owner.is_some());
            entry.slices.insert(high.first, upper.clone());
        }
        self.index_owner(&upper_key, upper.owner.as_ref());
        let lower_key = key_of(service, low);
        self.edit_slice(&lower_key, applied, |entry| entry.last = low.last);
        self.publish_slice(&upper_key, applied);
        self.update_misplaced(&upper_key);
        Ok(())
    }

    pub(super) fn merge(
        &mut self,
        command: &Command,
        applied: &mut Applied,
    ) -> Result<(), Rejection> {
        let Command::Merge {
            service,
            first,
            second,
            expected_first_epoch,
            expected_second_epoch,
        } = command
        else {
            return Ok(());
        };
        self.check_live(service)?;
        let low = self.checked_slice(service, *first, *expected_first_epoch)?;
        let high = self.checked_slice(service, *second, *expected_second_epoch)?;
        for (slice, entry) in [(first, low), (second, high)] {
            if entry.next.is_some() {
                return Err(Rejection::MovePending(service.clone(), *slice));
            }
        }
        let adjacent = first.last.0.checked_add(1) == Some(second.first.0);
        if !adjacent || low.owner != high.owner {
            return Err(Rejection::InvalidMerge(service.clone(), *first, *second));
        }
        // The merged slice needs one epoch. If the two differ, it gets a new
        // one above both, so that the epoch of every point only increases.
        // Without an owner the higher of the two is enough, because nobody
        // serves under it.
        let same = low.epoch == high.epoch || low.owner.is_none();
        let epoch = if same {
            low.epoch.max(high.epoch)
        } else {
            Epoch(self.revision)
        };
        let upper_key = key_of(service, *second);
        self.clear_owner(&upper_key);
        if let Some(entry) = self.services.get_mut(service) {
            entry.slices.remove(&second.first);
        }
        self.misplaced.remove(&upper_key);
        applied.changes.push(RecordChange::SliceRemoved(upper_key));
        self.edit_slice(&key_of(service, *first), applied, |entry| {
            entry.last = second.last;
            entry.epoch = epoch;
        });
        Ok(())
    }
}
