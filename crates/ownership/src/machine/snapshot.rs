//! Snapshots of the whole state, for followers that are far behind and for
//! checkpoints.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};
use threadledge_types::records::{ServiceRecord, SessionRecord, SliceKey};
use threadledge_types::{GroupId, Point, Revision};

use super::entries::{BackEndEntry, ServiceEntry, SessionEntry, SliceEntry, parse_selector};
use super::tombstones::Tombstones;
use super::{LeaderTerm, StateMachine};

/// The whole state of a group. Indices are not included; they are rebuilt.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Snapshot {
    pub(super) revision: Revision,
    pub(super) term: LeaderTerm,
    pub(super) recovering: bool,
    pub(super) services: Vec<ServiceSnapshot>,
    pub(super) back_ends: Vec<BackEndEntry>,
    pub(super) sessions: Vec<SessionSnapshot>,
    pub(super) service_tombstones: Tombstones,
    pub(super) back_end_tombstones: Tombstones,
}

/// One service and its slices by first point.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(super) struct ServiceSnapshot {
    pub(super) record: ServiceRecord,
    pub(super) deleted: bool,
    pub(super) used: bool,
    pub(super) slices: Vec<(Point, SliceEntry)>,
}

/// One open session and the revision at which it opened.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(super) struct SessionSnapshot {
    pub(super) record: SessionRecord,
    pub(super) opened: Revision,
}

impl Snapshot {
    /// Returns the revision of the state.
    pub fn revision(&self) -> Revision {
        self.revision
    }
}

impl StateMachine {
    /// Returns a snapshot of the whole state.
    pub fn snapshot(&self) -> Snapshot {
        let services = self.services.values().map(|entry| ServiceSnapshot {
            record: entry.record.clone(),
            deleted: entry.deleted,
            used: entry.used,
            slices: entry
                .slices
                .iter()
                .map(|(first, slice)| (*first, slice.clone()))
                .collect(),
        });
        let sessions = self.sessions.values().map(|entry| SessionSnapshot {
            record: entry.record.clone(),
            opened: entry.opened,
        });
        Snapshot {
            revision: self.revision,
            term: self.term,
            recovering: self.recovering,
            services: services.collect(),
            back_ends: self.back_ends.values().cloned().collect(),
            sessions: sessions.collect(),
            service_tombstones: self.service_tombstones.clone(),
            back_end_tombstones: self.back_end_tombstones.clone(),
        }
    }

    /// Creates the state described by `snapshot`.
    pub fn restore(group: GroupId, snapshot: Snapshot) -> Self {
        let mut machine = StateMachine::new(group);
        machine.revision = snapshot.revision;
        machine.term = snapshot.term;
        machine.recovering = snapshot.recovering;
        machine.service_tombstones = snapshot.service_tombstones;
        machine.back_end_tombstones = snapshot.back_end_tombstones;
        for entry in snapshot.back_ends {
            machine.back_ends.insert(entry.record.id.clone(), entry);
        }
        for session in snapshot.sessions {
            let back_end = session.record.id.back_end.clone();
            let entry = SessionEntry::new(session.record, session.opened);
            machine.sessions.insert(back_end, entry);
        }
        for service in snapshot.services {
            machine.restore_service(service);
        }
        machine
    }

    fn restore_service(&mut self, service: ServiceSnapshot) {
        let id = service.record.id.clone();
        let selector = parse_selector(&service.record.spec.back_end_selector);
        let slices: BTreeMap<Point, SliceEntry> = service.slices.into_iter().collect();
        let owned = |entry: &&SliceEntry| entry.owner.is_some();
        let mut entry = ServiceEntry {
            owned: slices.values().filter(owned).count(),
            record: service.record,
            deleted: service.deleted,
            used: service.used,
            slices,
            eligible: BTreeSet::new(),
            selector,
        };
        let records = self.back_ends.values().map(|entry| &entry.record);
        let selected = records.filter(|record| entry.selects(record));
        entry.eligible = selected.map(|record| record.id.clone()).collect();
        let slices = entry.slices.clone();
        self.services.insert(id.clone(), entry);
        for (first, slice) in &slices {
            let key = SliceKey {
                service: id.clone(),
                first: *first,
            };
            self.restore_indices(&key, slice);
        }
    }

    /// Adds a restored slice to the indices.
    fn restore_indices(&mut self, key: &SliceKey, slice: &SliceEntry) {
        if let Some(owner) = &slice.owner
            && let Some(session) = self.sessions.get_mut(&owner.back_end)
        {
            session.slices.insert(key.clone());
        }
        if let Some(next) = &slice.next {
            self.pending_moves.insert(key.clone());
            let incoming = self.incoming.entry(next.clone()).or_default();
            incoming.insert(key.clone());
        }
        self.update_misplaced(key);
    }
}
