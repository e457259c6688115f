//! A router's copy of one group's records.

use threadledge_types::records::{
    BackEndRecord, RecordChange, RecordDelta, ServiceRecord, SessionRecord, SliceKey, SliceRecord,
};
use threadledge_types::{BackEndId, GroupId, Revision, ServiceId, SessionId};

use crate::apply::{Applied, ApplyError};
use crate::change_log::Position;
use crate::message::Resume;
use crate::page::{DeltaPage, PageBuilder, PageLimits};
use crate::tables::Tables;

/// Default maximum number of tombstones.
const DEFAULT_MAX_TOMBSTONES: usize = 4_096;

/// A copy of one group's records, with the revision at which each last changed.
///
/// Invariant: the records are exactly those of the group's log at
/// [`Replica::revision`], which never decreases (ensured by `advance_to`, the
/// only place that sets it).
#[derive(Clone, Debug)]
pub struct Replica {
    group: GroupId,
    revision: Revision,
    max_tombstones: usize,
    tables: Tables,
}

impl Replica {
    /// Creates an empty copy.
    pub fn new(group: GroupId) -> Self {
        Replica::with_max_tombstones(group, DEFAULT_MAX_TOMBSTONES)
    }

    /// Creates an empty copy that keeps at most `max_tombstones` removed
    /// records.
    pub fn with_max_tombstones(group: GroupId, max_tombstones: usize) -> Self {
        Replica {
            group,
            revision: Revision::NONE,
            max_tombstones,
            tables: Tables::new(max_tombstones, Position::default()),
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

    /// Applies the changes of one committed entry, on a member of the group.
    ///
    /// Entries at or below the copy's revision are ignored, because the copy
    /// already has them. The first entry of a later generation starts from an
    /// empty state, as that generation's log does.
    pub fn commit(&mut self, revision: Revision, changes: &[RecordChange]) {
        if revision <= self.revision {
            return;
        }
        if revision.generation != self.revision.generation {
            self.clear(Position::default());
        }
        self.advance_to(revision, changes);
    }

    /// Replaces the entire copy after a snapshot was restored. Ignored when
    /// `revision` is not above the copy's.
    pub fn replace(&mut self, revision: Revision, changes: &[RecordChange]) {
        if revision <= self.revision {
            return;
        }
        self.clear(Position::max_of_index(revision.index));
        self.advance_to(revision, changes);
        self.tables.slices.compact();
        self.tables.log.compact();
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

    /// Returns the first page, of at most `max_changes`, of the changes since
    /// `from`. It is part of the full state when `from` is of another
    /// generation or older than the tombstones kept.
    pub fn delta_since(&self, from: Revision, max_changes: usize) -> DeltaPage {
        let limits = PageLimits {
            max_changes,
            ..PageLimits::NONE
        };
        self.page(from, None, limits)
    }

    /// Returns all changes since `from`, ordered so that a record comes after
    /// those it refers to: removed services first, then services, back ends,
    /// sessions and slices, and the other removals last.
    pub fn ordered_delta_since(&self, from: Revision) -> RecordDelta {
        let mut delta = self.page(from, None, PageLimits::NONE).delta;
        delta.changes.sort_by_key(dependency_order);
        delta
    }

    /// Returns one page of the changes since `from`, continuing at `resume`.
    ///
    /// The copy may advance between two pages: a record that changes moves to
    /// the end of the log, so a later page carries it, and the pages together
    /// lead to the revision of the last one. When a tombstone that the receiver
    /// needs was already dropped, the transfer starts again.
    pub fn page(&self, from: Revision, resume: Option<Resume>, limits: PageLimits) -> DeltaPage {
        let continued = resume.is_some_and(|resume| self.can_continue(&resume));
        let resume = match resume {
            Some(resume) if continued => resume,
            _ => self.start_transfer(from),
        };
        let mut cursor = Position {
            index: resume.index,
            ordinal: resume.ordinal,
        };
        let mut builder = PageBuilder::new(limits);
        let mut more = false;
        for (position, entry) in self.tables.log.entries_after(cursor) {
            let is_skippable = resume.full && entry.removed && position.index <= resume.began.index;
            if !is_skippable && !builder.add(self.tables.change(entry)) {
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

    /// Returns a service by id.
    pub fn service(&self, id: &ServiceId) -> Option<&ServiceRecord> {
        self.tables
            .services
            .get(id)
            .map(|versioned| &versioned.record)
    }

    /// Returns a back end by id.
    pub fn back_end(&self, id: &BackEndId) -> Option<&BackEndRecord> {
        self.tables
            .back_ends
            .get(id)
            .map(|versioned| &versioned.record)
    }

    /// Returns a session by id.
    pub fn session(&self, id: &SessionId) -> Option<&SessionRecord> {
        self.tables
            .sessions
            .get(id)
            .map(|versioned| &versioned.record)
    }

    /// Returns a slice by its first point.
    pub fn slice(&self, key: &SliceKey) -> Option<SliceRecord> {
        self.tables.slices.get(&key.service, key.first)
    }

    /// All services, in the order of their ids.
    pub fn services(&self) -> impl Iterator<Item = &ServiceRecord> {
        self.tables
            .services
            .values()
            .map(|versioned| &versioned.record)
    }

    /// All back ends, in the order of their ids.
    pub fn back_ends(&self) -> impl Iterator<Item = &BackEndRecord> {
        self.tables
            .back_ends
            .values()
            .map(|versioned| &versioned.record)
    }

    /// All open sessions, in the order of their ids.
    pub fn sessions(&self) -> impl Iterator<Item = &SessionRecord> {
        self.tables
            .sessions
            .values()
            .map(|versioned| &versioned.record)
    }

    /// All slices, in the order of their keys.
    pub fn slices(&self) -> impl Iterator<Item = SliceRecord> {
        self.tables.slices.iter()
    }

    /// Returns every record, for bootstrapping a new generation of the group
    /// from this copy.
    pub fn records(&self) -> Vec<RecordChange> {
        let back_ends = self.back_ends().cloned();
        let back_ends = back_ends.map(|record| RecordChange::BackEnd(Box::new(record)));
        let services = self.services().cloned();
        let services = services.map(|record| RecordChange::Service(Box::new(record)));
        let sessions = self.sessions().cloned().map(RecordChange::Session);
        let slices = self.slices().map(RecordChange::Slice);
        let back_ends_and_services = back_ends.chain(services);
        back_ends_and_services
            .chain(sessions)
            .chain(slices)
            .collect()
    }

    /// The slices of one service, in the order of their points.
    pub fn slices_of(&self, service: &ServiceId) -> impl Iterator<Item = SliceRecord> {
        self.tables.slices.of_service(service)
    }

    /// Number of slices.
    pub fn slice_count(&self) -> usize {
        self.tables.slices.len()
    }

    /// Checks that a delta fits the copy.
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

    /// Whether a transfer can continue at this position.
    fn can_continue(&self, resume: &Resume) -> bool {
        let cursor = Position {
            index: resume.index,
            ordinal: resume.ordinal,
        };
        // A full transfer began from an empty copy and needs the removals since
        // then; a delta needs those that earlier pages did not carry yet.
        let needed_after = if resume.full {
            Position::max_of_index(resume.began.index)
        } else {
            cursor
        };
        resume.began.generation == self.revision.generation
            && resume.began <= self.revision
            && self.tables.log.is_complete_after(needed_after)
    }

    /// Returns the start of a transfer to a copy at `from`.
    fn start_transfer(&self, from: Revision) -> Resume {
        let after = Position::max_of_index(from.index);
        let full = from.generation != self.revision.generation
            || !self.tables.log.is_complete_after(after);
        let cursor = if full { Position::default() } else { after };
        Resume {
            began: self.revision,
            full,
            index: cursor.index,
            ordinal: cursor.ordinal,
        }
    }

    fn clear(&mut self, complete_from: Position) {
        self.tables = Tables::new(self.max_tombstones, complete_from);
    }

    /// The only place that changes the revision; callers have checked that it
    /// increases.
    fn advance_to(&mut self, revision: Revision, changes: &[RecordChange]) {
        debug_assert!(revision > self.revision);
        let mut position = Position::min_of_index(revision.index);
        for change in changes {
            // Ordinals start at 1, so that no entry has the default position,
            // which is the cursor before all entries.
            position.ordinal += 1;
            self.tables.apply_change(change, position);
        }
        self.revision = revision;
    }
}

/// Sort key of a kind of change in [`Replica::ordered_delta_since`]. Sorting is
/// safe there because the log holds one entry per record, and no slice older
/// than the removal of its service.
fn dependency_order(change: &RecordChange) -> u8 {
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
