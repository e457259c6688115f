//! Configuration objects: accepted once, never reverted.

use std::collections::{BTreeMap, BTreeSet};

use threadledge_types::records::{
    BackEndRecord, RecordChange, ServiceRecord, SliceKey, SliceRecord,
};
use threadledge_types::{BackEndId, ServiceId};

use super::entries::{BackEndEntry, ServiceEntry, Successor, parse_selector};
use super::selection::Division;
use super::{Applied, Rejection, StateMachine};
use crate::command::ObjectChange;

impl StateMachine {
    /// Back ends go first, so that a service that comes with its back ends
    /// is divided for all of them.
    pub(super) fn apply_objects(&mut self, changes: &[ObjectChange], applied: &mut Applied) {
        for change in changes {
            let result = match change {
                ObjectChange::PutBackEnd(record) => self.put_back_end(record, applied),
                ObjectChange::DeleteBackEnd {
                    id,
                    resource_version,
                } => self.delete_back_end(id, *resource_version, applied),
                ObjectChange::PutService(_) | ObjectChange::DeleteService { .. } => Ok(()),
            };
            applied.rejected.extend(result.err());
        }
        for change in changes {
            let result = match change {
                ObjectChange::PutService(record) => self.put_service(record, applied),
                ObjectChange::DeleteService {
                    id,
                    resource_version,
                } => self.delete_service(id, *resource_version, applied),
                ObjectChange::PutBackEnd(_) | ObjectChange::DeleteBackEnd { .. } => Ok(()),
            };
            applied.rejected.extend(result.err());
        }
    }

    fn put_back_end(
        &mut self,
        record: &BackEndRecord,
        applied: &mut Applied,
    ) -> Result<(), Rejection> {
        let id = &record.id;
        self.check_back_end_version(id, record.resource_version)?;
        self.back_end_tombstones.remove(&id.to_string());
        let session_open = self.sessions.contains_key(id);
        let Some(entry) = self.back_ends.get_mut(id) else {
            let entry = BackEndEntry {
                record: record.clone(),
                successor: None,
            };
            self.back_ends.insert(id.clone(), entry);
            self.back_end_changed(id, applied);
            return Ok(());
        };
        let moved = entry.record.spec.address != record.spec.address
            || entry.record.spec.control_address != record.spec.control_address;
        // A session that is leaving because of an earlier change cannot be
        // kept: the process opens another one afterwards.
        if session_open && (moved || entry.successor.is_some()) {
            entry.successor = Some(Successor::Replaced(Box::new(record.clone())));
            self.leave(id, applied);
        } else {
            entry.record = record.clone();
            self.back_end_changed(id, applied);
        }
        Ok(())
    }

    fn delete_back_end(
        &mut self,
        id: &BackEndId,
        resource_version: u64,
        applied: &mut Applied,
    ) -> Result<(), Rejection> {
        self.check_back_end_version(id, resource_version)?;
        let session_open = self.sessions.contains_key(id);
        match self.back_ends.get_mut(id) {
            Some(entry) if session_open => {
                entry.successor = Some(Successor::Deleted { resource_version });
                self.leave(id, applied);
            }
            _ => self.forget_back_end(id, resource_version, applied),
        }
        Ok(())
    }

    /// Configuration never reverts: only a version above the one taken last,
    /// deletions included, changes anything.
    fn check_back_end_version(&self, id: &BackEndId, offered: u64) -> Result<(), Rejection> {
        let name = id.to_string();
        let applied = match self.back_ends.get(id) {
            Some(entry) => entry.version(),
            None => self.back_end_tombstones.floor_of(&name),
        };
        check_version(name, applied, offered)
    }

    fn leave(&mut self, id: &BackEndId, applied: &mut Applied) {
        self.drain(id, applied);
        self.end_if_left(id, applied);
    }

    /// Drops the back end; it has no session.
    pub(super) fn forget_back_end(
        &mut self,
        id: &BackEndId,
        resource_version: u64,
        applied: &mut Applied,
    ) {
        let name = id.to_string();
        self.back_end_tombstones.insert(name, resource_version);
        if self.back_ends.remove(id).is_none() {
            return;
        }
        for service in self.services_in(&id.namespace) {
            self.set_eligible(&service, id, false, applied);
            self.divide_unused(&service, Division::WhenFarOff, applied);
        }
        let removed = RecordChange::BackEndRemoved(id.clone());
        applied.changes.push(removed);
    }

