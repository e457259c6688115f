//! Joins routes, back ends, ownership, budgets and waiting requests.

mod admitting;
mod attempts;
mod crashes;
mod ending;
mod limits;
mod retries;
mod signals;
mod steps;
mod waiting;

pub use crashes::ProcessCheck;

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use threadledge_coordination::{LoadReport, OwnershipView};
use threadledge_suspects::{BrokenAttempt, Suspects, UnconfirmedCrashes};
use threadledge_tenants::{Admission, KeyChanges, KeyIndex, TenantPolicy};
use threadledge_types::deployment::{
    BackEnd, BackEndName, Configuration, ConfigurationVersion, Route, RouteName, ServiceName,
};
use threadledge_types::{RegionName, Timestamp};

use crate::back_end_events::BackEndEvent;
use crate::back_ends::BackEnds;
use crate::budget::RetryBudget;
use crate::counters::{Counters, RetryDenials};
use crate::exchange::Exchange;
use crate::limited::LimitedBackEnds;
use crate::not_held::NotHeld;
use crate::observed::ObservedLoad;
use crate::outcome::{Refusal, RefusalReason};
use crate::request::{ExchangeId, RequestInfo};
use crate::routes::{RouteTable, WeightedRoundRobin};
use crate::settings::Settings;

/// An exchange that has begun.
#[derive(Clone, Debug)]
pub struct StartedExchange {
    /// Its number.
    pub id: ExchangeId,
    /// The route that it takes.
    pub route: Arc<Route>,
    /// The service that it goes to.
    pub service: ServiceName,
    /// Whose caller sends it, by the configuration in force.
    pub caller: Option<Arc<TenantPolicy>>,
    /// When it must have been answered.
    pub deadline: Timestamp,
    /// It must not leave certain regions, and this router is in none of them:
    /// nothing of it is kept here.
    pub in_transit: bool,
}

/// What follows from the end of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextAction {
    /// The back end's answer goes to the caller.
    Deliver,
    /// Ask [`Dispatcher::next`] what to do.
    CallNext,
}

/// The decisions of one router's request path.
#[derive(Debug)]
pub struct Dispatcher {
    settings: Settings,
    random: ChaCha8Rng,
    configuration: Option<Arc<Configuration>>,
    routes: RouteTable,
    /// The tenants of the configuration by their keys.
    keys: KeyIndex,
    /// The keys that are known were surely in force then.
    keys_confirmed: Timestamp,
    dealers: HashMap<RouteName, WeightedRoundRobin>,
    /// Draws where dealers and turns begin, apart from the draws of choices.
    starts: ChaCha8Rng,
    /// Requests a second that a cold back end of each service should get from
    /// all routers together.
    cold_rates: BTreeMap<ServiceName, f64>,
    back_ends: BackEnds,
    ownership: BTreeMap<ServiceName, OwnershipView>,
    budgets: BTreeMap<ServiceName, RetryBudget>,
    not_held: NotHeld,
    limited: LimitedBackEnds,
    /// Back ends that asked for a rest that is no time.
    odd_rests: BTreeSet<BackEndName>,
    /// What back ends said and was not told.
    news: Vec<BackEndEvent>,
    /// Load of services divided by key, since the last report.
    observed: BTreeMap<ServiceName, ObservedLoad>,
    exchanges: HashMap<ExchangeId, Exchange>,
    /// Exchanges that wait for a slot or an owner, most urgent first.
    waiting: BTreeMap<ServiceName, BTreeSet<(u32, ExchangeId)>>,
    woken: Vec<ExchangeId>,
    next_exchange: u64,
    counters: Counters,
    /// Denials of retries that have not been told.
    denials: Vec<RetryDenials>,
    /// Routers of the deployment, if their number is known.
    fleet: Option<u32>,
    /// Since when it is known.
    fleet_known: Option<Timestamp>,
    /// Until when the slack is shared by it; `None`: for good.
    slack_until: Option<Timestamp>,
    /// Requests that crash back ends, as all routers know them.
    suspects: Suspects,
    /// Attempts that broke, while it is open whether their process ended.
    unconfirmed: UnconfirmedCrashes,
    confirmed: Vec<BrokenAttempt>,
    process_checks: Vec<ProcessCheck>,
}

