//! Decides which session's grants contain a slice, and when a slice is taken
//! away for a handover.

use std::collections::BTreeSet;
use std::time::Duration;

use threadledge_types::records::{SliceKey, SliceRecord};
use threadledge_types::session::Grant;
use threadledge_types::{BackEndId, Point, ServiceId, Timestamp};

use super::release::WithheldSlice;
use super::{Grantor, Observation};
use crate::machine::StateMachine;

/// Returns the grant of a slice as recorded.
pub(super) fn grant_of(record: &SliceRecord) -> Grant {
    Grant {
        service: record.service.clone(),
        slice: record.slice,
        epoch: record.epoch,
    }
}

impl Grantor {
    /// Re-evaluates every slice that a back end owns.
    pub(super) fn reevaluate_owned(
        &mut self,
        now: Timestamp,
        id: &BackEndId,
        machine: &StateMachine,
    ) {
        for key in machine.slices_of_session(id) {
            self.reevaluate_slice(now, key, machine);
        }
    }

    /// Re-evaluates the slices of a service that are withheld from their owners
    /// or must leave them.
    pub(super) fn reevaluate_departing(
        &mut self,
        now: Timestamp,
        id: &ServiceId,
        machine: &StateMachine,
    ) {
        let start = SliceKey {
            service: id.clone(),
            first: Point(0),
        };
        let withheld = self.withheld.range(start..).map(|(key, _)| key);
        let withheld = withheld.take_while(|key| key.service == *id);
        let mut keys: BTreeSet<SliceKey> = withheld.cloned().collect();
        keys.extend(machine.misplaced_slices_of(id).cloned());
        for key in &keys {
            self.reevaluate_slice(now, key, machine);
        }
    }

    /// Re-evaluates one slice: which session should hold it, and whether its
    /// owner must release it.
    pub(super) fn reevaluate_slice(
        &mut self,
        now: Timestamp,
        key: &SliceKey,
        machine: &StateMachine,
    ) {
        let record = machine.slice(key);
        let must_leave = record
            .as_ref()
            .is_some_and(|record| record.next.is_some() || machine.misplaced().contains(key));
        if !must_leave {
            self.handover_starts.remove(key);
        }
        self.drop_stale_withheld(key, must_leave, machine);
        let owned = record.filter(|record| record.owner.is_some());
        let Some(record) = owned else {
            self.set_holder(key, None);
            return;
        };
        self.set_holder(key, self.intended_holder(key, &record));
        self.request_preparation(&record);
        if self.withheld.contains_key(key) {
            self.propose_handover_end(now, key, &record, machine);
        } else if must_leave {
            self.advance_handover(now, key, &record, machine);
        }
    }

    /// Drops the withheld state of a slice that changed in the log: proposals
    /// about it made before cannot take effect any more.
    ///
    /// A slice that no longer has to leave goes back to its owner, unless its
    /// release was already proposed, because that proposal may take effect at
    /// any time.
    fn drop_stale_withheld(&mut self, key: &SliceKey, must_leave: bool, machine: &StateMachine) {
        let present = machine.slice_revision(key);
        let is_stale = |withheld: &WithheldSlice| {
            let unneeded = !must_leave && withheld.proposed_at.is_none();
            unneeded || Some(withheld.revision) != present
        };
        if !self.withheld.get(key).is_some_and(is_stale) {
            return;
        }
        if let Some(withheld) = self.withheld.remove(key)
            && let Some(state) = self.back_ends.get_mut(&withheld.owner)
        {
            state.withheld.remove(key);
        }
    }

    /// Returns the back end whose grants should contain the slice, and the
    /// grant.
    fn intended_holder(&self, key: &SliceKey, record: &SliceRecord) -> Option<(BackEndId, Grant)> {
        if self.withheld.contains_key(key) {
            return None;
        }
        let owner = record.owner.as_ref()?;
        let session = self.back_ends.get(&owner.back_end)?.session.as_ref()?;
        let same = session.id == *owner;
        same.then(|| (owner.back_end.clone(), grant_of(record)))
    }

