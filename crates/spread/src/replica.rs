//! A router's copy of one group's records.

use std::collections::BTreeMap;
use std::sync::Arc;

use threadledge_types::records::{
    BackEndRecord, RecordChange, RecordDelta, ServiceRecord, SessionRecord, SliceKey, SliceRecord,
};
use threadledge_types::{BackEndId, GroupId, Revision, ServiceId, SessionId};

use crate::apply::{Applied, ApplyError};
use crate::change_log::{ChangeLog, LogEntry, Position, RecordKey};
use crate::intern::Interner;
use crate::message::Resume;
use crate::page::{DeltaPage, PageBuilder, PageLimits};
use crate::slice_table::{SliceEntry, SliceTable};

/// Most removed records remembered, if not set otherwise.
const DEFAULT_MAX_TOMBSTONES: usize = 4_096;

/// A record and where it last changed.
#[derive(Clone, Debug)]
struct Versioned<R> {
    record: R,
    position: Position,
}

/// A copy of one group's records, with the revision at which each last
/// changed.
///
/// Invariant: the records are exactly those of the group's log at
/// [`Replica::revision`], which never decreases (kept in `advance_to`, the
/// only place that sets it).
#[derive(Clone, Debug)]
pub struct Replica {
    group: GroupId,
    revision: Revision,
    max_tombstones: usize,
    services: BTreeMap<Arc<ServiceId>, Versioned<ServiceRecord>>,
    back_ends: BTreeMap<Arc<BackEndId>, Versioned<BackEndRecord>>,
    sessions: BTreeMap<Arc<SessionId>, Versioned<SessionRecord>>,
    slices: SliceTable,
    log: ChangeLog,
    service_ids: Interner<ServiceId>,
    back_end_ids: Interner<BackEndId>,
    session_ids: Interner<SessionId>,
}

impl Replica {
    /// An empty copy.
    pub fn new(group: GroupId) -> Self {
        Replica::with_max_tombstones(group, DEFAULT_MAX_TOMBSTONES)
    }

    /// An empty copy that remembers at most `max_tombstones` removed records.
    pub fn with_max_tombstones(group: GroupId, max_tombstones: usize) -> Self {
        Replica {
            group,
            revision: Revision::NONE,
            max_tombstones,
            services: BTreeMap::new(),
            back_ends: BTreeMap::new(),
            sessions: BTreeMap::new(),
            slices: SliceTable::default(),
            log: ChangeLog::new(max_tombstones, Position::default()),
            service_ids: Interner::new(),
            back_end_ids: Interner::new(),
            session_ids: Interner::new(),
        }
    }

    /// Group of the records.
    pub fn group(&self) -> GroupId {
        self.group
    }

    /// Revision of the copy.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Takes the changes of one committed entry, at a member of the group.
    ///
    /// Entries at or below the copy's revision are ignored: the copy has them
    /// already. The first entry of a later generation starts from an empty
    /// state, as that generation's log does.
    pub fn commit(&mut self, revision: Revision, changes: &[RecordChange]) {
        if revision <= self.revision {
            return;
        }
        if revision.generation != self.revision.generation {
            self.clear(Position::default());
        }
        self.advance_to(revision, changes);
    }

    /// Replaces the whole copy, after a restored snapshot. Ignored when
    /// `revision` is not above the copy's.
    pub fn replace(&mut self, revision: Revision, changes: &[RecordChange]) {
        if revision <= self.revision {
            return;
        }
        self.clear(Position::last_of(revision.index));
        self.advance_to(revision, changes);
    }

    /// Applies a complete delta.
    ///
    /// A delta may start before the copy's revision: its changes are the
    /// values as of its end, so those the copy already has are harmless.
    pub fn apply(&mut self, delta: &RecordDelta) -> Result<Applied, ApplyError> {
        self.check(delta)?;
        let from = self.revision;
        if delta.full {
            self.replace(delta.to, &delta.changes);
        } else {
            self.advance_to(delta.to, &delta.changes);
        }
        Ok(Applied { from, to: delta.to })
    }

    /// The first page, of at most `max_changes`, of what changed since `from`.
    /// It is the whole state when `from` is of another generation or older
    /// than the removals remembered.
    pub fn delta_since(&self, from: Revision, max_changes: usize) -> DeltaPage {
        let limits = PageLimits {
            max_changes,
            ..PageLimits::NONE
        };
        self.page(from, None, limits)
    }

    /// Everything that changed since `from`, ordered so that a record comes
    /// after those it names: removed services first, then services, back
    /// ends, sessions and slices, and the other removals last.
    pub fn difference(&self, from: Revision) -> RecordDelta {
        let mut delta = self.page(from, None, PageLimits::NONE).delta;
        delta.changes.sort_by_key(dependency_rank);
        delta
    }

