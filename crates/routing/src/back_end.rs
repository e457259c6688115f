//! State that this router keeps for one back end.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use threadledge_types::objects::BackEndSpec;
use threadledge_types::{BackEndId, Incarnation, Timestamp};

use crate::attempt::{AttemptNumber, ExchangeId};
use crate::budget::Budget;
use crate::concurrency::{Bounds, ConcurrencyLimit};
use crate::ejection::{Ejection, EjectionPolicy};
use crate::latency::LatencyEstimate;
use crate::queue::{QueuePosition, WaitQueue};
use crate::ramp::Ramp;
use crate::settings::Settings;

/// Once the oldest unanswered attempt is older than this many typical response
/// times, its age is used as the expected response time, because the back end
/// may hang.
const HANGING_FACTOR: u32 = 4;

/// A back-end process as recorded in the routing table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct BackEndProcess {
    pub(crate) incarnation: Incarnation,
    pub(crate) draining: bool,
}

/// One back end: its limits, health evidence, wait queue and running attempts.
#[derive(Debug)]
pub(crate) struct BackEnd {
    pub(crate) id: Arc<BackEndId>,
    pub(crate) address: SocketAddr,
    pub(crate) connection_limit: u32,
    pub(crate) limit: ConcurrencyLimit,
    pub(crate) ejection: Ejection,
    pub(crate) latency: LatencyEstimate,
    pub(crate) queue: WaitQueue,
    pub(crate) retries: Budget,
    pub(crate) hedges: Budget,
    /// The current process; `None` without an open session.
    process: Option<BackEndProcess>,
    draining_since: Option<Timestamp>,
    /// The current process has refused a request because it is draining.
    refuses_new_work: bool,
    ramp: Option<Ramp>,
    ramp_length: Duration,
    drain_grace: Duration,
    /// Exchanges that were granted a slot and have not sent their attempt yet.
    granted_slots: BTreeSet<ExchangeId>,
    /// Running attempts, oldest first.
    running: BTreeSet<(Timestamp, ExchangeId, AttemptNumber)>,
}

impl BackEnd {
    pub(crate) fn new(
        id: Arc<BackEndId>,
        spec: &BackEndSpec,
        settings: &Settings,
        routers: u32,
    ) -> Self {
        BackEnd {
            id,
            address: spec.address,
            connection_limit: connection_limit(spec, routers),
            limit: ConcurrencyLimit::new(bounds(spec, settings, routers)),
            ejection: Ejection::new(ejection_policy(settings)),
            latency: LatencyEstimate::default(),
            queue: WaitQueue::new(settings.queue_per_back_end, settings.low_priority_turn),
            retries: retry_budget(settings, routers),
            hedges: Budget::new(settings.hedge_percent, settings.hedge_reserve),
            process: None,
            draining_since: None,
            refuses_new_work: false,
            ramp: None,
            ramp_length: settings.ramp(),
            drain_grace: settings.drain_grace(),
            granted_slots: BTreeSet::new(),
            running: BTreeSet::new(),
        }
    }

    /// Applies a changed back-end record or a changed number of routers.
    pub(crate) fn set_spec(&mut self, spec: &BackEndSpec, settings: &Settings, routers: u32) {
        self.address = spec.address;
        self.connection_limit = connection_limit(spec, routers);
        self.limit.set_bounds(bounds(spec, settings, routers));
        self.retries.set_refill(settings.retry_refill(routers));
    }

    /// Takes a token of the retry budget. Returns whether there was one.
    pub(crate) fn withdraw_retry(&mut self, now: Timestamp) -> bool {
        self.retries.refill(now);
        self.retries.withdraw()
    }

    /// Updates the back-end process after its session changed. State learned
    /// from an earlier incarnation is discarded. A later incarnation starts
    /// cold and is ramped up, unless `warm` says that it was running before
    /// this router started.
    pub(crate) fn set_process(
        &mut self,
        now: Timestamp,
        process: Option<BackEndProcess>,
        warm: bool,
        settings: &Settings,
    ) {
        let incarnation =
            |process: Option<BackEndProcess>| process.map(|process| process.incarnation);
        if process.is_some() && incarnation(process) != incarnation(self.process) {
            self.ejection = Ejection::new(ejection_policy(settings));
            self.latency = LatencyEstimate::default();
            self.limit.restart();
            self.refuses_new_work = false;
            self.draining_since = None;
            self.ramp = (!warm).then(|| Ramp::new(now, self.ramp_length));
        }
        if process.is_some_and(|process| process.draining) {
            self.draining_since.get_or_insert(now);
        } else {
            self.draining_since = None;
        }
        self.process = process;
    }

    /// Whether `incarnation` is the current one of the back-end process.
    pub(crate) fn is_current(&self, incarnation: Incarnation) -> bool {
        self.process
            .is_some_and(|process| process.incarnation == incarnation)
    }

