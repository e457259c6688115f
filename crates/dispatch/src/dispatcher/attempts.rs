//! Permission to send an attempt, and the consequences of its end.

use threadledge_coordination::KeyOwner;
use threadledge_types::Timestamp;
use threadledge_types::deployment::{BackEndName, ServiceName};

use super::{Dispatcher, NextAction};
use crate::back_ends::BackEndState;
use crate::exchange::InFlightAttempt;
use crate::outcome::{AttemptEnd, Fault, Rejection, ReportedLoad, UnknownReason};
use crate::request::{AttemptId, ExchangeId};

/// Fraction of the average service time within which a back end cannot have
/// done any work.
const MIN_SERVICE_TIME_FRACTION: f64 = 0.25;

impl Dispatcher {
    /// Whether an attempt may be sent now. To be called right before its first
    /// byte is written.
    ///
    /// Invariants, however long opening a connection took: a back end that is
    /// leaving, backing off or no longer registered gets no new requests, one
    /// with a rate limit gets nothing beyond the limit, and a request with a
    /// key only goes to the key's owner.
    pub fn may_send(&mut self, now: Timestamp, id: ExchangeId, attempt: AttemptId) -> bool {
        let Some(exchange) = self.exchanges.get_mut(&id) else {
            return false;
        };
        // Another router may have reported the request while a connection was
        // being opened.
        if now >= exchange.deadline || self.suspects.is_held(&exchange.identity) {
            return false;
        }
        let Some(in_flight) = exchange.in_flight.get_mut(&attempt) else {
            return false;
        };
        let keyed = exchange.key.is_some();
        let state = self.back_ends.get(&in_flight.back_end);
        let accepts =
            |state: &BackEndState| state.accepts_requests() && state.backoff_until(now).is_none();
        if !state.is_some_and(accepts) {
            return false;
        }
        if let Some(key) = exchange.key {
            let view = self.ownership.get(&exchange.service);
            let owner = view.map(|view| view.owner(key).0);
            let name = &in_flight.back_end;
            if !matches!(owner, Some(KeyOwner::Owned(owner)) if owner == name) {
                return false;
            }
        }
        let send_by = in_flight.send_by;
        let back_end = in_flight.back_end.clone();
        if !self.may_send_limited(now, &back_end, keyed, send_by) {
            return false;
        }
        let Some(exchange) = self.exchanges.get_mut(&id) else {
            return false;
        };
        if let Some(in_flight) = exchange.in_flight.get_mut(&attempt) {
            in_flight.sent = true;
        }
        let is_retry = exchange.possibly_arrived > 0;
        exchange.possibly_run += 1;
        exchange.possibly_arrived += 1;
        if is_retry {
            let service = exchange.service.clone();
            self.counters.repeats += 1;
            self.retry_budget(now, &service).count_sent();
        }
        true
    }

    /// Processes the end of an attempt.
    pub fn on_attempt_end(
        &mut self,
        now: Timestamp,
        id: ExchangeId,
        attempt: AttemptId,
        end: &AttemptEnd,
    ) -> NextAction {
        let Some(in_flight) = self.remove_attempt(id, attempt) else {
            return NextAction::CallNext;
        };
        self.update_estimates(now, id, &in_flight, end);
        self.record_crash_evidence(now, id, &in_flight, end);
        let action = self.conclude_attempt(now, id, &in_flight, end);
        if action == NextAction::Deliver {
            self.counters.answered += 1;
            self.remove_exchange(id);
        }
        let service = self.service_of_back_end(&in_flight.back_end);
        if let Some(service) = service {
            self.wake_waiting(now, &service);
        }
        action
    }

    /// Removes an attempt from its exchange and from its back end.
    pub(super) fn remove_attempt(
        &mut self,
        id: ExchangeId,
        attempt: AttemptId,
    ) -> Option<InFlightAttempt> {
        let exchange = self.exchanges.get_mut(&id)?;
        let in_flight = exchange.in_flight.remove(&attempt)?;
        if let Some(state) = self.back_ends.get_mut(&in_flight.back_end) {
            state.in_flight.remove(&(id, attempt));
        }
        Some(in_flight)
    }

    pub(super) fn service_of_back_end(&self, name: &BackEndName) -> Option<ServiceName> {
        let state = self.back_ends.get(name)?;
        Some(state.back_end.service.clone())
    }

