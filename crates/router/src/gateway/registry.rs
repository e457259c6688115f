//! Registered back ends, and back ends whose registration lapsed during a store
//! outage and that may register again.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use threadledge_coordination::action::StoreRevision;
use threadledge_ports::{Change, Entry, Malformed};
use threadledge_types::Timestamp;
use threadledge_types::deployment::BackEnd;

use super::back_end_updates::{BackEndUpdate, ChangedIds};
use super::cluster_state::StateChange;
use super::removals::RemovalLog;
use super::sync::{Delta, LapsedBackEnd, RevisedBackEnd};
use super::watcher::Update;

/// A back end whose registration lapsed, kept for a grace period.
#[derive(Clone, Debug)]
struct LapsedEntry {
    known: RevisedBackEnd,
    /// End of the grace period, after which it counts as gone.
    until: Timestamp,
}

/// The known back ends, by the id under which they register.
#[derive(Clone, Debug, Default)]
pub(super) struct Registry {
    registered: BTreeMap<String, RevisedBackEnd>,
    /// Ids by the revision of their last change, so that changes are found
    /// without scanning all back ends.
    by_revision: BTreeSet<(StoreRevision, String)>,
    /// No longer registered, but still in their grace period.
    lapsed: BTreeMap<String, LapsedEntry>,
    /// When back ends stop being cold, as last reported by them.
    cold_until: BTreeMap<String, Timestamp>,
    /// Malformed entries with their revisions, so that each is reported once.
    malformed: BTreeMap<String, StoreRevision>,
    /// Changes since the back ends in use were last published.
    touched: ChangedIds,
    removals: RemovalLog,
    /// The store revision that this state reflects.
    revision: StoreRevision,
    /// A relay sends the back ends in several parts, and some are still
    /// missing.
    partial: bool,
    /// End of the grace period of registrations that lapse now; `None`: there
    /// is no grace period.
    grace_until: Option<Timestamp>,
}

impl Registry {
    /// The store revision that this state reflects.
    pub(super) fn revision(&self) -> StoreRevision {
        self.revision
    }

    /// Whether no back ends were received yet, or only some parts from a relay.
    pub(super) fn is_partial(&self) -> bool {
        self.partial || self.revision == 0
    }

    /// Number of registered back ends.
    pub(super) fn len(&self) -> usize {
        self.registered.len()
    }

    /// All back ends, including those in their grace period, ordered by id.
    pub(super) fn all(&self, now: Timestamp) -> Vec<BackEnd> {
        let mut all: BTreeMap<&str, &RevisedBackEnd> = BTreeMap::new();
        let lapsed = self.lapsed.iter();
        all.extend(lapsed.map(|(name, entry)| (name.as_str(), &entry.known)));
        let registered = self.registered.iter();
        all.extend(registered.map(|(name, known)| (name.as_str(), known)));
        let all = all.into_values();
        all.map(|known| self.current(known, now).back_end).collect()
    }

    /// Changes of the back ends in use since the last call.
    pub(super) fn take_changed(&mut self, now: Timestamp) -> BackEndUpdate {
        let mut touched = std::mem::take(&mut self.touched);
        touched.take(|id| {
            let lapsed = || self.lapsed.get(id).map(|entry| &entry.known);
            let known = self.registered.get(id).or_else(lapsed)?;
            Some(self.current(known, now).back_end)
        })
    }

    /// Drops pending changes because all back ends were published.
    pub(super) fn clear_changed(&mut self) {
        self.touched.clear();
    }

    /// The back end with its remaining cold time as of `now`: the reported cold
    /// time counts from when the report was received.
    fn current(&self, known: &RevisedBackEnd, now: Timestamp) -> RevisedBackEnd {
        let mut current = known.clone();
        let cold_until = self.cold_until.get(current.back_end.name.as_str());
        current.back_end.cold_for = cold_until.map_or(Duration::ZERO, |until| until.since(now));
        current
    }

    /// Sets the end of the grace period for registrations that disappear from
    /// the store; `None`: they count as gone at once.
    pub(super) fn set_lapse_grace(&mut self, until: Option<Timestamp>) {
        self.grace_until = until;
    }

    /// When the next grace period ends.
    pub(super) fn next_expiry(&self) -> Option<Timestamp> {
        self.lapsed.values().map(|entry| entry.until).min()
    }

    /// Removes the back ends whose grace period has ended.
    pub(super) fn expire(&mut self, now: Timestamp) -> Vec<StateChange> {
        let (expired, remaining) = std::mem::take(&mut self.lapsed)
            .into_iter()
            .partition(|(_, entry)| entry.until <= now);
        self.lapsed = remaining;
        let expired: BTreeMap<String, LapsedEntry> = expired;
        for (id, entry) in &expired {
            self.touched.mark(id, Some(&entry.known.back_end.name));
        }
        let gone = expired.into_values().map(|entry| entry.known.back_end);
        gone.map(StateChange::Gone).collect()
    }

