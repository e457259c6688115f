//! The grants of one session as the leader intends them, with the changes since
//! the version that the holder last reported.

use std::collections::{BTreeMap, VecDeque};

use threadledge_types::records::SliceKey;
use threadledge_types::session::{Grant, GrantsUpdate, GrantsVersion};

use crate::command::LeaderTerm;

/// Maximum number of changes kept for deltas. Beyond it the holder is sent the
/// full state.
const MAXIMUM_CHANGES: usize = 1_024;

/// A change of the grants.
#[derive(Clone, Debug)]
enum Change {
    Add(Grant),
    Remove(Grant),
}

/// Intended grants of one session. Every change gets the number of a new state.
#[derive(Clone, Debug)]
pub(super) struct SessionGrants {
    term: LeaderTerm,
    grants: BTreeMap<SliceKey, Grant>,
    /// Number of the first state of this session.
    first_number: u64,
    /// Number of the current state.
    current_number: u64,
    /// Number of the state that the holder last reported.
    acknowledged: Option<u64>,
    /// Changes after the acknowledged state.
    changes: VecDeque<(u64, Change)>,
}

impl SessionGrants {
    /// Creates the grants of a session that has none, at state `number`.
    pub fn new(term: LeaderTerm, number: u64) -> Self {
        SessionGrants {
            term,
            grants: BTreeMap::new(),
            first_number: number,
            current_number: number,
            acknowledged: None,
            changes: VecDeque::new(),
        }
    }

    pub fn get(&self, key: &SliceKey) -> Option<&Grant> {
        self.grants.get(key)
    }

    pub fn keys(&self) -> impl Iterator<Item = &SliceKey> {
        self.grants.keys()
    }

    pub fn add(&mut self, key: SliceKey, grant: Grant, number: u64) {
        self.record_change(number, Change::Add(grant.clone()));
        self.grants.insert(key, grant);
    }

    pub fn remove(&mut self, key: &SliceKey, number: u64) -> Option<Grant> {
        let grant = self.grants.remove(key)?;
        self.record_change(number, Change::Remove(grant.clone()));
        Some(grant)
    }

    fn record_change(&mut self, number: u64, change: Change) {
        self.current_number = number;
        if self.acknowledged.is_none() {
            return;
        }
        self.changes.push_back((number, change));
        if self.changes.len() > MAXIMUM_CHANGES {
            self.reset_changes();
        }
    }

    /// Discards the recorded changes, so that the next update is the full state.
    fn reset_changes(&mut self) {
        self.acknowledged = None;
        self.changes.clear();
    }

    /// Returns the number of the reported state if it is a state of this
    /// session.
    pub fn own_state_number(&self, reported: Option<GrantsVersion>) -> Option<u64> {
        let reported = reported?;
        let known = self.first_number..=self.current_number;
        let own = reported == self.version_at(reported.number) && known.contains(&reported.number);
        own.then_some(reported.number)
    }

    /// Records the version that the holder reported. Returns whether the holder
    /// is at the current state.
    pub fn acknowledge(&mut self, reported: Option<GrantsVersion>) -> bool {
        let Some(number) = self.own_state_number(reported) else {
            self.reset_changes();
            return false;
        };
        match self.acknowledged {
            Some(former) if former <= number => {
                while self.changes.front().is_some_and(|(at, _)| *at <= number) {
                    self.changes.pop_front();
                }
                self.acknowledged = Some(number);
            }
            // The changes after that state are known only if there are none.
            _ if number == self.current_number => {
                self.changes.clear();
                self.acknowledged = Some(number);
            }
            _ => self.reset_changes(),
        }
        number == self.current_number
    }

    fn version_at(&self, number: u64) -> GrantsVersion {
        GrantsVersion {
            generation: self.term.generation,
            term: self.term.term,
            number,
        }
    }

    /// Returns the update to send to the holder.
    pub fn update(&self) -> GrantsUpdate {
        let version = self.version_at(self.current_number);
        match self.acknowledged {
            None => GrantsUpdate::Full {
                version,
                grants: self.grants.values().cloned().collect(),
            },
            Some(number) if number == self.current_number => GrantsUpdate::Unchanged { version },
            Some(number) => {
                let (add, remove) = self.net_changes();
                GrantsUpdate::Delta {
                    base: self.version_at(number),
                    version,
                    add,
                    remove,
                }
            }
        }
    }

    /// Returns the grants to add and to remove. A grant that was removed and
    /// added again, or added and removed again, is in neither.
    fn net_changes(&self) -> (Vec<Grant>, Vec<Grant>) {
        let mut net: BTreeMap<&Grant, bool> = BTreeMap::new();
        for (_, change) in &self.changes {
            let (grant, added) = match change {
                Change::Add(grant) => (grant, true),
                Change::Remove(grant) => (grant, false),
            };
            if net.remove(grant).is_none() {
                net.insert(grant, added);
            }
        }
        let pick = |wanted: bool| {
            let chosen = net.iter().filter(move |(_, added)| **added == wanted);
            chosen.map(|(grant, _)| (*grant).clone()).collect()
        };
        (pick(true), pick(false))
    }
}
