//! The back ends that a router knows, with their load, speed and failures.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::SocketAddr;
use std::time::Duration;

use rand_chacha::ChaCha8Rng;
use threadledge_coordination::RestingBackEnd;
use threadledge_types::Timestamp;
use threadledge_types::deployment::{BackEnd, BackEndName, ServiceName};

use crate::cold_start::ColdStartPacer;
use crate::estimate::{Estimate, ServiceAverages, ServiceMeans};
use crate::outcome::Fault;
use crate::request::{AttemptId, ExchangeId};
use crate::settings::Settings;

/// Consecutive failures after which a back end is ejected.
const CONSECUTIVE_FAILURES_TO_EJECT: u32 = 3;
/// How long a back end that is full, and did not report its load, gets no
/// requests.
const FULL_BACKOFF: Duration = Duration::from_millis(150);
/// How long a back end gets no requests after no connection to it was free.
const NO_CONNECTION_BACKOFF: Duration = Duration::from_millis(20);
/// How long the announcement of an unregistered back end that it is leaving is
/// remembered: an older registration list may name it again.
const LEAVING_RETENTION: Duration = Duration::from_secs(60);
/// Longest backoff that a back end can request. One that asks for more, by
/// mistake or not, is tried again after this time, because nothing else would
/// show that it is back.
const MAX_REQUESTED_BACKOFF: Duration = Duration::from_secs(300);
/// Shortest remaining backoff that is reported to a coordinator. For a shorter
/// one it is not worth moving the keys: keys that move are refused for some
/// tenths of a second.
const MIN_REPORTED_BACKOFF: Duration = Duration::from_millis(800);
/// Factor by which requests take longer on a back end that has just started.
const COLD_SERVICE_TIME_FACTOR: f64 = 2.0;

/// The state that this router keeps for one back end.
#[derive(Debug)]
pub(crate) struct BackEndState {
    pub(crate) back_end: BackEnd,
    pub(crate) estimate: Estimate,
    /// When each of this router's in-flight attempts at this back end was sent.
    pub(crate) in_flight: BTreeMap<(ExchangeId, AttemptId), Timestamp>,
    /// Limits this router's requests to the back end while it is cold.
    pub(crate) cold_pacer: ColdStartPacer,
    consecutive_failures: u32,
    /// Ejections without a response in between.
    consecutive_ejections: u32,
    /// The back end is ejected until this time.
    ejected_until: Timestamp,
    /// The back end refused a request without reporting its load; it gets no
    /// requests before this time.
    full_until: Timestamp,
    /// Another process was found at the back end's address.
    replaced: bool,
    /// The back end announced in a response that it is leaving.
    announced_leaving: bool,
    /// The back end asked this router to send nothing before this time.
    backoff_until: Timestamp,
}

impl BackEndState {
    fn new(back_end: BackEnd) -> Self {
        BackEndState {
            cold_pacer: ColdStartPacer::default(),
            back_end,
            estimate: Estimate::default(),
            in_flight: BTreeMap::new(),
            consecutive_failures: 0,
            consecutive_ejections: 0,
            ejected_until: Timestamp::ZERO,
            full_until: Timestamp::ZERO,
            replaced: false,
            announced_leaving: false,
            backoff_until: Timestamp::ZERO,
        }
    }

    /// Whether the back end accepts new requests at all.
    pub(crate) fn accepts_requests(&self) -> bool {
        !self.back_end.draining && !self.replaced && !self.announced_leaving
    }

    /// The end of the backoff that the back end requested, if it is still
    /// running.
    pub(crate) fn backoff_until(&self, now: Timestamp) -> Option<Timestamp> {
        (now < self.backoff_until).then_some(self.backoff_until)
    }

    /// Whether the back end is ejected, that is, temporarily excluded after
    /// failures.
    pub(crate) fn is_ejected(&self, now: Timestamp) -> bool {
        now < self.ejected_until
    }

    /// Estimated number of requests at the back end, from all routers.
    pub(crate) fn estimated_requests(&self, now: Timestamp, averages: &ServiceAverages) -> f64 {
        self.in_flight.len() as f64 + self.estimate.other_requests(now, averages)
    }

