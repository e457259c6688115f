//! Reading the state.

use std::collections::BTreeSet;

use threadledge_types::records::{
    BackEndRecord, RecordChange, ServiceRecord, SessionRecord, SliceKey, SliceRecord,
};
use threadledge_types::{BackEndId, GroupId, Point, Revision, ServiceId, SessionId};

use super::entries::ServiceEntry;
use super::{StateMachine, slice_record};
use crate::command::LeaderTerm;

impl StateMachine {
    /// The group.
    pub fn group(&self) -> GroupId {
        self.group
    }

    /// Revision of the entry applied last.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// The latest term that began.
    pub fn term(&self) -> LeaderTerm {
        self.term
    }

    /// Whether leases of an earlier founding may still run.
    pub fn is_recovering(&self) -> bool {
        self.recovering
    }

    /// Every record, for a full copy.
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

    /// Accepted services.
    pub fn services(&self) -> impl Iterator<Item = &ServiceRecord> {
        self.live_services().map(|entry| &entry.record)
    }

    /// One accepted service.
    pub fn service(&self, id: &ServiceId) -> Option<&ServiceRecord> {
        let entry = self.services.get(id).filter(|entry| !entry.deleted)?;
        Some(&entry.record)
    }

    /// Back ends in force, including deleted ones whose session is still open.
    pub fn back_ends(&self) -> impl Iterator<Item = &BackEndRecord> {
        self.back_ends.values().map(|entry| &entry.record)
    }

    /// One back end in force.
    pub fn back_end(&self, id: &BackEndId) -> Option<&BackEndRecord> {
        self.back_ends.get(id).map(|entry| &entry.record)
    }

    /// Whether the back end was deleted or gets other addresses, and waits
    /// for its session to end.
    pub fn is_retiring(&self, id: &BackEndId) -> bool {
        let entry = self.back_ends.get(id);
        entry.is_some_and(|entry| entry.successor.is_some())
    }

    /// Open sessions.
    pub fn sessions(&self) -> impl Iterator<Item = &SessionRecord> {
        self.sessions.values().map(|entry| &entry.record)
    }

    /// The open session of a back end.
    pub fn session(&self, back_end: &BackEndId) -> Option<&SessionRecord> {
        self.sessions.get(back_end).map(|entry| &entry.record)
    }

    /// Revision at which the open session of a back end opened.
    pub fn session_opened(&self, back_end: &BackEndId) -> Option<Revision> {
        self.sessions.get(back_end).map(|entry| entry.opened)
    }

    /// Whether exactly this session is open.
    pub fn is_open(&self, session: &SessionId) -> bool {
        let record = self.session(&session.back_end);
        record.is_some_and(|record| record.id == *session)
    }

    /// Slices of a service in order; also those of a deleted service that
    /// still has owned ones.
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

    /// The slice of a service that contains `point`.
    pub fn slice_at(&self, service: &ServiceId, point: Point) -> Option<SliceRecord> {
        let entry = self.services.get(service)?;
        let (first, slice) = entry.slices.range(..=point).next_back()?;
        Some(slice_record(service, *first, slice))
    }

    /// The slice that starts at exactly that point.
    pub fn slice(&self, key: &SliceKey) -> Option<SliceRecord> {
        let entry = self.services.get(&key.service)?;
        let slice = entry.slices.get(&key.first)?;
        Some(slice_record(&key.service, key.first, slice))
    }

    /// Revision that last changed the slice in any way.
    pub fn slice_revision(&self, key: &SliceKey) -> Option<Revision> {
        let entry = self.services.get(&key.service)?;
        Some(entry.slices.get(&key.first)?.revision)
    }

    /// Slices owned by the open session of a back end.
    pub fn slices_of_session<'a>(
        &'a self,
        back_end: &BackEndId,
    ) -> impl Iterator<Item = &'a SliceKey> + use<'a> {
        let entry = self.sessions.get(back_end);
        entry.into_iter().flat_map(|entry| entry.slices.iter())
    }

    /// Slices that are being moved.
    pub fn pending_moves(&self) -> &BTreeSet<SliceKey> {
        &self.pending_moves
    }

    /// Slices that are being moved to a back end.
    pub fn incoming_moves<'a>(
        &'a self,
        back_end: &BackEndId,
    ) -> impl Iterator<Item = &'a SliceKey> + use<'a> {
        let keys = self.incoming.get(back_end);
        keys.into_iter().flat_map(|keys| keys.iter())
    }

    /// Owned slices that the owner shall give up: it is leaving, the service
    /// no longer selects it, or the service was deleted.
    pub fn misplaced(&self) -> &BTreeSet<SliceKey> {
        &self.misplaced
    }

    /// Back ends that the service's selector selects, with or without a
    /// session.
    pub fn eligible_back_ends<'a>(
        &'a self,
        service: &ServiceId,
    ) -> impl Iterator<Item = &'a BackEndId> + use<'a> {
        let entry = self.services.get(service);
        entry.into_iter().flat_map(|entry| entry.eligible.iter())
    }

    /// Sessions that may be given slices of the service.
    pub fn eligible_sessions<'a>(
        &'a self,
        service: &ServiceId,
    ) -> impl Iterator<Item = &'a SessionId> + use<'a> {
        self.eligible_back_ends(service).filter_map(|back_end| {
            let session = self.session(back_end)?;
            (!session.draining).then_some(&session.id)
        })
    }

    /// Whether any service selects the back end.
    ///
    /// The store holds the back ends of every region, and a region's group has
    /// to do only with those that its own services select.
    pub fn is_selected(&self, back_end: &BackEndId) -> bool {
        let start = ServiceId::new(back_end.namespace.clone(), "");
        let following = self.services.range(start..);
        let mut same = following.take_while(|(id, _)| id.namespace == back_end.namespace);
        same.any(|(_, entry)| !entry.deleted && entry.eligible.contains(back_end))
    }

    /// Whether the service exists, is not deleted, and selects the back end.
    pub fn selects(&self, service: &ServiceId, back_end: &BackEndId) -> bool {
        let entry = self.services.get(service);
        entry.is_some_and(|entry| !entry.deleted && entry.eligible.contains(back_end))
    }
}
