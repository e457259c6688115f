//! Event loop that drives this gateway's coordinators and makes the calls that
//! they request.

mod reports;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use async_std::task;
use parking_lot::Mutex;
use threadledge_coordination::action::{Freshness, ReadResult, Versioned};
use threadledge_coordination::{
    Action, Coordinator, LoadReport, NodeIdentity, OwnershipRecord, Settings, TokenRequest,
};
use threadledge_net::{StopSignal, timer};
use threadledge_ports::Ports;
use threadledge_relay::Source;
use threadledge_types::deployment::{Configuration, ServiceName, Topology};
use threadledge_types::{RegionName, Timestamp};

use super::calls::{CallOutcome, execute, lease_after_write};
use super::cluster_state::ClusterState;
use super::dispatch::Dispatch;
use super::key_regions::{drain_outside_regions, key_regions};
use super::notices::log_notice;
use super::peers::PeerClient;
use super::sources::Sources;
use super::store_health::StoreHealth;
use super::takeover_delay;
use super::tokens::TokenReply;
use crate::proxy::Clock;

/// Interval between probes of the store while there is nothing to coordinate.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// Name of the lease that a probe reads; it need not exist.
const PROBE_LEASE: &str = "probe";
/// Shortest wait for the next event.
const MIN_WAIT: Duration = Duration::from_millis(1);
/// Extra takeover delay of a gateway that follows a relay.
const FOLLOWER_TAKEOVER_DELAY: Duration = Duration::from_millis(700);

/// An event for the coordination task.
pub(super) enum Event {
    /// A new configuration is in force.
    Configuration(Arc<Configuration>),
    /// The set of known back ends changed.
    BackEndsChanged,
    /// An ownership record changed in the store.
    RecordObserved(ServiceName, Versioned<OwnershipRecord>),
    /// A call to the store or to a back end finished.
    CallFinished(ServiceName, CallOutcome),
    /// Another gateway reported the load that it saw for a service.
    Load(ServiceName, LoadReport),
    /// A back end of the service announced to this gateway that it is leaving,
    /// or requested backoff.
    OwnersUnavailable(ServiceName),
    /// Another gateway requests tokens for a service's back ends.
    TokenRequest(
        ServiceName,
        Vec<TokenRequest>,
        async_channel::Sender<TokenReply>,
    ),
    /// The planned stop began.
    Stop,
}

/// Identity, settings and connections of this gateway's coordinators.
#[derive(Clone, Debug)]
pub(super) struct CoordinationConfig {
    /// This incarnation of this machine's gateway.
    pub(super) me: NodeIdentity,
    /// Durations of leases, holds and orders.
    pub(super) settings: Settings,
    /// Added to the time after which this gateway takes over an expired lease.
    pub(super) takeover_delay: Duration,
    /// Zone and region of this gateway.
    pub(super) topology: Topology,
    /// Client for calls to other gateways.
    pub(super) peers: PeerClient,
    /// Where this gateway currently gets its updates from.
    pub(super) sources: Arc<Sources>,
}

/// The coordinators of one gateway, one for each keyed service.
pub(super) struct Coordination {
    ports: Ports,
    clock: Clock,
    config: CoordinationConfig,
    coordinators: BTreeMap<ServiceName, Coordinator>,
    cluster_state: Arc<Mutex<ClusterState>>,
    /// All back ends are known.
    back_ends_known: bool,
    /// Services whose coordinator has not yet received the latest back ends.
    awaiting_back_ends: BTreeSet<ServiceName>,
    /// The only regions in which a service's keys may be held.
    key_regions: BTreeMap<ServiceName, BTreeSet<RegionName>>,
    stopping: bool,
    dispatch: Arc<Dispatch>,
    store_health: Arc<StoreHealth>,
    next_report: Timestamp,
    next_keepalive: Timestamp,
    next_probe: Timestamp,
    /// Signalled when every lease has been resigned.
    stopped: StopSignal,
    sender: async_channel::Sender<Event>,
    receiver: async_channel::Receiver<Event>,
}

impl Coordination {
    pub(super) fn new(
        ports: Ports,
        clock: Clock,
        config: CoordinationConfig,
        dispatch: Arc<Dispatch>,
        cluster_state: Arc<Mutex<ClusterState>>,
        store_health: Arc<StoreHealth>,
        stopped: StopSignal,
    ) -> Self {
        let (sender, receiver) = async_channel::unbounded();
        Coordination {
            ports,
            clock,
            config,
            coordinators: BTreeMap::new(),
            cluster_state,
            back_ends_known: false,
            awaiting_back_ends: BTreeSet::new(),
            key_regions: BTreeMap::new(),
            stopping: false,
            dispatch,
            store_health,
            next_report: Timestamp::ZERO,
            next_keepalive: Timestamp::ZERO,
            next_probe: Timestamp::ZERO,
            stopped,
            sender,
            receiver,
        }
    }

    pub(super) fn sender(&self) -> async_channel::Sender<Event> {
        self.sender.clone()
    }