    /// Requests per slot at the back end, counting one that is sent now; at
    /// least 1. A request sent now takes about this many service times.
    pub(crate) fn load_factor(&self, now: Timestamp, averages: &ServiceAverages) -> f64 {
        let slots = f64::from(self.back_end.slots.max(1));
        ((self.estimated_requests(now, averages) + 1.0) / slots).max(1.0)
    }

    /// Expected latency of a request that is sent now, in seconds.
    pub(crate) fn expected_latency_s(&self, now: Timestamp, averages: &ServiceAverages) -> f64 {
        let mut service_time_s = self.estimate.service_time_s(now, averages);
        if self.cold_pacer.is_cold(now) {
            service_time_s *= COLD_SERVICE_TIME_FACTOR;
        }
        let expected_s = service_time_s * self.load_factor(now, averages);
        let oldest_age = self.oldest_attempt_age(now).as_secs_f64();
        // An attempt that takes much longer than a service time suggests that
        // the back end is stalled.
        if oldest_age > 3.0 * service_time_s.max(0.02) {
            expected_s + oldest_age
        } else {
            expected_s
        }
    }

    /// Age of the oldest attempt that is in flight at the back end.
    fn oldest_attempt_age(&self, now: Timestamp) -> Duration {
        let oldest = self.in_flight.values().min();
        oldest.map_or(Duration::ZERO, |sent| now.since(*sent))
    }

    /// Records a response, which ends an ejection.
    pub(crate) fn on_answer(&mut self) {
        self.consecutive_failures = 0;
        self.consecutive_ejections = 0;
        self.ejected_until = Timestamp::ZERO;
    }

    /// Records a failed attempt. Returns whether this ejects the back end.
    pub(crate) fn on_fault(&mut self, now: Timestamp, fault: Fault, settings: &Settings) -> bool {
        self.consecutive_failures += 1;
        let unreachable = matches!(fault, Fault::Unreachable | Fault::CutOff);
        if !unreachable && self.consecutive_failures < CONSECUTIVE_FAILURES_TO_EJECT {
            return false;
        }
        let factor = 1 << self.consecutive_ejections.min(6);
        let duration = (settings.min_ejection * factor).min(settings.max_ejection);
        if fault == Fault::CutOff {
            // The way may be back before the back end would be.
            self.ejected_until = now + settings.min_ejection;
            return true;
        }
        self.consecutive_ejections += 1;
        self.ejected_until = now + duration;
        true
    }

    /// Records that the back end is full and did not report its load.
    pub(crate) fn on_full(&mut self, now: Timestamp) {
        self.full_until = now + FULL_BACKOFF;
    }

    /// Records that this router has no free connection to the back end and may
    /// not open another.
    pub(crate) fn on_no_connection(&mut self, now: Timestamp) {
        self.full_until = self.full_until.max(now + NO_CONNECTION_BACKOFF);
    }

    /// The end of the pause that follows a refusal without a load report or a
    /// lack of free connections, if it is still running.
    pub(crate) fn full_until(&self, now: Timestamp) -> Option<Timestamp> {
        (now < self.full_until).then_some(self.full_until)
    }

    /// Records that another process was found at the back end's address.
    pub(crate) fn on_other_instance(&mut self) {
        self.replaced = true;
    }
}

/// All registered back ends.
#[derive(Debug, Default)]
pub(crate) struct BackEnds {
    /// Grouped by service, so that choosing a back end, which happens for each
    /// request, only iterates over those of its service and needs no lookups.
    by_service: BTreeMap<ServiceName, BTreeMap<BackEndName, BackEndState>>,
    /// The service of each registered back end.
    services: HashMap<BackEndName, ServiceName>,
    means: BTreeMap<ServiceName, ServiceMeans>,
    /// Back ends that announced in a response that they are leaving, and when.
    /// Invariant: registrations never undo an announcement, because they may be
    /// older.
    announced_leaving: BTreeMap<BackEndName, Timestamp>,
    /// When the backoffs that back ends requested end. They outlast
    /// registrations.
    requested_backoffs: BTreeMap<BackEndName, Timestamp>,
}

