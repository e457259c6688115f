//! The dispatcher: connects routes, back ends, key ownership, retry budgets and
//! waiting requests.

mod admission;
mod attempts;
mod crashes;
mod finish;
mod limits;
mod next_step;
mod paths;
mod retries;
mod signals;
mod wait_queue;

pub use crashes::ProcessCheck;
pub use paths::ForwardTarget;

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
use crate::counters::{AllowedRetries, Counters, RetryDenials};
use crate::exchange::Exchange;
use crate::key_refusals::KeyRefusals;
use crate::limited_back_ends::LimitedBackEnds;
use crate::observed_load::ObservedLoad;
use crate::outcome::{Refusal, RefusalReason};
use crate::request::{ExchangeId, RequestInfo};
use crate::routes::{RouteTable, WeightedRoundRobin};
use crate::settings::Settings;

/// An exchange that has been started.
#[derive(Clone, Debug)]
pub struct StartedExchange {
    /// The exchange's identifier.
    pub id: ExchangeId,
    /// The route that the request matched.
    pub route: Arc<Route>,
    /// The service that the request goes to.
    pub service: ServiceName,
    /// The tenant of the caller, according to the configuration in force.
    pub caller: Option<Arc<TenantPolicy>>,
    /// When the request must have been answered.
    pub deadline: Timestamp,
    /// The request must not leave certain regions, and this router is in none
    /// of them: it only forwards the request and must not record its content.
    pub in_transit: bool,
}

/// What the caller of the dispatcher does after an attempt has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextAction {
    /// Send the back end's response to the caller.
    Deliver,
    /// Call [`Dispatcher::next`].
    CallNext,
}

/// Makes all decisions of one router's request path. It performs no I/O; see
/// the crate documentation.
#[derive(Debug)]
pub struct Dispatcher {
    settings: Settings,
    /// Random numbers for choosing back ends.
    random: ChaCha8Rng,
    configuration: Option<Arc<Configuration>>,
    routes: RouteTable,
    /// Index of the configuration's tenants by API key.
    api_keys: KeyIndex,
    /// The latest time at which the known API keys were confirmed to be
    /// current.
    api_keys_confirmed_at: Timestamp,
    /// For each route, the distribution of its requests over its destinations.
    round_robins: HashMap<RouteName, WeightedRoundRobin>,
    /// Random numbers for the offsets of round robins and turns, separate from
    /// those for choosing back ends.
    offset_random: ChaCha8Rng,
    /// For each service, the rate, in requests per second, at which all routers
    /// together should send to one of its cold back ends.
    cold_rates: BTreeMap<ServiceName, f64>,
    back_ends: BackEnds,
    ownership: BTreeMap<ServiceName, OwnershipView>,
    retry_budgets: BTreeMap<ServiceName, RetryBudget>,
    key_refusals: KeyRefusals,
    limited_back_ends: LimitedBackEnds,
    /// Back ends that requested a backoff that could not be parsed.
    unreadable_backoffs: BTreeSet<BackEndName>,
    /// Events that have not been fetched yet.
    back_end_events: Vec<BackEndEvent>,
    /// Load of services with keys since the last load report.
    observed_load: BTreeMap<ServiceName, ObservedLoad>,
    exchanges: HashMap<ExchangeId, Exchange>,
    /// Exchanges that wait for a slot or an owner, in order of priority.
    waiting: BTreeMap<ServiceName, BTreeSet<(u32, ExchangeId)>>,
    /// Exchanges whose next step may have changed; see
    /// [`Dispatcher::take_woken`].
    woken: Vec<ExchangeId>,
    next_exchange: u64,
    counters: Counters,
    /// Denied retries that have not been reported yet.
    denials: Vec<RetryDenials>,
    allowed_retries: Vec<AllowedRetries>,
    /// Number of routers in the deployment, if known.
    router_count: Option<u32>,
    /// When the number of routers first became known.
    router_count_since: Option<Timestamp>,
    /// When the number of routers expires as a divisor of slack and limits;
    /// `None` means never.
    router_count_valid_until: Option<Timestamp>,
    /// Requests suspected of crashing back ends, as reported by all routers.
    suspects: Suspects,
    /// Attempts that ended without a response and whose process is not known
    /// yet to have crashed or to go on.
    unconfirmed_breaks: UnconfirmedCrashes,
    /// Crashes that have not been fetched yet.
    crashes: Vec<BrokenAttempt>,
    /// Health checks that have not been fetched yet.
    process_checks: Vec<ProcessCheck>,
}

