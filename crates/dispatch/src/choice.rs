//! Chooses the back end of a request.

use std::time::Duration;

use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use threadledge_coordination::{KeyOwner, OwnershipView};
use threadledge_types::Timestamp;
use threadledge_types::deployment::{BackEndName, Distance, ShardKey};

use crate::back_ends::{BackEndState, BackEnds};
use crate::estimate::ServiceAverages;
use crate::exchange::Exchange;
use crate::key_refusals::KeyRefusals;
use crate::limited_back_ends::LimitedBackEnds;
use crate::outcome::RefusalReason;
use crate::settings::Settings;

/// Random variation of costs, as a fraction. It keeps routers with the same
/// information from all choosing the same back end.
const COST_JITTER: f64 = 0.1;
/// Assumed service time of a request, as a fraction of the route's target
/// latency, while no back end of the service has responded yet.
const INITIAL_SERVICE_TIME_FRACTION: f64 = 0.3;
/// Fraction of the remaining time within which a response must be expected.
const TIME_SAFETY_FACTOR: f64 = 0.9;
/// Shortest retry-after time that callers are given.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(50);
/// Longest retry-after time that callers are given.
const MAX_RETRY_AFTER: Duration = Duration::from_millis(400);
/// Longest retry-after time where back ends asked for a backoff: they asked
/// this router only, so that other routers may still have capacity.
const MAX_BACKOFF_RETRY_AFTER: Duration = Duration::from_secs(10);
/// Retry-after time for a key that has no owner at the moment.
const OWNER_RETRY_AFTER: Duration = Duration::from_millis(250);

/// The time within which a response must be expected for a back end to be
/// chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Bound {
    /// Within the route's target latency.
    Target,
    /// Within the request's deadline.
    Deadline,
}

/// The result of a choice.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Choice {
    /// Send the request to this back end.
    BackEnd(BackEndName),
    /// No back end is available now.
    Unavailable(Unavailable),
    /// Send the request to this owner of its key, once there is a token for the
    /// owner's rate limit.
    NeedsToken(BackEndName),
    /// No back end can serve the request, however long it waits.
    Refuse(RefusalReason),
}

/// Why no back end is available now, and until when.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Unavailable {
    pub(crate) reason: RefusalReason,
    pub(crate) retry_after: Duration,
    /// The key is being handed over to another owner: the request may wait
    /// longer, and its current owner may be tried again at this time.
    pub(crate) moving_until: Option<Timestamp>,
    /// When the back end is expected to accept requests again.
    pub(crate) full_until: Option<Timestamp>,
}

impl Unavailable {
    /// Creates a choice for the case in which no handover is in progress and no
    /// time is known at which a back end becomes available.
    fn choice(reason: RefusalReason, retry_after: Duration) -> Choice {
        Choice::Unavailable(Unavailable {
            reason,
            retry_after,
            moving_until: None,
            full_until: None,
        })
    }
}

/// The state from which a back end is chosen.
pub(crate) struct Chooser<'a> {
    pub(crate) settings: &'a Settings,
    /// Connections that this router may have to one back end.
    pub(crate) connection_limit: usize,
    /// Time between two requests of this router to the same cold back end.
    pub(crate) cold_interval: Option<Duration>,
    pub(crate) back_ends: &'a BackEnds,
    pub(crate) ownership: Option<&'a OwnershipView>,
    pub(crate) key_refusals: &'a KeyRefusals,
    pub(crate) limited_back_ends: &'a LimitedBackEnds,
    pub(crate) random: &'a mut ChaCha8Rng,
    pub(crate) now: Timestamp,
}

impl<'a> Chooser<'a> {
    /// Chooses a back end: the owner of the request's key or, for a request
    /// without a key, the cheapest one.
    pub(crate) fn choose(&mut self, exchange: &Exchange, bound: Bound) -> Choice {
        match exchange.key {
            Some(key) => self.choose_owner(exchange, key, bound),
            None => self.choose_cheapest(exchange, bound),
        }
    }

    fn choose_owner(&self, exchange: &Exchange, key: ShardKey, bound: Bound) -> Choice {
        let no_owner = Unavailable::choice(RefusalReason::NoOwner, OWNER_RETRY_AFTER);
        let Some((KeyOwner::Owned(name), fence)) = self.ownership.map(|view| view.owner(key))
        else {
            return no_owner;
        };
        if let Some(until) = self
            .key_refusals
            .retry_at(self.now, &exchange.service, key, fence)
        {
            return Choice::Unavailable(Unavailable {
                reason: RefusalReason::NoOwner,
                retry_after: OWNER_RETRY_AFTER,
                moving_until: Some(until),
                full_until: None,
            });
        }
        let Some(state) = self.back_ends.get(name) else {
            return no_owner;
        };
        if !exchange.may_run_in(&state.back_end.zone, &self.settings.topology) {
            return Choice::Refuse(RefusalReason::OutsideRegions);
        }
        if !state.accepts_requests() || state.is_ejected(self.now) {
            return no_owner;
        }
        if let Some(until) = state.backoff_until(self.now) {
            return self.backing_off(until);
        }
        if !self.has_cold_turn(state) {
            return self.paced([state].into_iter());
        }
        if !self.limited_back_ends.has_token(self.now, name) {
            return Choice::NeedsToken(name.clone());
        }
        let averages = self.back_ends.averages(self.now, &exchange.service);
        if self.can_answer_in_time(state, exchange, bound, &averages) {
            Choice::BackEnd(name.clone())
        } else {
            self.overloaded(state, exchange, &averages)
        }
    }

