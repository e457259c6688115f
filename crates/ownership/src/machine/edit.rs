//! Changes to one slice that keep the indices over slices consistent.

use threadledge_types::records::{RecordChange, SliceKey};
use threadledge_types::{BackEndId, Epoch, ServiceId, SessionId};

use super::entries::{ServiceEntry, SliceEntry};
use super::{Applied, StateMachine, slice_record};

impl StateMachine {
    /// Makes `to` the owner under a new epoch. The slice must have no owner.
    pub(super) fn set_owner(&mut self, key: &SliceKey, to: &SessionId, applied: &mut Applied) {
        let epoch = Epoch(self.revision);
        self.index_owner(key, Some(to));
        if let Some(service) = self.services.get_mut(&key.service) {
            service.owned += 1;
            service.used = true;
        }
        self.edit_slice(key, applied, |entry| {
            entry.owner = Some(to.clone());
            entry.epoch = epoch;
        });
    }

    /// Removes and returns the owner of the slice without publishing the change
    /// to routers.
    pub(super) fn clear_owner(&mut self, key: &SliceKey) -> Option<SessionId> {
        let revision = self.revision;
        let service = self.services.get_mut(&key.service)?;
        let entry = service.slices.get_mut(&key.first)?;
        let owner = entry.owner.take()?;
        entry.revision = revision;
        service.owned -= 1;
        if let Some(session) = self.sessions.get_mut(&owner.back_end) {
            session.slices.remove(key);
        }
        self.misplaced.remove(key);
        Some(owner)
    }

    /// Removes the owner and the next owner of the slice and publishes the
    /// change.
    pub(super) fn remove_owner(&mut self, key: &SliceKey, applied: &mut Applied) {
        self.clear_next(key);
        self.clear_owner(key);
        self.publish_slice(key, applied);
        self.remove_service_if_released(&key.service);
    }

    /// Adds the slice to the index of the slices that its owner has.
    pub(super) fn index_owner(&mut self, key: &SliceKey, owner: Option<&SessionId>) {
        let Some(owner) = owner else {
            return;
        };
        if let Some(session) = self.sessions.get_mut(&owner.back_end) {
            session.slices.insert(key.clone());
        }
    }

    /// Clears the next owner of a slice without publishing the change to
    /// routers.
    pub(super) fn clear_next(&mut self, key: &SliceKey) {
        let revision = self.revision;
        let service = self.services.get_mut(&key.service);
        let Some(entry) = service.and_then(|service| service.slices.get_mut(&key.first)) else {
            return;
        };
        let Some(next) = entry.next.take() else {
            return;
        };
        entry.revision = revision;
        self.pending_moves.remove(key);
        if let Some(keys) = self.incoming.get_mut(&next) {
            keys.remove(key);
            if keys.is_empty() {
                self.incoming.remove(&next);
            }
        }
    }

    /// Cancels every move to a back end that can no longer receive slices.
    pub(super) fn cancel_moves_to(&mut self, back_end: &BackEndId, applied: &mut Applied) {
        let keys = self.incoming.get(back_end).cloned().unwrap_or_default();
        for key in &keys {
            self.clear_next(key);
            self.publish_slice(key, applied);
        }
    }

    /// Cancels the moves of a service to a back end that it no longer selects.
    pub(super) fn cancel_deselected_moves(
        &mut self,
        service: &ServiceId,
        back_end: &BackEndId,
        applied: &mut Applied,
    ) {
        if self.selects(service, back_end) {
            return;
        }
        let keys = self.incoming_moves_of(service, back_end);
        for key in &keys {
            self.clear_next(key);
            self.publish_slice(key, applied);
        }
    }

    /// Updates the index of slices that their owner must give up.
    pub(super) fn update_misplaced(&mut self, key: &SliceKey) {
        if self.is_misplaced(key) {
            self.misplaced.insert(key.clone());
        } else {
            self.misplaced.remove(key);
        }
    }

    fn is_misplaced(&self, key: &SliceKey) -> bool {
        let Some(service) = self.services.get(&key.service) else {
            return false;
        };
        let entry = service.slices.get(&key.first);
        let Some(owner) = entry.and_then(|entry| entry.owner.as_ref()) else {
            return false;
        };
        let draining = self
            .session(&owner.back_end)
            .is_none_or(|session| session.draining);
        draining || service.deleted || !service.eligible.contains(&owner.back_end)
    }

    /// Applies `edit` to the slice, updates the indices and publishes it.
    pub(super) fn edit_slice(
        &mut self,
        key: &SliceKey,
        applied: &mut Applied,
        edit: impl FnOnce(&mut SliceEntry),
    ) {
        let revision = self.revision;
        let service = self.services.get_mut(&key.service);
        if let Some(entry) = service.and_then(|service| service.slices.get_mut(&key.first)) {
            edit(entry);
            entry.revision = revision;
        }
        self.update_misplaced(key);
        self.publish_slice(key, applied);
    }

    /// Publishes the slice to routers. They have no slices of a deleted
    /// service.
    pub(super) fn publish_slice(&self, key: &SliceKey, applied: &mut Applied) {
        let live = |service: &&ServiceEntry| !service.deleted;
        let Some(service) = self.services.get(&key.service).filter(live) else {
            return;
        };
        if let Some(entry) = service.slices.get(&key.first) {
            let record = slice_record(&key.service, key.first, entry);
            applied.changes.push(RecordChange::Slice(record));
        }
    }
}
