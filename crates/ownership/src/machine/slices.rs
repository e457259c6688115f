//! Assigning, moving and releasing slices.

use threadledge_types::records::SliceKey;
use threadledge_types::{BackEndId, Epoch, ServiceId, SessionId, Slice};

use super::entries::SliceEntry;
use super::{Applied, Rejection, StateMachine};
use crate::command::SliceEvidence;

pub(super) fn key_of(service: &ServiceId, slice: Slice) -> SliceKey {
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
        let entry = self.checked_slice(service, slice, expected)?;
        // Exclusive ownership: only a slice without an owner is assigned.
        if entry.owner.is_some() {
            return Err(Rejection::Owned(service.clone(), slice));
        }
        // The epoch is the entry's revision, so a second assignment within the
        // same log entry would reuse it and is rejected.
        if entry.epoch.0 >= self.revision {
            return Err(Rejection::EpochMismatch(
                service.clone(),
                slice,
                entry.epoch,
            ));
        }
        self.check_receiver(service, to)?;
        self.set_owner(&key_of(service, slice), to, applied);
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
        let entry = self.checked_slice(service, slice, expected)?;
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
        self.edit_slice(&key, applied, |entry| entry.next = Some(to.clone()));
        Ok(())
    }

    pub(super) fn cancel_move(
        &mut self,
        service: &ServiceId,
        slice: Slice,
        expected: Epoch,
        applied: &mut Applied,
    ) -> Result<(), Rejection> {
        if self.checked_slice(service, slice, expected)?.next.is_none() {
            return Err(Rejection::NoMovePending(service.clone(), slice));
        }
        let key = key_of(service, slice);
        self.clear_next(&key);
        self.publish_slice(&key, applied);
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
        let former = self.clear_owner(&key);
        self.set_owner(&key, to, applied);
        if let Some(former) = former {
            self.end_session_if_released(&former.back_end, applied);
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
        self.remove_owner(&key, applied);
        self.end_session_if_released(&owner.back_end, applied);
        Ok(())
    }

    /// Returns the slice if it is still as the proposer saw it, and the
    /// rejection otherwise.
    pub(super) fn checked_slice(
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

    /// Exclusive ownership: a grantor's conclusion takes effect only within its
    /// term and only if the slice has not changed since the grantor read it.
    fn checked_evidence(
        &self,
        service: &ServiceId,
        slice: Slice,
        evidence: &SliceEvidence,
    ) -> Result<&SliceEntry, Rejection> {
        self.check_term(evidence.term)?;
        let entry = self.checked_slice(service, slice, evidence.epoch)?;
        if entry.revision != evidence.revision {
            let service = service.clone();
            return Err(Rejection::SliceChanged(service, slice, entry.revision));
        }
        Ok(entry)
    }

    /// Checks that the service exists and is not deleted.
    pub(super) fn check_live(&self, service: &ServiceId) -> Result<(), Rejection> {
        match self.service(service) {
            Some(_) => Ok(()),
            None => Err(Rejection::UnknownService(service.clone())),
        }
    }

    /// Checks that the session is open, not draining, and selected by the
    /// service.
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
}