    /// One page of what changed since `from`, going on at `resume`.
    ///
    /// The copy may advance between two pages: a record that changes moves to
    /// the end of the order, so a later page carries it, and the pages
    /// together lead to the revision of the last one. When a removal that the
    /// receiver needs is no longer remembered, the transfer starts again.
    pub fn page(&self, from: Revision, resume: Option<Resume>, limits: PageLimits) -> DeltaPage {
        let continued = resume.is_some_and(|resume| self.can_continue(&resume));
        let resume = match resume {
            Some(resume) if continued => resume,
            _ => self.begin_transfer(from),
        };
        let mut cursor = Position {
            index: resume.index,
            ordinal: resume.ordinal,
        };
        let mut builder = PageBuilder::new(limits);
        let mut more = false;
        for (position, entry) in self.log.after(cursor) {
            let needless = resume.full && entry.removed && position.index <= resume.began.index;
            if !needless && !builder.add(self.change(entry)) {
                more = true;
                break;
            }
            cursor = position;
        }
        DeltaPage {
            delta: RecordDelta {
                group: self.group,
                from: if resume.full { Revision::NONE } else { from },
                to: self.revision,
                full: resume.full,
                changes: builder.finish(),
            },
            resume: more.then_some(Resume {
                index: cursor.index,
                ordinal: cursor.ordinal,
                ..resume
            }),
            continued,
        }
    }

    /// A service by id.
    pub fn service(&self, id: &ServiceId) -> Option<&ServiceRecord> {
        self.services.get(id).map(|versioned| &versioned.record)
    }

    /// A back end by id.
    pub fn back_end(&self, id: &BackEndId) -> Option<&BackEndRecord> {
        self.back_ends.get(id).map(|versioned| &versioned.record)
    }

    /// A session by id.
    pub fn session(&self, id: &SessionId) -> Option<&SessionRecord> {
        self.sessions.get(id).map(|versioned| &versioned.record)
    }

    /// A slice by its start.
    pub fn slice(&self, key: &SliceKey) -> Option<SliceRecord> {
        self.slices.get(&key.service, key.first)
    }

    /// All services, in the order of their ids.
    pub fn services(&self) -> impl Iterator<Item = &ServiceRecord> {
        self.services.values().map(|versioned| &versioned.record)
    }

    /// All back ends, in the order of their ids.
    pub fn back_ends(&self) -> impl Iterator<Item = &BackEndRecord> {
        self.back_ends.values().map(|versioned| &versioned.record)
    }

    /// All open sessions, in the order of their ids.
    pub fn sessions(&self) -> impl Iterator<Item = &SessionRecord> {
        self.sessions.values().map(|versioned| &versioned.record)
    }

    /// All slices, in the order of their keys.
    pub fn slices(&self) -> impl Iterator<Item = SliceRecord> {
        self.slices.iter()
    }

    /// The slices of one service, in the order of their points.
    pub fn slices_of(&self, service: &ServiceId) -> impl Iterator<Item = SliceRecord> {
        self.slices.of_service(service)
    }

    /// Number of slices.
    pub fn slice_count(&self) -> usize {
        self.slices.len()
    }

    fn check(&self, delta: &RecordDelta) -> Result<(), ApplyError> {
        let have = self.revision;
        if delta.group != self.group {
            return Err(ApplyError::OtherGroup {
                group: self.group,
                other: delta.group,
            });
        }
        if delta.to <= have {
            return Err(ApplyError::Stale { have, to: delta.to });
        }
        let same_generation =
            delta.from.generation == have.generation && delta.to.generation == have.generation;
        if !delta.full && (delta.from > have || !same_generation) {
            return Err(ApplyError::Gap {
                have,
                from: delta.from,
            });
        }
        Ok(())
    }

    fn can_continue(&self, resume: &Resume) -> bool {
        let cursor = Position {
            index: resume.index,
            ordinal: resume.ordinal,
        };
        // A full transfer began from nothing and needs the removals since; a
        // difference needs those that earlier pages did not yet carry.
        let needed_after = if resume.full {
            Position::last_of(resume.began.index)
        } else {
            cursor
        };
        resume.began.generation == self.revision.generation
            && resume.began <= self.revision
            && self.log.is_complete_after(needed_after)
    }

    fn begin_transfer(&self, from: Revision) -> Resume {
        let after = Position::last_of(from.index);
        let full =
            from.generation != self.revision.generation || !self.log.is_complete_after(after);
        let cursor = if full { Position::default() } else { after };
        Resume {
            began: self.revision,
            full,
            index: cursor.index,
            ordinal: cursor.ordinal,
        }
    }