    /// Updates the estimates of a back end after an attempt.
    pub(super) fn update_estimates(
        &mut self,
        now: Timestamp,
        id: ExchangeId,
        in_flight: &InFlightAttempt,
        end: &AttemptEnd,
    ) {
        let Some(exchange) = self.exchanges.get(&id) else {
            return;
        };
        let averages = self.back_ends.averages(now, &exchange.service);
        let Some(state) = self.back_ends.get_mut(&in_flight.back_end) else {
            return;
        };
        let before = state.estimate.clone();
        let own_requests = u32::try_from(state.in_flight.len()).unwrap_or(u32::MAX);
        let mut record_load = |load: &Option<ReportedLoad>| {
            if let Some(load) = load {
                state.estimate.on_reported_load(now, *load, own_requests);
            }
        };
        match end {
            AttemptEnd::Answered { failed, load } => {
                record_load(load);
                if let Some(key) = exchange.key {
                    self.key_refusals.on_answered(&exchange.service, key);
                }
                if !failed {
                    let latency = now.since(in_flight.chosen_at);
                    if exchange.key.is_some() {
                        let service_time_s = latency.as_secs_f64() / in_flight.load_factor.max(1.0);
                        let observed = self.observed_load.entry(exchange.service.clone());
                        observed
                            .or_default()
                            .add_service_time(&in_flight.back_end, service_time_s);
                    }
                    state
                        .estimate
                        .add_service_time(now, latency, in_flight.load_factor, &averages);
                }
                state.on_answer();
            }
            AttemptEnd::NotRun { reason, load } => {
                record_load(load);
                if *reason == Rejection::Busy && load.is_none() {
                    state.on_full(now);
                }
                if *reason == Rejection::OtherInstance {
                    state.on_other_instance();
                }
            }
            AttemptEnd::Failed(fault) => {
                // Some back ends break connections when they are full. A
                // connection that breaks before any work can have been done is
                // taken for that.
                let too_early = now.since(in_flight.chosen_at).as_secs_f64()
                    < averages.service_time_s * MIN_SERVICE_TIME_FRACTION;
                if *fault == Fault::Broken && too_early {
                    state.on_full(now);
                }
                if *fault == Fault::NoConnection {
                    state.on_no_connection(now);
                }
                // A failure of the caller says nothing about the back end. A
                // timeout says more about the request than about the back end,
                // and a connection that closed before a byte was sent says
                // nothing either.
                let is_back_end_fault = !matches!(
                    fault,
                    Fault::TimedOut
                        | Fault::PathFailed
                        | Fault::NoConnection
                        | Fault::NothingSent
                        | Fault::BodyGone
                        | Fault::CallerBroke
                );
                if is_back_end_fault && state.on_fault(now, *fault, &self.settings) {
                    self.counters.ejections += 1;
                }
            }
            AttemptEnd::Abandoned => {}
        }
        let name = &in_flight.back_end;
        self.back_ends.on_estimate_change(now, name, &before);
    }

    /// Updates the exchange after an attempt and decides how it goes on.
    pub(super) fn conclude_attempt(
        &mut self,
        now: Timestamp,
        id: ExchangeId,
        in_flight: &InFlightAttempt,
        end: &AttemptEnd,
    ) -> NextAction {
        let initial_delay = self.settings.owner_retry_delay;
        let did_not_arrive = match end {
            AttemptEnd::Failed(fault) => !fault.may_have_run(),
            AttemptEnd::Abandoned => !in_flight.sent,
            AttemptEnd::Answered { .. } | AttemptEnd::NotRun { .. } => false,
        };
        if did_not_arrive {
            self.undo_attempt(now, id, in_flight);
        }
        let Some(exchange) = self.exchanges.get_mut(&id) else {
            return NextAction::CallNext;
        };
        match end {
            AttemptEnd::Answered { failed, .. } => {
                let may_retry = *failed && exchange.may_repeat() && exchange.route.repeatable;
                if !may_retry {
                    return NextAction::Deliver;
                }
                exchange.tried_back_ends.insert(in_flight.back_end.clone());
                exchange.may_have_run = Some(UnknownReason::BadAnswer);
            }
            AttemptEnd::NotRun { reason, .. } => match reason {
                Rejection::Malformed => return NextAction::Deliver,
                Rejection::NotOwner => {
                    // The request did not run, and its next owner is another
                    // back end.
                    exchange.possibly_run = exchange.possibly_run.saturating_sub(1);
                    let view = self.ownership.get(&exchange.service);
                    if let (Some(key), Some(view)) = (exchange.key, view) {
                        let (_, fence) = view.owner(key);
                        self.key_refusals.on_refused(
                            now,
                            &exchange.service,
                            key,
                            fence,
                            initial_delay,
                        );
                    }
                }
                Rejection::Busy | Rejection::OtherInstance => {
                    exchange.tried_back_ends.insert(in_flight.back_end.clone());
                }
            },
            // The same back end may be reached another way.
            AttemptEnd::Failed(Fault::PathFailed) => {}
            AttemptEnd::Failed(fault) => {
                exchange.cut_off_attempts += u32::from(*fault == Fault::CutOff);
                exchange.tried_back_ends.insert(in_flight.back_end.clone());
                exchange.body_unavailable |= matches!(fault, Fault::BodyGone | Fault::CallerBroke);
                if fault.may_have_run() {
                    exchange.may_have_run = Some((*fault).into());
                }
            }
            AttemptEnd::Abandoned => {
                if in_flight.sent {
                    exchange.may_have_run = Some(UnknownReason::Broken);
                }
            }
        }
        NextAction::CallNext
    }

    /// Undoes the accounting of an attempt that did not reach the back end: it
    /// counts neither towards the route's maximum nor towards the retry budget.
    pub(super) fn undo_attempt(
        &mut self,
        now: Timestamp,
        id: ExchangeId,
        in_flight: &InFlightAttempt,
    ) {
        let Some(exchange) = self.exchanges.get_mut(&id) else {
            return;
        };
        if in_flight.sent {
            exchange.possibly_run = exchange.possibly_run.saturating_sub(1);
            exchange.possibly_arrived = exchange.possibly_arrived.saturating_sub(1);
        }
        if let Some(ends) = in_flight.send_by.filter(|_| exchange.key.is_some()) {
            self.limited_back_ends
                .return_token(now, &in_flight.back_end, ends);
        }
        if let Some(permit) = in_flight.retry_permit {
            let service = exchange.service.clone();
            self.retry_budget(now, &service).return_permit(now, permit);
        }
    }
}