    /// Announces the record in force and looks again at who selects it.
    pub(super) fn back_end_changed(&mut self, id: &BackEndId, applied: &mut Applied) {
        let Some(entry) = self.back_ends.get(id) else {
            return;
        };
        let record = entry.record.clone();
        let changed = RecordChange::BackEnd(Box::new(record.clone()));
        applied.changes.push(changed);
        for service in self.services_in(&id.namespace) {
            let selected = self.services[&service].selects(&record);
            self.set_eligible(&service, id, selected, applied);
            self.divide_unused(&service, Division::WhenFarOff, applied);
        }
    }

    fn put_service(
        &mut self,
        record: &ServiceRecord,
        applied: &mut Applied,
    ) -> Result<(), Rejection> {
        let id = &record.id;
        self.check_service_version(id, record.resource_version)?;
        self.service_tombstones.remove(&id.to_string());
        let selector = parse_selector(&record.spec.back_end_selector);
        if selector.is_none() {
            let rejection = Rejection::InvalidSelector(id.clone());
            applied.rejected.push(rejection);
        }
        let entry = self
            .services
            .entry(id.clone())
            .or_insert_with(|| ServiceEntry {
                record: record.clone(),
                deleted: false,
                slices: BTreeMap::new(),
                owned: 0,
                used: false,
                eligible: BTreeSet::new(),
                selector: None,
            });
        let revived = entry.deleted;
        entry.deleted = false;
        entry.record = record.clone();
        entry.selector = selector;
        let changed = RecordChange::Service(Box::new(record.clone()));
        applied.changes.push(changed);
        self.select_again(id, applied);
        self.divide_unused(id, Division::Exact, applied);
        if revived {
            self.announce_slices(id, applied);
        }
        Ok(())
    }

    /// A service that comes back while slices of its former life are still
    /// owned keeps them with their owners and epochs.
    fn announce_slices(&mut self, id: &ServiceId, applied: &mut Applied) {
        let records: Vec<SliceRecord> = self.slices(id).collect();
        for record in &records {
            self.classify(&record.key());
        }
        applied
            .changes
            .extend(records.into_iter().map(RecordChange::Slice));
    }

    fn delete_service(
        &mut self,
        id: &ServiceId,
        resource_version: u64,
        applied: &mut Applied,
    ) -> Result<(), Rejection> {
        self.check_service_version(id, resource_version)?;
        let name = id.to_string();
        self.service_tombstones.insert(name, resource_version);
        let Some(entry) = self.services.get_mut(id).filter(|entry| !entry.deleted) else {
            return Ok(());
        };
        // One owner: slices that are owned stay until released, so that the
        // same service created again cannot give them to somebody else.
        entry.deleted = true;
        let removed = RecordChange::ServiceRemoved(id.clone());
        applied.changes.push(removed);
        let keys: Vec<SliceKey> = self.slices(id).map(|record| record.key()).collect();
        for key in &keys {
            self.clear_next(key);
            self.classify(key);
        }
        self.forget_service_if_released(id);
        Ok(())
    }

    pub(super) fn forget_service_if_released(&mut self, id: &ServiceId) {
        let released = |entry: &&ServiceEntry| entry.deleted && entry.owned == 0;
        if self.services.get(id).filter(released).is_some() {
            self.services.remove(id);
        }
    }

    fn check_service_version(&self, id: &ServiceId, offered: u64) -> Result<(), Rejection> {
        let name = id.to_string();
        let entry = self.services.get(id).filter(|entry| !entry.deleted);
        let applied = match entry {
            Some(entry) => entry.record.resource_version,
            None => self.service_tombstones.floor_of(&name),
        };
        check_version(name, applied, offered)
    }
}

fn check_version(name: String, applied: u64, offered: u64) -> Result<(), Rejection> {
    if offered > applied {
        return Ok(());
    }
    Err(Rejection::StaleObject {
        name,
        applied,
        offered,
    })
}
