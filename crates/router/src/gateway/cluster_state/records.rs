//! An ownership record with the revision at which each slice last changed.
//!
//! A follower at an earlier revision receives only the slices that changed
//! since: the size of a change depends on what changed, not on how long ago
//! that was.

use std::collections::VecDeque;

use threadledge_coordination::action::{StoreRevision, Versioned};
use threadledge_coordination::{OwnershipRecord, Slice};

use super::super::changes::RecordChange;

/// Most earlier revisions kept. A coordinator writes up to ten a second, so
/// this covers more than a minute; followers further behind receive the full
/// record.
const MAX_EARLIER_REVISIONS: usize = 1_024;

/// An ownership record with its change history.
#[derive(Clone, Debug)]
pub struct TrackedRecord {
    found: Versioned<OwnershipRecord>,
    /// The revision at which each slice last changed.
    changed_at: Vec<StoreRevision>,
    /// Earlier revisions, oldest first.
    earlier: VecDeque<StoreRevision>,
}

impl TrackedRecord {
    /// Starts tracking a record that has no known earlier revision.
    pub fn new(found: Versioned<OwnershipRecord>) -> Self {
        TrackedRecord {
            changed_at: vec![found.revision; found.value.slices.len()],
            earlier: VecDeque::new(),
            found,
        }
    }

    /// The latest known record.
    pub fn found(&self) -> &Versioned<OwnershipRecord> {
        &self.found
    }

    /// Replaces the record with a later revision.
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

    /// The change from an earlier revision; `None` if that revision was never
    /// seen here or is no longer kept.
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
