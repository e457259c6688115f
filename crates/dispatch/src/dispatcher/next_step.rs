//! Decides on the next step of an exchange.

use std::time::Duration;

use threadledge_types::Timestamp;
use threadledge_types::deployment::{BackEndName, ServiceName};

use super::Dispatcher;
use crate::choice::{Bound, Choice, Chooser, Unavailable};
use crate::exchange::InFlightAttempt;
use crate::outcome::RefusalReason;
use crate::request::{Attempt, AttemptId, ExchangeId, Step};

/// Percentage of a back end's connections that routers share equally. The rest
/// is for ownership orders and for routers that are not in the count.
const SHARED_CONNECTIONS_PERCENT: u32 = 80;

/// Maximum number of attempts of one exchange, including those that did not
/// reach a back end. It is twice the number that an exchange needs that retries
/// an owner after each delay until its deadline (4 s with delays of 0.12 s).
/// Without a limit, an exchange whose attempts all ended at once made 255,877
/// of them and blocked its router for 5 s.
const MAX_ATTEMPTS: u32 = 64;

/// Attempts without a way to a back end after which an exchange ends. Others
/// would hardly find one in the same moment.
const MAX_CUT_OFF_ATTEMPTS: u32 = 8;
/// Fraction of a route's target latency without a response after which the path
/// to the back end is checked.
const PATH_PATIENCE_RATIO: f64 = 0.5;
/// Shortest such time: a few times what a connection takes to be opened.
const MIN_PATH_PATIENCE: Duration = Duration::from_millis(100);

