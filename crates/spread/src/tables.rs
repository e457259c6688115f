//! The records of a copy, by kind, and the order of their last changes.

use std::collections::BTreeMap;
use std::sync::Arc;

use threadledge_types::records::{
    BackEndRecord, RecordChange, ServiceRecord, SessionRecord, SliceKey, SliceRecord,
};
use threadledge_types::{BackEndId, ServiceId, SessionId};

use crate::change_log::{ChangeLog, LogEntry, Position, RecordKey};
use crate::intern::Interner;
use crate::slice_table::{SliceEntry, SliceTable};

/// A record and the position of its last change.
#[derive(Clone, Debug)]
pub(crate) struct Versioned<R> {
    pub(crate) record: R,
    position: Position,
}

/// The records of a copy, by kind, and the order of their last changes.
#[derive(Clone, Debug)]
pub(crate) struct Tables {
    pub(crate) services: BTreeMap<Arc<ServiceId>, Versioned<ServiceRecord>>,
    pub(crate) back_ends: BTreeMap<Arc<BackEndId>, Versioned<BackEndRecord>>,
    pub(crate) sessions: BTreeMap<Arc<SessionId>, Versioned<SessionRecord>>,
    pub(crate) slices: SliceTable,
    pub(crate) log: ChangeLog,
    service_ids: Interner<ServiceId>,
    back_end_ids: Interner<BackEndId>,
    session_ids: Interner<SessionId>,
}

impl Tables {
    /// Creates empty tables; removals up to `complete_from` are unknown.
    pub(crate) fn new(max_tombstones: usize, complete_from: Position) -> Self {
        Tables {
            services: BTreeMap::new(),
            back_ends: BTreeMap::new(),
            sessions: BTreeMap::new(),
            slices: SliceTable::default(),
            log: ChangeLog::new(max_tombstones, complete_from),
            service_ids: Interner::new(),
            back_end_ids: Interner::new(),
            session_ids: Interner::new(),
        }
    }

    /// Applies one change and records it in the change log.
    pub(crate) fn apply_change(&mut self, change: &RecordChange, position: Position) {
        match change {
            RecordChange::Service(record) => self.put_service(record, position),
            RecordChange::ServiceRemoved(id) => self.remove_service(id, position),
            RecordChange::BackEnd(record) => self.put_back_end(record, position),
            RecordChange::BackEndRemoved(id) => self.remove_back_end(id, position),
            RecordChange::Session(record) => self.put_session(record, position),
            RecordChange::SessionRemoved(id) => self.remove_session(id, position),
            RecordChange::Slice(record) => self.put_slice(record, position),
            RecordChange::SliceRemoved(key) => self.remove_slice(key, position),
        }
    }

    fn put_service(&mut self, record: &ServiceRecord, position: Position) {
        let id = self.service_ids.intern(&record.id);
        let record = record.clone();
        let versioned = Versioned { record, position };
        let old = self.services.insert(Arc::clone(&id), versioned);
        let previous = old.map(|old| old.position);
        self.log
            .record_write(RecordKey::Service(id), previous, position);
    }

    fn remove_service(&mut self, id: &ServiceId, position: Position) {
        let id = self.service_ids.intern(id);
        for slice in self.slices.remove_service(&id) {
            self.log.remove_entry(Some(slice));
        }
        let previous = self.services.remove(&id).map(|old| old.position);
        self.log
            .record_removal(RecordKey::Service(id), previous, position);
    }

    fn put_back_end(&mut self, record: &BackEndRecord, position: Position) {
        let id = self.back_end_ids.intern(&record.id);
        let record = record.clone();
        let versioned = Versioned { record, position };
        let old = self.back_ends.insert(Arc::clone(&id), versioned);
        let previous = old.map(|old| old.position);
        self.log
            .record_write(RecordKey::BackEnd(id), previous, position);
    }

    fn remove_back_end(&mut self, id: &BackEndId, position: Position) {
        let id = self.back_end_ids.intern(id);
        let previous = self.back_ends.remove(&id).map(|old| old.position);
        self.log
            .record_removal(RecordKey::BackEnd(id), previous, position);
    }

    fn put_session(&mut self, record: &SessionRecord, position: Position) {
        let id = self.session_ids.intern(&record.id);
        let record = record.clone();
        let versioned = Versioned { record, position };
        let old = self.sessions.insert(Arc::clone(&id), versioned);
        let previous = old.map(|old| old.position);
        self.log
            .record_write(RecordKey::Session(id), previous, position);
    }

    fn remove_session(&mut self, id: &SessionId, position: Position) {
        let id = self.session_ids.intern(id);
        let previous = self.sessions.remove(&id).map(|old| old.position);
        self.log
            .record_removal(RecordKey::Session(id), previous, position);
    }

    fn put_slice(&mut self, record: &SliceRecord, position: Position) {
        let service = self.service_ids.intern(&record.service);
        let first = record.slice.first;
        let owner = record.owner.as_ref();
        let next = record.next.as_ref();
        let entry = SliceEntry {
            last: record.slice.last,
            owner: owner.map(|owner| self.session_ids.intern(owner)),
            epoch: record.epoch,
            next: next.map(|next| self.back_end_ids.intern(next)),
            position,
        };
        let previous = self.slices.insert(Arc::clone(&service), first, entry);
        let key = RecordKey::Slice(service, first);
        self.log.record_write(key, previous, position);
    }

    fn remove_slice(&mut self, key: &SliceKey, position: Position) {
        let service = self.service_ids.intern(&key.service);
        let previous = self.slices.remove(&service, key.first);
        let key = RecordKey::Slice(service, key.first);
        self.log.record_removal(key, previous, position);
    }

    /// Returns the change that a log entry represents.
    pub(crate) fn change(&self, entry: &LogEntry) -> RecordChange {
        let current = if entry.removed {
            None
        } else {
            self.current_record(&entry.key)
        };
        current.unwrap_or_else(|| removal_change(&entry.key))
    }

    fn current_record(&self, key: &RecordKey) -> Option<RecordChange> {
        match key {
            RecordKey::Service(id) => {
                let record = self.services.get(id)?.record.clone();
                Some(RecordChange::Service(Box::new(record)))
            }
            RecordKey::BackEnd(id) => {
                let record = self.back_ends.get(id)?.record.clone();
                Some(RecordChange::BackEnd(Box::new(record)))
            }
            RecordKey::Session(id) => {
                let record = self.sessions.get(id)?.record.clone();
                Some(RecordChange::Session(record))
            }
            RecordKey::Slice(service, first) => {
                Some(RecordChange::Slice(self.slices.get(service, *first)?))
            }
        }
    }
}

fn removal_change(key: &RecordKey) -> RecordChange {
    match key {
        RecordKey::Service(id) => RecordChange::ServiceRemoved(id.as_ref().clone()),
        RecordKey::BackEnd(id) => RecordChange::BackEndRemoved(id.as_ref().clone()),
        RecordKey::Session(id) => RecordChange::SessionRemoved(id.as_ref().clone()),
        RecordKey::Slice(service, first) => RecordChange::SliceRemoved(SliceKey {
            service: service.as_ref().clone(),
            first: *first,
        }),
    }
}