impl BackEnds {
    /// Replaces the set of registered back ends. Returns the addresses at which
    /// no back end is registered any more.
    pub(crate) fn set(
        &mut self,
        now: Timestamp,
        back_ends: &[BackEnd],
        random: &mut ChaCha8Rng,
    ) -> Vec<SocketAddr> {
        let registered: HashMap<&BackEndName, &ServiceName> = back_ends
            .iter()
            .map(|each| (&each.name, &each.service))
            .collect();
        let removed: Vec<BackEndName> = self
            .services
            .iter()
            .filter(|(name, service)| registered.get(name) != Some(service))
            .map(|(name, _)| name.clone())
            .collect();
        let mut released: Vec<SocketAddr> = Vec::new();
        for name in &removed {
            released.extend(self.remove(now, name));
        }
        self.services = registered
            .into_iter()
            .map(|(name, service)| (name.clone(), service.clone()))
            .collect();
        for back_end in back_ends {
            self.upsert(now, back_end, random);
        }
        self.forget_leaving(now);
        let addresses: HashSet<SocketAddr> = back_ends.iter().map(|each| each.address).collect();
        released.retain(|address| !addresses.contains(address));
        released
    }

    /// Applies an incremental update: back ends that were added or changed, and
    /// the names of those that were removed. Returns the addresses at which no
    /// back end is registered any more.
    pub(crate) fn update(
        &mut self,
        now: Timestamp,
        changed: &[BackEnd],
        removed: &[BackEndName],
        random: &mut ChaCha8Rng,
    ) -> Vec<SocketAddr> {
        let moved = changed.iter().filter(|each| {
            let service = self.services.get(&each.name);
            service.is_some_and(|service| *service != each.service)
        });
        let moved: Vec<&BackEndName> = moved.map(|each| &each.name).collect();
        let mut released: Vec<SocketAddr> = Vec::new();
        for name in removed.iter().chain(moved) {
            released.extend(self.remove(now, name));
        }
        for back_end in changed {
            let service = back_end.service.clone();
            self.services.insert(back_end.name.clone(), service);
            self.upsert(now, back_end, random);
        }
        if !removed.is_empty() {
            self.forget_leaving(now);
        }
        if !released.is_empty() {
            let used: HashSet<SocketAddr> =
                self.all().map(|state| state.back_end.address).collect();
            released.retain(|address| !used.contains(address));
        }
        released
    }

    /// Removes a back end and returns its address.
    fn remove(&mut self, now: Timestamp, name: &BackEndName) -> Option<SocketAddr> {
        let service = self.services.remove(name)?;
        let back_ends = self.by_service.get_mut(&service)?;
        let removed = back_ends.remove(name)?;
        if back_ends.is_empty() {
            self.by_service.remove(&service);
        }
        if let Some(mean) = self.means.get_mut(&service) {
            mean.replace(now, &removed.estimate, &Estimate::default());
        }
        Some(removed.back_end.address)
    }

    /// Adds or updates a back end.
    fn upsert(&mut self, now: Timestamp, back_end: &BackEnd, random: &mut ChaCha8Rng) {
        let service = self.by_service.entry(back_end.service.clone()).or_default();
        let state = service
            .entry(back_end.name.clone())
            .or_insert_with(|| BackEndState::new(back_end.clone()));
        if state.back_end.address != back_end.address {
            state.replaced = false;
        }
        state.announced_leaving = self.announced_leaving.contains_key(&back_end.name);
        state.backoff_until = self
            .requested_backoffs
            .get(&back_end.name)
            .copied()
            .unwrap_or_default();
        state
            .cold_pacer
            .set_cold_until(now, now + back_end.cold_for, random);
        state.back_end = back_end.clone();
    }

    /// Records a back end's announcement that it is leaving. Returns whether it
    /// is the first one.
    pub(crate) fn on_leaving(&mut self, now: Timestamp, name: &BackEndName) -> bool {
        if let Some(state) = self.get_mut(name) {
            state.announced_leaving = true;
        }
        self.announced_leaving.insert(name.clone(), now).is_none()
    }