    fn clear(&mut self, complete_from: Position) {
        let empty = Replica::with_max_tombstones(self.group, self.max_tombstones);
        *self = Replica {
            revision: self.revision,
            log: ChangeLog::new(self.max_tombstones, complete_from),
            ..empty
        };
    }

    /// The only place that changes the revision; callers checked that it
    /// grows.
    fn advance_to(&mut self, revision: Revision, changes: &[RecordChange]) {
        debug_assert!(revision > self.revision);
        let mut position = Position::first_of(revision.index);
        for change in changes {
            // Ordinals start at 1, so that no entry stands at the default
            // position, which is the cursor before everything.
            position.ordinal += 1;
            self.put(change, position);
        }
        self.revision = revision;
    }

    fn put(&mut self, change: &RecordChange, position: Position) {
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
        self.log.written(RecordKey::Service(id), previous, position);
    }

    fn remove_service(&mut self, id: &ServiceId, position: Position) {
        let id = self.service_ids.intern(id);
        for slice in self.slices.remove_service(&id) {
            self.log.forget(Some(slice));
        }
        let previous = self.services.remove(&id).map(|old| old.position);
        self.log.removed(RecordKey::Service(id), previous, position);
    }

    fn put_back_end(&mut self, record: &BackEndRecord, position: Position) {
        let id = self.back_end_ids.intern(&record.id);
        let record = record.clone();
        let versioned = Versioned { record, position };
        let old = self.back_ends.insert(Arc::clone(&id), versioned);
        let previous = old.map(|old| old.position);
        self.log.written(RecordKey::BackEnd(id), previous, position);
    }

    fn remove_back_end(&mut self, id: &BackEndId, position: Position) {
        let id = self.back_end_ids.intern(id);
        let previous = self.back_ends.remove(&id).map(|old| old.position);
        self.log.removed(RecordKey::BackEnd(id), previous, position);
    }

    fn put_session(&mut self, record: &SessionRecord, position: Position) {
        let id = self.session_ids.intern(&record.id);
        let record = record.clone();
        let versioned = Versioned { record, position };
        let old = self.sessions.insert(Arc::clone(&id), versioned);
        let previous = old.map(|old| old.position);
        self.log.written(RecordKey::Session(id), previous, position);
    }

    fn remove_session(&mut self, id: &SessionId, position: Position) {
        let id = self.session_ids.intern(id);
        let previous = self.sessions.remove(&id).map(|old| old.position);
        self.log.removed(RecordKey::Session(id), previous, position);
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
        self.log.written(key, previous, position);
    }

    fn remove_slice(&mut self, key: &SliceKey, position: Position) {
        let service = self.service_ids.intern(&key.service);
        let previous = self.slices.remove(&service, key.first);
        let key = RecordKey::Slice(service, key.first);
        self.log.removed(key, previous, position);
    }

    /// The change that an entry of the log stands for.
    fn change(&self, entry: &LogEntry) -> RecordChange {
        let written = if entry.removed {
            None
        } else {
            self.written_change(&entry.key)
        };
        written.unwrap_or_else(|| removal(&entry.key))
    }

    fn written_change(&self, key: &RecordKey) -> Option<RecordChange> {
        match key {
            RecordKey::Service(id) => {
                let record = self.service(id)?.clone();
                Some(RecordChange::Service(Box::new(record)))
            }
            RecordKey::BackEnd(id) => {
                let record = self.back_end(id)?.clone();
                Some(RecordChange::BackEnd(Box::new(record)))
            }
            RecordKey::Session(id) => Some(RecordChange::Session(self.session(id)?.clone())),
            RecordKey::Slice(service, first) => {
                Some(RecordChange::Slice(self.slices.get(service, *first)?))
            }
        }
    }
}

/// Place of a kind of change in [`Replica::difference`]. Sorting is safe
/// there because the log holds one entry for each record, and no slice older
/// than the removal of its service.
fn dependency_rank(change: &RecordChange) -> u8 {
    match change {
        RecordChange::ServiceRemoved(_) => 0,
        RecordChange::Service(_) => 1,
        RecordChange::BackEnd(_) => 2,
        RecordChange::Session(_) => 3,
        RecordChange::Slice(_) => 4,
        RecordChange::SliceRemoved(_) => 5,
        RecordChange::SessionRemoved(_) => 6,
        RecordChange::BackEndRemoved(_) => 7,
    }
}

fn removal(key: &RecordKey) -> RecordChange {
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
