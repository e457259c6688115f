//! The end of an exchange that no answer ends.

use std::time::Duration;

use threadledge_types::Timestamp;
use threadledge_types::deployment::BackEndName;

use super::{DEFAULT_RETRY_AFTER, Dispatcher};
use crate::outcome::{Outcome, Refusal, RefusalReason, UnknownReason};
use crate::request::{ExchangeId, Step};

impl Dispatcher {
    /// The caller left, or the shell gave the exchange up.
    pub fn abandon(&mut self, now: Timestamp, id: ExchangeId) {
        let Some(exchange) = self.exchanges.get(&id) else {
            return;
        };
        let service = exchange.service.clone();
        self.counters.abandoned += 1;
        self.end(id);
        self.serve_waiting(now, &service);
    }

    pub(super) fn finish_late(&mut self, now: Timestamp, id: ExchangeId) -> Step {
        if let Some(exchange) = self.exchanges.get_mut(&id) {
            let sent = exchange.in_flight.values().filter(|flight| flight.sent);
            let silent: Vec<BackEndName> = sent.map(|flight| flight.back_end.clone()).collect();
            if !silent.is_empty() {
                exchange.may_have_run = Some(UnknownReason::DeadlinePassed);
            }
            // A process that ended without a word shows it by its silence only.
            for process in silent {
                self.attempt_broke(now, id, process, true);
            }
        }
        self.finish(now, id, RefusalReason::DeadlinePassed, None)
    }

    /// Ends an exchange that no answer ends. Invariant: it is refused only if
    /// nothing of it can have run.
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
        self.end(id);
        self.serve_waiting(now, &service);
        Step::Finish(outcome)
    }

    pub(super) fn end(&mut self, id: ExchangeId) {
        self.stop_waiting(id);
        let Some(exchange) = self.exchanges.remove(&id) else {
            return;
        };
        for (attempt, in_flight) in exchange.in_flight {
            if let Some(known) = self.back_ends.get_mut(&in_flight.back_end) {
                known.in_flight.remove(&(id, attempt));
            }
        }
    }
}
