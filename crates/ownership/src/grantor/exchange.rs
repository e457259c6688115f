//! Requests to back ends and their answers.

use std::time::Duration;

use threadledge_types::session::{Grant, GrantsUpdate, LeaseRequest, LeaseResponse, LeaseSequence};
use threadledge_types::{BackEndId, SessionId, Timestamp};

use super::contact::{Outstanding, Reading};
use super::{Grantor, GrantorOutput, Observation};
use crate::machine::StateMachine;

impl Grantor {
    /// Puts the contact into the schedule at the time it is due next.
    pub(super) fn reschedule(&mut self, id: &BackEndId) {
        let Some(contact) = self.contacts.get_mut(id) else {
            return;
        };
        let mut due = contact.send_due(self.last_step, self.settings.retry_interval);
        if contact.session.is_some() && contact.lease_bound > self.last_step {
            due = due.min(contact.lease_bound);
        }
        if contact.scheduled == Some(due) {
            return;
        }
        if let Some(former) = contact.scheduled.replace(due) {
            self.schedule.remove(&(former, id.clone()));
        }
        self.schedule.insert((due, id.clone()));
    }

    /// Serves every contact that is due.
    pub(super) fn run_schedule(&mut self, now: Timestamp, machine: &StateMachine) {
        let mut due = Vec::new();
        while let Some((at, _)) = self.schedule.first() {
            if *at > now {
                break;
            }
            let Some((_, id)) = self.schedule.pop_first() else {
                break;
            };
            if let Some(contact) = self.contacts.get_mut(&id) {
                contact.scheduled = None;
            }
            due.push(id);
        }
        for id in &due {
            self.check_expiry(now, id, machine);
            let contact = self.contacts.get(id);
            if contact
                .is_some_and(|contact| contact.send_due(now, self.settings.retry_interval) <= now)
            {
                self.send(now, id, machine);
            }
            self.reschedule(id);
        }
    }

    fn send(&mut self, now: Timestamp, id: &BackEndId, machine: &StateMachine) {
        let prepare = self.preparations(id, machine);
        let interval = self.interval(id, &prepare);
        let lease = &self.settings.timing;
        let begun = self.begun;
        let Some(contact) = self.contacts.get_mut(id) else {
            return;
        };
        contact.sequence += 1;
        contact.changed = false;
        contact.next_send = now + interval;
        contact.unanswered_since.get_or_insert(now);
        contact.outstanding = Some(Outstanding {
            sequence: contact.sequence,
            sent_at: now,
        });
        let mut request = LeaseRequest {
            group: self.group,
            back_end: id.clone(),
            incarnation: None,
            order: self.term.lease_sequence(contact.sequence),
            echo: None,
            lease_ms: lease.lease_ms,
            grants: GrantsUpdate::Inquire,
            prepare: Vec::new(),
        };
        let granted = contact.session.as_ref().zip(contact.reading);
        let closing = contact.closing.is_some();
        if let Some((session, reading)) = granted
            && begun
            && !closing
            && reading.incarnation == session.id.incarnation
        {
            request.incarnation = Some(reading.incarnation);
            request.echo = Some(reading.holder_time);
            request.grants = session.holdings.update();
            request.prepare = prepare;
            // One owner: whatever delays the request, the holder counts from
            // a reading that it took before `received_at`.
            let bound = reading.received_at + lease.lease_with_drift();
            contact.lease_bound = contact.lease_bound.max(bound);
        }
        self.outputs.push(GrantorOutput::Send {
            to: contact.address,
            request: Box::new(request),
        });
    }

    /// Slices that the back end shall make itself ready to own.
    fn preparations(&self, id: &BackEndId, machine: &StateMachine) -> Vec<Grant> {
        let records = machine
            .incoming_moves(id)
            .filter_map(|key| machine.slice(key));
        let grants = records.map(|record| Grant {
            service: record.service,
            slice: record.slice,
            epoch: record.epoch,
        });
        grants.collect()
    }

    /// Time until the next request if nothing changes.
    fn interval(&self, id: &BackEndId, prepare: &[Grant]) -> Duration {
        let Some(contact) = self.contacts.get(id) else {
            return self.settings.timing.renewal();
        };
        let unready = |grant: &Grant| !contact.ready.contains(grant);
        let waits = contact.session.is_some()
            && (!contact.withheld.is_empty() || prepare.iter().any(unready));
        if waits {
            self.settings.poll_interval
        } else {
            self.settings.timing.renewal()
        }
    }

