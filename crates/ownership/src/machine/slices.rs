//! Assigning, moving, splitting and merging slices.

use threadledge_types::records::{RecordChange, SliceKey};
use threadledge_types::{BackEndId, Epoch, Point, ServiceId, SessionId, Slice};

use super::entries::{ServiceEntry, SliceEntry};
use super::{Applied, Rejection, StateMachine, slice_record};
use crate::command::{Command, SliceEvidence};

fn key_of(service: &ServiceId, slice: Slice) -> SliceKey {
    SliceKey {
        service: service.clone(),
        first: slice.first,
    }
}

impl StateMachine {
    pub(super) fn assign(
        &mut self,
        service: &ServiceId,
        slice: Slice,
        to: &SessionId,
        expected: Epoch,
        applied: &mut Applied,
    ) -> Result<(), Rejection> {
        self.check_live(service)?;
        let entry = self.checked(service, slice, expected)?;
        // One owner: only a slice without an owner is assigned.
        if entry.owner.is_some() {
            return Err(Rejection::Owned(service.clone(), slice));
        }
        // Epochs grow: a second assignment within one log entry has none.
        if entry.epoch.0 >= self.revision {
            return Err(Rejection::EpochMismatch(
                service.clone(),
                slice,
                entry.epoch,
            ));
        }
        self.check_receiver(service, to)?;
        self.give(&key_of(service, slice), to, applied);
        Ok(())
    }

    pub(super) fn begin_move(
        &mut self,
        service: &ServiceId,
        slice: Slice,
        to: &BackEndId,
        expected: Epoch,
        applied: &mut Applied,
    ) -> Result<(), Rejection> {
        self.check_live(service)?;
        let entry = self.checked(service, slice, expected)?;
        let Some(owner) = &entry.owner else {
            return Err(Rejection::Unowned(service.clone(), slice));
        };
        if owner.back_end == *to {
            return Err(Rejection::AlreadyOwner(service.clone(), slice));
        }
        if entry.next.is_some() {
            return Err(Rejection::MovePending(service.clone(), slice));
        }
        let Some(session) = self.session(to) else {
            return Err(Rejection::UnknownBackEnd(to.clone()));
        };
        let session = session.id.clone();
        self.check_receiver(service, &session)?;
        let key = key_of(service, slice);
        self.pending_moves.insert(key.clone());
        let incoming = self.incoming.entry(to.clone()).or_default();
        incoming.insert(key.clone());
        self.change(&key, applied, |entry| entry.next = Some(to.clone()));
        Ok(())
    }

    pub(super) fn cancel_move(
        &mut self,
        service: &ServiceId,
        slice: Slice,
        expected: Epoch,
        applied: &mut Applied,
    ) -> Result<(), Rejection> {
        if self.checked(service, slice, expected)?.next.is_none() {
            return Err(Rejection::NoMovePending(service.clone(), slice));
        }
        let key = key_of(service, slice);
        self.clear_next(&key);
        self.announce(&key, applied);
        Ok(())
    }

    pub(super) fn complete_move(
        &mut self,
        service: &ServiceId,
        slice: Slice,
        to: &SessionId,
        evidence: &SliceEvidence,
        applied: &mut Applied,
    ) -> Result<(), Rejection> {
        let entry = self.checked_evidence(service, slice, evidence)?;
        if entry.next.as_ref() != Some(&to.back_end) {
            return Err(Rejection::NoMovePending(service.clone(), slice));
        }
        self.check_receiver(service, to)?;
        let key = key_of(service, slice);
        self.clear_next(&key);
        let former = self.take(&key);
        self.give(&key, to, applied);
        if let Some(former) = former {
            self.end_if_left(&former.back_end, applied);
        }
        Ok(())
    }

    pub(super) fn release(
        &mut self,
        service: &ServiceId,
        slice: Slice,
        evidence: &SliceEvidence,
        applied: &mut Applied,
    ) -> Result<(), Rejection> {
        let entry = self.checked_evidence(service, slice, evidence)?;
        let Some(owner) = entry.owner.clone() else {
            return Err(Rejection::Unowned(service.clone(), slice));
        };
        let key = key_of(service, slice);
        self.clear_next(&key);
        self.drop_owner(&key, applied);
        self.end_if_left(&owner.back_end, applied);
        Ok(())
    }

