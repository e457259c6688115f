//! Updates from the group's records.

use std::sync::Arc;

use threadledge_types::records::{RecordChange, ServiceRecord, SliceRecord};
use threadledge_types::{BackEndId, ServiceId};

use crate::planner::Planner;
use crate::service::ServiceState;

impl Planner {
    /// Applies one change of the group's records. Changes must arrive in the
    /// order of the log.
    pub fn observe(&mut self, change: &RecordChange) {
        match change {
            RecordChange::Service(record) => self.observe_service(record),
            RecordChange::ServiceRemoved(id) => self.forget_service(id),
            RecordChange::BackEnd(record) => {
                self.directory.put_record(record.clone());
                self.reevaluate_selectors(&record.id);
            }
            RecordChange::BackEndRemoved(id) => {
                self.directory.remove_record(id);
                self.reevaluate_selectors(id);
            }
            RecordChange::Session(session) => {
                self.directory.put_session(session, self.now);
                self.refresh_back_end(&session.id.back_end);
            }
            RecordChange::SessionRemoved(session) => {
                self.directory.remove_session(session);
                self.reported_at.remove(&session.back_end);
                self.refresh_back_end(&session.back_end);
            }
            RecordChange::Slice(record) => self.observe_slice(record),
            RecordChange::SliceRemoved(key) => {
                if let Some(state) = self.services.get_mut(&key.service) {
                    state.remove_slice(key.first, self.now);
                }
                self.mark_dirty(&key.service);
            }
        }
    }

    fn observe_service(&mut self, record: &ServiceRecord) {
        match self.services.get_mut(&record.id) {
            Some(state) => state.update(record),
            None => {
                let state = ServiceState::new(record);
                self.services.insert(Arc::clone(&state.id), state);
            }
        }
        self.refresh_service(&record.id);
        self.mark_dirty(&record.id);
    }

    fn observe_slice(&mut self, record: &SliceRecord) {
        let Some(state) = self.services.get_mut(&record.service) else {
            return;
        };
        let directory = &self.directory;
        state.put_slice(record, |id| directory.shared_id(id), self.now);
        self.mark_dirty(&record.service);
    }

    /// Evaluates one service's selector against the back ends of its namespace.
    fn refresh_service(&mut self, id: &ServiceId) {
        let Some(state) = self.services.get_mut(id) else {
            return;
        };
        let shared = Arc::clone(&state.id);
        for entry in self.directory.in_namespace(&id.namespace) {
            self.work.back_ends += 1;
            self.selection.set(&entry.id, &shared, state.selects(entry));
            state.refresh_receiver(&entry.id, Some(entry));
        }
    }

    /// Evaluates the selectors of one namespace against one back end.
    fn reevaluate_selectors(&mut self, id: &BackEndId) {
        let start = ServiceId::new(&id.namespace, "");
        let before = self.selection.services_of(id);
        let entry = self.directory.get(id);
        for (service, state) in self.services.range::<ServiceId, _>(start..) {
            if service.namespace != id.namespace {
                break;
            }
            self.work.back_ends += 1;
            let selected = entry.is_some_and(|entry| state.selects(entry));
            self.selection.set(id, service, selected);
        }
        self.refresh_receivers(id, before);
        self.refresh_back_end(id);
    }

    /// Re-evaluates one back end in the services that select it.
    fn refresh_back_end(&mut self, id: &BackEndId) {
        let selecting = self.selection.services_of(id);
        self.refresh_receivers(id, selecting);
    }

    /// Sets whether a back end responds to the leader. One that does not
    /// receives no slices, but keeps those it has: whether it is gone is known
    /// only when its lease expires.
    pub fn set_reachable(&mut self, id: &BackEndId, reachable: bool) {
        self.directory.set_reachable(id, reachable);
        self.refresh_back_end(id);
    }

    /// Re-evaluates whether one back end may receive slices of the services.
    fn refresh_receivers(&mut self, id: &BackEndId, services: Vec<Arc<ServiceId>>) {
        let entry = self.directory.get(id);
        let mut affected = Vec::new();
        for service in services {
            self.work.back_ends += 1;
            let state = self.services.get_mut(&service);
            if state.is_some_and(|state| state.refresh_receiver(id, entry)) {
                affected.push(service);
            }
        }
        for service in affected {
            self.mark_dirty(&service);
        }
    }
}