    pub(super) fn take_failure(&mut self, now: Timestamp, id: &BackEndId, order: LeaseSequence) {
        let retry = self.settings.retry_interval;
        let Some(contact) = self.contacts.get_mut(id) else {
            return;
        };
        let sent = contact.outstanding.map(|outstanding| outstanding.sequence);
        if sent.map(|sequence| self.term.lease_sequence(sequence)) != Some(order) {
            return;
        }
        // No proof of anything: the process may live behind a broken network.
        contact.outstanding = None;
        contact.changed = false;
        contact.next_send = now + retry;
        self.reschedule(id);
    }

    pub(super) fn take_response(
        &mut self,
        now: Timestamp,
        from: &BackEndId,
        response: LeaseResponse,
        machine: &StateMachine,
    ) {
        self.refresh_contact(now, from, machine);
        if !self.note_answer(from, &response) {
            return;
        }
        let answering = SessionId {
            back_end: from.clone(),
            incarnation: response.incarnation,
        };
        let open = machine.session(from).map(|record| record.id.clone());
        if open.is_some_and(|open| open.incarnation > response.incarnation) {
            // A process of the past that still answers. It is not the one
            // whose lease counts, so it says nothing about that one.
            self.observe(Observation::StaleProcess(answering));
            self.reschedule(from);
            return;
        }
        self.note_reading(now, from, &response);
        self.outputs.push(GrantorOutput::Load {
            back_end: from.clone(),
            report: response.load.clone(),
        });
        if let Some(held) = &response.held {
            self.claims.note(&answering, held, machine);
        }
        self.refresh_session(now, from, machine);
        self.note_grants(now, from, &response, machine);
        self.conclude(now, from, machine);
        self.reschedule(from);
    }

    /// Whether the response answers a request of this term to the present
    /// address, and is later than any before.
    fn note_answer(&mut self, from: &BackEndId, response: &LeaseResponse) -> bool {
        let Some(contact) = self.contacts.get_mut(from) else {
            return false;
        };
        let sequence = response.order.sequence;
        let own =
            response.order == self.term.lease_sequence(sequence) && response.back_end == *from;
        let expected = contact.first_sequence.max(contact.answered + 1)..=contact.sequence;
        if !own || !expected.contains(&sequence) {
            return false;
        }
        contact.answered = sequence;
        let awaited = |outstanding: &Outstanding| outstanding.sequence > sequence;
        contact.outstanding = contact.outstanding.filter(awaited);
        true
    }

    fn note_reading(&mut self, now: Timestamp, from: &BackEndId, response: &LeaseResponse) {
        let Some(contact) = self.contacts.get_mut(from) else {
            return;
        };
        contact.unanswered_since = contact.outstanding.map(|outstanding| outstanding.sent_at);
        self.report_answering(from, true);
        let Some(contact) = self.contacts.get_mut(from) else {
            return;
        };
        let known = contact.reading.filter(|reading| {
            reading.incarnation == response.incarnation
                && reading.holder_time >= response.holder_time
        });
        if known.is_some() {
            return;
        }
        contact.reading = Some(Reading {
            incarnation: response.incarnation,
            holder_time: response.holder_time,
            received_at: now,
            draining: response.draining,
        });
    }

    /// Takes note of the grants the holder reports: its version, what it
    /// still releases, and what it is ready for.
    fn note_grants(
        &mut self,
        now: Timestamp,
        from: &BackEndId,
        response: &LeaseResponse,
        machine: &StateMachine,
    ) {
        let poll = self.settings.poll_interval;
        let Some(contact) = self.contacts.get_mut(from) else {
            return;
        };
        contact.ready = response.ready.iter().cloned().collect();
        let Some(session) = &mut contact.session else {
            return;
        };
        if session.id.incarnation != response.incarnation {
            return;
        }
        let number = session.holdings.own_number(response.version);
        let present = session.holdings.acknowledge(response.version);
        if !present && !contact.changed && number.is_none() {
            contact.next_send = contact.next_send.min(now + poll);
        }
        if let Some(number) = number {
            self.note_releases(now, from, number, &response.releasing, machine);
        }
        let moves: Vec<_> = machine.incoming_moves(from).cloned().collect();
        for key in &moves {
            self.review(now, key, machine);
        }
    }
}
