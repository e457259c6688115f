//! An ownership record, and which of its slices came with which revision.
//!
//! Whoever knows one of its earlier revisions is told the slices that came
//! later: what is told grows with what changed, however long ago that was.

use std::collections::VecDeque;

use threadledge_coordination::action::{StoreRevision, Versioned};
use threadledge_coordination::{OwnershipRecord, Slice};

use super::super::changes::RecordChange;

/// Earlier revisions that are remembered: a coordinator writes up to ten a
/// second, and who is more than a minute behind is told everything.
const MAX_EARLIER_REVISIONS: usize = 1_024;

/// One record.
#[derive(Clone, Debug)]
pub struct TrackedRecord {
    found: Versioned<OwnershipRecord>,
    /// For each slice, the revision with which it came.
    changed_at: Vec<StoreRevision>,
    /// Revisions that were known before, the latest last.
    earlier: VecDeque<StoreRevision>,
}

impl TrackedRecord {
    /// A record that was not known before.
    pub fn new(found: Versioned<OwnershipRecord>) -> Self {
        TrackedRecord {
            changed_at: vec![found.revision; found.value.slices.len()],
            earlier: VecDeque::new(),
            found,
        }
    }

    /// The record as known last.
    pub fn found(&self) -> &Versioned<OwnershipRecord> {
        &self.found
    }

    /// Takes a later revision.
    pub fn replace(&mut self, found: Versioned<OwnershipRecord>) {
        let mut known = self
            .found
            .value
            .slices
            .iter()
            .zip(&self.changed_at)
            .peekable();
        let changed_at = found.value.slices.iter().map(|slice| {
            let first = slice.range.first;
            while known
                .next_if(|(before, _)| before.range.first < first)
                .is_some()
            {}
            match known.peek() {
                Some((before, changed_at)) if *before == slice => **changed_at,
                _ => found.revision,
            }
        });
        self.changed_at = changed_at.collect();
        self.earlier.push_back(self.found.revision);
        if self.earlier.len() > MAX_EARLIER_REVISIONS {
            self.earlier.pop_front();
        }
        self.found = found;
    }

    /// What changed since a revision; `None`: that was never known here, or is
    /// forgotten.
    pub fn change_since(&self, known_revision: StoreRevision) -> Option<RecordChange> {
        self.earlier.binary_search(&known_revision).ok()?;
        let slices = self.found.value.slices.iter().zip(&self.changed_at);
        let later = slices.filter(|(_, changed_at)| **changed_at > known_revision);
        let slices: Vec<Slice> = later.map(|(slice, _)| slice.clone()).collect();
        Some(RecordChange {
            from: known_revision,
            to: self.found.revision,
            term: self.found.value.term,
            next_fence: self.found.value.next_fence,
            slices,
        })
    }
}