    /// Records that a back end refused a request and asked for a backoff. If
    /// several overlap, the one that ends last counts. Returns whether no
    /// backoff was running before.
    pub(crate) fn on_backoff_requested(
        &mut self,
        now: Timestamp,
        name: &BackEndName,
        backoff: Duration,
    ) -> bool {
        self.requested_backoffs.retain(|_, until| now < *until);
        let before = self.requested_backoffs.get(name).copied();
        let until = (now + backoff.min(MAX_REQUESTED_BACKOFF)).max(before.unwrap_or_default());
        if until <= now {
            return false;
        }
        self.requested_backoffs.insert(name.clone(), until);
        if let Some(state) = self.get_mut(name) {
            state.backoff_until = until;
        }
        before.is_none()
    }

    /// Back ends of a service that announced that they are leaving and whose
    /// registration does not say so yet.
    pub(crate) fn unreported_leaving(&self, service: &ServiceName) -> Vec<BackEndName> {
        let announced = self.announced_leaving.keys();
        let unreported = announced.filter(|name| {
            let state = self.get(name);
            state
                .is_some_and(|state| state.back_end.service == *service && !state.back_end.draining)
        });
        unreported.cloned().collect()
    }

    /// Back ends of a service whose requested backoff has enough time left to
    /// be reported to the coordinator.
    pub(crate) fn resting(&self, now: Timestamp, service: &ServiceName) -> Vec<RestingBackEnd> {
        let mut resting = Vec::new();
        for (name, until) in &self.requested_backoffs {
            let remaining = until.since(now);
            let state = self.get(name);
            let in_service = state.is_some_and(|state| state.back_end.service == *service);
            if in_service && remaining >= MIN_REPORTED_BACKOFF {
                resting.push(RestingBackEnd {
                    back_end: name.clone(),
                    left_ms: u64::try_from(remaining.as_millis()).unwrap_or(u64::MAX),
                });
            }
        }
        resting
    }

    /// Removes old announcements of back ends that are not registered.
    fn forget_leaving(&mut self, now: Timestamp) {
        let services = &self.services;
        self.announced_leaving.retain(|name, announced| {
            services.contains_key(name) || now.since(*announced) < LEAVING_RETENTION
        });
    }

    /// Whether a process is registered, and is the latest one to have
    /// registered at its address.
    pub(crate) fn is_current_process(&self, name: &BackEndName) -> bool {
        let Some(state) = self.get(name) else {
            return false;
        };
        let address = state.back_end.address;
        let all = self.all().filter(|other| other.back_end.address == address);
        all.max_by_key(|other| other.back_end.registration)
            .is_none_or(|latest| latest.back_end.name == *name)
    }

    pub(crate) fn get(&self, name: &BackEndName) -> Option<&BackEndState> {
        let service = self.services.get(name)?;
        self.by_service.get(service)?.get(name)
    }

    pub(crate) fn get_mut(&mut self, name: &BackEndName) -> Option<&mut BackEndState> {
        let service = self.services.get(name)?;
        self.by_service.get_mut(service)?.get_mut(name)
    }

    /// The back ends of a service, sorted by name.
    pub(crate) fn of_service(&self, service: &ServiceName) -> impl Iterator<Item = &BackEndState> {
        let back_ends = self.by_service.get(service);
        back_ends.into_iter().flat_map(BTreeMap::values)
    }

    /// Average service time and load of the back ends of a service.
    pub(crate) fn averages(&self, now: Timestamp, service: &ServiceName) -> ServiceAverages {
        let mean = self.means.get(service);
        mean.map_or_else(ServiceAverages::default, |mean| mean.averages(now))
    }

    /// Updates the service's averages after a back end's estimate has changed
    /// from `before`.
    pub(crate) fn on_estimate_change(
        &mut self,
        now: Timestamp,
        name: &BackEndName,
        before: &Estimate,
    ) {
        let Some(service) = self.services.get(name) else {
            return;
        };
        let back_ends = self.by_service.get(service);
        let Some(state) = back_ends.and_then(|back_ends| back_ends.get(name)) else {
            return;
        };
        let mean = self
            .means
            .entry(service.clone())
            .or_insert_with(ServiceMeans::new);
        mean.replace(now, before, &state.estimate);
    }

    /// All back ends.
    pub(crate) fn all(&self) -> impl Iterator<Item = &BackEndState> {
        self.by_service.values().flat_map(BTreeMap::values)
    }
}
