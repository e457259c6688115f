//! Log of the last change of each record, including removals.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use threadledge_types::{BackEndId, Point, ServiceId, SessionId};

/// Position of a change in the log: the index of its revision, and its ordinal
/// among the changes of that revision.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Position {
    pub(crate) index: u64,
    pub(crate) ordinal: u32,
}

impl Position {
    /// Returns the lowest position of a revision.
    pub(crate) const fn min_of_index(index: u64) -> Self {
        Position { index, ordinal: 0 }
    }

    /// Returns the highest position of a revision.
    pub(crate) const fn max_of_index(index: u64) -> Self {
        Position {
            index,
            ordinal: u32::MAX,
        }
    }
}

/// Identity of a record.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum RecordKey {
    Service(Arc<ServiceId>),
    BackEnd(Arc<BackEndId>),
    Session(Arc<SessionId>),
    Slice(Arc<ServiceId>, Point),
}

/// Entry of the log: a record that was written or removed.
#[derive(Clone, Debug)]
pub(crate) struct LogEntry {
    pub(crate) key: RecordKey,
    pub(crate) removed: bool,
}

/// The last change of every record, in order. Removals are kept as tombstones
/// up to a bound; a copy that is older than the oldest tombstone needs a full
/// state.
#[derive(Clone, Debug)]
pub(crate) struct ChangeLog {
    /// All entries by position.
    order: BTreeMap<Position, LogEntry>,
    tombstones: BTreeMap<RecordKey, Position>,
    tombstone_order: BTreeSet<Position>,
    /// Removals up to and including this position may be missing.
    pruned_through: Position,
    max_tombstones: usize,
}

impl ChangeLog {
    /// Creates a log without tombstones for removals up to and including
    /// `complete_from`.
    pub(crate) fn new(max_tombstones: usize, complete_from: Position) -> Self {
        ChangeLog {
            order: BTreeMap::new(),
            tombstones: BTreeMap::new(),
            tombstone_order: BTreeSet::new(),
            pruned_through: complete_from,
            max_tombstones,
        }
    }

    /// Records the write of a record. `previous` is its former position.
    ///
    /// A record that is written with an unchanged value moves as well, because
    /// another copy may have seen a different value in between.
    pub(crate) fn record_write(
        &mut self,
        key: RecordKey,
        previous: Option<Position>,
        at: Position,
    ) {
        self.remove_entry(previous);
        // The removal of a service also removes its slices, so it stays in the
        // log when a service with the same name is created again.
        if !matches!(key, RecordKey::Service(_)) {
            self.remove_tombstone(&key);
        }
        let removed = false;
        self.order.insert(at, LogEntry { key, removed });
    }

    /// Records the removal of a record, even one that this copy never had,
    /// because a copy further down the tree may have it.
    pub(crate) fn record_removal(
        &mut self,
        key: RecordKey,
        previous: Option<Position>,
        at: Position,
    ) {
        self.remove_entry(previous);
        self.remove_tombstone(&key);
        self.tombstones.insert(key.clone(), at);
        self.tombstone_order.insert(at);
        let removed = true;
        self.order.insert(at, LogEntry { key, removed });
        self.prune();
    }

    /// Removes the entry at `previous`, whose record is removed together with
    /// another.
    pub(crate) fn remove_entry(&mut self, previous: Option<Position>) {
        if let Some(previous) = previous {
            self.order.remove(&previous);
        }
    }

    /// Rebuilds the index compactly, because ordered insertion leaves its nodes
    /// half empty.
    pub(crate) fn compact(&mut self) {
        self.order = std::mem::take(&mut self.order).into_iter().collect();
    }

    /// Entries after `position`, in order.
    pub(crate) fn entries_after(
        &self,
        position: Position,
    ) -> impl Iterator<Item = (Position, &LogEntry)> {
        use std::ops::Bound::{Excluded, Unbounded};
        self.order
            .range((Excluded(position), Unbounded))
            .map(|(position, entry)| (*position, entry))
    }

    /// Whether the log has every removal after `position`.
    pub(crate) fn is_complete_after(&self, position: Position) -> bool {
        self.pruned_through <= position
    }

    fn remove_tombstone(&mut self, key: &RecordKey) {
        if let Some(position) = self.tombstones.remove(key) {
            self.tombstone_order.remove(&position);
            self.order.remove(&position);
        }
    }

    fn prune(&mut self) {
        while self.tombstone_order.len() > self.max_tombstones {
            let Some(oldest) = self.tombstone_order.pop_first() else {
                return;
            };
            if let Some(entry) = self.order.remove(&oldest) {
                self.tombstones.remove(&entry.key);
            }
            self.pruned_through = oldest;
        }
    }
}
