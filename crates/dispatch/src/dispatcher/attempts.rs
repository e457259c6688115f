//! Leave to send an attempt, and what follows from its end.

use threadledge_coordination::KeyOwner;
use threadledge_types::Timestamp;
use threadledge_types::deployment::{BackEndName, ServiceName};

use super::{Dispatcher, NextAction};
use crate::back_ends::Known;
use crate::exchange::InFlight;
use crate::outcome::{AttemptEnd, Fault, Rejection, ReportedLoad, UnknownReason};
use crate::request::{AttemptId, ExchangeId};

/// Part of the usual time of work below which no work can have been done.
const TOO_SOON: f64 = 0.25;

impl Dispatcher {
    /// Whether an attempt may be sent now, asked right before its first byte.
    ///
    /// Invariants: a leaving, resting or vanished back end gets nothing new, one
    /// that names a limit nothing beyond it, and a key's request goes to its owner
    /// only, however long a connection took to open.
    pub fn may_send(&mut self, now: Timestamp, id: ExchangeId, attempt: AttemptId) -> bool {
        let Some(exchange) = self.exchanges.get_mut(&id) else {
            return false;
        };
        // Another router may have found out while a connection was opened.
        if now >= exchange.deadline || self.suspects.is_held(&exchange.identity) {
            return false;
        }
        let Some(in_flight) = exchange.in_flight.get_mut(&attempt) else {
            return false;
        };
        let keyed = exchange.key.is_some();
        let known = self.back_ends.get(&in_flight.back_end);
        let takes = |known: &Known| known.takes_requests() && known.rests_until(now).is_none();
        if !known.is_some_and(takes) {
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
        let retry = exchange.arrived > 0;
        exchange.sent += 1;
        exchange.arrived += 1;
        if retry {
            let service = exchange.service.clone();
            self.counters.repeats += 1;
            self.budget(now, &service).count_sent();
        }
        true
    }

    /// An attempt ended.
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
        self.learn(now, id, &in_flight, end);
        self.look_for_crash(now, id, &in_flight, end);
        let verdict = self.judge(now, id, &in_flight, end);
        if verdict == NextAction::Deliver {
            self.counters.answered += 1;
            self.end(id);
        }
        let service = self.service_of_back_end(&in_flight.back_end);
        if let Some(service) = service {
            self.serve_waiting(now, &service);
        }
        verdict
    }

    pub(super) fn remove_attempt(
        &mut self,
        id: ExchangeId,
        attempt: AttemptId,
    ) -> Option<InFlight> {
        let exchange = self.exchanges.get_mut(&id)?;
        let in_flight = exchange.in_flight.remove(&attempt)?;
        if let Some(known) = self.back_ends.get_mut(&in_flight.back_end) {
            known.in_flight.remove(&(id, attempt));
        }
        Some(in_flight)
    }

    pub(super) fn service_of_back_end(&self, name: &BackEndName) -> Option<ServiceName> {
        let known = self.back_ends.get(name)?;
        Some(known.back_end.service.clone())
    }

