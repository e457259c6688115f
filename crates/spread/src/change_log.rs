//! The order in which records last changed, removals included.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use threadledge_types::{BackEndId, Point, ServiceId, SessionId};

/// When a record last changed: the index of the revision, and the place among
/// the changes of that revision.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Position {
    pub(crate) index: u64,
    pub(crate) ordinal: u32,
}

impl Position {
    /// The first possible position of a revision.
    pub(crate) const fn min_of_index(index: u64) -> Self {
        Position { index, ordinal: 0 }
    }

    /// The last possible position of a revision.
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

/// What happened at a position.
#[derive(Clone, Debug)]
pub(crate) struct LogEntry {
    pub(crate) key: RecordKey,
    pub(crate) removed: bool,
}

/// The last change of every record, in order. Removals are kept up to a
/// bound; a copy that is older than the oldest one kept needs a full state.
#[derive(Clone, Debug)]
pub(crate) struct ChangeLog {
    order: BTreeMap<Position, LogEntry>,
    tombstones: BTreeMap<RecordKey, Position>,
    tombstone_order: BTreeSet<Position>,
    pruned_through: Position,
    max_tombstones: usize,
}

impl ChangeLog {
    /// A log that knows of no removal up to and including `complete_from`.
    pub(crate) fn new(max_tombstones: usize, complete_from: Position) -> Self {
        ChangeLog {
            order: BTreeMap::new(),
            tombstones: BTreeMap::new(),
            tombstone_order: BTreeSet::new(),
            pruned_through: complete_from,
            max_tombstones,
        }
    }

    /// Notes that a record was written. `previous` is where it stood.
    ///
    /// A record that is written with the value it had moves as well: another
    /// copy may have seen a different value in between.
    pub(crate) fn record_write(
        &mut self,
        key: RecordKey,
        previous: Option<Position>,
        at: Position,
    ) {
        self.remove_entry(previous);
        // The removal of a service also removes its slices, so it stays in the
        // log when a service comes back under the same name.
        if !matches!(key, RecordKey::Service(_)) {
            self.remove_tombstone(&key);
        }
        let removed = false;
        self.order.insert(at, LogEntry { key, removed });
    }

    /// Notes that a record was removed, even one that this copy never had:
    /// a copy below may have it.
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

    /// Drops the entry at `previous`, whose record goes with another.
    pub(crate) fn remove_entry(&mut self, previous: Option<Position>) {
        if let Some(previous) = previous {
            self.order.remove(&previous);
        }
    }

    /// Packs the index, which ordered insertion leaves half empty.
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

    /// Whether every removal after `position` is known.
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