impl Dispatcher {
    /// The next step of an exchange.
    pub fn next(&mut self, now: Timestamp, id: ExchangeId) -> Step {
        let Some(exchange) = self.exchanges.get(&id) else {
            return Step::Ended;
        };
        if now >= exchange.deadline {
            return self.finish_at_deadline(now, id);
        }
        if exchange.in_flight.is_empty() {
            return self.next_without_attempt(now, id);
        }
        // Hedging a suspect could crash a second back end at the same time.
        let is_suspect = self.suspects.crashes_of(&exchange.identity) > 0;
        let hedge_at = exchange.hedge_at(self.settings.hedge_delay_ratio);
        let hedge_at = hedge_at.filter(|_| !is_suspect);
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

    /// The next step of an exchange that has no attempt in flight.
    pub(super) fn next_without_attempt(&mut self, now: Timestamp, id: ExchangeId) -> Step {
        let Some(exchange) = self.exchanges.get(&id) else {
            return Step::Ended;
        };
        let possibly_sent = exchange.possibly_run > 0 || exchange.body_unavailable;
        let attempts_used_up = exchange.attempts_started >= MAX_ATTEMPTS;
        if attempts_used_up || (possibly_sent && !exchange.may_repeat()) {
            return self.finish(now, id, RefusalReason::Rejected, None);
        }
        if exchange.cut_off_attempts >= MAX_CUT_OFF_ATTEMPTS {
            let retry_after = self.settings.min_ejection;
            return self.finish(now, id, RefusalReason::NoBackEnd, Some(retry_after));
        }
        let past_queue_deadline = now >= exchange.queue_deadline;
        if let Some(step) = self.next_step_for_suspect(now, id) {
            return step;
        }
        let bound = if past_queue_deadline {
            Bound::Deadline
        } else {
            Bound::Target
        };
        match self.choose(now, id, bound) {
            Some(Choice::BackEnd(back_end)) => self.send_or_finish(now, id, back_end),
            Some(Choice::Unavailable(unavailable)) => self.wait_or_finish(now, id, &unavailable),
            Some(Choice::NeedsToken(owner)) => self.wait_for_token(now, id, &owner),
            Some(Choice::Refuse(reason)) => self.finish(now, id, reason, None),
            None => Step::Ended,
        }
    }

    /// Queues an exchange for which no back end is available, or ends it if its
    /// queue deadline has passed.
    pub(super) fn wait_or_finish(
        &mut self,
        now: Timestamp,
        id: ExchangeId,
        unavailable: &Unavailable,
    ) -> Step {
        let Some(exchange) = self.exchanges.get(&id) else {
            return Step::Ended;
        };
        let mut queue_deadline = exchange.queue_deadline;
        if unavailable.moving_until.is_some() {
            let target = exchange.route.target_latency;
            let handover_deadline =
                exchange.started + target.mul_f64(self.settings.handover_timeout_ratio);
            queue_deadline = queue_deadline.max(handover_deadline.min(exchange.deadline));
        }
        // Nothing is sent before the backoff ends, so the caller is told at
        // once.
        let backing_off = unavailable.reason == RefusalReason::BackEndResting;
        let backoff_too_long = backing_off
            && unavailable
                .full_until
                .is_some_and(|end| end >= queue_deadline);
        if now >= queue_deadline || backoff_too_long {
            return self.finish(now, id, unavailable.reason, Some(unavailable.retry_after));
        }
        let times = [unavailable.moving_until, unavailable.full_until];
        let until = times
            .into_iter()
            .flatten()
            .fold(queue_deadline, Timestamp::min);
        self.enqueue(id);
        Step::Wait(until)
    }

    /// Starts an attempt, or ends the exchange if the retry budget denies it.
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

    /// Chooses a back end for an exchange; `None` if it has ended.
    pub(super) fn choose(
        &mut self,
        now: Timestamp,
        id: ExchangeId,
        bound: Bound,
    ) -> Option<Choice> {
        let exchange = self.exchanges.get(&id)?;
        let mut chooser = Chooser {
            settings: &self.settings,
            connection_limit: self.connection_limit(&exchange.service),
            cold_interval: self.cold_interval(&exchange.service),
            back_ends: &self.back_ends,
            ownership: self.ownership.get(&exchange.service),
            key_refusals: &self.key_refusals,
            limited_back_ends: &self.limited_back_ends,
            random: &mut self.random,
            now,
        };
        Some(chooser.choose(exchange, bound))
    }

    /// Starts a hedged attempt if a back end is available for one.
    pub(super) fn hedge(&mut self, now: Timestamp, id: ExchangeId) -> Option<Attempt> {
        self.exchanges.get_mut(&id)?.hedged = true;
        let Some(Choice::BackEnd(back_end)) = self.choose(now, id, Bound::Deadline) else {
            return None;
        };
        let attempt = self.start_attempt(now, id, &back_end)?;
        self.counters.hedges += 1;
        Some(attempt)
    }

    /// Starts an attempt, unless the retry budget denies it.
    pub(super) fn start_attempt(
        &mut self,
        now: Timestamp,
        id: ExchangeId,
        back_end: &BackEndName,
    ) -> Option<Attempt> {
        self.dequeue(id);
        let exchange = self.exchanges.get(&id)?;
        let service = exchange.service.clone();
        let is_retry = exchange.possibly_arrived > 0 || !exchange.in_flight.is_empty();
        let retry_permit = match is_retry {
            true => Some(self.take_retry_permit(now, &service)?),
            false => None,
        };
        let averages = self.back_ends.averages(now, &service);
        let connection_limit = self.connection_limit(&service);
        let cold_interval = self.cold_interval(&service);
        let keyed = self.exchanges.get(&id)?.key.is_some();
        let send_by = self.take_send_permission(now, back_end, keyed);
        let exchange = self.exchanges.get_mut(&id)?;
        let state = self.back_ends.get_mut(back_end)?;
        exchange.attempts_started += 1;
        let attempt = AttemptId(exchange.attempts_started);
        let in_flight = InFlightAttempt {
            back_end: back_end.clone(),
            chosen_at: now,
            load_factor: state.load_factor(now, &averages),
            sent: false,
            retry_permit,
            send_by,
        };
        exchange.in_flight.insert(attempt, in_flight);
        if let (Some(key), Some(view)) = (exchange.key, self.ownership.get(&service)) {
            let (_, fence) = view.owner(key);
            self.key_refusals.on_sent(now, &service, key, fence);
        }
        state.in_flight.insert((id, attempt), now);
        if let Some(interval) = cold_interval {
            state.cold_pacer.use_turn(now, interval);
        }
        self.counters.attempts += 1;
        Some(Attempt {
            id: attempt,
            back_end: back_end.clone(),
            service,
            address: state.back_end.address,
            distance: self.settings.topology.distance(&state.back_end.zone),
            keyed: exchange.key.is_some(),
            connection_limit,
            deadline: exchange.deadline,
            path_patience: exchange
                .route
                .target_latency
                .mul_f64(PATH_PATIENCE_RATIO)
                .max(MIN_PATH_PATIENCE),
        })
    }

    /// Number of connections that this router may have to one back end of a
    /// service.
    pub(super) fn connection_limit(&self, service: &ServiceName) -> usize {
        let own_limit = self.settings.max_connections_per_back_end;
        let back_end_limit = self
            .configuration
            .as_ref()
            .and_then(|configuration| configuration.services.get(service))
            .map_or(own_limit, |service| service.max_connections);
        let share = back_end_limit * SHARED_CONNECTIONS_PERCENT
            / 100
            / self.router_count.unwrap_or(1).max(1);
        own_limit.min(back_end_limit).min(share).max(1) as usize
    }
}
