//! Which back end a request goes to.

use std::time::Duration;

use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use threadledge_coordination::{KeyOwner, OwnershipView};
use threadledge_types::Timestamp;
use threadledge_types::deployment::{BackEndName, Distance, ShardKey};

use crate::back_ends::{BackEnds, Known};
use crate::estimate::Usual;
use crate::exchange::Exchange;
use crate::limited::LimitedBackEnds;
use crate::not_held::NotHeld;
use crate::outcome::RefusalReason;
use crate::settings::Settings;

/// Part by which costs are varied at random, so that routers that know the
/// same do not all choose the same.
const NOISE: f64 = 0.1;
/// Part of a route's target latency that a request is taken to need while no
/// back end of the service has answered yet.
const FIRST_GUESS: f64 = 0.3;
/// Part of the time left within which an answer must be expected.
const SAFE_PART: f64 = 0.9;
/// Shortest time that callers are told to wait.
const SHORTEST_RETRY_AFTER: Duration = Duration::from_millis(50);
/// Longest time that callers are told to wait.
const LONGEST_RETRY_AFTER: Duration = Duration::from_millis(400);
/// The same where back ends rest: they asked this router alone, and others may
/// have room.
const LONGEST_RESTING_RETRY_AFTER: Duration = Duration::from_secs(10);
/// What callers are told to wait for a key to have an owner again.
const OWNER_RETRY_AFTER: Duration = Duration::from_millis(250);

/// How picky a choice is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Bound {
    /// The answer must be expected within the target latency.
    Target,
    /// The answer must be expected within the deadline.
    Deadline,
}

/// What was chosen.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Choice {
    /// This back end.
    Take(BackEndName),
    /// None now.
    NotNow(NotNow),
    /// This owner, with a token of its limit.
    NeedsToken(BackEndName),
    /// None, however long it waits.
    Refuse(RefusalReason),
}

/// Why nothing was chosen.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct NotNow {
    pub(crate) reason: RefusalReason,
    pub(crate) retry_after: Duration,
    /// The key is on its way to another owner: waiting is worth more time,
    /// and the owner known may be asked again then.
    pub(crate) moving_until: Option<Timestamp>,
    /// The back end takes requests again then, as far as is known.
    pub(crate) full_until: Option<Timestamp>,
}

impl NotNow {
    /// Nothing now, and no owner on its way.
    fn settled(reason: RefusalReason, retry_after: Duration) -> Choice {
        Choice::NotNow(NotNow {
            reason,
            retry_after,
            moving_until: None,
            full_until: None,
        })
    }
}

/// What choices are made from.
pub(crate) struct Chooser<'a> {
    pub(crate) settings: &'a Settings,
    /// Connections that this router may have to one back end.
    pub(crate) connections: usize,
    /// Time between two requests of this router to one cold back end.
    pub(crate) cold_interval: Option<Duration>,
    pub(crate) back_ends: &'a BackEnds,
    pub(crate) ownership: Option<&'a OwnershipView>,
    pub(crate) not_held: &'a NotHeld,
    pub(crate) limited: &'a LimitedBackEnds,
    pub(crate) random: &'a mut ChaCha8Rng,
    pub(crate) now: Timestamp,
}

impl<'a> Chooser<'a> {
    pub(crate) fn choose(&mut self, exchange: &Exchange, bound: Bound) -> Choice {
        match exchange.key {
            Some(key) => self.owner(exchange, key, bound),
            None => self.best(exchange, bound),
        }
    }

    fn owner(&self, exchange: &Exchange, key: ShardKey, bound: Bound) -> Choice {
        let no_owner = NotNow::settled(RefusalReason::NoOwner, OWNER_RETRY_AFTER);
        let Some((KeyOwner::Owned(name), fence)) = self.ownership.map(|view| view.owner(key))
        else {
            return no_owner;
        };
        if let Some(until) = self.not_held.until(self.now, &exchange.service, key, fence) {
            return Choice::NotNow(NotNow {
                reason: RefusalReason::NoOwner,
                retry_after: OWNER_RETRY_AFTER,
                moving_until: Some(until),
                full_until: None,
            });
        }
        let Some(known) = self.back_ends.get(name) else {
            return no_owner;
        };
        if !exchange.may_run_in(&known.back_end.zone, &self.settings.topology) {
            return Choice::Refuse(RefusalReason::OutsideRegions);
        }
        if !known.takes_requests() || known.ejected(self.now) {
            return no_owner;
        }
        if let Some(until) = known.rests_until(self.now) {
            return self.resting(until);
        }
        if !self.admits_cold(known) {
            return self.spared([known].into_iter());
        }
        if !self.limited.has_token(self.now, name) {
            return Choice::NeedsToken(name.clone());
        }
        let usual = self.back_ends.usual(self.now, &exchange.service);
        if self.fits(known, exchange, bound, &usual) {
            Choice::Take(name.clone())
        } else {
            self.overloaded(known, exchange, &usual)
        }
    }

