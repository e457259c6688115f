//! Back ends that are registered, and those whose registration lapsed while
//! the store was away and that may register again.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use threadledge_coordination::action::StoreRevision;
use threadledge_ports::{Change, Entry, Malformed};
use threadledge_types::Timestamp;
use threadledge_types::deployment::BackEnd;

use super::cluster_state::StateChange;
use super::in_use::{InUse, Touched};
use super::removals::Removals;
use super::sync::{Delta, LapsedBackEnd, RevisedBackEnd};
use super::watcher::Update;

/// A back end whose registration lapsed.
#[derive(Clone, Debug)]
struct Awaited {
    known: RevisedBackEnd,
    /// It is gone from then on.
    until: Timestamp,
}

/// Back ends by the id under which they register.
#[derive(Clone, Debug, Default)]
pub(super) struct Registry {
    registered: BTreeMap<String, RevisedBackEnd>,
    /// Ids by the revision at which they were told last, so that what changed
    /// is found without a walk over all.
    by_revision: BTreeSet<(StoreRevision, String)>,
    /// Not registered any more, and still taken for there.
    lapsed: BTreeMap<String, Awaited>,
    /// Until when back ends are cold, as far as they told.
    cold_until: BTreeMap<String, Timestamp>,
    /// Entries that cannot be understood, with their revisions: each is told
    /// of once.
    malformed: BTreeMap<String, StoreRevision>,
    /// What changed since the back ends in use were told.
    touched: Touched,
    removals: Removals,
    /// The revision up to which this goes.
    reach: StoreRevision,
    /// A relay tells in several parts, and the rest is still to come.
    partial: bool,
    /// Until when a registration that goes is awaited; `None`: not at all.
    await_until: Option<Timestamp>,
}

impl Registry {
    /// The revision up to which it goes.
    pub(super) fn revision(&self) -> StoreRevision {
        self.reach
    }

    /// Whether nobody has told of them yet, or a relay a first part only.
    pub(super) fn is_partial(&self) -> bool {
        self.partial || self.reach == 0
    }

    /// Every back end, those that are awaited too, by name.
    pub(super) fn all(&self, now: Timestamp) -> Vec<BackEnd> {
        let mut all: BTreeMap<&str, &RevisedBackEnd> = BTreeMap::new();
        let lapsed = self.lapsed.iter();
        all.extend(lapsed.map(|(name, awaited)| (name.as_str(), &awaited.known)));
        let registered = self.registered.iter();
        all.extend(registered.map(|(name, known)| (name.as_str(), known)));
        let all = all.into_values();
        all.map(|known| self.told(known, now).back_end).collect()
    }

    /// What is in use otherwise since this was called last.
    pub(super) fn take_changed(&mut self, now: Timestamp) -> InUse {
        let mut touched = std::mem::take(&mut self.touched);
        touched.take(|id| {
            let awaited = || self.lapsed.get(id).map(|awaited| &awaited.known);
            let known = self.registered.get(id).or_else(awaited)?;
            Some(self.told(known, now).back_end)
        })
    }

    /// All of them were told.
    pub(super) fn all_told(&mut self) {
        self.touched.clear();
    }

    /// A back end as it is told now: what it said of being cold was true when
    /// it said so.
    fn told(&self, known: &RevisedBackEnd, now: Timestamp) -> RevisedBackEnd {
        let mut told = known.clone();
        let cold_until = self.cold_until.get(told.back_end.name.as_str());
        told.back_end.cold_for = cold_until.map_or(Duration::ZERO, |until| until.since(now));
        told
    }

    /// Says until when registrations that the store tells to be gone are
    /// awaited; `None`: they are gone at once.
    pub(super) fn set_lapse_grace(&mut self, until: Option<Timestamp>) {
        self.await_until = until;
    }

    /// When the next wait for a back end is over.
    pub(super) fn next_expiry(&self) -> Option<Timestamp> {
        self.lapsed.values().map(|awaited| awaited.until).min()
    }

    /// Gives up the back ends that were awaited for long enough.
    pub(super) fn expire(&mut self, now: Timestamp) -> Vec<StateChange> {
        let (over, left) = std::mem::take(&mut self.lapsed)
            .into_iter()
            .partition(|(_, awaited)| awaited.until <= now);
        self.lapsed = left;
        let over: BTreeMap<String, Awaited> = over;
        for (id, awaited) in &over {
            self.touched.mark(id, Some(&awaited.known.back_end.name));
        }
        let gone = over.into_values().map(|awaited| awaited.known.back_end);
        gone.map(StateChange::Gone).collect()
    }

