//! Zones that the operator drains and restores.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};
use threadledge_coordination::action::StoreRevision;
use threadledge_ports::{Change, Entry};
use threadledge_types::deployment::DrainedZone;
use threadledge_types::{Timestamp, ZoneName};

use super::cluster_state::StateChange;
use super::watcher::Update;

/// The zones that are drained at one revision of the store.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct DrainedZoneSet {
    /// Revision of the last change.
    pub at: StoreRevision,
    /// Names of the drained zones.
    pub drained: BTreeSet<ZoneName>,
}

/// The gateway's copy of the drained zones.
#[derive(Clone, Debug, Default)]
pub(super) struct DrainedZones {
    /// The last known set; `None` before the first one was received.
    known: Option<DrainedZoneSet>,
    /// The store revision that this copy reflects.
    revision: StoreRevision,
    /// When zones were restored, by this gateway's clock.
    restored: BTreeMap<ZoneName, Timestamp>,
}

impl DrainedZones {
    /// The last known set of drained zones.
    pub(super) fn known(&self) -> Option<&DrainedZoneSet> {
        self.known.as_ref()
    }

    /// Revision of the last known change.
    pub(super) fn changed_at(&self) -> Option<StoreRevision> {
        self.known.as_ref().map(|known| known.at)
    }

    /// The store revision that this copy reflects.
    pub(super) fn revision(&self) -> StoreRevision {
        self.revision
    }

    /// Whether the back ends of `zone` get no new requests or keys.
    pub(super) fn is_drained(&self, zone: &ZoneName) -> bool {
        let known = self.known.as_ref();
        known.is_some_and(|known| known.drained.contains(zone))
    }

    /// When `zone` was last restored; `None` if it never was.
    pub(super) fn restored_at(&self, zone: &ZoneName) -> Option<Timestamp> {
        self.restored.get(zone).copied()
    }

    /// Whether any zone has been restored.
    pub(super) fn any_restored(&self) -> bool {
        !self.restored.is_empty()
    }

    /// Applies an update from the store.
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

    /// Applies changes in order: the last change of a zone decides, even if
    /// earlier ones are already known.
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

    /// The drained zones, if they changed after `known_revision`.
    pub(super) fn newer_than(
        &self,
        known_revision: Option<StoreRevision>,
    ) -> Option<DrainedZoneSet> {
        let known = self.known.as_ref()?;
        (Some(known.at) > known_revision).then(|| known.clone())
    }

    /// Applies another gateway's set if it is newer.
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

    /// Records that another gateway knows of no further change up to
    /// `revision`.
    pub(super) fn advance_to(&mut self, revision: StoreRevision) {
        self.revision = self.revision.max(revision);
    }

    /// Replaces the set of drained zones and returns the zones that were
    /// drained or restored.
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

/// Adds a zone. A malformed object drains no zone and is reported.
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