    fn best(&mut self, exchange: &Exchange, bound: Bound) -> Choice {
        let usual = self.back_ends.usual(self.now, &exchange.service);
        let usable = self.usable(exchange);
        let topology = &self.settings.topology;
        let distance = |known: &&Known| topology.distance(&known.back_end.zone);
        let fitting = usable.iter().copied();
        let fitting = fitting.filter(|known| self.fits(known, exchange, bound, &usual));
        // The other region is for what the own one cannot answer in time: its
        // link is narrow, shared by everything, and dear.
        let (near, far): (Vec<&Known>, Vec<&Known>) =
            fitting.partition(|known| distance(known) < Distance::OtherRegion);
        let candidates = if near.is_empty() { far } else { near };
        if let Some(known) = self.cheapest(&candidates, exchange, usual) {
            return Choice::Take(known.back_end.name.clone());
        }
        let soonest = usable.into_iter().min_by(|left, right| {
            let left = left.expected_s(self.now, &usual);
            left.total_cmp(&right.expected_s(self.now, &usual))
        });
        match soonest {
            Some(known) => self.overloaded(known, exchange, &usual),
            None => self.none_open(exchange),
        }
    }

    /// No back end is open to a request: some may be later.
    fn none_open(&self, exchange: &Exchange) -> Choice {
        let mut spared = self
            .open_to(exchange)
            .filter(|known| !self.admits(known))
            .peekable();
        if spared.peek().is_some() {
            return self.spared(spared);
        }
        let rests = self
            .staying(exchange)
            .filter_map(|known| known.rests_until(self.now));
        match rests.min() {
            Some(until) => self.resting(until),
            None => NotNow::settled(RefusalReason::NoBackEnd, LONGEST_RETRY_AFTER),
        }
    }

    fn cheapest(
        &mut self,
        candidates: &[&'a Known],
        exchange: &Exchange,
        usual: Usual,
    ) -> Option<&'a Known> {
        let supposed = suppose(usual, exchange);
        let penalty =
            exchange.route.target_latency.as_secs_f64() * self.settings.zone_penalty_ratio;
        let mut best: Option<(&Known, f64)> = None;
        for &known in candidates {
            let mut cost = known.expected_s(self.now, &supposed);
            cost *= 1.0 + NOISE * self.random.random::<f64>();
            if known.back_end.zone != *self.settings.topology.zone() {
                cost += penalty;
            }
            if best.is_none_or(|(_, least)| cost < least) {
                best = Some((known, cost));
            }
        }
        best.map(|(known, _)| known)
    }

    /// Whether this router may send to a back end that may be cold.
    fn admits_cold(&self, known: &Known) -> bool {
        let interval = self.cold_interval;
        interval.is_none_or(|interval| known.cold.open(self.now, interval))
    }

    /// Whether this router may send a request without a key to a back end that
    /// may be cold or name a limit.
    fn admits(&self, known: &Known) -> bool {
        self.admits_cold(known) && self.limited.has_turn(self.now, &known.back_end.name)
    }

    /// When a back end may be asked again that has what it bears.
    fn next_open(&self, known: &Known) -> Timestamp {
        let cold = self.cold_interval.filter(|_| known.cold.is_cold(self.now));
        let spared = cold.map(|interval| known.cold.next_open(self.now, interval));
        let turn = self.limited.next_turn(self.now, &known.back_end.name);
        // Turns come once the number of routers is known.
        spared.max(turn).unwrap_or(self.now + LONGEST_RETRY_AFTER)
    }