    /// Chooses the back end with the lowest cost among those that can respond
    /// in time.
    fn choose_cheapest(&mut self, exchange: &Exchange, bound: Bound) -> Choice {
        let averages = self.back_ends.averages(self.now, &exchange.service);
        let all_candidates = self.candidates(exchange);
        let topology = &self.settings.topology;
        let distance = |state: &&BackEndState| topology.distance(&state.back_end.zone);
        let in_time = all_candidates.iter().copied();
        let in_time =
            in_time.filter(|state| self.can_answer_in_time(state, exchange, bound, &averages));
        // Use another region only if the local one cannot respond in time: the
        // link between regions is narrow, shared by all traffic, and expensive.
        let (local, remote): (Vec<&BackEndState>, Vec<&BackEndState>) =
            in_time.partition(|state| distance(state) < Distance::OtherRegion);
        let candidates = if local.is_empty() { remote } else { local };
        if let Some(state) = self.lowest_cost(&candidates, exchange, averages) {
            return Choice::BackEnd(state.back_end.name.clone());
        }
        let fastest = all_candidates.into_iter().min_by(|left, right| {
            let left = left.expected_latency_s(self.now, &averages);
            left.total_cmp(&right.expected_latency_s(self.now, &averages))
        });
        match fastest {
            Some(state) => self.overloaded(state, exchange, &averages),
            None => self.none_available(exchange),
        }
    }

    /// Describes why no back end is available, and when one may be.
    fn none_available(&self, exchange: &Exchange) -> Choice {
        let mut paced = self
            .eligible(exchange)
            .filter(|state| !self.has_turns(state))
            .peekable();
        if paced.peek().is_some() {
            return self.paced(paced);
        }
        let backoffs = self
            .not_leaving(exchange)
            .filter_map(|state| state.backoff_until(self.now));
        match backoffs.min() {
            Some(until) => self.backing_off(until),
            None => Unavailable::choice(RefusalReason::NoBackEnd, MAX_RETRY_AFTER),
        }
    }

    /// The candidate with the lowest cost: the expected latency, varied at
    /// random, plus a penalty for another zone.
    fn lowest_cost(
        &mut self,
        candidates: &[&'a BackEndState],
        exchange: &Exchange,
        averages: ServiceAverages,
    ) -> Option<&'a BackEndState> {
        let assumed = with_initial_estimate(averages, exchange);
        let penalty =
            exchange.route.target_latency.as_secs_f64() * self.settings.zone_penalty_ratio;
        let mut best: Option<(&BackEndState, f64)> = None;
        for &state in candidates {
            let mut cost = state.expected_latency_s(self.now, &assumed);
            cost *= 1.0 + COST_JITTER * self.random.random::<f64>();
            if state.back_end.zone != *self.settings.topology.zone() {
                cost += penalty;
            }
            if best.is_none_or(|(_, lowest)| cost < lowest) {
                best = Some((state, cost));
            }
        }
        best.map(|(state, _)| state)
    }

    /// Whether this router may send to a back end as far as its cold start is
    /// concerned.
    fn has_cold_turn(&self, state: &BackEndState) -> bool {
        let interval = self.cold_interval;
        interval.is_none_or(|interval| state.cold_pacer.has_turn(self.now, interval))
    }

    /// Whether this router may send a request without a key to a back end,
    /// given its cold start and its rate limit.
    fn has_turns(&self, state: &BackEndState) -> bool {
        self.has_cold_turn(state)
            && self
                .limited_back_ends
                .has_turn(self.now, &state.back_end.name)
    }

    /// When this router may next send to a back end whose cold start or rate
    /// limit permits nothing now.
    fn next_turn_at(&self, state: &BackEndState) -> Timestamp {
        let cold_pacing = self
            .cold_interval
            .filter(|_| state.cold_pacer.is_cold(self.now));
        let cold_turn =
            cold_pacing.map(|interval| state.cold_pacer.next_turn_at(self.now, interval));
        let turn = self
            .limited_back_ends
            .next_turn_at(self.now, &state.back_end.name);
        // There are no turns until the number of routers is known.
        cold_turn.max(turn).unwrap_or(self.now + MAX_RETRY_AFTER)
    }