    /// Runs the event loop until the channel closes.
    pub(super) async fn run(mut self) {
        loop {
            self.set_candidates();
            self.push_back_ends();
            self.poll_all();
            self.report_load();
            self.probe_store();
            let now = self.clock.now();
            let wake = self
                .coordinators
                .values()
                .map(|coordinator| coordinator.next_wake(now))
                .min();
            let received = match wake {
                Some(wake) => {
                    // A minimum wait lets other tasks on the thread run.
                    let wake = wake.max(now + MIN_WAIT);
                    let deadline = self.clock.instant(wake);
                    timer::timeout_at(deadline, self.receiver.recv()).await.ok()
                }
                None => {
                    let next = timer::timeout(PROBE_INTERVAL, self.receiver.recv());
                    next.await.ok()
                }
            };
            match received {
                None => {}
                Some(Ok(event)) => self.handle(event),
                Some(Err(_)) => return,
            }
            while let Ok(event) = self.receiver.try_recv() {
                self.handle(event);
            }
        }
    }

    fn handle(&mut self, event: Event) {
        let now = self.clock.now();
        match event {
            Event::Configuration(configuration) => self.configure(&configuration),
            Event::BackEndsChanged => {
                self.back_ends_known = true;
                self.awaiting_back_ends
                    .extend(self.coordinators.keys().cloned());
            }
            Event::RecordObserved(service, found) => {
                if let Some(coordinator) = self.coordinators.get_mut(&service) {
                    coordinator.on_record_observed(now, found);
                }
            }
            Event::Load(service, report) => {
                if let Some(coordinator) = self.coordinators.get_mut(&service) {
                    coordinator.add_load(now, &report);
                    if coordinator.leading_term().is_none() {
                        self.config.sources.queue_load(&service, report);
                    }
                }
            }
            Event::OwnersUnavailable(service) => self.report_unavailable_owners(now, &service),
            Event::TokenRequest(service, requests, reply) => {
                // The requester may have given up meanwhile.
                let _ = reply.try_send(self.grant_tokens(now, &service, &requests));
            }
            Event::CallFinished(service, outcome) => self.on_call_finished(&service, outcome),
            Event::Stop => {
                self.stopping = true;
                for coordinator in self.coordinators.values_mut() {
                    coordinator.stop();
                }
            }
        }
    }

    /// Passes the back ends, and which of them may hold keys, to each
    /// coordinator that needs them. A standby receives them when it is elected.
    fn push_back_ends(&mut self) {
        let coordinators = &self.coordinators;
        let needs_them = |service: &&ServiceName| {
            let coordinator = coordinators.get(*service);
            coordinator.is_some_and(Coordinator::needs_back_ends)
        };
        let due: Vec<ServiceName> = self
            .awaiting_back_ends
            .iter()
            .filter(needs_them)
            .cloned()
            .collect();
        if due.is_empty() {
            return;
        }
        let now = self.clock.now();
        let Some(back_ends) = self.cluster_state.lock().back_ends(now) else {
            return;
        };
        for service in due {
            self.awaiting_back_ends.remove(&service);
            let Some(coordinator) = self.coordinators.get_mut(&service) else {
                continue;
            };
            let regions = self.key_regions.get(&service);
            let restricted = drain_outside_regions(&back_ends, regions, &self.config.topology);
            coordinator.set_back_ends(now, &restricted);
        }
    }

    /// Creates coordinators for new keyed services and passes on new regions.
    fn configure(&mut self, configuration: &Configuration) {
        let former = std::mem::replace(&mut self.key_regions, key_regions(configuration));
        let changed = |name: &&ServiceName| former.get(*name) != self.key_regions.get(*name);
        let changed = self.coordinators.keys().filter(changed);
        self.awaiting_back_ends.extend(changed.cloned());
        for (name, service) in &configuration.services {
            if let Some(coordinator) = self.coordinators.get_mut(name) {
                coordinator.set_reduced_when_cold(service.cold_rate.is_some());
                continue;
            }
            if !service.keyed || self.stopping {
                continue;
            }
            let CoordinationConfig {
                me,
                settings,
                takeover_delay,
                ..
            } = self.config.clone();
            let mut coordinator = Coordinator::new(me, name.clone(), settings, takeover_delay);
            coordinator.set_reduced_when_cold(service.cold_rate.is_some());
            self.coordinators.insert(name.clone(), coordinator);
            self.awaiting_back_ends.insert(name.clone());
        }
    }