    /// Records that the back end refused a request because it is draining. It
    /// gets no more requests, even if the routing table does not show the drain
    /// yet.
    pub(crate) fn on_draining_refusal(&mut self, incarnation: Incarnation) {
        if self.is_current(incarnation) {
            self.refuses_new_work = true;
        }
    }

    /// Whether new requests may be sent. Invariant: a draining back end
    /// receives no new work once the drain grace period has passed.
    pub(crate) fn takes_new_work(&self, now: Timestamp) -> bool {
        if self.refuses_new_work {
            return false;
        }
        self.draining_since
            .is_none_or(|since| now.since(since) < self.drain_grace)
    }

    /// Number of concurrent requests allowed now.
    pub(crate) fn allowed(&self, now: Timestamp) -> u32 {
        let sustained = self.limit.allowed();
        let ramped = self
            .ramp
            .map_or(sustained, |ramp| ramp.allowed(now, sustained));
        self.ejection.allowed(now, ramped)
    }

    /// Number of requests that hold a slot.
    pub(crate) fn in_flight(&self) -> u32 {
        u32::try_from(self.granted_slots.len() + self.running.len()).unwrap_or(u32::MAX)
    }

    /// Whether a slot is free.
    pub(crate) fn has_slot(&self, now: Timestamp) -> bool {
        self.in_flight() < self.allowed(now)
    }

    /// Grants free slots to queued requests and returns the ids of those that
    /// got one.
    pub(crate) fn grant_slots(&mut self, now: Timestamp) -> Vec<ExchangeId> {
        let mut granted = Vec::new();
        while self.has_slot(now) {
            let Some(id) = self.queue.pop() else {
                break;
            };
            self.granted_slots.insert(id);
            granted.push(id);
        }
        granted
    }

    /// Removes the slot granted to a queued request. Returns whether it had
    /// one.
    pub(crate) fn take_granted_slot(&mut self, id: ExchangeId) -> bool {
        self.granted_slots.remove(&id)
    }

    /// Marks a slot as taken by an attempt.
    pub(crate) fn start_attempt(&mut self, now: Timestamp, id: ExchangeId, attempt: AttemptNumber) {
        self.running.insert((now, id, attempt));
    }

    /// Frees the slot of an attempt.
    pub(crate) fn end_attempt(
        &mut self,
        started: Timestamp,
        id: ExchangeId,
        attempt: AttemptNumber,
    ) {
        self.running.remove(&(started, id, attempt));
    }

    /// Time at which more slots become available without any event, by the ramp
    /// or the end of an ejection.
    pub(crate) fn next_change(&self, now: Timestamp) -> Option<Timestamp> {
        let ramp = self
            .ramp
            .and_then(|ramp| ramp.next_change(now, self.limit.allowed()));
        let ejection = self.ejection.closed_until(now);
        ramp.into_iter().chain(ejection).min()
    }

    /// Expected response time; `None` before the first response.
    pub(crate) fn expected_response_time(&self, now: Timestamp) -> Option<Duration> {
        let usual = self.latency.recent()?;
        let oldest = self.running.first().map(|(started, _, _)| *started);
        let age = oldest.map_or(Duration::ZERO, |started| now.since(started));
        Some(if age > usual * HANGING_FACTOR {
            age
        } else {
            usual
        })
    }

    /// Expected wait for a slot of a request at `position`; zero while no
    /// response time is known.
    pub(crate) fn expected_wait(&self, now: Timestamp, position: QueuePosition) -> Duration {
        if let Some(until) = self.ejection.closed_until(now) {
            return until.since(now);
        }
        let Some(response_time) = self.expected_response_time(now) else {
            return Duration::ZERO;
        };
        let rounds = self.queue.ahead_of(position).saturating_add(1);
        response_time.saturating_mul(rounds) / self.allowed(now).max(1)
    }

    /// Exchanges that are queued, hold a granted slot or have a running attempt
    /// here.
    pub(crate) fn exchange_ids(&self) -> impl Iterator<Item = ExchangeId> + '_ {
        let running = self.running.iter().map(|(_, id, _)| *id);
        self.queue
            .ids()
            .chain(self.granted_slots.iter().copied())
            .chain(running)
    }
}

fn connection_limit(spec: &BackEndSpec, routers: u32) -> u32 {
    (spec.connections / routers.max(1)).max(1)
}

fn bounds(spec: &BackEndSpec, settings: &Settings, routers: u32) -> Bounds {
    let overcommit = settings.slot_overcommit_percent;
    Bounds::new(spec.slots, spec.connections, routers, overcommit)
}

fn retry_budget(settings: &Settings, routers: u32) -> Budget {
    let mut budget = Budget::new(settings.retry_percent, settings.retry_reserve);
    budget.set_refill(settings.retry_refill(routers));
    budget
}

fn ejection_policy(settings: &Settings) -> EjectionPolicy {
    EjectionPolicy {
        failures: settings.ejection_failures,
        min_duration: settings.ejection_min(),
        max_duration: settings.ejection_max(),
        successes_to_readmit: settings.return_successes,
    }
}
