//! Which slices are in whose holdings, and when they shall leave them.

use std::collections::BTreeSet;
use std::time::Duration;

use threadledge_types::records::{SliceKey, SliceRecord};
use threadledge_types::session::Grant;
use threadledge_types::{BackEndId, Point, ServiceId, Timestamp};

use super::release::Withheld;
use super::{Grantor, Observation};
use crate::machine::StateMachine;

pub(super) fn grant_of(record: &SliceRecord) -> Grant {
    Grant {
        service: record.service.clone(),
        slice: record.slice,
        epoch: record.epoch,
    }
}

impl Grantor {
    /// Looks again at every slice that a back end owns.
    pub(super) fn review_owned(&mut self, now: Timestamp, id: &BackEndId, machine: &StateMachine) {
        for key in machine.slices_of_session(id) {
            self.review(now, key, machine);
        }
    }

    /// Looks again at the slices of a service that leave their owners, or
    /// shall.
    pub(super) fn review_leaving(
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
            self.review(now, key, machine);
        }
    }

    /// Looks at one slice again: who shall hold it, and whether its owner
    /// shall let it go.
    pub(super) fn review(&mut self, now: Timestamp, key: &SliceKey, machine: &StateMachine) {
        let record = machine.slice(key);
        let waits = record
            .as_ref()
            .is_some_and(|record| record.next.is_some() || machine.misplaced().contains(key));
        if !waits {
            self.waiting.remove(key);
        }
        self.drop_void(key, waits, machine);
        let owned = record.filter(|record| record.owner.is_some());
        let Some(record) = owned else {
            self.place(key, None);
            return;
        };
        self.place(key, self.receiver(key, &record));
        self.ask_to_prepare(&record);
        if self.withheld.contains_key(key) {
            self.propose_end(now, key, &record, machine);
        } else if waits {
            self.review_waiting(now, key, &record, machine);
        }
    }

    /// A withheld slice that changed in the log is judged afresh: what was
    /// proposed about it before cannot take effect any more. One that need not
    /// leave any more goes back to its owner unless its end was proposed:
    /// that may take effect at any time.
    fn drop_void(&mut self, key: &SliceKey, waits: bool, machine: &StateMachine) {
        let present = machine.slice_revision(key);
        let void = |withheld: &Withheld| {
            let needless = !waits && withheld.proposed_at.is_none();
            needless || Some(withheld.revision) != present
        };
        if !self.withheld.get(key).is_some_and(void) {
            return;
        }
        if let Some(withheld) = self.withheld.remove(key)
            && let Some(contact) = self.contacts.get_mut(&withheld.owner)
        {
            contact.withheld.remove(key);
        }
    }

    /// The back end whose holdings shall contain the slice.
    fn receiver(&self, key: &SliceKey, record: &SliceRecord) -> Option<(BackEndId, Grant)> {
        if self.withheld.contains_key(key) {
            return None;
        }
        let owner = record.owner.as_ref()?;
        let session = self.contacts.get(&owner.back_end)?.session.as_ref()?;
        let same = session.id == *owner;
        same.then(|| (owner.back_end.clone(), grant_of(record)))
    }

    /// Puts the slice into the wanted holdings and out of any other.
    fn place(&mut self, key: &SliceKey, wanted: Option<(BackEndId, Grant)>) {
        let holder = self.placed.get(key).cloned();
        let held = holder.and_then(|id| {
            let session = self.contacts.get(&id)?.session.as_ref()?;
            let grant = session.holdings.get(key)?.clone();
            Some((id, grant))
        });
        if held == wanted {
            return;
        }
        if let Some((id, _)) = held {
            self.take_out(key, &id);
        }
        if let Some((id, grant)) = wanted {
            self.put_in(key, &id, grant);
        }
    }

    pub(super) fn take_out(&mut self, key: &SliceKey, id: &BackEndId) -> u64 {
        let number = self.next_number();
        self.placed.remove(key);
        if let Some(contact) = self.contacts.get_mut(id) {
            contact.mark_changed();
            if let Some(session) = &mut contact.session {
                session.holdings.remove(key, number);
            }
        }
        self.reschedule(id);
        number
    }

    fn put_in(&mut self, key: &SliceKey, id: &BackEndId, grant: Grant) {
        let number = self.next_number();
        let Some(contact) = self.contacts.get_mut(id) else {
            return;
        };
        contact.mark_changed();
        let Some(session) = &mut contact.session else {
            return;
        };
        let owner = session.id.clone();
        session.holdings.add(key.clone(), grant.clone(), number);
        self.placed.insert(key.clone(), id.clone());
        self.reschedule(id);
        self.observe(Observation::GrantIssued {
            session: owner,
            grant,
        });
    }

    /// Tells the next owner at once.
    fn ask_to_prepare(&mut self, record: &SliceRecord) {
        let Some(next) = &record.next else {
            return;
        };
        let Some(contact) = self.contacts.get_mut(next) else {
            return;
        };
        let known = self.waiting.contains_key(&record.key());
        if !known && !contact.ready.contains(&grant_of(record)) {
            contact.mark_changed();
        }
        self.reschedule(next);
    }

    fn review_waiting(
        &mut self,
        now: Timestamp,
        key: &SliceKey,
        record: &SliceRecord,
        machine: &StateMachine,
    ) {
        let Some(revision) = machine.slice_revision(key) else {
            return;
        };
        let started = match self.waiting.get(key) {
            Some((at_revision, started)) if *at_revision == revision => *started,
            _ => now,
        };
        let start = (revision, started);
        self.waiting.insert(key.clone(), start);
        if !self.placed.contains_key(key) {
            // The owner has not answered in this term yet.
            return;
        }
        let patience = self.patience(record, machine);
        let due = patience.map(|patience| started + patience);
        if self.next_is_ready(record) || due.is_some_and(|due| now >= due) {
            self.withhold(key, record, revision);
        } else if let Some(due) = due {
            self.timers.insert((due, key.clone()));
        }
    }

    /// How long to wait for the next owner; `None` waits until it is ready.
    fn patience(&self, record: &SliceRecord, machine: &StateMachine) -> Option<Duration> {
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

    fn next_is_ready(&self, record: &SliceRecord) -> bool {
        let next = record.next.as_ref().and_then(|id| self.contacts.get(id));
        next.is_some_and(|contact| contact.ready.contains(&grant_of(record)))
    }

    /// Looks again at slices whose time has come.
    pub(super) fn run_timers(&mut self, now: Timestamp, machine: &StateMachine) {
        while let Some((at, _)) = self.timers.first() {
            if *at > now {
                return;
            }
            if let Some((_, key)) = self.timers.pop_first() {
                self.review(now, &key, machine);
            }
        }
    }
}
