//! A router's copy of one group's records.

use threadledge_types::records::{BackEndRecord, ServiceRecord, SessionRecord, SliceRecord};
use threadledge_types::records::{RecordChange, RecordDelta, SliceKey};
use threadledge_types::{BackEndId, GroupId, Revision, ServiceId, SessionId};

use crate::message::Resume;

/// A copy of one group's records, with the index at which each last changed.
#[derive(Clone, Debug)]
pub struct Replica {
    group: GroupId,
    revision: Revision,
}

/// A delta was applied.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Applied {
    /// Revision before.
    pub from: Revision,
    /// Revision afterwards.
    pub to: Revision,
}

/// Why a delta was not applied. The copy is unchanged.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ApplyError {
    /// The delta starts after the copy's revision.
    #[error("the delta starts at {from}, the copy is at {have}; pull from {have}")]
    Gap {
        /// Revision of the copy.
        have: Revision,
        /// Revision the delta starts from.
        from: Revision,
    },
    /// The delta leads to nothing newer; a copy never goes back.
    #[error("the delta leads to {to}, the copy is at {have} already; drop the delta")]
    Stale {
        /// Revision of the copy.
        have: Revision,
        /// Revision the delta leads to.
        to: Revision,
    },
    /// The delta belongs to another group.
    #[error("the delta is of group {other}, the copy of group {group}; send it to group {other}")]
    OtherGroup {
        /// Group of the copy.
        group: GroupId,
        /// Group of the delta.
        other: GroupId,
    },
}

/// One page of a delta.
#[derive(Clone, Debug, PartialEq)]
pub struct DeltaPage {
    /// The changes of this page; only after the last page does the copy have
    /// the revision `to`.
    pub delta: RecordDelta,
    /// Where the next page begins; `None` when this is the last one.
    pub resume: Option<Resume>,
}

impl Replica {
    /// An empty copy.
    pub fn new(group: GroupId) -> Self {
        Replica {
            group,
            revision: Revision::NONE,
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
    /// Entries at or below the copy's revision are ignored.
    pub fn commit(&mut self, revision: Revision, changes: &[RecordChange]) {
        let _ = changes;
        self.revision = self.revision.max(revision);
    }

    /// Replaces the whole copy, after a restored snapshot. Ignored when
    /// `revision` is below the copy's.
    pub fn replace(&mut self, revision: Revision, changes: &[RecordChange]) {
        let _ = changes;
        self.revision = self.revision.max(revision);
    }

    /// Applies a complete delta.
    pub fn apply(&mut self, delta: &RecordDelta) -> Result<Applied, ApplyError> {
        let from = self.revision;
        self.revision = delta.to;
        Ok(Applied { from, to: delta.to })
    }

    /// The first page, of at most `max_changes`, of what changed since `from`.
    pub fn delta_since(&self, from: Revision, max_changes: usize) -> DeltaPage {
        let _ = max_changes;
        DeltaPage {
            delta: RecordDelta {
                group: self.group,
                from,
                to: self.revision,
                full: false,
                changes: Vec::new(),
            },
            resume: None,
        }
    }

    /// A service by id.
    pub fn service(&self, id: &ServiceId) -> Option<&ServiceRecord> {
        let _ = id;
        None
    }

    /// A back end by id.
    pub fn back_end(&self, id: &BackEndId) -> Option<&BackEndRecord> {
        let _ = id;
        None
    }

    /// A session by id.
    pub fn session(&self, id: &SessionId) -> Option<&SessionRecord> {
        let _ = id;
        None
    }

    /// A slice by its start.
    pub fn slice(&self, key: &SliceKey) -> Option<SliceRecord> {
        let _ = key;
        None
    }

    /// All services, in the order of their ids.
    pub fn services(&self) -> impl Iterator<Item = &ServiceRecord> {
        std::iter::empty()
    }

    /// All back ends, in the order of their ids.
    pub fn back_ends(&self) -> impl Iterator<Item = &BackEndRecord> {
        std::iter::empty()
    }

    /// All open sessions, in the order of their ids.
    pub fn sessions(&self) -> impl Iterator<Item = &SessionRecord> {
        std::iter::empty()
    }

    /// All slices, in the order of their keys.
    pub fn slices(&self) -> impl Iterator<Item = SliceRecord> {
        std::iter::empty()
    }

    /// The slices of one service, in the order of their points.
    pub fn slices_of(&self, service: &ServiceId) -> impl Iterator<Item = SliceRecord> {
        let _ = service;
        std::iter::empty()
    }
}
