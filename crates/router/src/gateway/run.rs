//! Composition: one gateway from its settings and its platform.

mod watchers;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use async_std::net::TcpListener;
use async_std::task;
use http_types::Request;
use parking_lot::Mutex;
use thiserror::Error;
use threadledge_coordination::NodeIdentity;
use threadledge_dispatch::Dispatcher;
use threadledge_net::{
    ConnectionInfo, Instant, Pool, PoolSettings, ServerLimits, SideBySide, StopSignal, Unframed,
    serve, timer,
};
use threadledge_ports::Ports;
use threadledge_types::deployment::ServiceName;
use threadledge_types::{Incarnation, MachineName};

use super::attempt::Attempts;
use super::bodies::Bodies;
use super::catch_up::catch_up;
use super::cluster_state::ClusterState;
use super::coordination::{Coordination, CoordinationConfig, Event};
use super::dispatch::Dispatch;
use super::followers::Followers;
use super::key_confirmation::KeyConfirmation;
use super::limits::{Limits, OfficePlace, by_cores};
use super::log::RequestLogger;
use super::metrics::GatewayMetrics;
use super::patience;
use super::peers::{PeerClient, PeerServer, Peers};
use super::publisher::StatePublisher;
use super::readiness::{Readiness, StateAnswers};
use super::relay::{MemberConfig, RelayTask, Tier};
use super::relay_records::region_record_name;
use super::requests::Requests;
use super::settings::{GatewaySettings, seconds};
use super::sources::Sources;
use super::stop::watch_signals;
use super::store_health::StoreHealth;
use super::suspects::{Finding, SuspectService, SuspectSignals};
use super::tokens::TokenAsker;
use crate::events::{EventId, emit};
use crate::proxy::Clock;
use crate::proxy::budget::Budget;

/// Longest time to open a connection to a back end.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(350);
/// How long a connection to a back end is kept unused.
const BACK_END_IDLE_TIMEOUT: Duration = Duration::from_secs(8);
/// How long a back end may say nothing before connections to it at rest are
/// doubted. Most answers come sooner; a wrong doubt costs a few new ones.
const BACK_END_SUSPECT_AFTER: Duration = Duration::from_millis(400);
/// Longest rest of a caller's connection.
const CALLER_IDLE_TIMEOUT: Duration = Duration::from_secs(60);
/// Left of the grace time when the last request has to be over.
const STOP_MARGIN: Duration = Duration::from_millis(600);
/// Longest wait for the offices to be handed back.
const RESIGN_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Why a gateway stopped with an error.
#[derive(Debug, Error)]
pub enum GatewayError {
    /// An address cannot be listened on.
    #[error("{address} cannot be listened on ({cause}); free the port or change the address")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// What failed.
        cause: std::io::Error,
    },
    /// Signals cannot be registered.
    #[error("signals cannot be registered ({0}); check the limits of the process")]
    Signals(std::io::Error),
    /// The metrics cannot be registered.
    #[error("metrics cannot be registered ({0}); report this as a fault")]
    Metrics(#[from] prometheus::Error),
}

/// Runs one gateway until its planned stop has ended.
///
/// # Errors
///
/// It cannot start.
pub async fn run(settings: GatewaySettings, ports: Ports) -> Result<(), GatewayError> {
    let callers = bind(settings.listen.callers).await?;
    let readiness = bind(settings.listen.readiness).await?;
    let operators = match settings.listen.operators {
        Some(address) => Some(bind(address).await?),
        None => None,
    };
    let peers = match settings.listen.peers {
        Some(address) => Some(bind(address).await?),
        None => None,
    };
    let stop = StopSignal::new();
    watch_signals(stop.clone()).map_err(GatewayError::Signals)?;
    let gateway = Gateway::new(settings, ports, stop)?;
    let listeners = Listeners {
        callers,
        readiness,
        operators,
        peers,
    };
    gateway.run(listeners).await;
    Ok(())
}

