//! Exchanges whose owner refused them as not its own.

use threadledge_types::{Timestamp, UnknownReason};

use super::core::Core;
use crate::attempt::Step;
use crate::exchange::{Exchange, Parked, Refusals, RunningAttempt, State, Target, TryAgain};
use crate::refusing::Turn;

impl Core {
    /// Waits for a newer epoch of the slice, or until the owner serves.
    pub(super) fn park_refused(&mut self, now: Timestamp, exchange: &mut Exchange, target: Target) {
        let refusals = exchange
            .refusals
            .filter(|refusals| refusals.target == target);
        let refusals = refusals.unwrap_or(Refusals {
            target,
            asked: 1,
            followed: false,
        });
        exchange.refusals = Some(refusals);
        if refusals.followed {
            // What served the others does not serve this one.
            let retry_at = self.retry_time(now, exchange);
            return self.park(now, exchange, Some(target), TryAgain::At(retry_at));
        }
        self.park(now, exchange, Some(target), TryAgain::WithOthers);
        let shortest = self.settings.backoff_min();
        self.refusing
            .join(now, target, exchange.id, refusals.asked, shortest);
    }

    /// The next step of one that waits with others, while its owner is the
    /// one that refused.
    pub(super) fn wait_refused(
        &mut self,
        now: Timestamp,
        exchange: &mut Exchange,
        target: Target,
        give_up: Timestamp,
    ) -> Option<Step> {
        match self.refusing.turn(target, exchange.id) {
            Turn::Waits => Some(Step::Wait { until: give_up }),
            Turn::Asks(ask_at) if now < ask_at => {
                let until = ask_at.min(give_up);
                Some(Step::Wait { until })
            }
            Turn::Asks(_) => {
                self.ask_again(now, exchange, target);
                None
            }
            Turn::Served => {
                self.follow(exchange);
                None
            }
        }
    }

    /// Another one was served. Costs no token: each follows once.
    fn follow(&mut self, exchange: &mut Exchange) {
        if let Some(refusals) = &mut exchange.refusals {
            refusals.followed = true;
        }
        self.counters.reroutes += 1;
        self.set_state(exchange, State::Ready);
    }

    fn ask_again(&mut self, now: Timestamp, exchange: &mut Exchange, target: Target) {
        let shortest = self.settings.backoff_min();
        let asked = self.refusing.put_off(now, target, shortest);
        let back_end = self.back_ends.get_mut(&target.back_end);
        if !back_end.is_none_or(|back_end| back_end.withdraw_retry(now)) {
            self.counters.retries_denied += 1;
            if exchange.unresolved.is_some() {
                self.end_without_answer(now, exchange, UnknownReason::ConnectionLost);
            }
            return;
        }
        if let Some(refusals) = &mut exchange.refusals {
            refusals.asked = asked;
        }
        self.counters.retries += 1;
        self.set_state(exchange, State::Ready);
    }

    /// An owner answers: those that it refused go on.
    pub(super) fn on_served(&mut self, attempt: &RunningAttempt) {
        let waiting = self.refusing.served(attempt.target);
        self.wakeups.extend(waiting);
    }

    /// Gives up the place among those that wait for the owner that refused.
    pub(super) fn leave_refusing(&mut self, exchange: &Exchange) {
        let State::Parked(Parked {
            avoid: Some(target),
            again: TryAgain::WithOthers,
        }) = exchange.state
        else {
            return;
        };
        let next = self.refusing.leave(target, exchange.id);
        self.wakeups.extend(next);
    }
}
