//! The back ends that a router knows, with their load, speed and failures.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::SocketAddr;
use std::time::Duration;

use rand_chacha::ChaCha8Rng;
use threadledge_coordination::RestingBackEnd;
use threadledge_types::Timestamp;
use threadledge_types::deployment::{BackEnd, BackEndName, ServiceName};

use crate::cold::ColdTurns;
use crate::estimate::{Estimate, ServiceMean, Usual};
use crate::outcome::Fault;
use crate::request::{AttemptId, ExchangeId};
use crate::settings::Settings;

/// Failures in a row after which a back end is left alone.
const FAILURES_UNTIL_EJECTED: u32 = 3;
/// How long a back end that is full is not asked.
const FULL_PAUSE: Duration = Duration::from_millis(150);
/// How long a back end is not asked to which no connection is free.
const CONNECTION_PAUSE: Duration = Duration::from_millis(20);
/// How long one that said that it leaves is remembered while it is not
/// registered: an older list may name it again.
const LEAVING_REMEMBERED: Duration = Duration::from_secs(60);
/// Longest rest that a back end is given. One that asks for more, by mistake
/// or not, is asked again then: nothing else would show that it is back.
const LONGEST_REST: Duration = Duration::from_secs(300);
/// Shortest rest of which a coordinator is told: keys that move are refused for
/// some tenths of a second.
const TOLD_REST: Duration = Duration::from_millis(800);
/// How much longer a request takes at a back end that has just started.
const COLD_FACTOR: f64 = 2.0;

/// One back end.
#[derive(Debug)]
pub(crate) struct Known {
    pub(crate) back_end: BackEnd,
    pub(crate) estimate: Estimate,
    /// When each of this router's attempts there was sent.
    pub(crate) in_flight: BTreeMap<(ExchangeId, AttemptId), Timestamp>,
    /// Turns in which this router may send to it while it is cold.
    pub(crate) cold: ColdTurns,
    failures: u32,
    ejections: u32,
    ejected_until: Timestamp,
    /// It refused without telling its load, and is not asked before then.
    full_until: Timestamp,
    /// Another process was found at its address.
    gone: bool,
    /// It said in an answer that it leaves.
    said_leaving: bool,
    /// It asked this router to send it nothing before then.
    rests_until: Timestamp,
}

impl Known {
    fn new(back_end: BackEnd) -> Self {
        Known {
            cold: ColdTurns::default(),
            back_end,
            estimate: Estimate::default(),
            in_flight: BTreeMap::new(),
            failures: 0,
            ejections: 0,
            ejected_until: Timestamp::ZERO,
            full_until: Timestamp::ZERO,
            gone: false,
            said_leaving: false,
            rests_until: Timestamp::ZERO,
        }
    }

    /// Whether it takes new requests at all.
    pub(crate) fn takes_requests(&self) -> bool {
        !self.back_end.draining && !self.gone && !self.said_leaving
    }

    /// Until when this router is to send it nothing, as it asked.
    pub(crate) fn rests_until(&self, now: Timestamp) -> Option<Timestamp> {
        (now < self.rests_until).then_some(self.rests_until)
    }

    /// Whether it is left alone for a while.
    pub(crate) fn ejected(&self, now: Timestamp) -> bool {
        now < self.ejected_until
    }

    /// Requests there, as far as can be told.
    pub(crate) fn occupancy(&self, now: Timestamp, usual: &Usual) -> f64 {
        self.in_flight.len() as f64 + self.estimate.others(now, usual)
    }

    /// Rounds of work that a request sent now waits for, its own included.
    pub(crate) fn crowding(&self, now: Timestamp, usual: &Usual) -> f64 {
        let slots = f64::from(self.back_end.slots.max(1));
        ((self.occupancy(now, usual) + 1.0) / slots).max(1.0)
    }

    /// Time until an answer to a request sent now, in seconds.
    pub(crate) fn expected_s(&self, now: Timestamp, usual: &Usual) -> f64 {
        let mut work = self.estimate.work_s(now, usual);
        if self.cold.is_cold(now) {
            work *= COLD_FACTOR;
        }
        let expected = work * self.crowding(now, usual);
        let stalled = self.oldest_age(now).as_secs_f64();
        if stalled > 3.0 * work.max(0.02) {
            expected + stalled
        } else {
            expected
        }
    }

    fn oldest_age(&self, now: Timestamp) -> Duration {
        let oldest = self.in_flight.values().min();
        oldest.map_or(Duration::ZERO, |sent| now.since(*sent))
    }

    pub(crate) fn on_answer(&mut self) {
        self.failures = 0;
        self.ejections = 0;
        self.ejected_until = Timestamp::ZERO;
    }