/// Passes on which services have back ends that said that they leave, or asked
/// for rest.
async fn forward_unavailable_owners(
    unavailable: async_channel::Receiver<ServiceName>,
    events: async_channel::Sender<Event>,
) {
    while let Ok(service) = unavailable.recv().await {
        // The channel is unbounded and closes only when the process ends.
        let _ = events.try_send(Event::OwnersUnavailable(service));
    }
}

async fn bind(address: SocketAddr) -> Result<TcpListener, GatewayError> {
    let bound = TcpListener::bind(address).await;
    bound.map_err(|cause| GatewayError::Listen { address, cause })
}

struct Listeners {
    callers: TcpListener,
    readiness: TcpListener,
    operators: Option<TcpListener>,
    peers: Option<TcpListener>,
}

struct Gateway {
    settings: GatewaySettings,
    /// This life of this machine's gateway.
    identity: NodeIdentity,
    ports: Ports,
    clock: Clock,
    dispatch: Arc<Dispatch>,
    pool: Pool,
    readiness: Arc<Readiness>,
    store_health: Arc<StoreHealth>,
    sources: Arc<Sources>,
    followers: Arc<Followers>,
    peers: Arc<Peers>,
    metrics: GatewayMetrics,
    requests: Arc<Requests>,
    /// Begins the planned stop.
    stop: StopSignal,
    suspects: SuspectService,
    limits: Limits,
    findings: async_channel::Receiver<Finding>,
}

impl Gateway {
    fn new(
        settings: GatewaySettings,
        ports: Ports,
        stop: StopSignal,
    ) -> Result<Self, GatewayError> {
        let clock = Clock::start();
        let mut dispatcher = Dispatcher::new(settings.dispatch(), rand::random());
        if settings.listen.peers.is_none() {
            // Nobody will tell it how many gateways there are.
            let gateways = settings.retry_budget.gateways;
            dispatcher.set_router_count(clock.now(), gateways, None);
        }
        let (signals, findings) = SuspectSignals::new();
        let dispatch = Arc::new(Dispatch::new(dispatcher, clock, signals));
        let suspects = SuspectService::new(dispatch.clone());
        let pool = Pool::new(PoolSettings {
            connect_timeout: CONNECT_TIMEOUT,
            idle_timeout: BACK_END_IDLE_TIMEOUT,
            unframed: Unframed::EndAtClose,
            doubt_after: Some(BACK_END_SUSPECT_AFTER),
            ..PoolSettings::default()
        });
        let heartbeat = seconds(settings.platform.heartbeat_s);
        let store_health = Arc::new(StoreHealth::new(heartbeat));
        let sources = Arc::new(Sources::new(clock, store_health.clone()));
        let metrics = GatewayMetrics::new(dispatch.clone(), sources.clone())?;
        let ports = metrics.usage().counting(ports);
        let budget = Budget::new(settings.limits.held_bytes());
        let identity = NodeIdentity {
            node: MachineName(settings.machine.clone()),
            incarnation: Incarnation(rand::random()),
            address: settings.listen.peers,
        };
        let limits = metrics.limits(clock, &identity, settings.tenant_limits())?;
        let requests = Arc::new(Requests {
            attempts: Attempts {
                dispatch: dispatch.clone(),
                pool: pool.clone(),
                budget: budget.clone(),
                wording: ports.header_codec.clone(),
                usage: metrics.usage().clone(),
            },
            limits: limits.clone(),
            logger: RequestLogger::new(),
            metrics: metrics.clone(),
            leaving: AtomicBool::new(false),
            bodies: Bodies::new(budget, settings.limits.held_bytes()),
        });
        Ok(Gateway {
            settings,
            identity,
            ports,
            clock,
            dispatch,
            pool,
            readiness: Arc::new(Readiness::default()),
            store_health,
            followers: Arc::new(Followers::new(clock, sources.clone())),
            sources,
            peers: Arc::new(Peers::default()),
            metrics,
            requests,
            stop,
            suspects,
            limits,
            findings,
        })
    }