    /// What the end of an attempt tells of its back end.
    pub(super) fn learn(
        &mut self,
        now: Timestamp,
        id: ExchangeId,
        in_flight: &InFlight,
        end: &AttemptEnd,
    ) {
        let Some(exchange) = self.exchanges.get(&id) else {
            return;
        };
        let usual = self.back_ends.usual(now, &exchange.service);
        let Some(known) = self.back_ends.get_mut(&in_flight.back_end) else {
            return;
        };
        let before = known.estimate.clone();
        let own = u32::try_from(known.in_flight.len()).unwrap_or(u32::MAX);
        let mut told = |load: &Option<ReportedLoad>| {
            if let Some(load) = load {
                known.estimate.told(now, *load, own);
            }
        };
        match end {
            AttemptEnd::Answered { failed, load } => {
                told(load);
                if let Some(key) = exchange.key {
                    self.not_held.held(&exchange.service, key);
                }
                if !failed {
                    let took = now.since(in_flight.chosen_at);
                    if exchange.key.is_some() {
                        let work_s = took.as_secs_f64() / in_flight.crowding.max(1.0);
                        let observed = self.observed.entry(exchange.service.clone());
                        observed.or_default().answered(&in_flight.back_end, work_s);
                    }
                    known
                        .estimate
                        .measured(now, took, in_flight.crowding, &usual);
                }
                known.on_answer();
            }
            AttemptEnd::NotRun { reason, load } => {
                told(load);
                if *reason == Rejection::Busy && load.is_none() {
                    known.on_full(now);
                }
                if *reason == Rejection::OtherInstance {
                    known.on_other_instance();
                }
            }
            AttemptEnd::Failed(fault) => {
                // A connection that breaks before any work can have been done
                // is how some back ends say that they are full.
                let soon = now.since(in_flight.chosen_at).as_secs_f64() < usual.work_s * TOO_SOON;
                if *fault == Fault::Broken && soon {
                    known.on_full(now);
                }
                if *fault == Fault::NoConnection {
                    known.on_no_connection(now);
                }
                // What the caller did says nothing. A deadline says more about the request than about the back
                // end, and a connection closed before a byte left says nothing.
                let counts = !matches!(
                    fault,
                    Fault::TimedOut
                        | Fault::NoConnection
                        | Fault::NothingSent
                        | Fault::BodyGone
                        | Fault::CallerBroke
                );
                if counts && known.on_fault(now, *fault, &self.settings) {
                    self.counters.ejections += 1;
                }
            }
            AttemptEnd::Abandoned => {}
        }
        let name = &in_flight.back_end;
        self.back_ends.estimate_changed(now, name, &before);
    }

    /// What the end of an attempt means for its exchange.
    pub(super) fn judge(
        &mut self,
        now: Timestamp,
        id: ExchangeId,
        in_flight: &InFlight,
        end: &AttemptEnd,
    ) -> NextAction {
        let pause = self.settings.owner_retry_delay;
        let never_arrived = match end {
            AttemptEnd::Failed(fault) => !fault.may_have_run(),
            AttemptEnd::Abandoned => !in_flight.sent,
            AttemptEnd::Answered { .. } | AttemptEnd::NotRun { .. } => false,
        };
        if never_arrived {
            self.take_back(now, id, in_flight);
        }
        let Some(exchange) = self.exchanges.get_mut(&id) else {
            return NextAction::CallNext;
        };
        match end {
            AttemptEnd::Answered { failed, .. } => {
                let again = *failed && exchange.may_repeat() && exchange.route.repeatable;
                if !again {
                    return NextAction::Deliver;
                }
                exchange.tried.insert(in_flight.back_end.clone());
                exchange.may_have_run = Some(UnknownReason::BadAnswer);
            }
            AttemptEnd::NotRun { reason, .. } => match reason {
                Rejection::Malformed => return NextAction::Deliver,
                Rejection::NotOwner => {
                    // It ran nowhere, and the next owner is another back end.
                    exchange.sent = exchange.sent.saturating_sub(1);
                    let view = self.ownership.get(&exchange.service);
                    if let (Some(key), Some(view)) = (exchange.key, view) {
                        let (_, fence) = view.owner(key);
                        self.not_held
                            .refused(now, &exchange.service, key, fence, pause);
                    }
                }
                Rejection::Busy | Rejection::OtherInstance => {
                    exchange.tried.insert(in_flight.back_end.clone());
                }
            },
            AttemptEnd::Failed(fault) => {
                exchange.tried.insert(in_flight.back_end.clone());
                exchange.body_gone |= matches!(fault, Fault::BodyGone | Fault::CallerBroke);
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

    /// An attempt never arrived: it counts neither for the route's bound nor
    /// for the budget.
    pub(super) fn take_back(&mut self, now: Timestamp, id: ExchangeId, in_flight: &InFlight) {
        let Some(exchange) = self.exchanges.get_mut(&id) else {
            return;
        };
        if in_flight.sent {
            exchange.sent = exchange.sent.saturating_sub(1);
            exchange.arrived = exchange.arrived.saturating_sub(1);
        }
        if let Some(ends) = in_flight.send_by.filter(|_| exchange.key.is_some()) {
            self.limited.put_back(now, &in_flight.back_end, ends);
        }
        if let Some(permit) = in_flight.retry {
            let service = exchange.service.clone();
            self.budget(now, &service).return_permit(now, permit);
        }
    }
}