    /// Says whether it is left alone from now on.
    pub(crate) fn on_fault(&mut self, now: Timestamp, fault: Fault, settings: &Settings) -> bool {
        self.failures += 1;
        let strong = fault == Fault::Unreachable;
        if !strong && self.failures < FAILURES_UNTIL_EJECTED {
            return false;
        }
        let factor = 1 << self.ejections.min(6);
        let rest = (settings.min_ejection * factor).min(settings.max_ejection);
        self.ejections += 1;
        self.ejected_until = now + rest;
        true
    }

    /// It has more than it takes, and did not say how much.
    pub(crate) fn on_full(&mut self, now: Timestamp) {
        self.full_until = now + FULL_PAUSE;
    }

    /// This router may have no more connections to it.
    pub(crate) fn on_no_connection(&mut self, now: Timestamp) {
        self.full_until = self.full_until.max(now + CONNECTION_PAUSE);
    }

    /// Until when it is not asked, as it lately refused without telling its
    /// load.
    pub(crate) fn full_until(&self, now: Timestamp) -> Option<Timestamp> {
        (now < self.full_until).then_some(self.full_until)
    }

    pub(crate) fn on_other_instance(&mut self) {
        self.gone = true;
    }
}

/// Every back end that is registered.
#[derive(Debug, Default)]
pub(crate) struct BackEnds {
    /// By service, so that a choice walks over those of its service and looks
    /// nothing up: it does so for each request.
    by_service: BTreeMap<ServiceName, BTreeMap<BackEndName, Known>>,
    services: HashMap<BackEndName, ServiceName>,
    means: BTreeMap<ServiceName, ServiceMean>,
    /// Back ends that said in an answer that they leave, and when. Invariant:
    /// nothing that is told of a registration takes that back: it may be older.
    said_leaving: BTreeMap<BackEndName, Timestamp>,
    /// Ends of the rests that back ends asked for; they outlast registrations.
    rests: BTreeMap<BackEndName, Timestamp>,
}