impl Dispatcher {
    /// Creates a dispatcher without any configuration or back ends.
    pub fn new(settings: Settings, seed: u64) -> Self {
        let mut offset_random = ChaCha8Rng::seed_from_u64(seed);
        offset_random.set_stream(1);
        Dispatcher {
            settings,
            random: ChaCha8Rng::seed_from_u64(seed),
            configuration: None,
            routes: RouteTable::default(),
            api_keys: KeyIndex::default(),
            api_keys_confirmed_at: Timestamp::ZERO,
            round_robins: HashMap::new(),
            offset_random,
            cold_rates: BTreeMap::new(),
            back_ends: BackEnds::default(),
            ownership: BTreeMap::new(),
            retry_budgets: BTreeMap::new(),
            key_refusals: KeyRefusals::default(),
            limited_back_ends: LimitedBackEnds::default(),
            unreadable_backoffs: BTreeSet::new(),
            back_end_events: Vec::new(),
            observed_load: BTreeMap::new(),
            exchanges: HashMap::new(),
            waiting: BTreeMap::new(),
            woken: Vec::new(),
            next_exchange: 0,
            counters: Counters::default(),
            denials: Vec::new(),
            allowed_retries: Vec::new(),
            router_count: None,
            router_count_since: None,
            router_count_valid_until: None,
            suspects: Suspects::default(),
            unconfirmed_breaks: UnconfirmedCrashes::default(),
            crashes: Vec::new(),
            process_checks: Vec::new(),
        }
    }

    /// Time between two requests of this router to one cold back end of a
    /// service. `None` means that cold back ends of the service can handle as
    /// much as warm ones. While the number of routers is unknown, nothing is
    /// sent to cold back ends.
    ///
    /// Invariant: while back ends are cold, all routers together stay below the
    /// bound of each in any second, except with a probability of about one in
    /// millions.
    pub(super) fn cold_interval(&self, service: &ServiceName) -> Option<Duration> {
        let rate = self.cold_rates.get(service)?;
        let Some(routers) = self.router_count else {
            return Some(MAX_COLD_INTERVAL);
        };
        let interval = Duration::try_from_secs_f64(f64::from(routers) / rate);
        Some(interval.map_or(MAX_COLD_INTERVAL, |interval| {
            interval.min(MAX_COLD_INTERVAL)
        }))
    }

    /// Number of routers, if it is known.
    pub fn router_count(&self) -> Option<u32> {
        self.router_count
    }

    /// Counts since the process started.
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

    /// Number of requests that have no outcome yet.
    pub fn open_exchanges(&self) -> usize {
        self.exchanges.len()
    }

    /// Number of requests that wait for a slot or an owner.
    pub fn queued_exchanges(&self) -> usize {
        self.waiting.values().map(BTreeSet::len).sum()
    }

    /// Number of registered back ends, and how many of them are ejected.
    pub fn back_end_counts(&self, now: Timestamp) -> (usize, usize) {
        let all = self.back_ends.all().count();
        let ejected = self
            .back_ends
            .all()
            .filter(|state| state.is_ejected(now))
            .count();
        (all, ejected)
    }

    /// Puts a configuration in force and returns the changes of API keys.
    /// Returns `None` if the current configuration is as new or newer.
    ///
    /// Invariant: during the life of a process, no configuration is replaced by
    /// an older one.
    pub fn set_configuration(
        &mut self,
        now: Timestamp,
        configuration: Arc<Configuration>,
    ) -> Option<KeyChanges> {
        if Some(configuration.version) <= self.configuration_version() {
            return None;
        }
        self.routes = RouteTable::of(&configuration);
        let key_changes = self.update_api_keys(&configuration);
        self.cold_rates = self.settings.cold_rates(&configuration);
        let routes = &configuration.routes;
        self.round_robins
            .retain(|name, _| routes.iter().any(|route| route.name == *name));
        self.configuration = Some(configuration);
        self.wake_all(now);
        Some(key_changes)
    }

    /// Replaces the set of registered back ends. Returns the addresses at which
    /// no back end is registered any more.
    pub fn set_back_ends(&mut self, now: Timestamp, back_ends: &[BackEnd]) -> Vec<SocketAddr> {
        let released = self.back_ends.set(now, back_ends, &mut self.offset_random);
        self.check_unregistered_processes();
        self.forget_old_limits(now);
        self.wake_all(now);
        released
    }

    /// Applies an incremental update: back ends that were added or changed, and
    /// the names of those that were removed. Returns the same as
    /// [`Dispatcher::set_back_ends`].
    pub fn update_back_ends(
        &mut self,
        now: Timestamp,
        changed: &[BackEnd],
        removed: &[BackEndName],
    ) -> Vec<SocketAddr> {
        if changed.is_empty() && removed.is_empty() {
            return Vec::new();
        }
        let released = self
            .back_ends
            .update(now, changed, removed, &mut self.offset_random);
        self.check_unregistered_processes();
        self.forget_old_limits(now);
        self.wake_all(now);
        released
    }

    /// Replaces the view of which back ends own the keys of a service.
    pub fn set_ownership(&mut self, now: Timestamp, service: ServiceName, view: OwnershipView) {
        self.ownership.insert(service.clone(), view);
        self.key_refusals.forget_old(now);
        self.wake_waiting(now, &service);
    }