    /// Takes what the store tells.
    pub(super) fn take(&mut self, update: Update<BackEnd>, now: Timestamp) -> Vec<StateChange> {
        match update {
            Update::Listed(listing) if listing.at < self.reach => Vec::new(),
            Update::Listed(listing) => {
                let until = self.await_until;
                self.replace(listing.at, listing.entries, |_| until, now)
            }
            Update::Changed(changes) => {
                let mut learned = Vec::new();
                for change in changes.changes {
                    match change {
                        Change::Put(entry) if entry.revision > self.reach => {
                            learned.extend(self.put(entry, now));
                        }
                        Change::Gone(name) if changes.at > self.reach => {
                            learned.extend(self.remove(changes.at, &name, self.await_until));
                        }
                        Change::Put(_) | Change::Gone(_) => {}
                    }
                }
                self.reach = self.reach.max(changes.at);
                self.partial = false;
                learned
            }
        }
    }

    /// What someone who knows them up to `mark` lacks, in the order of its
    /// revisions; no more than `most` of it at once.
    pub(super) fn delta_since(
        &self,
        mark: StoreRevision,
        now: Timestamp,
        most: usize,
        delta: &mut Delta,
    ) {
        if self.reach <= mark {
            return;
        }
        let mut later = self.by_revision.range((mark + 1, String::new())..);
        let told = later.by_ref().take(most);
        let known = told.filter_map(|(_, id)| self.registered.get(id));
        delta.back_ends = known.map(|known| self.told(known, now)).collect();
        delta.more_back_ends = self.is_partial();
        if later.next().is_some()
            && let Some(last) = delta.back_ends.last()
        {
            delta.revisions.back_ends = last.revision;
            delta.more_back_ends = true;
        }
        delta.lapsed = self.told_lapsed(now);
        if mark == 0 {
            // Who knows nothing has nothing to forget.
            return;
        }
        match self.removals.after(mark) {
            Some(gone) => delta.gone = gone,
            None => delta.remaining = Some(self.registered.keys().cloned().collect()),
        }
    }

    fn told_lapsed(&self, now: Timestamp) -> Vec<LapsedBackEnd> {
        let lapsed = self.lapsed.values();
        let told =
            lapsed.map(|awaited| LapsedBackEnd::new(&awaited.known, awaited.until.since(now)));
        told.collect()
    }

    /// Takes what a relay tells, which goes beyond what is known.
    pub(super) fn take_told(&mut self, told: Delta, now: Timestamp) -> Vec<StateChange> {
        let at = told.revisions.back_ends;
        if told.more_back_ends {
            // Where a first part was never complete, nobody counts on it yet.
            self.partial |= self.registered.is_empty();
        } else {
            self.partial = false;
        }
        let gone = match told.remaining {
            None => told.gone,
            Some(left) => {
                let left: BTreeSet<String> = left.into_iter().collect();
                let all = self.registered.keys();
                all.filter(|id| !left.contains(*id)).cloned().collect()
            }
        };
        let awaited: BTreeMap<String, Timestamp> = told
            .lapsed
            .iter()
            .map(|each| (each.known.back_end.name.id().to_owned(), now + each.left()))
            .collect();
        let mut learned = Vec::new();
        for id in gone {
            learned.extend(self.remove(at, &id, awaited.get(&id).copied()));
        }
        learned.extend(self.add_lapsed(told.lapsed, now));
        for known in told.back_ends {
            let name = known.back_end.name.id().to_owned();
            let (revision, value) = (known.revision, Ok(known.back_end));
            let entry = Entry {
                name,
                revision,
                value,
            };
            learned.extend(self.put(entry, now));
        }
        self.reach = at;
        learned
    }

    /// Takes back ends that others await and that were never known here.
    fn add_lapsed(&mut self, lapsed: Vec<LapsedBackEnd>, now: Timestamp) -> Vec<StateChange> {
        let mut learned = Vec::new();
        for each in lapsed {
            let name = each.known.back_end.name.id().to_owned();
            if self.registered.contains_key(&name) || self.lapsed.contains_key(&name) {
                continue;
            }
            learned.push(StateChange::Lapsed(each.known.back_end.clone()));
            self.touched.mark(&name, None);
            let until = now + each.left();
            let known = each.known;
            self.lapsed.insert(name, Awaited { known, until });
        }
        learned
    }

    /// Takes a whole list. `until` says how long one that it lacks is awaited.
    fn replace(
        &mut self,
        at: StoreRevision,
        entries: Vec<Entry<BackEnd>>,
        until: impl Fn(&str) -> Option<Timestamp>,
        now: Timestamp,
    ) -> Vec<StateChange> {
        if self.registered.is_empty() {
            self.removals.forget_until(at);
        }
        self.reach = at;
        self.partial = false;
        let names: BTreeSet<&str> = entries.iter().map(|entry| entry.name.as_str()).collect();
        let known = self.registered.keys().chain(self.lapsed.keys());
        let missing = known.filter(|name| !names.contains(name.as_str()));
        let missing: Vec<String> = missing.cloned().collect();
        let mut learned = Vec::new();
        for name in missing {
            learned.extend(self.remove(at, &name, until(&name)));
        }
        for entry in entries {
            learned.extend(self.put(entry, now));
        }
        learned
    }