    /// The choice when all back ends wait for their next turn.
    fn paced(&self, back_ends: impl Iterator<Item = &'a BackEndState>) -> Choice {
        let Some(next) = back_ends.map(|state| self.next_turn_at(state)).min() else {
            return Unavailable::choice(RefusalReason::NoBackEnd, MAX_RETRY_AFTER);
        };
        let wait = next.since(self.now);
        Choice::Unavailable(Unavailable {
            reason: RefusalReason::Overloaded,
            retry_after: wait.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER),
            moving_until: None,
            full_until: Some(next),
        })
    }

    /// The choice when all back ends have asked for a backoff; the first one
    /// ends at `until`.
    fn backing_off(&self, until: Timestamp) -> Choice {
        let wait = until.since(self.now);
        Choice::Unavailable(Unavailable {
            reason: RefusalReason::BackEndResting,
            retry_after: wait.clamp(MIN_RETRY_AFTER, MAX_BACKOFF_RETRY_AFTER),
            moving_until: None,
            full_until: Some(until),
        })
    }

    /// Back ends that are not leaving and that the request's allowed regions
    /// permit.
    fn not_leaving(&self, exchange: &Exchange) -> impl Iterator<Item = &'a BackEndState> {
        let topology = &self.settings.topology;
        let all = self.back_ends.of_service(&exchange.service);
        all.filter(move |state| {
            state.accepts_requests() && exchange.may_run_in(&state.back_end.zone, topology)
        })
    }

    /// Back ends that accept requests now and that the request's allowed
    /// regions permit.
    fn eligible(&self, exchange: &Exchange) -> impl Iterator<Item = &'a BackEndState> {
        let now = self.now;
        self.not_leaving(exchange)
            .filter(move |state| state.backoff_until(now).is_none())
    }

    /// Back ends that may be tried: those that are not ejected and that this
    /// exchange has not tried yet or, if there are none, all others.
    fn candidates(&self, exchange: &Exchange) -> Vec<&'a BackEndState> {
        let in_use = |state: &&BackEndState| {
            let name = &state.back_end.name;
            let mut attempts = exchange.in_flight.values();
            attempts.any(|attempt| attempt.back_end == *name)
        };
        let untried = |state: &&BackEndState| {
            !exchange.tried_back_ends.contains(&state.back_end.name) && !state.is_ejected(self.now)
        };
        // A hedged attempt must go to a different back end than the one in
        // flight.
        let all = self
            .eligible(exchange)
            .filter(|state| self.has_turns(state));
        let all: Vec<&BackEndState> = all.filter(|state| !in_use(state)).collect();
        let candidates: Vec<&BackEndState> = all.iter().copied().filter(untried).collect();
        if candidates.is_empty() {
            return all;
        }
        candidates
    }

    /// Whether a back end has room for the request and is expected to respond
    /// within `bound`.
    fn can_answer_in_time(
        &self,
        state: &BackEndState,
        exchange: &Exchange,
        bound: Bound,
        averages: &ServiceAverages,
    ) -> bool {
        let capacity = f64::from(self.settings.requests_at(state.back_end.slots));
        if state.in_flight.len() >= self.connection_limit {
            return false;
        }
        if state.full_until(self.now).is_some()
            || state.estimated_requests(self.now, averages) >= capacity
        {
            return false;
        }
        let deadline_left = exchange.deadline.since(self.now);
        let left = match bound {
            // If even an idle back end takes longer than the target latency,
            // the target cannot be the criterion.
            Bound::Target => {
                let target = exchange.target_left(self.now);
                let idle = state.estimate.service_time_s(self.now, averages) * 1.1;
                target.max(Duration::from_secs_f64(idle)).min(deadline_left)
            }
            Bound::Deadline => deadline_left,
        };
        state.expected_latency_s(self.now, averages) <= left.as_secs_f64() * TIME_SAFETY_FACTOR
            || (state.in_flight.is_empty() && state.estimated_requests(self.now, averages) < 1.0)
    }

    /// The choice when even the fastest back end cannot respond in time.
    fn overloaded(
        &self,
        state: &BackEndState,
        exchange: &Exchange,
        averages: &ServiceAverages,
    ) -> Choice {
        let target = exchange.route.target_latency.as_secs_f64();
        let excess = state.expected_latency_s(self.now, averages) - target;
        let wait = Duration::from_secs_f64(excess.clamp(0.0, 10.0));
        let wait = wait.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER);
        Choice::Unavailable(Unavailable {
            reason: RefusalReason::Overloaded,
            retry_after: wait,
            moving_until: None,
            full_until: state.full_until(self.now),
        })
    }
}

/// The averages to compute costs from. Before the first response, the service
/// time is derived from the route's target latency: otherwise all costs would
/// be zero, and every router would choose the same back end.
fn with_initial_estimate(averages: ServiceAverages, exchange: &Exchange) -> ServiceAverages {
    if averages.service_time_s > 0.0 {
        return averages;
    }
    ServiceAverages {
        service_time_s: exchange.route.target_latency.as_secs_f64() * INITIAL_SERVICE_TIME_FRACTION,
        ..averages
    }
}