impl Dispatcher {
    /// A dispatcher that knows nothing yet.
    pub fn new(settings: Settings, seed: u64) -> Self {
        let mut starts = ChaCha8Rng::seed_from_u64(seed);
        starts.set_stream(1);
        Dispatcher {
            settings,
            random: ChaCha8Rng::seed_from_u64(seed),
            configuration: None,
            routes: RouteTable::default(),
            keys: KeyIndex::default(),
            keys_confirmed: Timestamp::ZERO,
            dealers: HashMap::new(),
            starts,
            cold_rates: BTreeMap::new(),
            back_ends: BackEnds::default(),
            ownership: BTreeMap::new(),
            budgets: BTreeMap::new(),
            not_held: NotHeld::default(),
            limited: LimitedBackEnds::default(),
            odd_rests: BTreeSet::new(),
            news: Vec::new(),
            observed: BTreeMap::new(),
            exchanges: HashMap::new(),
            waiting: BTreeMap::new(),
            woken: Vec::new(),
            next_exchange: 0,
            counters: Counters::default(),
            denials: Vec::new(),
            fleet: None,
            fleet_known: None,
            slack_until: None,
            suspects: Suspects::default(),
            unconfirmed: UnconfirmedCrashes::default(),
            confirmed: Vec::new(),
            process_checks: Vec::new(),
        }
    }

    /// Time between two requests of this router to one cold back end of a
    /// service; `None` where cold ones bear as much as others. While the number
    /// of routers is not known, there are no such requests.
    ///
    /// Invariant: while back ends are cold, all routers together stay below
    /// what one of them may get in any second, save by a chance of one in
    /// millions.
    pub(super) fn cold_interval(&self, service: &ServiceName) -> Option<Duration> {
        let rate = self.cold_rates.get(service)?;
        let Some(routers) = self.fleet else {
            return Some(LONGEST_TURN);
        };
        let interval = Duration::try_from_secs_f64(f64::from(routers) / rate);
        Some(interval.map_or(LONGEST_TURN, |interval| interval.min(LONGEST_TURN)))
    }

    /// Counts since the start.
    pub fn counters(&self) -> &Counters {
        &self.counters
    }

    /// Version of the configuration in force.
    pub fn configuration_version(&self) -> Option<ConfigurationVersion> {
        self.configuration.as_ref().map(|each| each.version)
    }

    /// The configuration in force.
    pub fn configuration(&self) -> Option<&Arc<Configuration>> {
        self.configuration.as_ref()
    }

    /// Requests that have no outcome yet.
    pub fn open_exchanges(&self) -> usize {
        self.exchanges.len()
    }

    /// Requests that wait for a slot or an owner.
    pub fn queued_exchanges(&self) -> usize {
        self.waiting.values().map(BTreeSet::len).sum()
    }

    /// Back ends that are registered, and of those the ones left alone.
    pub fn back_end_counts(&self, now: Timestamp) -> (usize, usize) {
        let all = self.back_ends.all().count();
        let ejected = self
            .back_ends
            .all()
            .filter(|known| known.ejected(now))
            .count();
        (all, ejected)
    }

