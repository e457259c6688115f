//! Log of a node: a snapshot, the entries after it, and a few entries before it
//! that are kept for slow followers.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

use crate::entry::{Entry, Payload};
use crate::members::Members;

/// Application state at an index, with the metadata that a log needs to
/// continue from there.
#[derive(Clone, Debug, Default, PartialEq, Hash, Serialize, Deserialize)]
pub struct Snapshot<S> {
    /// Index of the last entry that the snapshot includes.
    pub index: u64,
    /// Term of that entry.
    pub term: u64,
    /// Members of the group after that entry.
    pub members: Members,
    /// Application state. `None` only if nothing has been applied yet.
    pub state: Option<S>,
}

/// Log of a node.
///
/// Index 0 denotes the position before the first entry and matches in every
/// log.
#[derive(Clone, Debug, PartialEq, Hash)]
pub struct Log<C, S> {
    snapshot: Snapshot<S>,
    /// Index and term of the entry before the first one held. Never above the
    /// snapshot's index.
    previous: (u64, u64),
    entries: VecDeque<Entry<C>>,
    /// Index and member list of each member change after the snapshot, oldest
    /// first.
    member_changes: VecDeque<(u64, Members)>,
}

impl<C, S> Log<C, S> {
    /// Creates an empty log.
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
            member_changes: VecDeque::new(),
        }
    }

    /// Creates a log that starts after `snapshot`.
    pub(crate) fn from_snapshot(snapshot: Snapshot<S>) -> Self {
        Log {
            previous: (snapshot.index, snapshot.term),
            snapshot,
            entries: VecDeque::new(),
            member_changes: VecDeque::new(),
        }
    }

    /// Returns the latest snapshot.
    pub fn snapshot(&self) -> &Snapshot<S> {
        &self.snapshot
    }

    /// Returns the index of the first entry held, or of the next entry to be
    /// appended if none is held.
    pub fn first_index(&self) -> u64 {
        self.previous.0 + 1
    }

    /// Returns the index of the last entry.
    pub fn last_index(&self) -> u64 {
        self.previous.0 + self.entries.len() as u64
    }

    /// Returns the term of the last entry.
    pub fn last_term(&self) -> u64 {
        self.entries
            .back()
            .map_or(self.previous.1, |entry| entry.term)
    }

    /// Returns the number of entries held.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether no entries are held.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the entry at `index`, if held.
    pub fn entry(&self, index: u64) -> Option<&Entry<C>> {
        let offset = index.checked_sub(self.first_index())?;
        self.entries.get(usize::try_from(offset).ok()?)
    }

    /// Returns the term of the entry at `index`, if known.
    pub fn term_at(&self, index: u64) -> Option<u64> {
        if index == self.previous.0 {
            return Some(self.previous.1);
        }
        self.entry(index).map(|entry| entry.term)
    }

    /// Returns the members after the last entry, committed or not.
    pub fn members(&self) -> &Members {
        self.member_changes
            .back()
            .map_or(&self.snapshot.members, |(_, members)| members)
    }

    /// Returns the index of the entry with the current member list, or the
    /// snapshot's index if the snapshot includes that entry.
    pub fn members_index(&self) -> u64 {
        self.member_changes
            .back()
            .map_or(self.snapshot.index, |(index, _)| *index)
    }

    /// Returns the members in force at `index` and the index of the entry that
    /// lists them.
    pub fn members_at(&self, index: u64) -> (u64, &Members) {
        self.member_changes
            .iter()
            .rev()
            .find(|(changed, _)| *changed <= index)
            .map_or(
                (self.snapshot.index, &self.snapshot.members),
                |(changed, members)| (*changed, members),
            )
    }

    /// Returns whether a log with this last entry is at least as up to date as
    /// this log. Voters require this of a candidate, so that every leader's log
    /// holds all committed entries.
    pub(crate) fn is_up_to_date(&self, last_index: u64, last_term: u64) -> bool {
        (last_term, last_index) >= (self.last_term(), self.last_index())
    }

    /// Returns the highest index up to `index` whose entry has a term of at
    /// most `term`, and the term of that entry. Lets the comparison of two logs
    /// skip whole terms instead of single entries.
    pub(crate) fn find_conflict_by_term(&self, index: u64, term: u64) -> (u64, u64) {
        let mut index = index.min(self.last_index());
        loop {
            match self.term_at(index) {
                Some(found) if found > term && index > 0 => index -= 1,
                Some(found) => return (index, found),
                None => return (index, 0),
            }
        }
    }

    /// Appends an entry.
    pub(crate) fn push(&mut self, entry: Entry<C>) {
        debug_assert_eq!(entry.index, self.last_index() + 1);
        if let Payload::Members(members) = &entry.payload {
            self.member_changes
                .push_back((entry.index, members.clone()));
        }
        self.entries.push_back(entry);
    }

    /// Removes the entries from `index` on.
    pub(crate) fn truncate_from(&mut self, index: u64) {
        while self.last_index() >= index && !self.entries.is_empty() {
            self.entries.pop_back();
        }
        while self
            .member_changes
            .back()
            .is_some_and(|(changed, _)| *changed >= index)
        {
            self.member_changes.pop_back();
        }
    }

    /// Replaces the whole log by `snapshot`.
    pub(crate) fn restore(&mut self, snapshot: Snapshot<S>) {
        *self = Log::from_snapshot(snapshot);
    }

    /// Moves the snapshot to `index` and removes entries more than `retained`
    /// before it. The entry at `index` must be held and committed.
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
            .member_changes
            .front()
            .is_some_and(|(changed, _)| *changed <= index)
        {
            self.member_changes.pop_front();
        }
        self.drop_through(index.saturating_sub(retained as u64));
    }

    /// Removes the entries up to and including `index`.
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
    /// Returns up to `count` entries, starting at `index`.
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
