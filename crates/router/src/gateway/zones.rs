//! Zones that the operator drains and restores.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};
use threadledge_coordination::action::StoreRevision;
use threadledge_ports::{Change, Entry};
use threadledge_types::deployment::DrainedZone;
use threadledge_types::{Timestamp, ZoneName};

use super::cluster_state::StateChange;
use super::watcher::Update;

/// The zones that are drained as of one revision of the store.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct DrainedZoneSet {
    /// The revision.
    pub at: StoreRevision,
    /// The zones.
    pub drained: BTreeSet<ZoneName>,
}

/// What this gateway knows of drained zones.
#[derive(Clone, Debug, Default)]
pub(super) struct DrainedZones {
    /// `None`: nobody has told yet.
    known: Option<DrainedZoneSet>,
    /// The revision up to which this goes.
    revision: StoreRevision,
    /// When zones were restored, as this gateway learned it.
    restored: BTreeMap<ZoneName, Timestamp>,
}

impl DrainedZones {
    /// The zones as last told.
    pub(super) fn known(&self) -> Option<&DrainedZoneSet> {
        self.known.as_ref()
    }

    /// Revision of the last change that is known.
    pub(super) fn changed_at(&self) -> Option<StoreRevision> {
        self.known.as_ref().map(|known| known.at)
    }

    /// The revision up to which it goes.
    pub(super) fn revision(&self) -> StoreRevision {
        self.revision
    }

    /// Whether the back ends of `zone` get nothing new.
    pub(super) fn is_drained(&self, zone: &ZoneName) -> bool {
        let known = self.known.as_ref();
        known.is_some_and(|known| known.drained.contains(zone))
    }

    /// When `zone` was restored last, if it was drained before.
    pub(super) fn restored_at(&self, zone: &ZoneName) -> Option<Timestamp> {
        self.restored.get(zone).copied()
    }

    /// Whether a zone was restored at any time.
    pub(super) fn any_restored(&self) -> bool {
        !self.restored.is_empty()
    }

    /// Takes what the store tells.
    pub(super) fn apply_update(
        &mut self,
        update: Update<DrainedZone>,
        now: Timestamp,
    ) -> Vec<StateChange> {
        let at = update.at();
        if self.known.is_some() && at < self.revision {
            return Vec::new();
        }
        let mut state_changes = Vec::new();
        let drained = match update {
            Update::Listed(listing) => {
                let mut drained = BTreeSet::new();
                for entry in listing.entries {
                    insert_entry(&mut drained, entry, &mut state_changes);
                }
                drained
            }
            Update::Changed(changes) => self.apply_changes(changes.changes, &mut state_changes),
        };
        self.revision = at;
        state_changes.extend(self.replace(at, drained, now));
        state_changes
    }

    /// The last change of a zone decides, also where earlier ones are known.
    fn apply_changes(
        &self,
        changes: Vec<Change<DrainedZone>>,
        state_changes: &mut Vec<StateChange>,
    ) -> BTreeSet<ZoneName> {
        let known = self.known.as_ref();
        let mut drained = known.map_or_else(BTreeSet::new, |known| known.drained.clone());
        for change in changes {
            match change {
                Change::Put(entry) => insert_entry(&mut drained, entry, state_changes),
                Change::Gone(name) => {
                    drained.remove(&ZoneName(name));
                }
            }
        }
        drained
    }

    /// What someone who knows them up to `known_revision` lacks.
    pub(super) fn newer_than(
        &self,
        known_revision: Option<StoreRevision>,
    ) -> Option<DrainedZoneSet> {
        let known = self.known.as_ref()?;
        (Some(known.at) > known_revision).then(|| known.clone())
    }

    /// Takes what another gateway knows, if it knows more.
    pub(super) fn apply_remote(
        &mut self,
        remote: DrainedZoneSet,
        now: Timestamp,
    ) -> Vec<StateChange> {
        if Some(remote.at) <= self.changed_at() {
            return Vec::new();
        }
        self.revision = self.revision.max(remote.at);
        self.replace(remote.at, remote.drained, now)
    }

    /// Another gateway knows nothing beyond this up to `revision`.
    pub(super) fn advance_to(&mut self, revision: StoreRevision) {
        self.revision = self.revision.max(revision);
    }

    fn replace(
        &mut self,
        at: StoreRevision,
        drained: BTreeSet<ZoneName>,
        now: Timestamp,
    ) -> Vec<StateChange> {
        let before = match self.known.take() {
            Some(known) if known.drained == drained => {
                self.known = Some(known);
                return Vec::new();
            }
            Some(known) => known.drained,
            None => BTreeSet::new(),
        };
        let mut state_changes = Vec::new();
        for zone in drained.difference(&before) {
            state_changes.push(StateChange::ZoneDrained(zone.clone()));
        }
        for zone in before.difference(&drained) {
            self.restored.insert(zone.clone(), now);
            state_changes.push(StateChange::ZoneRestored(zone.clone()));
        }
        self.known = Some(DrainedZoneSet { at, drained });
        state_changes
    }
}

/// Adds a zone; an object that cannot be understood drains nothing and is told.
fn insert_entry(
    drained: &mut BTreeSet<ZoneName>,
    entry: Entry<DrainedZone>,
    state_changes: &mut Vec<StateChange>,
) {
    match entry.value {
        Ok(DrainedZone(zone)) => {
            drained.insert(zone);
        }
        Err(malformed) => state_changes.push(StateChange::Malformed(malformed)),
    }
}