    /// Puts a configuration in force, unless a later one is.
    ///
    /// Invariant: within one life, no configuration is followed by an older.
    ///
    /// What became of callers' keys; `None`: a later configuration is in force.
    pub fn set_configuration(
        &mut self,
        now: Timestamp,
        configuration: Arc<Configuration>,
    ) -> Option<KeyChanges> {
        if Some(configuration.version) <= self.configuration_version() {
            return None;
        }
        self.routes = RouteTable::of(&configuration);
        let keys = self.follow_keys(&configuration);
        self.cold_rates = self.settings.cold_rates(&configuration);
        let routes = &configuration.routes;
        self.dealers
            .retain(|name, _| routes.iter().any(|route| route.name == *name));
        self.configuration = Some(configuration);
        self.serve_all(now);
        Some(keys)
    }

    /// Takes the back ends that are registered now. Returns addresses at
    /// which nobody is registered any more.
    pub fn set_back_ends(&mut self, now: Timestamp, back_ends: &[BackEnd]) -> Vec<SocketAddr> {
        let left = self.back_ends.set(now, back_ends, &mut self.starts);
        self.look_for_gone();
        self.forget_old_limits(now);
        self.serve_all(now);
        left
    }

    /// The same for back ends that changed and names of those that are gone.
    pub fn update_back_ends(
        &mut self,
        now: Timestamp,
        changed: &[BackEnd],
        gone: &[BackEndName],
    ) -> Vec<SocketAddr> {
        if changed.is_empty() && gone.is_empty() {
            return Vec::new();
        }
        let left = self.back_ends.change(now, changed, gone, &mut self.starts);
        self.look_for_gone();
        self.forget_old_limits(now);
        self.serve_all(now);
        left
    }

    /// Takes the owners of the keys of a service.
    pub fn set_ownership(&mut self, now: Timestamp, service: ServiceName, view: OwnershipView) {
        self.ownership.insert(service.clone(), view);
        self.not_held.forget_old(now);
        self.serve_waiting(now, &service);
    }

    /// Owners of the keys of a service, as known here.
    pub fn ownership(&self, service: &ServiceName) -> Option<&OwnershipView> {
        self.ownership.get(service)
    }

    /// What was seen of the load of a service divided by key since the last
    /// report.
    pub fn take_load_report(&mut self, service: &ServiceName) -> LoadReport {
        let observed = self.observed.remove(service);
        let mut report = observed.map(ObservedLoad::into_report).unwrap_or_default();
        report.leaving = self.back_ends.leaving_untold(service);
        report
    }

    /// The part of a report that tells which back ends said that they leave, or
    /// asked this router for rest.
    pub fn unavailability_report(&self, now: Timestamp, service: &ServiceName) -> LoadReport {
        LoadReport {
            leaving: self.back_ends.leaving_untold(service),
            resting: self.back_ends.resting(now, service),
            ..LoadReport::default()
        }
    }

    /// Exchanges whose next step may have changed.
    pub fn take_woken(&mut self) -> Vec<ExchangeId> {
        std::mem::take(&mut self.woken)
    }

    /// Whether requests of this host and path may be repeated, and so run in
    /// any order; not those without a route.
    pub fn is_repeatable(&self, host: &str, path: &str) -> bool {
        self.routes
            .find(host, path)
            .is_some_and(|route| route.repeatable)
    }

    /// Begins an exchange.
    ///
    /// # Errors
    ///
    /// The refusal with which it is answered at once.
    pub fn begin(
        &mut self,
        now: Timestamp,
        info: &RequestInfo<'_>,
    ) -> Result<StartedExchange, Refusal> {
        self.counters.started += 1;
        let begun = self.start(now, info);
        if let Err(refusal) = &begun {
            self.count_refusal(refusal);
        }
        begun
    }

