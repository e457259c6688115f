//! Holds the dispatcher behind a lock and wakes the request tasks that wait for
//! its decisions.

use std::collections::HashMap;
use std::sync::Arc;

use async_channel::{Receiver, Sender};
use parking_lot::Mutex;
use threadledge_dispatch::dispatcher::NextAction;
use threadledge_dispatch::{
    AllowedRetries, AttemptEnd, AttemptId, BackEndEvent, Dispatcher, ExchangeId, Refusal,
    RequestInfo, RetryDenials, Signals, StartedExchange, Step,
};
use threadledge_tenants::Admission;
use threadledge_types::Timestamp;
use threadledge_types::deployment::ServiceName;

use super::notifier::Notifier;
use super::suspects::{Finding, SuspectSignals};
use crate::events::{EventId, emit};
use crate::proxy::{Clock, Signal};

/// The dispatcher with its clock. The clock is read while the lock is held, so
/// that the time the dispatcher sees never goes backwards.
#[derive(Debug)]
pub(super) struct Dispatch {
    clock: Clock,
    suspects: SuspectSignals,
    /// Notified when tokens have to be requested from a coordinator.
    tokens_needed: Notifier,
    /// Channel of services one of whose back ends announced that it is leaving
    /// or requested a backoff.
    unavailable_services: (Sender<ServiceName>, Receiver<ServiceName>),
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    dispatcher: Dispatcher,
    signals: HashMap<ExchangeId, Arc<Signal>>,
}

impl Dispatch {
    pub(super) fn new(dispatcher: Dispatcher, clock: Clock, suspects: SuspectSignals) -> Self {
        let signals = HashMap::new();
        Dispatch {
            clock,
            suspects,
            tokens_needed: Notifier::default(),
            unavailable_services: async_channel::unbounded(),
            state: Mutex::new(State {
                dispatcher,
                signals,
            }),
        }
    }

    /// Signals about requests that crash back ends, as seen by the request
    /// path.
    pub(super) fn suspect_signals(&self) -> &SuspectSignals {
        &self.suspects
    }

    /// Receives each service one of whose back ends announced that it is
    /// leaving or requested a backoff.
    pub(super) fn unavailable_services(&self) -> Receiver<ServiceName> {
        self.unavailable_services.1.clone()
    }

    /// Notified when tokens have to be requested from a coordinator.
    pub(super) fn tokens_needed(&self) -> &Notifier {
        &self.tokens_needed
    }

    pub(super) fn clock(&self) -> Clock {
        self.clock
    }

    /// Runs `act` on the dispatcher, then wakes the exchanges and tasks that
    /// its changes concern.
    pub(super) fn with<R>(&self, act: impl FnOnce(&mut Dispatcher, Timestamp) -> R) -> R {
        let mut state = self.state.lock();
        let now = self.clock.now();
        let changes_before = state.dispatcher.suspects().changes();
        let result = act(&mut state.dispatcher, now);
        for check in state.dispatcher.take_process_checks() {
            self.suspects.report(Finding::BrokenAttempt(check));
        }
        if state.dispatcher.has_crashes() {
            self.suspects.report(Finding::Crashes);
        }
        let suspects_changed = state.dispatcher.suspects().changes() != changes_before;
        let retry_denials = state.dispatcher.take_retry_denials();
        let allowed_retries = state.dispatcher.take_allowed_retries();
        let back_end_events = state.dispatcher.take_back_end_events();
        let wants_tokens = state.dispatcher.wants_tokens();
        let woken = state.dispatcher.take_woken();
        let signals: Vec<Arc<Signal>> = woken
            .iter()
            .filter_map(|id| state.signals.get(id).cloned())
            .collect();
        drop(state);
        for signal in signals {
            signal.notify();
        }
        retry_denials.iter().for_each(log_retry_denial);
        allowed_retries.iter().for_each(log_allowed_retries);
        back_end_events.iter().for_each(log_back_end_event);
        for service in back_end_events.iter().filter_map(unavailable_service) {
            // The channel is unbounded and closes only when the process ends.
            let _ = self.unavailable_services.0.try_send(service.clone());
        }
        if wants_tokens {
            self.tokens_needed.notify();
        }
        if suspects_changed {
            self.suspects.changed.notify();
        }
        result
    }

