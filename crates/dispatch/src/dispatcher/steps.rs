//! What to do for an exchange next.

use threadledge_types::Timestamp;
use threadledge_types::deployment::{BackEndName, ServiceName};

use super::Dispatcher;
use crate::choice::{Bound, Choice, Chooser, NotNow};
use crate::exchange::InFlight;
use crate::outcome::RefusalReason;
use crate::request::{Attempt, AttemptId, ExchangeId, Step};

/// Part of the connections that a back end takes which routers share equally;
/// the rest is for orders, and for routers that were not counted.
const CONNECTIONS_PERCENT: u32 = 80;

/// Attempts of one exchange, those included that never arrived: twice those of
/// an exchange that asks an owner again after each pause until its deadline
/// (4 s by pauses of 0.12 s). An exchange whose attempts ended at once, one
/// after the other, made 255,877 and held its router up for 5 s.
const MOST_ATTEMPTS: u32 = 64;

impl Dispatcher {
    /// What to do for an exchange now.
    pub fn next(&mut self, now: Timestamp, id: ExchangeId) -> Step {
        let Some(exchange) = self.exchanges.get(&id) else {
            return Step::Ended;
        };
        if now >= exchange.deadline {
            return self.finish_late(now, id);
        }
        if exchange.in_flight.is_empty() {
            return self.next_without_attempt(now, id);
        }
        // A second run at the same moment would cost a second back end.
        let suspected = self.suspects.crashes_of(&exchange.identity) > 0;
        let hedge_at = exchange.hedge_at(self.settings.hedge_delay_ratio);
        let hedge_at = hedge_at.filter(|_| !suspected);
        let deadline = exchange.deadline;
        match hedge_at {
            Some(at) if at <= now => match self.hedge(now, id) {
                Some(attempt) => Step::Send(attempt),
                None => Step::Wait(deadline),
            },
            Some(at) => Step::Wait(at.min(deadline)),
            None => Step::Wait(deadline),
        }
    }

    pub(super) fn next_without_attempt(&mut self, now: Timestamp, id: ExchangeId) -> Step {
        let Some(exchange) = self.exchanges.get(&id) else {
            return Step::Ended;
        };
        let began = exchange.sent > 0 || exchange.body_gone;
        let spent = exchange.next_attempt >= MOST_ATTEMPTS;
        if spent || (began && !exchange.may_repeat()) {
            return self.finish(now, id, RefusalReason::Rejected, None);
        }
        let late = now >= exchange.patience_until;
        if let Some(step) = self.step_of_suspect(now, id) {
            return step;
        }
        let bound = if late { Bound::Deadline } else { Bound::Target };
        match self.choose(now, id, bound) {
            Some(Choice::Take(back_end)) => self.send_or_finish(now, id, back_end),
            Some(Choice::NotNow(not_now)) => self.wait_or_finish(now, id, &not_now),
            Some(Choice::NeedsToken(owner)) => self.wait_for_token(now, id, &owner),
            Some(Choice::Refuse(reason)) => self.finish(now, id, reason, None),
            None => Step::Ended,
        }
    }

    pub(super) fn wait_or_finish(
        &mut self,
        now: Timestamp,
        id: ExchangeId,
        not_now: &NotNow,
    ) -> Step {
        let Some(exchange) = self.exchanges.get(&id) else {
            return Step::Ended;
        };
        let mut patience_until = exchange.patience_until;
        if not_now.moving_until.is_some() {
            let target = exchange.route.target_latency;
            let longer = exchange.started + target.mul_f64(self.settings.handover_timeout_ratio);
            patience_until = patience_until.max(longer.min(exchange.deadline));
        }
        // Nothing is sent before a rest has ended: the caller learns it at once.
        let rests = not_now.reason == RefusalReason::BackEndResting;
        let in_vain = rests && not_now.full_until.is_some_and(|end| end >= patience_until);
        if now >= patience_until || in_vain {
            return self.finish(now, id, not_now.reason, Some(not_now.retry_after));
        }
        let again = [not_now.moving_until, not_now.full_until];
        let until = again
            .into_iter()
            .flatten()
            .fold(patience_until, Timestamp::min);
        self.wait(id);
        Step::Wait(until)
    }