    /// Decides whether this gateway may be elected, and after which delay. A
    /// gateway that does not know the back ends must not decide about them.
    /// Followers of a relay wait longer than relays, because they learn of the
    /// lease indirectly and there are many of them.
    fn set_candidates(&mut self) {
        let source = self.config.sources.current();
        let settled = !matches!(source, Source::Starting { .. });
        let candidate = self.back_ends_known && settled;
        let follower_delay = match source {
            Source::Relay { .. } | Source::Joining { .. } | Source::Unavailable => {
                FOLLOWER_TAKEOVER_DELAY
            }
            Source::Store | Source::Starting { .. } => Duration::ZERO,
        };
        let store_delay = takeover_delay::for_store_latency(self.store_health.mean_call_time());
        let takeover_delay = self.config.takeover_delay + store_delay + follower_delay;
        let relayed = matches!(source, Source::Relay { .. });
        for (service, coordinator) in &mut self.coordinators {
            // The relay will pass on the lease, so there is no need to ask the
            // store.
            let lease_known = !relayed || self.config.sources.lease(service).is_some();
            coordinator.set_candidate(candidate && lease_known);
            coordinator.set_takeover_delay(takeover_delay);
        }
    }

    /// Passes the outcome of a call to the service's coordinator.
    fn on_call_finished(&mut self, service: &ServiceName, outcome: CallOutcome) {
        let now = self.clock.now();
        let Some(coordinator) = self.coordinators.get_mut(service) else {
            return;
        };
        let sources = &self.config.sources;
        match outcome {
            CallOutcome::LeaseRead(freshness, result) => {
                if let ReadResult::Found(Some(found)) = &result {
                    sources.observe_lease(service, found);
                }
                coordinator.on_lease_read(now, freshness, result);
            }
            CallOutcome::LeaseWrite(lease, result) => {
                if let Some(found) = lease_after_write(&lease, &result) {
                    sources.observe_lease(service, &found);
                }
                coordinator.on_lease_write(now, lease, result);
            }
            CallOutcome::RecordRead(result) => {
                if let Some(action) = coordinator.on_record_read(now, result) {
                    self.start_call(now, service.clone(), action);
                }
            }
            CallOutcome::RecordWrite(record, result) => {
                coordinator.on_record_write(now, record, result);
            }
            CallOutcome::Order(order, result) => coordinator.on_order(now, &order, result),
        }
    }

    /// Polls all coordinators, starts the calls that they request, and logs
    /// their notices.
    fn poll_all(&mut self) {
        let now = self.clock.now();
        let mut calls = Vec::new();
        let relayed = self.config.sources.has_relay();
        for (service, coordinator) in &mut self.coordinators {
            let first_read = coordinator.last_seen_holder().is_none();
            for action in coordinator.poll(now) {
                let action = match action {
                    // The relay has passed on the lease: hundreds of gateways
                    // that start together need not all ask the store who holds
                    // it.
                    Action::ReadLease(_) if relayed && first_read => {
                        Action::ReadLease(Freshness::Stale)
                    }
                    action => action,
                };
                calls.push((service.clone(), action));
            }
            for notice in coordinator.take_notices() {
                log_notice(service, &notice);
            }
        }
        for (service, action) in calls {
            self.start_call(now, service, action);
        }
        let stopped = self.coordinators.values().all(Coordinator::is_stopped);
        if self.stopping && stopped {
            self.stopped.stop();
        }
    }

    /// Probes the store with a cheap read. Without a keyed service only watches
    /// call the store, and a watch that the store has forgotten shows no
    /// failure.
    fn probe_store(&mut self) {
        let now = self.clock.now();
        let relays = self.config.me.address.is_some();
        if relays || !self.coordinators.is_empty() || now < self.next_probe {
            return;
        }
        self.next_probe = now + PROBE_INTERVAL;
        let ports = self.ports.clone();
        let store_health = self.store_health.clone();
        task::spawn(async move {
            let read = ports.leases.read(PROBE_LEASE, Freshness::Stale).await;
            match read {
                ReadResult::Failed => store_health.record_failure(),
                ReadResult::Found(_) => store_health.record_answer(now),
            }
        });
    }

    /// Starts a call that a coordinator requested at `now`.
    fn start_call(&self, now: Timestamp, service: ServiceName, action: Action) {
        let ports = self.ports.clone();
        let sender = self.sender.clone();
        let store_health = self.store_health.clone();
        let sources = self.config.sources.clone();
        let clock = self.clock;
        let asked = clock.instant(now);
        task::spawn(async move {
            let started = clock.now();
            let local = match action {
                // The relay includes the leases in each of its answers.
                Action::ReadLease(Freshness::Stale) if sources.has_relay() => {
                    let result = ReadResult::Found(sources.lease(&service));
                    Some(CallOutcome::LeaseRead(Freshness::Stale, result))
                }
                // Only the member that looks for a relay calls the store.
                Action::ReadLease(Freshness::Stale) if sources.is_waiting() => {
                    Some(CallOutcome::LeaseRead(Freshness::Stale, ReadResult::Failed))
                }
                _ => None,
            };
            let outcome = match local {
                Some(outcome) => outcome,
                None => {
                    let outcome = execute(&ports, &service, action, asked).await;
                    if outcome.store_answered() {
                        store_health.record_answer(started);
                    }
                    if outcome.store_failed() {
                        store_health.record_failure();
                    }
                    outcome
                }
            };
            // The channel is unbounded and closes only when the process ends.
            let _ = sender.try_send(Event::CallFinished(service, outcome));
        });
    }
}