    /// The current view of which back ends own the keys of a service.
    pub fn ownership(&self, service: &ServiceName) -> Option<&OwnershipView> {
        self.ownership.get(service)
    }

    /// Load of a service with keys since the last call, with the back ends that
    /// are leaving.
    pub fn take_load_report(&mut self, service: &ServiceName) -> LoadReport {
        let observed = self.observed_load.remove(service);
        let mut report = observed.map(ObservedLoad::into_report).unwrap_or_default();
        report.leaving = self.back_ends.unreported_leaving(service);
        report
    }

    /// A load report that contains only the back ends that are leaving or asked
    /// this router for a backoff.
    pub fn unavailability_report(&self, now: Timestamp, service: &ServiceName) -> LoadReport {
        LoadReport {
            leaving: self.back_ends.unreported_leaving(service),
            resting: self.back_ends.resting(now, service),
            ..LoadReport::default()
        }
    }

    /// Exchanges whose next step may have changed; the caller should call
    /// [`Dispatcher::next`] for them.
    pub fn take_woken(&mut self) -> Vec<ExchangeId> {
        std::mem::take(&mut self.woken)
    }

    /// Whether requests for this host and path may be repeated, and therefore
    /// run in any order. False without a route.
    pub fn is_repeatable(&self, host: &str, path: &str) -> bool {
        self.routes
            .find(host, path)
            .is_some_and(|route| route.repeatable)
    }

    /// Starts an exchange.
    ///
    /// # Errors
    ///
    /// The refusal to send to the caller at once.
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

    /// Starts an exchange without counting a refusal.
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
        let offset_random = &mut self.offset_random;
        let round_robin = self
            .round_robins
            .entry(route.name.clone())
            .or_insert_with(|| WeightedRoundRobin::with_offset(offset_random.random()));
        let index = round_robin.next(&route.destinations);
        let Some(destination) = route.destinations.get(index) else {
            return Err(refusal(RefusalReason::NoBackEnd));
        };
        let service = destination.service.clone();
        if self.suspects.is_held(&info.identity) {
            return Err(refusal(RefusalReason::CrashesBackEnds));
        }
        let services = self.configuration.as_ref().map(|each| &each.services);
        let service_config = services.and_then(|services| services.get(&service));
        let keyed = service_config.is_some_and(|service| service.keyed);
        if keyed && info.key.is_none() {
            return Err(refusal(RefusalReason::MissingKey));
        }
        if let Some(key) = info.key.filter(|_| keyed) {
            let observed = self.observed_load.entry(service.clone()).or_default();
            observed.count_request(key);
        }
        let time_limit = info
            .time_left
            .map_or(route.timeout, |left| left.min(route.timeout));
        let in_transit = self.in_transit(allowed_regions.as_ref());
        let started = now - info.age;
        let deadline = started + time_limit;
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
            queue_deadline: (started + queue_timeout).min(deadline),
            replayable: info.replayable,
            body_unavailable: false,
            attempts_started: 0,
            cut_off_attempts: 0,
            possibly_run: 0,
            possibly_arrived: 0,
            in_flight: BTreeMap::new(),
            tried_back_ends: BTreeSet::new(),
            may_have_run: None,
            hedged: false,
            identity: info.identity,
            label: label(info, &route, allowed_regions.is_some()),
            allowed_regions,
        };
        self.exchanges.insert(id, exchange);
        self.retry_budget(now, &service).count_request(now);
        self.record_allowed_retries(now, &service);
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
    /// none of them. The router then only forwards the request and must not
    /// record its content.
    pub fn passes_through(&self, admission: &Admission) -> bool {
        self.in_transit(admission.allowed_regions().as_ref())
    }

    /// Whether this router is outside of all allowed regions.
    fn in_transit(&self, allowed: Option<&BTreeSet<RegionName>>) -> bool {
        let topology = &self.settings.topology;
        allowed.is_some_and(|allowed| !topology.is_within(topology.zone(), allowed))
    }
}

/// Longest time between two requests of one router to a cold back end. It
/// exceeds any cold start, so that a longer time would make no difference.
const MAX_COLD_INTERVAL: Duration = Duration::from_secs(3_600);

/// Retry-after time if nothing better is known.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(100);

/// Retry-after time of requests that crash back ends. Retrying is pointless
/// until an operator releases the request.
const HELD_RETRY_AFTER: Duration = Duration::from_secs(30);

/// Describes a request to operators. The description is stored and sent to the
/// gateways of all regions, so for a request that must not leave its regions it
/// contains only the route.
fn label(info: &RequestInfo<'_>, route: &Route, restricted: bool) -> String {
    if restricted {
        return format!("{} route {}", info.method, route.name);
    }
    format!("{} {}{}", info.method, info.head.host, info.head.path)
}

/// A refusal with the default retry-after time of its reason.
fn refusal(reason: RefusalReason) -> Refusal {
    let retry_after = match reason {
        RefusalReason::NoRoute
        | RefusalReason::AmbiguousPath
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