    /// Applies an update from the store.
    pub(super) fn apply_update(
        &mut self,
        update: Update<BackEnd>,
        now: Timestamp,
    ) -> Vec<StateChange> {
        match update {
            // Parts from a relay reach a revision without all that is older.
            Update::Listed(listing) if listing.at < self.revision && !self.partial => Vec::new(),
            Update::Listed(listing) => {
                let until = self.grace_until;
                self.replace_all(listing.at, listing.entries, |_| until, now)
            }
            Update::Changed(batch) => {
                let mut state_changes = Vec::new();
                let mut changes = batch.changes.into_iter();
                while let Some(change) = changes.next() {
                    match change {
                        Change::Gone(name) if self.knows_return(&name, changes.as_slice()) => {}
                        Change::Put(entry) if entry.revision > self.revision => {
                            state_changes.extend(self.upsert(entry, now));
                        }
                        Change::Gone(name) if batch.at > self.revision => {
                            state_changes.extend(self.remove(batch.at, &name, self.grace_until));
                        }
                        Change::Put(_) | Change::Gone(_) => {}
                    }
                }
                self.revision = self.revision.max(batch.at);
                self.partial = false;
                state_changes
            }
        }
    }

    /// Returns whether a back end registered again, in one of the changes that
    /// follow its removal, and is known since. A watch may have begun before the
    /// list that showed it.
    fn knows_return(&self, id: &str, later: &[Change<BackEnd>]) -> bool {
        let mut later = later.iter();
        let is_return = |change: &Change<BackEnd>| matches!(change, Change::Put(entry) if entry.name == id && entry.revision <= self.revision);
        self.registered.contains_key(id) && later.any(is_return)
    }

    /// Adds to `delta` what a follower at revision `since` lacks, in the order
    /// of revisions, with at most `max_back_ends` back ends at once.
    pub(super) fn delta_since(
        &self,
        since: StoreRevision,
        now: Timestamp,
        max_back_ends: usize,
        delta: &mut Delta,
    ) {
        if self.revision <= since {
            return;
        }
        let mut later = self.by_revision.range((since + 1, String::new())..);
        let sent = later.by_ref().take(max_back_ends);
        let known = sent.filter_map(|(_, id)| self.registered.get(id));
        delta.back_ends = known.map(|known| self.current(known, now)).collect();
        delta.more_back_ends = self.is_partial();
        if later.next().is_some()
            && let Some(last) = delta.back_ends.last()
        {
            delta.revisions.back_ends = last.revision;
            delta.more_back_ends = true;
        }
        delta.lapsed = self.lapsed_back_ends(now);
        if since == 0 {
            // A follower that knows nothing has nothing to remove.
            return;
        }
        match self.removals.since(since) {
            Some(gone) => {
                let gone = gone
                    .into_iter()
                    .filter(|id| !self.is_known_since(id, since));
                delta.gone = gone.collect();
            }
            None => delta.remaining = Some(self.registered.keys().cloned().collect()),
        }
    }

    /// Returns whether a back end that was removed registered again, which a
    /// follower at this revision knows: removals bear the revision of the whole
    /// batch that told them.
    fn is_known_since(&self, id: &str, revision: StoreRevision) -> bool {
        let known = self.registered.get(id);
        known.is_some_and(|known| known.revision <= revision)
    }

    fn lapsed_back_ends(&self, now: Timestamp) -> Vec<LapsedBackEnd> {
        let lapsed = self.lapsed.values();
        let lapsed = lapsed.map(|entry| LapsedBackEnd::new(&entry.known, entry.until.since(now)));
        lapsed.collect()
    }

    /// Applies a relay's delta, which must reach beyond the known revision.
    pub(super) fn apply_delta(&mut self, delta: Delta, now: Timestamp) -> Vec<StateChange> {
        let at = delta.revisions.back_ends;
        if delta.more_back_ends {
            // While the first parts are incomplete, the back ends are not used
            // yet.
            self.partial |= self.registered.is_empty();
        } else {
            self.partial = false;
        }
        let gone = match delta.remaining {
            None => delta.gone,
            Some(remaining) => {
                let remaining: BTreeSet<String> = remaining.into_iter().collect();
                let all = self.registered.keys();
                all.filter(|id| !remaining.contains(*id)).cloned().collect()
            }
        };
        let grace_ends: BTreeMap<String, Timestamp> = delta
            .lapsed
            .iter()
            .map(|entry| {
                (
                    entry.known.back_end.name.id().to_owned(),
                    now + entry.left(),
                )
            })
            .collect();
        let mut state_changes = Vec::new();
        for id in gone {
            state_changes.extend(self.remove(at, &id, grace_ends.get(&id).copied()));
        }
        state_changes.extend(self.add_lapsed(delta.lapsed, now));
        for known in delta.back_ends {
            let name = known.back_end.name.id().to_owned();
            let (revision, value) = (known.revision, Ok(known.back_end));
            let entry = Entry {
                name,
                revision,
                value,
            };
            state_changes.extend(self.upsert(entry, now));
        }
        self.revision = at;
        state_changes
    }