    /// Puts the slice into the grants of the wanted back end and removes it
    /// from those of any other.
    fn set_holder(&mut self, key: &SliceKey, wanted: Option<(BackEndId, Grant)>) {
        let holder = self.granted_to.get(key).cloned();
        let held = holder.and_then(|id| {
            let session = self.back_ends.get(&id)?.session.as_ref()?;
            let grant = session.grants.get(key)?.clone();
            Some((id, grant))
        });
        if held == wanted {
            return;
        }
        if let Some((id, _)) = held {
            self.remove_grant(key, &id);
        }
        if let Some((id, grant)) = wanted {
            self.add_grant(key, &id, grant);
        }
    }

    /// Removes the slice from the grants of a back end and returns the number of
    /// its new state.
    pub(super) fn remove_grant(&mut self, key: &SliceKey, id: &BackEndId) -> u64 {
        let number = self.next_number();
        self.granted_to.remove(key);
        if let Some(state) = self.back_ends.get_mut(id) {
            state.mark_changed();
            if let Some(session) = &mut state.session {
                session.grants.remove(key, number);
            }
        }
        self.reschedule(id);
        number
    }

    fn add_grant(&mut self, key: &SliceKey, id: &BackEndId, grant: Grant) {
        let number = self.next_number();
        let Some(state) = self.back_ends.get_mut(id) else {
            return;
        };
        state.mark_changed();
        let Some(session) = &mut state.session else {
            return;
        };
        let owner = session.id.clone();
        session.grants.add(key.clone(), grant.clone(), number);
        self.granted_to.insert(key.clone(), id.clone());
        self.reschedule(id);
        self.observe(Observation::GrantIssued {
            session: owner,
            grant,
        });
    }

    /// Asks the next owner to prepare, without waiting for the next renewal.
    fn request_preparation(&mut self, record: &SliceRecord) {
        let Some(next) = &record.next else {
            return;
        };
        let Some(state) = self.back_ends.get_mut(next) else {
            return;
        };
        let known = self.handover_starts.contains_key(&record.key());
        if !known && !state.ready.contains(&grant_of(record)) {
            state.mark_changed();
        }
        self.reschedule(next);
    }

    /// Takes a slice that must leave away from its owner, once the next owner is
    /// ready or the handover timeout has passed.
    fn advance_handover(
        &mut self,
        now: Timestamp,
        key: &SliceKey,
        record: &SliceRecord,
        machine: &StateMachine,
    ) {
        let Some(revision) = machine.slice_revision(key) else {
            return;
        };
        let started = match self.handover_starts.get(key) {
            Some((at_revision, started)) if *at_revision == revision => *started,
            _ => now,
        };
        let start = (revision, started);
        self.handover_starts.insert(key.clone(), start);
        if !self.granted_to.contains_key(key) {
            // The owner has not responded in this term yet.
            return;
        }
        let timeout = self.handover_timeout(record, machine);
        let due = timeout.map(|timeout| started + timeout);
        if self.next_is_ready(record) || due.is_some_and(|due| now >= due) {
            self.withhold(key, record, revision);
        } else if let Some(due) = due {
            self.timers.insert((due, key.clone()));
        }
    }

    /// Returns how long to wait for the next owner. `None` means until it is
    /// ready.
    fn handover_timeout(&self, record: &SliceRecord, machine: &StateMachine) -> Option<Duration> {
        if !machine.misplaced().contains(&record.key()) {
            return None;
        }
        let deleted = machine.service(&record.service).is_none();
        Some(if deleted {
            Duration::ZERO
        } else {
            self.settings.handover_timeout
        })
    }

    /// Returns whether the next owner is ready to own the slice.
    fn next_is_ready(&self, record: &SliceRecord) -> bool {
        let next = record.next.as_ref().and_then(|id| self.back_ends.get(id));
        next.is_some_and(|state| state.ready.contains(&grant_of(record)))
    }

    /// Re-evaluates the slices whose timers have expired.
    pub(super) fn run_timers(&mut self, now: Timestamp, machine: &StateMachine) {
        while let Some((at, _)) = self.timers.first() {
            if *at > now {
                return;
            }
            if let Some((_, key)) = self.timers.pop_first() {
                self.reevaluate_slice(now, &key, machine);
            }
        }
    }
}