    pub(super) fn split(
        &mut self,
        service: &ServiceId,
        slice: Slice,
        at: Point,
        expected: Epoch,
        applied: &mut Applied,
    ) -> Result<(), Rejection> {
        self.check_live(service)?;
        let entry = self.checked(service, slice, expected)?;
        if entry.next.is_some() {
            return Err(Rejection::MovePending(service.clone(), slice));
        }
        let Some((low, high)) = slice.split_at(at) else {
            return Err(Rejection::InvalidSplit(service.clone(), slice, at));
        };
        // The epoch stays: every point keeps the owner it had under it, so
        // requests that carry it go on, and each part gets a new one when it
        // is assigned to somebody else.
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
        self.change(&lower_key, applied, |entry| entry.last = low.last);
        self.announce(&upper_key, applied);
        self.classify(&upper_key);
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
        let low = self.checked(service, *first, *expected_first_epoch)?;
        let high = self.checked(service, *second, *expected_second_epoch)?;
        for (slice, entry) in [(first, low), (second, high)] {
            if entry.next.is_some() {
                return Err(Rejection::MovePending(service.clone(), *slice));
            }
        }
        let adjacent = first.last.0.checked_add(1) == Some(second.first.0);
        if !adjacent || low.owner != high.owner {
            return Err(Rejection::InvalidMerge(service.clone(), *first, *second));
        }
        // One number must stand for both: with different epochs it is a new
        // one, above either, so that epochs grow for every point. Without an
        // owner the higher one does, as nobody serves under it.
        let same = low.epoch == high.epoch || low.owner.is_none();
        let epoch = if same {
            low.epoch.max(high.epoch)
        } else {
            Epoch(self.revision)
        };
        let upper_key = key_of(service, *second);
        self.take(&upper_key);
        if let Some(entry) = self.services.get_mut(service) {
            entry.slices.remove(&second.first);
        }
        self.misplaced.remove(&upper_key);
        applied.changes.push(RecordChange::SliceRemoved(upper_key));
        self.change(&key_of(service, *first), applied, |entry| {
            entry.last = second.last;
            entry.epoch = epoch;
        });
        Ok(())
    }

    /// The slice as the proposer saw it, or why it is not.
    fn checked(
        &self,
        service: &ServiceId,
        slice: Slice,
        expected: Epoch,
    ) -> Result<&SliceEntry, Rejection> {
        let unknown = || Rejection::UnknownSlice(service.clone(), slice);
        let known = self.services.get(service);
        let known = known.ok_or_else(|| Rejection::UnknownService(service.clone()))?;
        let entry = known.slices.get(&slice.first).ok_or_else(unknown)?;
        if entry.last != slice.last {
            return Err(unknown());
        }
        if entry.epoch != expected {
            let service = service.clone();
            return Err(Rejection::EpochMismatch(service, slice, entry.epoch));
        }
        Ok(entry)
    }

    /// One owner: what a grantor concluded counts only within its term and
    /// as long as nothing about the slice has changed since it looked.
    fn checked_evidence(
        &self,
        service: &ServiceId,
        slice: Slice,
        evidence: &SliceEvidence,
    ) -> Result<&SliceEntry, Rejection> {
        self.check_term(evidence.term)?;
        let entry = self.checked(service, slice, evidence.epoch)?;
        if entry.revision != evidence.revision {
            let service = service.clone();
            return Err(Rejection::SliceChanged(service, slice, entry.revision));
        }
        Ok(entry)
    }

    fn check_live(&self, service: &ServiceId) -> Result<(), Rejection> {
        match self.service(service) {
            Some(_) => Ok(()),
            None => Err(Rejection::UnknownService(service.clone())),
        }
    }

    fn check_receiver(&self, service: &ServiceId, to: &SessionId) -> Result<(), Rejection> {
        let session = self.session(&to.back_end);
        let Some(session) = session.filter(|session| session.id == *to) else {
            return Err(Rejection::SessionNotOpen(to.clone()));
        };
        if session.draining {
            return Err(Rejection::SessionDraining(to.clone()));
        }
        if !self.selects(service, &to.back_end) {
            let service = service.clone();
            return Err(Rejection::NotSelected(service, to.back_end.clone()));
        }
        Ok(())
    }

    /// Makes `to` the owner under a new epoch. The slice has no owner.
    fn give(&mut self, key: &SliceKey, to: &SessionId, applied: &mut Applied) {
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
    fn take(&mut self, key: &SliceKey) -> Option<SessionId> {
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

    fn index_owner(&mut self, key: &SliceKey, owner: Option<&SessionId>) {
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
        let keys = self.moves_to(back_end);
        let keys: Vec<SliceKey> = keys
            .filter(|key| key.service == *service)
            .cloned()
            .collect();
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

    fn change(
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
    fn announce(&self, key: &SliceKey, applied: &mut Applied) {
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