impl BackEnds {
    /// Takes the back ends that are registered now. Returns addresses at
    /// which nobody is registered any more.
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
        let gone: Vec<BackEndName> = self
            .services
            .iter()
            .filter(|(name, service)| registered.get(name) != Some(service))
            .map(|(name, _)| name.clone())
            .collect();
        let mut left: Vec<SocketAddr> = Vec::new();
        for name in &gone {
            left.extend(self.remove(now, name));
        }
        self.services = registered
            .into_iter()
            .map(|(name, service)| (name.clone(), service.clone()))
            .collect();
        for back_end in back_ends {
            self.put(now, back_end, random);
        }
        self.forget_left(now);
        let addresses: HashSet<SocketAddr> = back_ends.iter().map(|each| each.address).collect();
        left.retain(|address| !addresses.contains(address));
        left
    }

    /// Takes back ends that changed, and names of those that are gone. Returns
    /// addresses at which nobody is registered any more.
    pub(crate) fn change(
        &mut self,
        now: Timestamp,
        changed: &[BackEnd],
        gone: &[BackEndName],
        random: &mut ChaCha8Rng,
    ) -> Vec<SocketAddr> {
        let moved = changed.iter().filter(|each| {
            let service = self.services.get(&each.name);
            service.is_some_and(|service| *service != each.service)
        });
        let moved: Vec<&BackEndName> = moved.map(|each| &each.name).collect();
        let mut left: Vec<SocketAddr> = Vec::new();
        for name in gone.iter().chain(moved) {
            left.extend(self.remove(now, name));
        }
        for back_end in changed {
            let service = back_end.service.clone();
            self.services.insert(back_end.name.clone(), service);
            self.put(now, back_end, random);
        }
        if !gone.is_empty() {
            self.forget_left(now);
        }
        if !left.is_empty() {
            let used: HashSet<SocketAddr> =
                self.all().map(|known| known.back_end.address).collect();
            left.retain(|address| !used.contains(address));
        }
        left
    }

    /// The address of one that is there no more.
    fn remove(&mut self, now: Timestamp, name: &BackEndName) -> Option<SocketAddr> {
        let service = self.services.remove(name)?;
        let known = self.by_service.get_mut(&service)?;
        let removed = known.remove(name)?;
        if known.is_empty() {
            self.by_service.remove(&service);
        }
        if let Some(mean) = self.means.get_mut(&service) {
            mean.change(now, &removed.estimate, &Estimate::default());
        }
        Some(removed.back_end.address)
    }

    fn put(&mut self, now: Timestamp, back_end: &BackEnd, random: &mut ChaCha8Rng) {
        let service = self.by_service.entry(back_end.service.clone()).or_default();
        let known = service
            .entry(back_end.name.clone())
            .or_insert_with(|| Known::new(back_end.clone()));
        if known.back_end.address != back_end.address {
            known.gone = false;
        }
        known.said_leaving = self.said_leaving.contains_key(&back_end.name);
        known.rests_until = self.rests.get(&back_end.name).copied().unwrap_or_default();
        known.cold.set(now, now + back_end.cold_for, random);
        known.back_end = back_end.clone();
    }

    /// A back end said in an answer that it leaves. Says whether that is new.
    pub(crate) fn on_leaving(&mut self, now: Timestamp, name: &BackEndName) -> bool {
        if let Some(known) = self.get_mut(name) {
            known.said_leaving = true;
        }
        self.said_leaving.insert(name.clone(), now).is_none()
    }

    /// A back end turned a request away and asked for so much rest. Of several
    /// the one counts that ends last. Says whether it did not rest before.
    pub(crate) fn on_rest(&mut self, now: Timestamp, name: &BackEndName, rest: Duration) -> bool {
        self.rests.retain(|_, until| now < *until);
        let before = self.rests.get(name).copied();
        let until = (now + rest.min(LONGEST_REST)).max(before.unwrap_or_default());
        if until <= now {
            return false;
        }
        self.rests.insert(name.clone(), until);
        if let Some(known) = self.get_mut(name) {
            known.rests_until = until;
        }
        before.is_none()
    }

    /// Back ends of a service that said that they leave, and whose registration
    /// does not say so.
    pub(crate) fn leaving_untold(&self, service: &ServiceName) -> Vec<BackEndName> {
        let said = self.said_leaving.keys();
        let untold = said.filter(|name| {
            let known = self.get(name);
            known
                .is_some_and(|known| known.back_end.service == *service && !known.back_end.draining)
        });
        untold.cloned().collect()
    }

    /// Back ends of a service that asked this router for a rest that is long
    /// enough to be told of.
    pub(crate) fn resting(&self, now: Timestamp, service: &ServiceName) -> Vec<RestingBackEnd> {
        let mut resting = Vec::new();
        for (name, until) in &self.rests {
            let left = until.since(now);
            let known = self.get(name);
            let there = known.is_some_and(|known| known.back_end.service == *service);
            if there && left >= TOLD_REST {
                resting.push(RestingBackEnd {
                    back_end: name.clone(),
                    left_ms: u64::try_from(left.as_millis()).unwrap_or(u64::MAX),
                });
            }
        }
        resting
    }

    fn forget_left(&mut self, now: Timestamp) {
        let services = &self.services;
        self.said_leaving.retain(|name, said| {
            services.contains_key(name) || now.since(*said) < LEAVING_REMEMBERED
        });
    }

    /// Whether a process is registered, and nobody registered at its address
    /// after it.
    pub(crate) fn runs(&self, name: &BackEndName) -> bool {
        let Some(known) = self.get(name) else {
            return false;
        };
        let address = known.back_end.address;
        let all = self.all().filter(|other| other.back_end.address == address);
        all.max_by_key(|other| other.back_end.registration)
            .is_none_or(|latest| latest.back_end.name == *name)
    }

    pub(crate) fn get(&self, name: &BackEndName) -> Option<&Known> {
        let service = self.services.get(name)?;
        self.by_service.get(service)?.get(name)
    }

    pub(crate) fn get_mut(&mut self, name: &BackEndName) -> Option<&mut Known> {
        let service = self.services.get(name)?;
        self.by_service.get_mut(service)?.get_mut(name)
    }

    /// Back ends of a service, by name.
    pub(crate) fn of_service(&self, service: &ServiceName) -> impl Iterator<Item = &Known> {
        let known = self.by_service.get(service);
        known.into_iter().flat_map(BTreeMap::values)
    }

    /// What is usual among the back ends of a service.
    pub(crate) fn usual(&self, now: Timestamp, service: &ServiceName) -> Usual {
        let mean = self.means.get(service);
        mean.map_or_else(Usual::default, |mean| mean.usual(now))
    }

    /// What is known of a back end changed: it was `before`.
    pub(crate) fn estimate_changed(
        &mut self,
        now: Timestamp,
        name: &BackEndName,
        before: &Estimate,
    ) {
        let Some(service) = self.services.get(name) else {
            return;
        };
        let known = self.by_service.get(service);
        let Some(known) = known.and_then(|known| known.get(name)) else {
            return;
        };
        let mean = self
            .means
            .entry(service.clone())
            .or_insert_with(ServiceMean::new);
        mean.change(now, before, &known.estimate);
    }

    /// Every back end.
    pub(crate) fn all(&self) -> impl Iterator<Item = &Known> {
        self.by_service.values().flat_map(BTreeMap::values)
    }
}