    fn start(
        &mut self,
        now: Timestamp,
        info: &RequestInfo<'_>,
    ) -> Result<StartedExchange, Refusal> {
        let admission = self.resolve_admission(now, &info.head)?;
        let rank = admission.priority();
        let allowed_regions = admission.allowed_regions();
        let Admission {
            route,
            tenant: caller,
            ..
        } = admission;
        let starts = &mut self.starts;
        let dealer = self
            .dealers
            .entry(route.name.clone())
            .or_insert_with(|| WeightedRoundRobin::with_offset(starts.random()));
        let chosen = dealer.next(&route.destinations);
        let Some(destination) = route.destinations.get(chosen) else {
            return Err(refusal(RefusalReason::NoBackEnd));
        };
        let service = destination.service.clone();
        if self.suspects.is_held(&info.identity) {
            return Err(refusal(RefusalReason::CrashesBackEnds));
        }
        let services = self.configuration.as_ref().map(|each| &each.services);
        let keyed = services.and_then(|services| services.get(&service));
        let keyed = keyed.is_some_and(|service| service.keyed);
        if keyed && info.key.is_none() {
            return Err(refusal(RefusalReason::MissingKey));
        }
        if let Some(key) = info.key.filter(|_| keyed) {
            let observed = self.observed.entry(service.clone()).or_default();
            observed.request(key);
        }
        let held = info
            .time_left
            .map_or(route.timeout, |left| left.min(route.timeout));
        let in_transit = self.in_transit(allowed_regions.as_ref());
        let started = now - info.age;
        let deadline = started + held;
        let queue_timeout = route
            .target_latency
            .mul_f64(self.settings.queue_timeout_ratio);
        self.next_exchange += 1;
        let id = ExchangeId(self.next_exchange);
        let exchange = Exchange {
            key: info.key.filter(|_| keyed),
            rank,
            route: route.clone(),
            service: service.clone(),
            started,
            deadline,
            patience_until: (started + queue_timeout).min(deadline),
            replayable: info.replayable,
            body_gone: false,
            next_attempt: 0,
            sent: 0,
            arrived: 0,
            in_flight: BTreeMap::new(),
            tried: BTreeSet::new(),
            may_have_run: None,
            hedged: false,
            identity: info.identity,
            label: label(info, &route, allowed_regions.is_some()),
            allowed_regions,
        };
        self.exchanges.insert(id, exchange);
        self.budget(now, &service).count_request(now);
        Ok(StartedExchange {
            id,
            route,
            service,
            caller,
            deadline,
            in_transit,
        })
    }

    /// Whether a request must not leave certain regions, and this router is in
    /// none of them: it passes the request on and keeps nothing of it.
    pub fn passes_through(&self, admission: &Admission) -> bool {
        self.in_transit(admission.allowed_regions().as_ref())
    }

    fn in_transit(&self, allowed: Option<&BTreeSet<RegionName>>) -> bool {
        let topology = &self.settings.topology;
        allowed.is_some_and(|allowed| !topology.is_within(topology.zone(), allowed))
    }
}

/// Longest time between two requests of one router to a cold back end: longer
/// than any is cold, so that more makes no difference.
const LONGEST_TURN: Duration = Duration::from_secs(3_600);

/// What callers are told to wait when nothing better is known.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(100);

/// What the caller of a request is told to wait that crashes back ends: until
/// an operator lets it go, coming back helps nobody.
const HELD_RETRY_AFTER: Duration = Duration::from_secs(30);

/// What operators are told of a request. Gateways of all regions and the store
/// keep it: of one that must not leave its regions it names the route only.
fn label(info: &RequestInfo<'_>, route: &Route, restricted: bool) -> String {
    if restricted {
        return format!("{} route {}", info.method, route.name);
    }
    format!("{} {}{}", info.method, info.head.host, info.head.path)
}

fn refusal(reason: RefusalReason) -> Refusal {
    let retry_after = match reason {
        RefusalReason::NoRoute
        | RefusalReason::MissingApiKey
        | RefusalReason::UnknownApiKey
        | RefusalReason::MissingKey
        | RefusalReason::OutsideRegions => None,
        RefusalReason::CrashesBackEnds => Some(HELD_RETRY_AFTER),
        _ => Some(DEFAULT_RETRY_AFTER),
    };
    Refusal {
        reason,
        retry_after,
    }
}