    /// Nothing is there but back ends that have what they bear, if any.
    fn spared(&self, full: impl Iterator<Item = &'a Known>) -> Choice {
        let Some(next) = full.map(|known| self.next_open(known)).min() else {
            return NotNow::settled(RefusalReason::NoBackEnd, LONGEST_RETRY_AFTER);
        };
        let wait = next.since(self.now);
        Choice::NotNow(NotNow {
            reason: RefusalReason::Overloaded,
            retry_after: wait.clamp(SHORTEST_RETRY_AFTER, LONGEST_RETRY_AFTER),
            moving_until: None,
            full_until: Some(next),
        })
    }

    /// Nothing is there but back ends that asked for rest until then.
    fn resting(&self, until: Timestamp) -> Choice {
        let wait = until.since(self.now);
        Choice::NotNow(NotNow {
            reason: RefusalReason::BackEndResting,
            retry_after: wait.clamp(SHORTEST_RETRY_AFTER, LONGEST_RESTING_RETRY_AFTER),
            moving_until: None,
            full_until: Some(until),
        })
    }

    /// Back ends that are not leaving and may have this request.
    fn staying(&self, exchange: &Exchange) -> impl Iterator<Item = &'a Known> {
        let topology = &self.settings.topology;
        let all = self.back_ends.of_service(&exchange.service);
        all.filter(move |known| {
            known.takes_requests() && exchange.may_run_in(&known.back_end.zone, topology)
        })
    }

    /// Back ends that take requests and may have this one.
    fn open_to(&self, exchange: &Exchange) -> impl Iterator<Item = &'a Known> {
        let now = self.now;
        self.staying(exchange)
            .filter(move |known| known.rests_until(now).is_none())
    }

    /// Back ends that may be asked: those not asked before and not left
    /// alone, or, when there are none such, the others.
    fn usable(&self, exchange: &Exchange) -> Vec<&'a Known> {
        let busy = |known: &&Known| {
            let name = &known.back_end.name;
            let mut flights = exchange.in_flight.values();
            flights.any(|flight| flight.back_end == *name)
        };
        let fresh = |known: &&Known| {
            !exchange.tried.contains(&known.back_end.name) && !known.ejected(self.now)
        };
        // A second attempt beside the first is of use at another one only.
        let all = self.open_to(exchange).filter(|known| self.admits(known));
        let all: Vec<&Known> = all.filter(|known| !busy(known)).collect();
        let usable: Vec<&Known> = all.iter().copied().filter(fresh).collect();
        if usable.is_empty() {
            return all;
        }
        usable
    }

    fn fits(&self, known: &Known, exchange: &Exchange, bound: Bound, usual: &Usual) -> bool {
        let room = f64::from(known.back_end.slots + self.settings.queue_per_back_end);
        if known.in_flight.len() >= self.connections {
            return false;
        }
        if known.full_until(self.now).is_some() || known.occupancy(self.now, usual) >= room {
            return false;
        }
        let deadline_left = exchange.deadline.since(self.now);
        let left = match bound {
            // Where even an idle back end needs more than the target, the
            // target cannot decide.
            Bound::Target => {
                let target = exchange.target_left(self.now);
                let idle = known.estimate.work_s(self.now, usual) * 1.1;
                target.max(Duration::from_secs_f64(idle)).min(deadline_left)
            }
            Bound::Deadline => deadline_left,
        };
        known.expected_s(self.now, usual) <= left.as_secs_f64() * SAFE_PART
            || (known.in_flight.is_empty() && known.occupancy(self.now, usual) < 1.0)
    }

    fn overloaded(&self, known: &Known, exchange: &Exchange, usual: &Usual) -> Choice {
        let target = exchange.route.target_latency.as_secs_f64();
        let excess = known.expected_s(self.now, usual) - target;
        let wait = Duration::from_secs_f64(excess.clamp(0.0, 10.0));
        let wait = wait.clamp(SHORTEST_RETRY_AFTER, LONGEST_RETRY_AFTER);
        Choice::NotNow(NotNow {
            reason: RefusalReason::Overloaded,
            retry_after: wait,
            moving_until: None,
            full_until: known.full_until(self.now),
        })
    }
}

/// What costs are reckoned from. Before the first answer the time that a
/// request takes is guessed from the target: otherwise nothing would seem to
/// cost anything, and every router would ask the same back end.
fn suppose(usual: Usual, exchange: &Exchange) -> Usual {
    if usual.work_s > 0.0 {
        return usual;
    }
    Usual {
        work_s: exchange.route.target_latency.as_secs_f64() * FIRST_GUESS,
        ..usual
    }
}
