//! Recovery of the state for a new founding from the record copies of routers.
//!
//! Every router of a region has a copy of the records, so the state survives
//! even the loss of all members of the group. The copy lacks the tombstones of
//! deleted objects and anything committed after it was taken. The first command
//! of the new founding ends every session, and slices are assigned again to the
//! back ends that report holding them.

use std::collections::BTreeMap;

use threadledge_types::records::{RecordChange, ServiceRecord, SliceRecord};
use threadledge_types::{Point, Revision, ServiceId};

use super::LeaderTerm;
use super::entries::{BackEndEntry, SliceEntry};
use super::snapshot::{ServiceSnapshot, SessionSnapshot, Snapshot};
use super::tombstones::Tombstones;

impl Snapshot {
    /// Builds the state described by the records of a full copy at `revision`.
    /// Removals are ignored, and so are slices of unknown services.
    pub fn from_records(revision: Revision, records: Vec<RecordChange>) -> Self {
        let mut services: BTreeMap<ServiceId, ServiceSnapshot> = BTreeMap::new();
        let mut back_ends = Vec::new();
        let mut sessions = Vec::new();
        let mut slices = Vec::new();
        for change in records {
            match change {
                RecordChange::Service(record) => {
                    services.insert(record.id.clone(), service_without_slices(*record));
                }
                RecordChange::BackEnd(record) => back_ends.push(BackEndEntry {
                    record: *record,
                    successor: None,
                }),
                RecordChange::Session(record) => sessions.push(SessionSnapshot {
                    record,
                    opened: revision,
                }),
                RecordChange::Slice(record) => slices.push(record),
                RecordChange::ServiceRemoved(_)
                | RecordChange::BackEndRemoved(_)
                | RecordChange::SessionRemoved(_)
                | RecordChange::SliceRemoved(_) => {}
            }
        }
        for record in slices {
            if let Some(service) = services.get_mut(&record.service) {
                service.slices.push(slice_entry(record, revision));
            }
        }
        Snapshot {
            revision,
            term: LeaderTerm {
                generation: revision.generation,
                term: 0,
            },
            recovering: false,
            services: services.into_values().collect(),
            back_ends,
            sessions,
            service_tombstones: Tombstones::default(),
            back_end_tombstones: Tombstones::default(),
        }
    }
}

fn service_without_slices(record: ServiceRecord) -> ServiceSnapshot {
    ServiceSnapshot {
        record,
        deleted: false,
        used: true,
        slices: Vec::new(),
    }
}

fn slice_entry(record: SliceRecord, revision: Revision) -> (Point, SliceEntry) {
    let entry = SliceEntry {
        last: record.slice.last,
        owner: record.owner,
        epoch: record.epoch,
        next: record.next,
        revision,
    };
    (record.slice.first, entry)
}
