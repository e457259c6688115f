//! Applies deltas to the copy in place.

use std::collections::BTreeSet;

use threadledge_types::records::{RecordChange, RecordDelta, SliceKey, SliceRecord};
use threadledge_types::{BackEndId, ServiceId, SessionId};

use super::{ApplyError, Effects, RoutingTable};

impl RoutingTable {
    /// Checks that a delta fits the copy.
    pub(super) fn check(&self, delta: &RecordDelta) -> Result<(), ApplyError> {
        let have = self.revision;
        if let Some(group) = self.group.filter(|group| *group != delta.group) {
            return Err(ApplyError::OtherGroup {
                have: group,
                got: delta.group,
            });
        }
        // Invariant: a router never goes back to a lower revision.
        if delta.to < have {
            return Err(ApplyError::Older { have, to: delta.to });
        }
        if !delta.full && delta.from != have {
            return Err(ApplyError::Gap {
                have,
                from: delta.from,
            });
        }
        Ok(())
    }

    pub(super) fn apply_changes(&mut self, changes: &[RecordChange], effects: &mut Effects) {
        for change in changes {
            self.apply_change(change, effects);
        }
    }

    fn apply_change(&mut self, change: &RecordChange, effects: &mut Effects) {
        match change {
            RecordChange::Service(record) => {
                self.services.set(&record.id, &record.spec);
            }
            RecordChange::ServiceRemoved(id) => self.remove_service(id, effects),
            RecordChange::BackEnd(record) => {
                let index = self.sessions.set_back_end(&record.id, record.spec.clone());
                effects.add_back_end(index);
            }
            RecordChange::BackEndRemoved(id) => self.remove_back_end(id, effects),
            RecordChange::Session(record) => {
                let index = self.sessions.open_session(&record.id, record.draining);
                effects.add_back_end(index);
            }
            RecordChange::SessionRemoved(id) => self.remove_session(id, effects),
            RecordChange::Slice(record) => self.set_slice(record, effects),
            RecordChange::SliceRemoved(key) => self.remove_slice(key, effects),
        }
    }

    fn set_slice(&mut self, record: &SliceRecord, effects: &mut Effects) {
        let owner = record.owner.as_ref().map(|id| self.sessions.retain(id));
        let (service, slices) = self.services.slices_of(&record.service);
        let previous = slices.insert(record.slice, owner, record.epoch);
        if let Some(previous) = previous {
            self.sessions.release(previous);
        }
        effects.add_slice(service, record.slice);
    }

    fn remove_slice(&mut self, key: &SliceKey, effects: &mut Effects) {
        let (service, slices) = self.services.slices_of(&key.service);
        let Some((slice, owner)) = slices.remove(key.first) else {
            return;
        };
        if let Some(owner) = owner {
            self.sessions.release(owner);
        }
        effects.add_slice(service, slice);
    }

    fn remove_service(&mut self, id: &ServiceId, effects: &mut Effects) {
        let Some((index, entry)) = self.services.remove(id) else {
            return;
        };
        for owner in entry.slices.owners() {
            self.sessions.release(owner);
        }
        effects.add_service(index);
    }

    fn remove_back_end(&mut self, id: &BackEndId, effects: &mut Effects) {
        if let Some(index) = self.sessions.remove_back_end(id) {
            effects.add_back_end(index);
        }
    }

    fn remove_session(&mut self, id: &SessionId, effects: &mut Effects) {
        if let Some(index) = self.sessions.close_session(id) {
            effects.add_back_end(index);
        }
    }

    /// Replaces the copy by the complete state in `changes`. Services, back
    /// ends and sessions that remain keep their indices.
    pub(super) fn replace(&mut self, changes: &[RecordChange], effects: &mut Effects) {
        let removals = self.removals_of_unlisted(changes);
        let previous = self.services.take_slices();
        self.apply_changes(changes, effects);
        for slices in previous {
            for owner in slices.owners() {
                self.sessions.release(owner);
            }
        }
        self.apply_changes(&removals, effects);
    }

    /// Returns removals of everything that `changes` do not list.
    fn removals_of_unlisted(&self, changes: &[RecordChange]) -> Vec<RecordChange> {
        let mut services = BTreeSet::new();
        let mut back_ends = BTreeSet::new();
        let mut sessions = BTreeSet::new();
        for change in changes {
            match change {
                RecordChange::Service(record) => drop(services.insert(&record.id)),
                RecordChange::BackEnd(record) => drop(back_ends.insert(&record.id)),
                RecordChange::Session(record) => drop(sessions.insert(&record.id)),
                _ => {}
            }
        }
        let mut removals = Vec::new();
        for id in self.services.ids() {
            if !services.contains(&*id) {
                removals.push(RecordChange::ServiceRemoved(ServiceId::clone(&id)));
            }
        }
        for id in self.sessions.open_sessions() {
            if !sessions.contains(&id) {
                removals.push(RecordChange::SessionRemoved(id));
            }
        }
        for (_, entry) in self.sessions.recorded_back_ends() {
            if !back_ends.contains(&*entry.id) {
                removals.push(RecordChange::BackEndRemoved(BackEndId::clone(&entry.id)));
            }
        }
        removals
    }
}
