//! Exchanges that an owner refused because it does not consider the slice its
//! own.

use threadledge_types::{Timestamp, UnknownReason};

use super::core::Core;
use crate::attempt::Step;
use crate::exchange::{Exchange, Parked, Refusals, RetryTime, RunningAttempt, State, Target};
use crate::owner_refusals::WaiterAction;

impl Core {
    /// Parks an exchange until the slice has a newer epoch or the owner accepts
    /// requests.
    pub(super) fn park_after_refusal(
        &mut self,
        now: Timestamp,
        exchange: &mut Exchange,
        target: Target,
    ) {
        let refusals = exchange
            .refusals
            .filter(|refusals| refusals.target == target);
        let refusals = refusals.unwrap_or(Refusals {
            target,
            probes: 1,
            resent: false,
        });
        exchange.refusals = Some(refusals);
        if refusals.resent {
            // The owner accepts other requests but not this one, so it backs
            // off by itself.
            let retry_at = self.retry_time(now, exchange);
            return self.park(now, exchange, Some(target), RetryTime::At(retry_at));
        }
        self.park(now, exchange, Some(target), RetryTime::AfterProbe);
        let initial_backoff = self.settings.backoff_min();
        self.owner_refusals
            .join(now, target, exchange.id, refusals.probes, initial_backoff);
    }

    /// Returns the next step of an exchange that waits with others for the
    /// owner that refused them.
    pub(super) fn wait_for_owner_to_accept(
        &mut self,
        now: Timestamp,
        exchange: &mut Exchange,
        target: Target,
        give_up: Timestamp,
    ) -> Option<Step> {
        match self.owner_refusals.next_action(target, exchange.id) {
            WaiterAction::Wait => Some(Step::Wait { until: give_up }),
            WaiterAction::Probe(probe_at) if now < probe_at => {
                let until = probe_at.min(give_up);
                Some(Step::Wait { until })
            }
            WaiterAction::Probe(_) => {
                self.probe_owner(now, exchange, target);
                None
            }
            WaiterAction::Resend => {
                self.resend_once(exchange);
                None
            }
        }
    }

    /// Resends an exchange because the owner accepted another request. This
    /// takes no retry token, because each exchange is resent this way only
    /// once.
    fn resend_once(&mut self, exchange: &mut Exchange) {
        if let Some(refusals) = &mut exchange.refusals {
            refusals.resent = true;
        }
        self.counters.reroutes += 1;
        self.set_state(exchange, State::Ready);
    }

    /// Resends an exchange as a probe on behalf of all that wait, if the retry
    /// budget has a token.
    fn probe_owner(&mut self, now: Timestamp, exchange: &mut Exchange, target: Target) {
        let initial_backoff = self.settings.backoff_min();
        let probes = self
            .owner_refusals
            .schedule_next_probe(now, target, initial_backoff);
        let back_end = self.back_ends.get_mut(&target.back_end);
        if !back_end.is_none_or(|back_end| back_end.withdraw_retry(now)) {
            self.counters.retries_denied += 1;
            if exchange.unresolved.is_some() {
                self.end_without_response(now, exchange, UnknownReason::ConnectionLost);
            }
            return;
        }
        if let Some(refusals) = &mut exchange.refusals {
            refusals.probes = probes;
        }
        self.counters.retries += 1;
        self.set_state(exchange, State::Ready);
    }

    /// Wakes the exchanges that the owner had refused, because it has accepted
    /// a request.
    pub(super) fn on_owner_accepted(&mut self, attempt: &RunningAttempt) {
        let waiting = self.owner_refusals.release_all(attempt.target);
        self.wakeups.extend(waiting);
    }

    /// Removes an exchange from those that wait for the owner that refused
    /// them.
    pub(super) fn leave_owner_refusals(&mut self, exchange: &Exchange) {
        let State::Parked(Parked {
            avoid: Some(target),
            retry: RetryTime::AfterProbe,
        }) = exchange.state
        else {
            return;
        };
        let next = self.owner_refusals.leave(target, exchange.id);
        self.wakeups.extend(next);
    }
}
