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
const REMEMBERED: usize = 1_024;

/// One record.
#[derive(Clone, Debug)]
pub struct TrackedRecord {
    found: Versioned<OwnershipRecord>,
    /// For each slice, the revision with which it came.
    since: Vec<StoreRevision>,
    /// Revisions that were known before, the latest last.
    earlier: VecDeque<StoreRevision>,
}

impl TrackedRecord {
    /// A record that was not known before.
    pub fn new(found: Versioned<OwnershipRecord>) -> Self {
        TrackedRecord {
            since: vec![found.revision; found.value.slices.len()],
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
        let mut known = self.found.value.slices.iter().zip(&self.since).peekable();
        let since = found.value.slices.iter().map(|slice| {
            let first = slice.range.first;
            while known
                .next_if(|(before, _)| before.range.first < first)
                .is_some()
            {}
            match known.peek() {
                Some((before, since)) if *before == slice => **since,
                _ => found.revision,
            }
        });
        self.since = since.collect();
        self.earlier.push_back(self.found.revision);
        if self.earlier.len() > REMEMBERED {
            self.earlier.pop_front();
        }
        self.found = found;
    }

    /// What changed since a revision; `None`: that was never known here, or is
    /// forgotten.
    pub fn change_since(&self, mark: StoreRevision) -> Option<RecordChange> {
        self.earlier.binary_search(&mark).ok()?;
        let slices = self.found.value.slices.iter().zip(&self.since);
        let later = slices.filter(|(_, since)| **since > mark);
        let slices: Vec<Slice> = later.map(|(slice, _)| slice.clone()).collect();
        Some(RecordChange {
            from: mark,
            to: self.found.revision,
            term: self.found.value.term,
            next_fence: self.found.value.next_fence,
            slices,
        })
    }
}