    pub(super) fn send_or_finish(
        &mut self,
        now: Timestamp,
        id: ExchangeId,
        back_end: BackEndName,
    ) -> Step {
        match self.start_attempt(now, id, &back_end) {
            Some(attempt) => Step::Send(attempt),
            None => self.finish(now, id, RefusalReason::Rejected, None),
        }
    }

    pub(super) fn choose(
        &mut self,
        now: Timestamp,
        id: ExchangeId,
        bound: Bound,
    ) -> Option<Choice> {
        let exchange = self.exchanges.get(&id)?;
        let mut chooser = Chooser {
            settings: &self.settings,
            connections: self.connection_limit(&exchange.service),
            cold_interval: self.cold_interval(&exchange.service),
            back_ends: &self.back_ends,
            ownership: self.ownership.get(&exchange.service),
            not_held: &self.not_held,
            limited: &self.limited,
            random: &mut self.random,
            now,
        };
        Some(chooser.choose(exchange, bound))
    }

    pub(super) fn hedge(&mut self, now: Timestamp, id: ExchangeId) -> Option<Attempt> {
        self.exchanges.get_mut(&id)?.hedged = true;
        let Some(Choice::Take(back_end)) = self.choose(now, id, Bound::Deadline) else {
            return None;
        };
        let attempt = self.start_attempt(now, id, &back_end)?;
        self.counters.hedges += 1;
        Some(attempt)
    }

    /// Begins an attempt, unless the retry budget does not allow it.
    pub(super) fn start_attempt(
        &mut self,
        now: Timestamp,
        id: ExchangeId,
        back_end: &BackEndName,
    ) -> Option<Attempt> {
        self.stop_waiting(id);
        let exchange = self.exchanges.get(&id)?;
        let service = exchange.service.clone();
        let again = exchange.arrived > 0 || !exchange.in_flight.is_empty();
        let retry = match again {
            true => Some(self.permit_retry(now, &service)?),
            false => None,
        };
        let usual = self.back_ends.usual(now, &service);
        let limit = self.connection_limit(&service);
        let cold_interval = self.cold_interval(&service);
        let keyed = self.exchanges.get(&id)?.key.is_some();
        let send_by = self.take_token_or_turn(now, back_end, keyed);
        let exchange = self.exchanges.get_mut(&id)?;
        let known = self.back_ends.get_mut(back_end)?;
        exchange.next_attempt += 1;
        let attempt = AttemptId(exchange.next_attempt);
        let in_flight = InFlight {
            back_end: back_end.clone(),
            chosen_at: now,
            crowding: known.crowding(now, &usual),
            sent: false,
            retry,
            send_by,
        };
        exchange.in_flight.insert(attempt, in_flight);
        if let (Some(key), Some(view)) = (exchange.key, self.ownership.get(&service)) {
            let (_, fence) = view.owner(key);
            self.not_held.asked(now, &service, key, fence);
        }
        known.in_flight.insert((id, attempt), now);
        if let Some(interval) = cold_interval {
            known.cold.take(now, interval);
        }
        self.counters.attempts += 1;
        Some(Attempt {
            id: attempt,
            back_end: back_end.clone(),
            address: known.back_end.address,
            distance: self.settings.topology.distance(&known.back_end.zone),
            keyed: exchange.key.is_some(),
            connection_limit: limit,
            deadline: exchange.deadline,
        })
    }

    pub(super) fn connection_limit(&self, service: &ServiceName) -> usize {
        let own = self.settings.max_connections_per_back_end;
        let theirs = self
            .configuration
            .as_ref()
            .and_then(|configuration| configuration.services.get(service))
            .map_or(own, |service| service.max_connections);
        let part = theirs * CONNECTIONS_PERCENT / 100 / self.fleet.unwrap_or(1).max(1);
        own.min(theirs).min(part).max(1) as usize
    }
}
