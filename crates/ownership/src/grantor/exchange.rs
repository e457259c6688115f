//! Lease requests to back ends and their responses.

use std::time::Duration;

use threadledge_types::session::{Grant, GrantsUpdate, LeaseRequest, LeaseResponse, LeaseSequence};
use threadledge_types::{BackEndId, SessionId, Timestamp};

use super::back_end_state::{ClockReading, InFlightRequest};
use super::{Grantor, GrantorOutput, Observation};
use crate::machine::StateMachine;

impl Grantor {
    /// Schedules the back end at the time at which it is due next.
    pub(super) fn reschedule(&mut self, id: &BackEndId) {
        let Some(state) = self.back_ends.get_mut(id) else {
            return;
        };
        let mut due = state.send_due(self.last_step, self.settings.retry_interval);
        if state.session.is_some() && state.lease_expiry_bound > self.last_step {
            due = due.min(state.lease_expiry_bound);
        }
        if state.scheduled_at == Some(due) {
            return;
        }
        if let Some(former) = state.scheduled_at.replace(due) {
            self.schedule.remove(&(former, id.clone()));
        }
        self.schedule.insert((due, id.clone()));
    }

    /// Processes every back end that is due.
    pub(super) fn run_schedule(&mut self, now: Timestamp, machine: &StateMachine) {
        let mut due = Vec::new();
        while let Some((at, _)) = self.schedule.first() {
            if *at > now {
                break;
            }
            let Some((_, id)) = self.schedule.pop_first() else {
                break;
            };
            if let Some(state) = self.back_ends.get_mut(&id) {
                state.scheduled_at = None;
            }
            due.push(id);
        }
        for id in &due {
            self.check_session_expiry(now, id, machine);
            let state = self.back_ends.get(id);
            if state.is_some_and(|state| state.send_due(now, self.settings.retry_interval) <= now) {
                self.send_request(now, id, machine);
            }
            self.reschedule(id);
        }
    }

    /// Sends a lease request. It carries a lease and grants if the process that
    /// responded last has the open session, and is an inquiry otherwise.
    fn send_request(&mut self, now: Timestamp, id: &BackEndId, machine: &StateMachine) {
        let prepare = self.slices_to_prepare(id, machine);
        let interval = self.request_interval(id, &prepare);
        let lease = &self.settings.timing;
        let term_begun = self.term_begun;
        let Some(state) = self.back_ends.get_mut(id) else {
            return;
        };
        state.sequence += 1;
        state.has_changes = false;
        state.next_send = now + interval;
        state.unanswered_since.get_or_insert(now);
        state.in_flight = Some(InFlightRequest {
            sequence: state.sequence,
            sent_at: now,
        });
        let mut request = LeaseRequest {
            group: self.group,
            back_end: id.clone(),
            incarnation: None,
            order: self.term.lease_sequence(state.sequence),
            echo: None,
            lease_ms: lease.lease_ms,
            grants: GrantsUpdate::Inquire,
            prepare: Vec::new(),
        };
        let granted = state.session.as_ref().zip(state.reading);
        let closing = state.closing.is_some();
        if let Some((session, reading)) = granted
            && term_begun
            && !closing
            && reading.incarnation == session.id.incarnation
        {
            request.incarnation = Some(reading.incarnation);
            request.echo = Some(reading.holder_time);
            request.grants = session.grants.update();
            request.prepare = prepare;
            // Exclusive ownership: however long the request is delayed, the
            // holder counts the lease from a reading that it took before
            // `received_at`.
            let bound = reading.received_at + lease.lease_with_drift();
            state.lease_expiry_bound = state.lease_expiry_bound.max(bound);
        }
        self.outputs.push(GrantorOutput::Send {
            to: state.address,
            request: Box::new(request),
        });
    }

