//! Editing one slice together with the indices over slices.

use threadledge_types::records::{RecordChange, SliceKey};
use threadledge_types::{BackEndId, Epoch, ServiceId, SessionId};

use super::entries::{ServiceEntry, SliceEntry};
use super::{Applied, StateMachine, slice_record};

impl StateMachine {
    /// Makes `to` the owner under a new epoch. The slice has no owner.
    pub(super) fn give(&mut self, key: &SliceKey, to: &SessionId, applied: &mut Applied) {
        let epoch = Epoch(self.revision);
        self.index_owner(key, Some(to));
        if let Some(service) = self.services.get_mut(&key.service) {
            service.owned += 1;
            service.used = true;
        }
        self.change(key, applied, |entry| {
            entry.owner = Some(to.clone());
            entry.epoch = epoch;
        });
    }

    /// Takes the owner off the slice without telling routers.
    pub(super) fn take(&mut self, key: &SliceKey) -> Option<SessionId> {
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

    /// Leaves the slice without an owner.
    pub(super) fn drop_owner(&mut self, key: &SliceKey, applied: &mut Applied) {
        self.clear_next(key);
        self.take(key);
        self.announce(key, applied);
        self.forget_service_if_released(&key.service);
    }

    pub(super) fn index_owner(&mut self, key: &SliceKey, owner: Option<&SessionId>) {
        let Some(owner) = owner else {
            return;
        };
        if let Some(session) = self.sessions.get_mut(&owner.back_end) {
            session.slices.insert(key.clone());
        }
    }

    /// Forgets the next owner of a slice without telling routers.
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

    /// Gives up every move to a back end that can take no slices any more.
    pub(super) fn cancel_moves_to(&mut self, back_end: &BackEndId, applied: &mut Applied) {
        let keys = self.incoming.get(back_end).cloned().unwrap_or_default();
        for key in &keys {
            self.clear_next(key);
            self.announce(key, applied);
        }
    }

    /// Gives up moves of a service to a back end it no longer selects.
    pub(super) fn cancel_deselected_moves(
        &mut self,
        service: &ServiceId,
        back_end: &BackEndId,
        applied: &mut Applied,
    ) {
        if self.selects(service, back_end) {
            return;
        }
        let keys = self.incoming_of(service, back_end);
        for key in &keys {
            self.clear_next(key);
            self.announce(key, applied);
        }
    }

    /// Sets whether the slice's owner shall give it up.
    pub(super) fn classify(&mut self, key: &SliceKey) {
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

    pub(super) fn change(
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
        self.classify(key);
        self.announce(key, applied);
    }

    /// Tells routers about the slice. They know no slices of a deleted
    /// service.
    pub(super) fn announce(&self, key: &SliceKey, applied: &mut Applied) {
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
