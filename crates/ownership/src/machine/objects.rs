//! Configuration objects, which are never reverted to an earlier version.

use std::collections::{BTreeMap, BTreeSet};

use threadledge_types::records::{
    BackEndRecord, RecordChange, ServiceRecord, SliceKey, SliceRecord,
};
use threadledge_types::{BackEndId, ServiceId};

use super::entries::{BackEndEntry, ServiceEntry, Successor, parse_selector};
use super::selection::Redivision;
use super::{Applied, Rejection, StateMachine};
use crate::command::ObjectChange;

impl StateMachine {
    /// Applies changes of configuration objects. Back ends are applied first,
    /// so that a service that arrives together with its back ends is divided
    /// for all of them.
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
            self.apply_back_end_change(id, applied);
            return Ok(());
        };
        let moved = entry.record.spec.address != record.spec.address
            || entry.record.spec.control_address != record.spec.control_address;
        // A session that is draining because of an earlier change cannot be
        // kept. The process opens another one afterwards.
        if session_open && (moved || entry.successor.is_some()) {
            entry.successor = Some(Successor::Replaced(Box::new(record.clone())));
            self.retire_back_end(id, applied);
        } else {
            entry.record = record.clone();
            self.apply_back_end_change(id, applied);
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
                self.retire_back_end(id, applied);
            }
            _ => self.remove_back_end(id, resource_version, applied),
        }
        Ok(())
    }

    /// Accepts only versions above the last accepted one, including deletions,
    /// so that configuration never reverts.
    fn check_back_end_version(&self, id: &BackEndId, offered: u64) -> Result<(), Rejection> {
        let name = id.to_string();
        let applied = match self.back_ends.get(id) {
            Some(entry) => entry.version(),
            None => self.back_end_tombstones.floor_of(&name),
        };
        check_version(name, applied, offered)
    }

    /// Drains a back end that is deleted or replaced, and ends its session if
    /// it owns nothing.
    fn retire_back_end(&mut self, id: &BackEndId, applied: &mut Applied) {
        self.start_draining(id, applied);
        self.end_session_if_released(id, applied);
    }

    /// Removes a back end that has no session.
    pub(super) fn remove_back_end(
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
            self.divide_if_unused(&service, Redivision::BeyondFactor, applied);
        }
        let removed = RecordChange::BackEndRemoved(id.clone());
        applied.changes.push(removed);
    }

    /// Publishes the record in force and re-evaluates which services select the
    /// back end.
    pub(super) fn apply_back_end_change(&mut self, id: &BackEndId, applied: &mut Applied) {
        let Some(entry) = self.back_ends.get(id) else {
            return;
        };
        let record = entry.record.clone();
        let changed = RecordChange::BackEnd(Box::new(record.clone()));
        applied.changes.push(changed);
        for service in self.services_in(&id.namespace) {
            let selected = self.services[&service].selects(&record);
            self.set_eligible(&service, id, selected, applied);
            self.divide_if_unused(&service, Redivision::BeyondFactor, applied);
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
        let was_deleted = entry.deleted;
        entry.deleted = false;
        entry.record = record.clone();
        entry.selector = selector;
        let changed = RecordChange::Service(Box::new(record.clone()));
        applied.changes.push(changed);
        self.reevaluate_selector(id, applied);
        self.divide_if_unused(id, Redivision::Exact, applied);
        if was_deleted {
            self.publish_slices(id, applied);
        }
        Ok(())
    }

    /// Publishes the slices of a service that was created again while slices of
    /// its deleted predecessor are still owned. They keep their owners and
    /// epochs.
    fn publish_slices(&mut self, id: &ServiceId, applied: &mut Applied) {
        let records: Vec<SliceRecord> = self.slices(id).collect();
        for record in &records {
            self.update_misplaced(&record.key());
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
        // Exclusive ownership: owned slices remain until they are released, so
        // that the same service, if created again, cannot assign them to
        // another back end.
        entry.deleted = true;
        let removed = RecordChange::ServiceRemoved(id.clone());
        applied.changes.push(removed);
        let keys: Vec<SliceKey> = self.slices(id).map(|record| record.key()).collect();
        for key in &keys {
            self.clear_next(key);
            self.update_misplaced(key);
        }
        self.remove_service_if_released(id);
        Ok(())
    }

    /// Removes a deleted service that has no owned slice left.
    pub(super) fn remove_service_if_released(&mut self, id: &ServiceId) {
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
