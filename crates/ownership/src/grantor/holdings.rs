//! The grants of one session as the leader wants them, with the changes since
//! the version that the holder reported last.

use std::collections::{BTreeMap, VecDeque};

use threadledge_types::records::SliceKey;
use threadledge_types::session::{Grant, GrantsUpdate, GrantsVersion};

use crate::command::LeaderTerm;

/// Changes kept for differences; beyond it the holder gets the whole state.
const MAXIMUM_CHANGES: usize = 1_024;

#[derive(Clone, Debug)]
enum Change {
    Add(Grant),
    Remove(Grant),
}

#[derive(Clone, Debug)]
pub(super) struct Holdings {
    term: LeaderTerm,
    grants: BTreeMap<SliceKey, Grant>,
    /// Number of the first state of this session.
    first: u64,
    /// Number of the present state.
    current: u64,
    /// Number that the holder reported last.
    acknowledged: Option<u64>,
    /// Changes after the acknowledged state.
    changes: VecDeque<(u64, Change)>,
}

impl Holdings {
    /// No grants, at state `number`.
    pub fn new(term: LeaderTerm, number: u64) -> Self {
        Holdings {
            term,
            grants: BTreeMap::new(),
            first: number,
            current: number,
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
        self.record(number, Change::Add(grant.clone()));
        self.grants.insert(key, grant);
    }

    pub fn remove(&mut self, key: &SliceKey, number: u64) -> Option<Grant> {
        let grant = self.grants.remove(key)?;
        self.record(number, Change::Remove(grant.clone()));
        Some(grant)
    }

    fn record(&mut self, number: u64, change: Change) {
        self.current = number;
        if self.acknowledged.is_none() {
            return;
        }
        self.changes.push_back((number, change));
        if self.changes.len() > MAXIMUM_CHANGES {
            self.forget();
        }
    }

    fn forget(&mut self) {
        self.acknowledged = None;
        self.changes.clear();
    }

    /// Number of the reported state, if it is one of this session's.
    pub fn own_number(&self, reported: Option<GrantsVersion>) -> Option<u64> {
        let reported = reported?;
        let known = self.first..=self.current;
        let own = reported == self.version_at(reported.number) && known.contains(&reported.number);
        own.then_some(reported.number)
    }

    /// Notes the version that the holder reported. Returns whether the
    /// holder is at the present state.
    pub fn acknowledge(&mut self, reported: Option<GrantsVersion>) -> bool {
        let Some(number) = self.own_number(reported) else {
            self.forget();
            return false;
        };
        match self.acknowledged {
            Some(former) if former <= number => {
                while self.changes.front().is_some_and(|(at, _)| *at <= number) {
                    self.changes.pop_front();
                }
                self.acknowledged = Some(number);
            }
            // The changes from there on are only known if there are none.
            _ if number == self.current => {
                self.changes.clear();
                self.acknowledged = Some(number);
            }
            _ => self.forget(),
        }
        number == self.current
    }

    fn version_at(&self, number: u64) -> GrantsVersion {
        GrantsVersion {
            generation: self.term.generation,
            term: self.term.term,
            number,
        }
    }

    /// What to tell the holder.
    pub fn update(&self) -> GrantsUpdate {
        let version = self.version_at(self.current);
        match self.acknowledged {
            None => GrantsUpdate::Full {
                version,
                grants: self.grants.values().cloned().collect(),
            },
            Some(number) if number == self.current => GrantsUpdate::Unchanged { version },
            Some(number) => {
                let (add, remove) = self.difference();
                GrantsUpdate::Delta {
                    base: self.version_at(number),
                    version,
                    add,
                    remove,
                }
            }
        }
    }

    /// Grants to take and to release; a grant that went and came back, or
    /// came and went, is in neither.
    fn difference(&self) -> (Vec<Grant>, Vec<Grant>) {
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
