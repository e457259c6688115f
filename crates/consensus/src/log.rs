//! The log of one node: a snapshot, the entries after it, and a few entries
//! before it that are kept for slow followers.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

use crate::entry::{Entry, Payload};
use crate::members::Members;

/// State of the application at an index, with what the log needs to go on
/// from there.
#[derive(Clone, Debug, Default, PartialEq, Hash, Serialize, Deserialize)]
pub struct Snapshot<S> {
    /// Last index covered.
    pub index: u64,
    /// Term of the entry at that index.
    pub term: u64,
    /// Members after that index.
    pub members: Members,
    /// State of the application; `None` only before anything was applied.
    pub state: Option<S>,
}

/// The log of one node.
///
/// Index 0 stands before the first entry and matches in every log.
#[derive(Clone, Debug, PartialEq, Hash)]
pub struct Log<C, S> {
    snapshot: Snapshot<S>,
    /// Index and term of the entry before the first one held; never above the
    /// snapshot's.
    previous: (u64, u64),
    entries: VecDeque<Entry<C>>,
    /// Member lists in entries above the snapshot, oldest first.
    changes: VecDeque<(u64, Members)>,
}

impl<C, S> Log<C, S> {
    /// A log without history.
    pub(crate) fn empty() -> Self {
        Log {
            snapshot: Snapshot {
                index: 0,
                term: 0,
                members: Members::default(),
                state: None,
            },
            previous: (0, 0),
            entries: VecDeque::new(),
            changes: VecDeque::new(),
        }
    }

    /// A log that begins after `snapshot`.
    pub(crate) fn after(snapshot: Snapshot<S>) -> Self {
        Log {
            previous: (snapshot.index, snapshot.term),
            snapshot,
            entries: VecDeque::new(),
            changes: VecDeque::new(),
        }
    }

    /// The snapshot the log begins with.
    pub fn snapshot(&self) -> &Snapshot<S> {
        &self.snapshot
    }

    /// Index of the first entry held, or of the next one when none is.
    pub fn first_index(&self) -> u64 {
        self.previous.0 + 1
    }

    /// Index of the last entry.
    pub fn last_index(&self) -> u64 {
        self.previous.0 + self.entries.len() as u64
    }

    /// Term of the last entry.
    pub fn last_term(&self) -> u64 {
        self.entries
            .back()
            .map_or(self.previous.1, |entry| entry.term)
    }

    /// Number of entries held.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no entry is held.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// The entry at `index`, if held.
    pub fn entry(&self, index: u64) -> Option<&Entry<C>> {
        let offset = index.checked_sub(self.first_index())?;
        self.entries.get(usize::try_from(offset).ok()?)
    }

    /// Term of the entry at `index`, if known.
    pub fn term_at(&self, index: u64) -> Option<u64> {
        if index == self.previous.0 {
            return Some(self.previous.1);
        }
        self.entry(index).map(|entry| entry.term)
    }

    /// The members after the last entry, whether or not it is committed.
    pub fn members(&self) -> &Members {
        self.changes
            .back()
            .map_or(&self.snapshot.members, |(_, members)| members)
    }

    /// Index of the entry that lists the current members; at most the
    /// snapshot's index when that entry is covered by it.
    pub fn members_index(&self) -> u64 {
        self.changes
            .back()
            .map_or(self.snapshot.index, |(index, _)| *index)
    }

    /// The members at `index`, and the index of the entry that lists them.
    pub fn members_at(&self, index: u64) -> (u64, &Members) {
        self.changes
            .iter()
            .rev()
            .find(|(changed, _)| *changed <= index)
            .map_or(
                (self.snapshot.index, &self.snapshot.members),
                |(changed, members)| (*changed, members),
            )
    }

    /// Whether a log that ends so holds all that this one does: the test a
    /// candidate has to pass. Keeps every committed entry in every leader's
    /// log.
    pub(crate) fn is_covered_by(&self, last_index: u64, last_term: u64) -> bool {
        (last_term, last_index) >= (self.last_term(), self.last_index())
    }

    /// Highest index at most `index` whose entry has a term of at most `term`,
    /// with that entry's term. Skips whole terms when two logs are compared.
    pub(crate) fn agreement_hint(&self, index: u64, term: u64) -> (u64, u64) {
        let mut index = index.min(self.last_index());
        loop {
            match self.term_at(index) {
                Some(found) if found > term && index > 0 => index -= 1,
                Some(found) => return (index, found),
                None => return (index, 0),
            }
        }
    }

    /// Adds an entry at the end.
    pub(crate) fn push(&mut self, entry: Entry<C>) {
        debug_assert_eq!(entry.index, self.last_index() + 1);
        if let Payload::Members(members) = &entry.payload {
            self.changes.push_back((entry.index, members.clone()));
        }
        self.entries.push_back(entry);
    }

    /// Drops the entries from `index` on.
    pub(crate) fn truncate_from(&mut self, index: u64) {
        while self.last_index() >= index && !self.entries.is_empty() {
            self.entries.pop_back();
        }
        while self
            .changes
            .back()
            .is_some_and(|(changed, _)| *changed >= index)
        {
            self.changes.pop_back();
        }
    }

    /// Replaces all by `snapshot`.
    pub(crate) fn restore(&mut self, snapshot: Snapshot<S>) {
        *self = Log::after(snapshot);
    }

    /// Moves the snapshot to `index` and drops entries that lie more than
    /// `retained` before it. `index` must be held and committed.
    pub(crate) fn compact(&mut self, state: S, index: u64, retained: usize) {
        let Some(term) = self.term_at(index) else {
            return;
        };
        let members = self.members_at(index).1.clone();
        self.snapshot = Snapshot {
            index,
            term,
            members,
            state: Some(state),
        };
        while self
            .changes
            .front()
            .is_some_and(|(changed, _)| *changed <= index)
        {
            self.changes.pop_front();
        }
        self.drop_through(index.saturating_sub(retained as u64));
    }

    fn drop_through(&mut self, index: u64) {
        while self.previous.0 < index {
            let Some(entry) = self.entries.pop_front() else {
                return;
            };
            self.previous = (entry.index, entry.term);
        }
    }
}

impl<C: Clone, S> Log<C, S> {
    /// At most `count` entries from `index` on.
    pub(crate) fn entries_from(&self, index: u64, count: usize) -> Vec<Entry<C>> {
        let offset = index.saturating_sub(self.first_index());
        let offset = usize::try_from(offset).unwrap_or(usize::MAX);
        self.entries
            .iter()
            .skip(offset)
            .take(count)
            .cloned()
            .collect()
    }
}
