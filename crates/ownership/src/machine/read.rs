//! Read access to the replicated state.

use std::collections::BTreeSet;

use threadledge_types::records::{
    BackEndRecord, RecordChange, ServiceRecord, SessionRecord, SliceKey, SliceRecord,
};
use threadledge_types::{BackEndId, GroupId, Point, Revision, ServiceId, SessionId};

use super::entries::ServiceEntry;
use super::{StateMachine, slice_record};
use crate::command::LeaderTerm;

impl StateMachine {
    /// Returns the group.
    pub fn group(&self) -> GroupId {
        self.group
    }

    /// Returns the revision of the last applied entry.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Returns the latest term that has begun.
    pub fn term(&self) -> LeaderTerm {
        self.term
    }

    /// Returns whether leases of an earlier generation may still be valid.
    pub fn is_recovering(&self) -> bool {
        self.recovering
    }

    /// Returns every record, for a full copy of the state.
    pub fn records(&self) -> Vec<RecordChange> {
        let mut changes = Vec::new();
        for entry in self.back_ends.values() {
            changes.push(RecordChange::BackEnd(Box::new(entry.record.clone())));
        }
        for entry in self.sessions.values() {
            changes.push(RecordChange::Session(entry.record.clone()));
        }
        for entry in self.live_services() {
            changes.push(RecordChange::Service(Box::new(entry.record.clone())));
            let records = self.slices(&entry.record.id);
            changes.extend(records.map(RecordChange::Slice));
        }
        changes
    }

    fn live_services(&self) -> impl Iterator<Item = &ServiceEntry> {
        self.services.values().filter(|entry| !entry.deleted)
    }

    /// Returns the accepted services.
    pub fn services(&self) -> impl Iterator<Item = &ServiceRecord> {
        self.live_services().map(|entry| &entry.record)
    }

    /// Returns an accepted service.
    pub fn service(&self, id: &ServiceId) -> Option<&ServiceRecord> {
        let entry = self.services.get(id).filter(|entry| !entry.deleted)?;
        Some(&entry.record)
    }

    /// Returns the back ends in force, including deleted ones whose session is
    /// still open.
    pub fn back_ends(&self) -> impl Iterator<Item = &BackEndRecord> {
        self.back_ends.values().map(|entry| &entry.record)
    }

    /// Returns a back end in force.
    pub fn back_end(&self, id: &BackEndId) -> Option<&BackEndRecord> {
        self.back_ends.get(id).map(|entry| &entry.record)
    }

    /// Returns whether the back end was deleted or is changing its addresses,
    /// and waits for its session to end.
    pub fn is_retiring(&self, id: &BackEndId) -> bool {
        let entry = self.back_ends.get(id);
        entry.is_some_and(|entry| entry.successor.is_some())
    }

    /// Returns the open sessions.
    pub fn sessions(&self) -> impl Iterator<Item = &SessionRecord> {
        self.sessions.values().map(|entry| &entry.record)
    }

    /// Returns the open session of a back end.
    pub fn session(&self, back_end: &BackEndId) -> Option<&SessionRecord> {
        self.sessions.get(back_end).map(|entry| &entry.record)
    }

    /// Returns the revision at which the open session of a back end opened.
    pub fn session_opened(&self, back_end: &BackEndId) -> Option<Revision> {
        self.sessions.get(back_end).map(|entry| entry.opened)
    }

    /// Returns whether exactly this session is open.
    pub fn is_open(&self, session: &SessionId) -> bool {
        let record = self.session(&session.back_end);
        record.is_some_and(|record| record.id == *session)
    }

    /// Returns the slices of a service in order, including those of a deleted
    /// service that still has owned slices.
    pub fn slices<'a>(
        &'a self,
        service: &ServiceId,
    ) -> impl Iterator<Item = SliceRecord> + use<'a> {
        let entry = self.services.get(service);
        entry.into_iter().flat_map(|entry| {
            let slices = entry.slices.iter();
            slices.map(|(first, slice)| slice_record(&entry.record.id, *first, slice))
        })
    }

    /// Returns the slice of a service that contains `point`.
    pub fn slice_at(&self, service: &ServiceId, point: Point) -> Option<SliceRecord> {
        let entry = self.services.get(service)?;
        let (first, slice) = entry.slices.range(..=point).next_back()?;
        Some(slice_record(service, *first, slice))
    }

    /// Returns the slice that starts exactly at the key's point.
    pub fn slice(&self, key: &SliceKey) -> Option<SliceRecord> {
        let entry = self.services.get(&key.service)?;
        let slice = entry.slices.get(&key.first)?;
        Some(slice_record(&key.service, key.first, slice))
    }

    /// Returns the revision of the last change to the slice.
    pub fn slice_revision(&self, key: &SliceKey) -> Option<Revision> {
        let entry = self.services.get(&key.service)?;
        Some(entry.slices.get(&key.first)?.revision)
    }

    /// Returns the slices owned by the open session of a back end.
    pub fn slices_of_session<'a>(
        &'a self,
        back_end: &BackEndId,
    ) -> impl Iterator<Item = &'a SliceKey> + use<'a> {
        let entry = self.sessions.get(back_end);
        entry.into_iter().flat_map(|entry| entry.slices.iter())
    }

    /// Returns the slices that are being moved.
    pub fn pending_moves(&self) -> &BTreeSet<SliceKey> {
        &self.pending_moves
    }

    /// Returns the slices that are being moved to a back end.
    pub fn incoming_moves<'a>(
        &'a self,
        back_end: &BackEndId,
    ) -> impl Iterator<Item = &'a SliceKey> + use<'a> {
        let keys = self.incoming.get(back_end);
        keys.into_iter().flat_map(|keys| keys.iter())
    }

    /// Returns the owned slices that the owner must give up because it is
    /// draining, the service no longer selects it, or the service was deleted.
    pub fn misplaced(&self) -> &BTreeSet<SliceKey> {
        &self.misplaced
    }

    /// Returns the back ends that the service selects, with or without an open
    /// session.
    pub fn eligible_back_ends<'a>(
        &'a self,
        service: &ServiceId,
    ) -> impl Iterator<Item = &'a BackEndId> + use<'a> {
        let entry = self.services.get(service);
        entry.into_iter().flat_map(|entry| entry.eligible.iter())
    }

    /// Returns the sessions that may receive slices of the service.
    pub fn eligible_sessions<'a>(
        &'a self,
        service: &ServiceId,
    ) -> impl Iterator<Item = &'a SessionId> + use<'a> {
        self.eligible_back_ends(service).filter_map(|back_end| {
            let session = self.session(back_end)?;
            (!session.draining).then_some(&session.id)
        })
    }

    /// Returns whether any service selects the back end.
    ///
    /// The store holds the back ends of every region. A region's group handles
    /// only those that its own services select.
    pub fn is_selected(&self, back_end: &BackEndId) -> bool {
        let start = ServiceId::new(back_end.namespace.clone(), "");
        let following = self.services.range(start..);
        let mut same = following.take_while(|(id, _)| id.namespace == back_end.namespace);
        same.any(|(_, entry)| !entry.deleted && entry.eligible.contains(back_end))
    }

    /// Returns whether the service exists, is not deleted, and selects the back
    /// end.
    pub fn selects(&self, service: &ServiceId, back_end: &BackEndId) -> bool {
        let entry = self.services.get(service);
        entry.is_some_and(|entry| !entry.deleted && entry.eligible.contains(back_end))
    }
}