    /// Returns the slices that the back end should prepare to own.
    fn slices_to_prepare(&self, id: &BackEndId, machine: &StateMachine) -> Vec<Grant> {
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

    /// Returns the time until the next request if nothing changes.
    fn request_interval(&self, id: &BackEndId, prepare: &[Grant]) -> Duration {
        let Some(state) = self.back_ends.get(id) else {
            return self.settings.timing.renewal();
        };
        let unready = |grant: &Grant| !state.ready.contains(grant);
        let awaits_back_end =
            state.session.is_some() && (!state.withheld.is_empty() || prepare.iter().any(unready));
        if awaits_back_end {
            self.settings.poll_interval
        } else {
            self.settings.timing.renewal()
        }
    }

    /// Schedules a retry after a request that got no response.
    pub(super) fn on_request_failed(
        &mut self,
        now: Timestamp,
        id: &BackEndId,
        order: LeaseSequence,
    ) {
        let retry = self.settings.retry_interval;
        let Some(state) = self.back_ends.get_mut(id) else {
            return;
        };
        let sent = state.in_flight.map(|in_flight| in_flight.sequence);
        if sent.map(|sequence| self.term.lease_sequence(sequence)) != Some(order) {
            return;
        }
        // A failed request proves nothing: the process may be running behind a
        // broken network.
        state.in_flight = None;
        state.has_changes = false;
        state.next_send = now + retry;
        self.reschedule(id);
    }

    /// Processes the response of a back end.
    pub(super) fn on_response(
        &mut self,
        now: Timestamp,
        from: &BackEndId,
        response: LeaseResponse,
        machine: &StateMachine,
    ) {
        self.refresh_back_end(now, from, machine);
        if !self.accept_response(from, &response) {
            return;
        }
        let responder = SessionId {
            back_end: from.clone(),
            incarnation: response.incarnation,
        };
        let open = machine.session(from).map(|record| record.id.clone());
        if open.is_some_and(|open| open.incarnation > response.incarnation) {
            // An earlier process that still responds. It is not the one whose
            // lease counts, so its response says nothing about that one.
            self.observe(Observation::StaleProcess(responder));
            self.reschedule(from);
            return;
        }
        self.record_clock_reading(now, from, &response);
        self.outputs.push(GrantorOutput::Load {
            back_end: from.clone(),
            report: response.load.clone(),
        });
        if let Some(held) = &response.held {
            self.claims.record(&responder, held, machine);
        }
        self.refresh_session(now, from, machine);
        self.process_reported_grants(now, from, &response, machine);
        self.propose_session_change(now, from, machine);
        self.reschedule(from);
    }

    /// Records the response and returns whether it is to be processed: it
    /// answers a request of this term to the current address, and a later one
    /// than any response before.
    fn accept_response(&mut self, from: &BackEndId, response: &LeaseResponse) -> bool {
        let Some(state) = self.back_ends.get_mut(from) else {
            return false;
        };
        let sequence = response.order.sequence;
        let is_own =
            response.order == self.term.lease_sequence(sequence) && response.back_end == *from;
        let expected = state.first_sequence.max(state.last_answered + 1)..=state.sequence;
        if !is_own || !expected.contains(&sequence) {
            return false;
        }
        state.last_answered = sequence;
        let awaited = |in_flight: &InFlightRequest| in_flight.sequence > sequence;
        state.in_flight = state.in_flight.filter(awaited);
        true
    }

    /// Records that the process responded, and its clock reading unless a later
    /// one is known.
    fn record_clock_reading(&mut self, now: Timestamp, from: &BackEndId, response: &LeaseResponse) {
        let Some(state) = self.back_ends.get_mut(from) else {
            return;
        };
        state.unanswered_since = state.in_flight.map(|in_flight| in_flight.sent_at);
        self.report_reachability(from, true);
        let Some(state) = self.back_ends.get_mut(from) else {
            return;
        };
        let known = state.reading.filter(|reading| {
            reading.incarnation == response.incarnation
                && reading.holder_time >= response.holder_time
        });
        if known.is_some() {
            return;
        }
        state.reading = Some(ClockReading {
            incarnation: response.incarnation,
            holder_time: response.holder_time,
            received_at: now,
            draining: response.draining,
        });
    }

    /// Processes the grants that the holder reports: its version, the slices it
    /// is still releasing, and those it is ready for.
    fn process_reported_grants(
        &mut self,
        now: Timestamp,
        from: &BackEndId,
        response: &LeaseResponse,
        machine: &StateMachine,
    ) {
        let poll = self.settings.poll_interval;
        let Some(state) = self.back_ends.get_mut(from) else {
            return;
        };
        state.ready = response.ready.iter().cloned().collect();
        let Some(session) = &mut state.session else {
            return;
        };
        if session.id.incarnation != response.incarnation {
            return;
        }
        let number = session.grants.own_state_number(response.version);
        let present = session.grants.acknowledge(response.version);
        if !present && !state.has_changes && number.is_none() {
            state.next_send = state.next_send.min(now + poll);
        }
        if let Some(number) = number {
            self.record_releases(now, from, number, &response.releasing, machine);
        }
        let moves: Vec<_> = machine.incoming_moves(from).cloned().collect();
        for key in &moves {
            self.reevaluate_slice(now, key, machine);
        }
    }
}