    async fn run(self, listeners: Listeners) {
        emit!(
            EventId::RouterStarted,
            machine = self.settings.machine,
            zone = self.settings.zone,
            callers = %self.settings.listen.callers,
        );
        let servers_stop = StopSignal::new();
        let resigned = StopSignal::new();
        let mut cluster_state = ClusterState::default();
        cluster_state.set_link_speed(self.settings.limits.link_mbps);
        let cluster_state = Arc::new(Mutex::new(cluster_state));
        let events = self.start_coordination(cluster_state.clone(), resigned.clone());
        let publisher = self.start_watchers(cluster_state, events.clone());
        self.start_relays(&publisher);
        self.suspects.start(
            self.findings.clone(),
            self.peer_client(),
            self.followers.clone(),
            &self.ports,
        );
        self.start_limits();
        let token_asker = TokenAsker {
            dispatch: self.dispatch.clone(),
            peers: self.peer_client(),
            events: events.clone(),
        };
        task::spawn(token_asker.run());
        task::spawn(forward_unavailable_owners(
            self.dispatch.unfit(),
            events.clone(),
        ));
        if let Some(listener) = listeners.peers {
            let server = PeerServer {
                publisher: publisher.clone(),
                peers: self.peers.clone(),
                events: events.clone(),
                followers: self.followers.clone(),
                usage: self.metrics.usage().clone(),
                suspects: self.suspects.clone(),
                limits: self.limits.clone(),
            };
            task::spawn(server.serve(listener, servers_stop.clone()));
        }
        let key_confirmation = KeyConfirmation {
            publisher: publisher.clone(),
            sources: self.sources.clone(),
            health: self.store_health.clone(),
            configurations: self.ports.configurations.clone(),
            keys_valid_for: seconds(self.settings.bounds.revoke_s),
        };
        task::spawn(key_confirmation.run());
        task::spawn(catch_up(
            publisher,
            self.peer_client(),
            self.store_health.clone(),
            self.sources.clone(),
        ));
        let state_answers = StateAnswers {
            readiness: self.readiness.clone(),
            metrics: self.metrics.clone(),
            wording: self.ports.header_codec.clone(),
            suspects: None,
            keys: None,
            limits: self.limits.clone(),
        };
        task::spawn(
            state_answers
                .clone()
                .serve(listeners.readiness, servers_stop.clone()),
        );
        if let Some(listener) = listeners.operators {
            let state_answers = StateAnswers {
                suspects: Some(self.suspects.clone()),
                keys: Some(self.dispatch.clone()),
                ..state_answers
            };
            task::spawn(state_answers.serve(listener, servers_stop.clone()));
        }
        let callers_stop = StopSignal::new();
        let requests = self.requests.clone();
        let disconnects = self.metrics.disconnects().clone();
        let handling = requests.clone();
        let handler = move |request: Request, connection: ConnectionInfo| {
            let tracker = disconnects.track();
            handling.clone().handle(request, connection, tracker)
        };
        let rule = move |request: &Request| requests.run_beside(request);
        let handler = SideBySide { handler, rule };
        let limits = self.server_limits();
        let served = task::spawn(serve(
            listeners.callers,
            limits,
            callers_stop.clone(),
            handler,
        ));
        self.stop.stopped().await;
        let stop_requested = Instant::now();
        self.begin_stop(&events);
        timer::sleep(seconds(self.settings.bounds.leave_s)).await;
        callers_stop.stop();
        let served_report = served.await;
        let resigning = resigned.stopped();
        let _ = timer::timeout_at(stop_requested + RESIGN_TIMEOUT, resigning).await;
        if served_report.cut > 0 {
            emit!(EventId::StopCutShort, cut = served_report.cut);
        } else {
            emit!(EventId::StopFinished, requests = served_report.requests);
        }
        servers_stop.stop();
    }

