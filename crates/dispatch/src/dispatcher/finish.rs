//! Ends exchanges that did not get a response.

use std::time::Duration;

use threadledge_types::Timestamp;
use threadledge_types::deployment::BackEndName;

use super::{DEFAULT_RETRY_AFTER, Dispatcher};
use crate::outcome::{Outcome, Refusal, RefusalReason, UnknownReason};
use crate::request::{ExchangeId, Step};

impl Dispatcher {
    /// Ends an exchange because the caller disconnected or the gateway gave it
    /// up.
    pub fn abandon(&mut self, now: Timestamp, id: ExchangeId) {
        let Some(exchange) = self.exchanges.get(&id) else {
            return;
        };
        let service = exchange.service.clone();
        self.counters.abandoned += 1;
        self.remove_exchange(id);
        self.wake_waiting(now, &service);
    }

    /// Ends an exchange whose deadline has passed. Attempts in flight may have
    /// run.
    pub(super) fn finish_at_deadline(&mut self, now: Timestamp, id: ExchangeId) -> Step {
        if let Some(exchange) = self.exchanges.get_mut(&id) {
            let sent = exchange.in_flight.values().filter(|attempt| attempt.sent);
            let unanswered: Vec<BackEndName> =
                sent.map(|attempt| attempt.back_end.clone()).collect();
            if !unanswered.is_empty() {
                exchange.may_have_run = Some(UnknownReason::DeadlinePassed);
            }
            // A process that crashed without closing its connection can only be
            // recognised by its silence.
            for process in unanswered {
                self.attempt_broke(now, id, process, true);
            }
        }
        self.finish(now, id, RefusalReason::DeadlinePassed, None)
    }

    /// Ends an exchange without a response and returns the step that tells the
    /// caller. Invariant: it is refused only if no attempt can have run.
    pub(super) fn finish(
        &mut self,
        now: Timestamp,
        id: ExchangeId,
        reason: RefusalReason,
        retry_after: Option<Duration>,
    ) -> Step {
        let Some(exchange) = self.exchanges.get(&id) else {
            return Step::Ended;
        };
        let outcome = match exchange.may_have_run {
            Some(unknown) => Outcome::Unknown(unknown),
            None => Outcome::Refused(Refusal {
                reason,
                retry_after: retry_after.or(Some(DEFAULT_RETRY_AFTER)),
            }),
        };
        match &outcome {
            Outcome::Refused(refusal) => {
                *self.counters.refused.entry(refusal.reason).or_default() += 1;
            }
            Outcome::Unknown(reason) => {
                *self.counters.unknown.entry(*reason).or_default() += 1;
            }
        }
        let service = exchange.service.clone();
        self.remove_exchange(id);
        self.wake_waiting(now, &service);
        Step::Finish(outcome)
    }

    /// Removes an exchange and its attempts from all tables.
    pub(super) fn remove_exchange(&mut self, id: ExchangeId) {
        self.dequeue(id);
        let Some(exchange) = self.exchanges.remove(&id) else {
            return;
        };
        for (attempt, in_flight) in exchange.in_flight {
            if let Some(state) = self.back_ends.get_mut(&in_flight.back_end) {
                state.in_flight.remove(&(id, attempt));
            }
        }
    }
}