    /// Adds back ends that are in their grace period elsewhere and were never
    /// known here.
    fn add_lapsed(&mut self, lapsed: Vec<LapsedBackEnd>, now: Timestamp) -> Vec<StateChange> {
        let mut state_changes = Vec::new();
        for entry in lapsed {
            let name = entry.known.back_end.name.id().to_owned();
            if self.registered.contains_key(&name) || self.lapsed.contains_key(&name) {
                continue;
            }
            state_changes.push(StateChange::Lapsed(entry.known.back_end.clone()));
            self.touched.mark(&name, None);
            let until = now + entry.left();
            let known = entry.known;
            self.lapsed.insert(name, LapsedEntry { known, until });
        }
        state_changes
    }

    /// Applies a full list. `until` returns the end of the grace period of a
    /// back end that the list lacks.
    fn replace_all(
        &mut self,
        at: StoreRevision,
        entries: Vec<Entry<BackEnd>>,
        until: impl Fn(&str) -> Option<Timestamp>,
        now: Timestamp,
    ) -> Vec<StateChange> {
        if self.registered.is_empty() {
            self.removals.forget_until(at);
        }
        self.revision = at;
        self.partial = false;
        let names: BTreeSet<&str> = entries.iter().map(|entry| entry.name.as_str()).collect();
        let known = self.registered.keys().chain(self.lapsed.keys());
        let missing = known.filter(|name| !names.contains(name.as_str()));
        let missing: Vec<String> = missing.cloned().collect();
        let mut state_changes = Vec::new();
        for name in missing {
            state_changes.extend(self.remove(at, &name, until(&name)));
        }
        for entry in entries {
            state_changes.extend(self.upsert(entry, now));
        }
        state_changes
    }

    /// Applies one registration. Of two incarnations of a back end the later
    /// one counts, in whichever order they arrive.
    fn upsert(&mut self, entry: Entry<BackEnd>, now: Timestamp) -> Vec<StateChange> {
        let back_end = match entry.value {
            Ok(back_end) => back_end,
            Err(malformed) => return self.upsert_malformed(&entry.name, entry.revision, malformed),
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
        let lapsed_entry = self.lapsed.remove(&entry.name);
        if let Some(lapsed_entry) = &lapsed_entry {
            let name = &lapsed_entry.known.back_end.name;
            self.touched.mark(&entry.name, Some(name));
        }
        let before = self.register(&entry.name, entry.revision, back_end.clone());
        self.malformed.remove(&entry.name);
        match before.or(lapsed_entry.map(|entry| entry.known)) {
            None => vec![StateChange::Registered(back_end)],
            // The new incarnation holds no keys and has no state of the former
            // one.
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

    /// Handles a malformed entry, which names no usable back end. A back end
    /// known under its id may still be serving: it gets no new requests, and
    /// its keys move in order, until it registers again.
    fn upsert_malformed(
        &mut self,
        id: &str,
        revision: StoreRevision,
        malformed: Malformed,
    ) -> Vec<StateChange> {
        let mut state_changes = Vec::new();
        if self.malformed.insert(id.to_owned(), revision) != Some(revision) {
            state_changes.push(StateChange::Malformed(malformed));
        }
        let known = self
            .registered
            .get(id)
            .filter(|known| !known.back_end.draining);
        if let Some(known) = known {
            let mut back_end = known.back_end.clone();
            back_end.draining = true;
            state_changes.push(StateChange::Leaving(back_end.clone()));
            self.register(id, revision, back_end);
        }
        state_changes
    }

    /// Stores a back end under its id and returns the one that it replaces.
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

    /// Removes a registration. A back end that was draining is gone for good;
    /// another one stays in its grace period until `until`.
    fn remove(
        &mut self,
        at: StoreRevision,
        name: &str,
        until: Option<Timestamp>,
    ) -> Option<StateChange> {
        self.malformed.remove(name);
        let Some(known) = self.registered.remove(name) else {
            return self.forget_lapsed(name, until);
        };
        self.by_revision.remove(&(known.revision, name.to_owned()));
        self.touched.mark(name, Some(&known.back_end.name));
        self.removals.push(at, name.to_owned());
        self.cold_until.remove(name);
        match until {
            Some(until) if !known.back_end.draining => {
                let lapsed = StateChange::Lapsed(known.back_end.clone());
                self.lapsed
                    .insert(name.to_owned(), LapsedEntry { known, until });
                Some(lapsed)
            }
            _ => Some(StateChange::Gone(known.back_end)),
        }
    }

    /// Handles the removal of a back end that is not registered. It stays in
    /// its grace period if the sender of the removal has one for it too.
    fn forget_lapsed(&mut self, name: &str, until: Option<Timestamp>) -> Option<StateChange> {
        if until.is_some() {
            return None;
        }
        let lapsed_entry = self.lapsed.remove(name)?;
        let before = &lapsed_entry.known.back_end.name;
        self.touched.mark(name, Some(before));
        Some(StateChange::Gone(lapsed_entry.known.back_end))
    }
}