    /// Says to the platform that no new connection should come, and hands the
    /// offices back. Requests go on meanwhile.
    fn begin_stop(&self, events: &async_channel::Sender<Event>) {
        self.readiness.leave();
        self.followers.leave();
        self.limits.leave();
        self.requests.leaving.store(true, Ordering::Relaxed);
        // The channel is unbounded and closes only when the process ends.
        let _ = events.try_send(Event::Stop);
    }

    fn server_limits(&self) -> ServerLimits {
        let bounds = &self.settings.bounds;
        let drain = seconds(bounds.grace_s) - seconds(bounds.leave_s);
        ServerLimits {
            max_connections: self.settings.limits.caller_connections,
            max_body_bytes: 64 * 1024 * 1024,
            idle_timeout: CALLER_IDLE_TIMEOUT,
            drain_timeout: drain.saturating_sub(STOP_MARGIN),
            ..ServerLimits::default()
        }
    }

    fn start_coordination(
        &self,
        cluster_state: Arc<Mutex<ClusterState>>,
        stopped: StopSignal,
    ) -> async_channel::Sender<Event> {
        let link = self.settings.limits.link_mbps;
        let config = CoordinationConfig {
            me: self.identity.clone(),
            sources: self.sources.clone(),
            settings: self.settings.coordination(),
            takeover_delay: patience::of_coordinator(link, rand::random()),
            places: self.settings.places(),
            peers: self.peer_client(),
        };
        let coordination = Coordination::new(
            self.ports.clone(),
            self.clock,
            config,
            self.dispatch.clone(),
            cluster_state,
            self.store_health.clone(),
            stopped,
        );
        let events = coordination.sender();
        task::spawn(coordination.run());
        events
    }

    /// Follows the relay of this zone, or becomes it, and as such follows or
    /// becomes that of the region. A gateway that others cannot reach watches
    /// the store itself.
    fn start_relays(&self, publisher: &StatePublisher) {
        if self.settings.listen.peers.is_none() {
            return;
        }
        let zone = self.settings.zone.clone();
        let places = self.settings.places();
        let region = places.region().filter(|_| places.has_region_relays());
        let Some(region) = region else {
            let settings = threadledge_relay::Settings::default();
            self.relay_task(Tier::Zone, zone, settings, publisher)
                .start();
            return;
        };
        let settings = threadledge_relay::Settings::for_zone_below_region();
        self.relay_task(Tier::Zone, zone, settings, publisher)
            .start();
        let settings = threadledge_relay::Settings::for_region();
        let record = region_record_name(region);
        self.relay_task(Tier::Region, record, settings, publisher)
            .start();
    }

    fn relay_task(
        &self,
        tier: Tier,
        record: String,
        settings: threadledge_relay::Settings,
        publisher: &StatePublisher,
    ) -> RelayTask {
        let link = self.settings.limits.link_mbps;
        let member_config = MemberConfig {
            me: self.identity.clone(),
            settings,
            takeover_delay: patience::of_relay(link, rand::random()),
        };
        RelayTask {
            tier,
            record,
            places: self.settings.places(),
            member: member_config.start_member(self.clock.now()),
            member_config,
            ports: self.ports.clone(),
            clock: self.clock,
            sources: self.sources.clone(),
            health: self.store_health.clone(),
            publisher: publisher.clone(),
            dispatch: self.dispatch.clone(),
            client: self.peer_client(),
            followers: self.followers.clone(),
            neighbours: self.suspects.neighbours.clone(),
        }
    }

    /// Holds tenants to their limits, with the other gateways.
    fn start_limits(&self) {
        let limits = &self.settings.limits;
        let place = OfficePlace {
            patience: patience::of_coordinator(limits.link_mbps, rand::random())
                + by_cores(limits.cores),
        };
        self.limits.start(
            self.peer_client(),
            self.ports.clone(),
            self.sources.clone(),
            self.store_health.clone(),
            place,
        );
    }

    fn peer_client(&self) -> PeerClient {
        PeerClient::new(self.settings.listen.peers, self.peers.clone())
    }
}