    /// Starts an exchange. The returned signal wakes the task that runs it.
    pub(super) fn begin(
        &self,
        info: &RequestInfo<'_>,
    ) -> Result<(StartedExchange, Arc<Signal>), Refusal> {
        let started = self.with(|dispatcher, now| dispatcher.begin(now, info))?;
        let signal = Arc::new(Signal::default());
        self.state.lock().signals.insert(started.id, signal.clone());
        Ok((started, signal))
    }

    /// Returns whether requests for this host and path may run in any order.
    pub(super) fn is_repeatable(&self, host: &str, path: &str) -> bool {
        self.state.lock().dispatcher.is_repeatable(host, path)
    }

    /// Returns whether the request is only forwarded, so that none of its
    /// content may be kept here.
    pub(super) fn passes_through(&self, admission: &Admission) -> bool {
        self.state.lock().dispatcher.passes_through(admission)
    }

    pub(super) fn next(&self, id: ExchangeId) -> Step {
        self.with(|dispatcher, now| dispatcher.next(now, id))
    }

    /// Returns the current time if the attempt may be sent now, and `None` if
    /// not.
    pub(super) fn may_send(&self, id: ExchangeId, attempt: AttemptId) -> Option<Timestamp> {
        self.with(|dispatcher, now| dispatcher.may_send(now, id, attempt).then_some(now))
    }

    /// Records the signals in the response head of an attempt.
    pub(super) fn on_response_head(&self, id: ExchangeId, attempt: AttemptId, signals: &Signals) {
        self.with(|dispatcher, now| dispatcher.on_response_head(now, id, attempt, signals));
    }

    pub(super) fn on_attempt_end(
        &self,
        id: ExchangeId,
        attempt: AttemptId,
        end: &AttemptEnd,
    ) -> NextAction {
        self.with(|dispatcher, now| dispatcher.on_attempt_end(now, id, attempt, end))
    }

    /// Releases an exchange. One without an outcome counts as abandoned.
    pub(super) fn release(&self, id: ExchangeId) {
        self.with(|dispatcher, now| dispatcher.abandon(now, id));
        self.state.lock().signals.remove(&id);
    }
}

fn log_retry_denial(denial: &RetryDenials) {
    emit!(
        EventId::RetriesDenied,
        service = %denial.service,
        denied = denial.denied,
        requests = denial.requests,
        retries = denial.retries,
        slack = denial.slack,
        gateways = denial.routers,
    );
}

fn log_allowed_retries(report: &AllowedRetries) {
    emit!(
        EventId::RetriesAllowed,
        service = %report.service,
        allowed = report.allowed,
        sent = report.sent,
        from_slack = report.from_slack,
        oldest_request_ms = report.oldest_request.as_millis() as u64,
    );
}

/// Returns the service of a back end that should not keep its keys.
fn unavailable_service(event: &BackEndEvent) -> Option<&ServiceName> {
    match event {
        BackEndEvent::Leaving { service, .. } | BackEndEvent::Resting { service, .. } => {
            Some(service)
        }
        BackEndEvent::Limited { .. }
        | BackEndEvent::LimitLifted { .. }
        | BackEndEvent::LimitUnreadable { .. }
        | BackEndEvent::BackoffUnreadable { .. } => None,
    }
}

fn log_back_end_event(event: &BackEndEvent) {
    match event {
        BackEndEvent::Limited {
            back_end,
            rate,
            before,
        } => emit!(EventId::BackEndLimited, back_end = %back_end, rate, before),
        BackEndEvent::LimitLifted { back_end } => {
            emit!(EventId::BackEndLimitLifted, back_end = %back_end);
        }
        BackEndEvent::LimitUnreadable { back_end } => {
            emit!(EventId::BackEndLimitUnreadable, back_end = %back_end);
        }
        BackEndEvent::Leaving { back_end, service } => {
            emit!(EventId::BackEndSaidLeaving, back_end = %back_end, service = %service);
        }
        BackEndEvent::Resting {
            back_end,
            service,
            backoff,
        } => {
            let rest_s = backoff.as_secs_f64();
            emit!(EventId::BackEndResting, back_end = %back_end, service = %service, rest_s);
        }
        BackEndEvent::BackoffUnreadable { back_end } => {
            emit!(EventId::RestUnreadable, back_end = %back_end);
        }
    }
}