    /// Takes one registration. Of two lives of one back end the later one
    /// counts, in whichever order they are told.
    fn put(&mut self, entry: Entry<BackEnd>, now: Timestamp) -> Vec<StateChange> {
        let back_end = match entry.value {
            Ok(back_end) => back_end,
            Err(malformed) => return self.put_malformed(&entry.name, entry.revision, malformed),
        };
        let before = self.registered.get(&entry.name);
        if before.is_some_and(|before| before.back_end.name.is_restart_of(&back_end.name)) {
            return Vec::new();
        }
        if back_end.cold_for.is_zero() {
            self.cold_until.remove(&entry.name);
        } else {
            let until = now + back_end.cold_for;
            self.cold_until.insert(entry.name.clone(), until);
        }
        let awaited = self.lapsed.remove(&entry.name);
        if let Some(awaited) = &awaited {
            let name = &awaited.known.back_end.name;
            self.touched.mark(&entry.name, Some(name));
        }
        let before = self.register(&entry.name, entry.revision, back_end.clone());
        self.malformed.remove(&entry.name);
        match before.or(awaited.map(|awaited| awaited.known)) {
            None => vec![StateChange::Registered(back_end)],
            // It holds and knows nothing of before.
            Some(before) if back_end.name.is_restart_of(&before.back_end.name) => {
                vec![
                    StateChange::Gone(before.back_end),
                    StateChange::Registered(back_end),
                ]
            }
            Some(before) if back_end.draining && !before.back_end.draining => {
                vec![StateChange::Leaving(back_end)]
            }
            Some(_) => Vec::new(),
        }
    }

    /// An entry that cannot be understood names no back end to use. One that was
    /// known under its id may be at work: it gets nothing new, and its keys
    /// move in order, until it registers again itself.
    fn put_malformed(
        &mut self,
        id: &str,
        revision: StoreRevision,
        malformed: Malformed,
    ) -> Vec<StateChange> {
        let mut learned = Vec::new();
        if self.malformed.insert(id.to_owned(), revision) != Some(revision) {
            learned.push(StateChange::Malformed(malformed));
        }
        let known = self
            .registered
            .get(id)
            .filter(|known| !known.back_end.draining);
        if let Some(known) = known {
            let mut back_end = known.back_end.clone();
            back_end.draining = true;
            learned.push(StateChange::Leaving(back_end.clone()));
            self.register(id, revision, back_end);
        }
        learned
    }

    /// Files a back end under its id; who stood there before.
    fn register(
        &mut self,
        id: &str,
        revision: StoreRevision,
        back_end: BackEnd,
    ) -> Option<RevisedBackEnd> {
        let known = RevisedBackEnd { revision, back_end };
        let before = self.registered.insert(id.to_owned(), known);
        let name = before.as_ref().map(|before| &before.back_end.name);
        self.touched.mark(id, name);
        if let Some(before) = &before {
            self.by_revision.remove(&(before.revision, id.to_owned()));
        }
        self.by_revision.insert((revision, id.to_owned()));
        before
    }

    /// A registration went. One that said it was leaving is gone for good;
    /// another is awaited until `until`.
    fn remove(
        &mut self,
        at: StoreRevision,
        name: &str,
        until: Option<Timestamp>,
    ) -> Option<StateChange> {
        self.malformed.remove(name);
        let Some(known) = self.registered.remove(name) else {
            return self.forget(name, until);
        };
        self.by_revision.remove(&(known.revision, name.to_owned()));
        self.touched.mark(name, Some(&known.back_end.name));
        self.removals.push(at, name.to_owned());
        self.cold_until.remove(name);
        match until {
            Some(until) if !known.back_end.draining => {
                let lapsed = StateChange::Lapsed(known.back_end.clone());
                self.lapsed
                    .insert(name.to_owned(), Awaited { known, until });
                Some(lapsed)
            }
            _ => Some(StateChange::Gone(known.back_end)),
        }
    }

    /// Somebody tells that a back end without a registration is gone. It is
    /// still awaited if whoever tells it awaits it too.
    fn forget(&mut self, name: &str, until: Option<Timestamp>) -> Option<StateChange> {
        if until.is_some() {
            return None;
        }
        let awaited = self.lapsed.remove(name)?;
        let before = &awaited.known.back_end.name;
        self.touched.mark(name, Some(before));
        Some(StateChange::Gone(awaited.known.back_end))
    }
}
