//! Builds and runs one gateway from its settings and the platform's ports.

mod watchers;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use async_std::net::TcpListener;
use async_std::task::{self, JoinHandle};
use http_types::Request;
use parking_lot::Mutex;
use thiserror::Error;
use threadledge_coordination::NodeIdentity;
use threadledge_dispatch::Dispatcher;
use threadledge_net::{
    ConcurrentHandler, ConnectionInfo, Instant, Pool, PoolSettings, ResponseIds, ServeReport,
    ServerLimits, StopSignal, UnframedBodies, serve, timer,
};
use threadledge_ports::{GrantTransport, Ports};
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
use super::limits::{LedgerPlacement, Limits, takeover_delay_for_cores};
use super::links::{BackEndLinks, ForwardServer, OrderSender, OrderServer};
use super::log::RequestLogger;
use super::metrics::GatewayMetrics;
use super::peer_messages::MessageReader;
use super::peers::{PeerClient, PeerServer, Peers};
use super::publisher::StatePublisher;
use super::readiness::{Readiness, StatusHandler};
use super::relay::{MemberConfig, RelayTask, Tier};
use super::relay_records::region_record_name;
use super::requests::RequestHandler;
use super::settings::{GatewaySettings, seconds};
use super::sources::Sources;
use super::stop::watch_signals;
use super::store_health::StoreHealth;
use super::suspects::{Finding, SuspectService, SuspectSignals};
use super::takeover_delay;
use super::tokens::TokenRequester;
use crate::events::{EventId, emit};
use crate::proxy::Clock;
use crate::proxy::memory_budget::MemoryBudget;

/// Timeout for opening a connection to a back end.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(350);
/// Idle time after which a pooled connection to a back end is closed.
const BACK_END_IDLE_TIMEOUT: Duration = Duration::from_secs(8);
/// Time without any data from a back end after which its idle connections count
/// as suspect. Most responses arrive sooner; a false suspicion costs only a few
/// new connections.
const BACK_END_SUSPECT_AFTER: Duration = Duration::from_millis(400);
/// Idle time after which a caller's connection is closed.
const CALLER_IDLE_TIMEOUT: Duration = Duration::from_secs(60);
/// Longest wait on a planned stop for this gateway's leases to be resigned.
const RESIGN_TIMEOUT: Duration = Duration::from_millis(1_500);

/// The error that kept a gateway from starting.
#[derive(Debug, Error)]
pub enum GatewayError {
    /// An address cannot be bound.
    #[error("cannot listen on {address} ({cause}); free the port or change the address")]
    Listen {
        /// The configured address.
        address: SocketAddr,
        /// The I/O error.
        cause: std::io::Error,
    },
    /// The signal handlers cannot be installed.
    #[error("cannot install signal handlers ({0}); check the limits of the process")]
    Signals(std::io::Error),
    /// The metrics cannot be registered.
    #[error("cannot register metrics ({0}); report this as a bug")]
    Metrics(#[from] prometheus::Error),
}

/// Runs one gateway until its planned stop has completed.
///
/// # Errors
///
/// An address cannot be bound, or the signal handlers or metrics cannot be
/// registered.
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

/// Waits until the requests that are forwarded for other gateways are answered,
/// at most until `cut_at`.
///
/// Invariant: *a planned stop cuts off no request in flight*, nor one that
/// another gateway has taken.
async fn finish_forwarded(peers_served: JoinHandle<ServeReport>, cut_at: Instant) {
    if timer::timeout_at(cut_at, peers_served).await.is_err() {
        emit!(EventId::PeersNotDrained);
    }
}

/// Forwards to the coordination task the services with a back end that
/// announced that it is leaving or requested backoff.
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

/// The bound listeners. The optional ones exist only if their addresses are
/// configured.
struct Listeners {
    callers: TcpListener,
    readiness: TcpListener,
    operators: Option<TcpListener>,
    peers: Option<TcpListener>,
}

/// Everything that the tasks of one gateway share.
struct Gateway {
    settings: GatewaySettings,
    /// This incarnation of this machine's gateway.
    identity: NodeIdentity,
    ports: Ports,
    clock: Clock,
    dispatch: Arc<Dispatch>,
    links: BackEndLinks,
    /// Orders over connections of this gateway's own.
    direct_orders: Arc<dyn GrantTransport>,
    readiness: Arc<Readiness>,
    store_health: Arc<StoreHealth>,
    sources: Arc<Sources>,
    followers: Arc<Followers>,
    peers: Arc<Peers>,
    metrics: GatewayMetrics,
    requests: Arc<RequestHandler>,
    /// Starts the planned stop.
    stop: StopSignal,
    suspects: SuspectService,
    limits: Limits,
    findings: async_channel::Receiver<Finding>,
}

impl Gateway {
    /// Creates the shared state of all tasks without starting any of them.
    fn new(
        settings: GatewaySettings,
        ports: Ports,
        stop: StopSignal,
    ) -> Result<Self, GatewayError> {
        let clock = Clock::start();
        let mut dispatcher = Dispatcher::new(settings.dispatch(), rand::random());
        if settings.listen.peers.is_none() {
            // Without a peer address no other gateway tells it the number of
            // gateways.
            let gateways = settings.retry_budget.gateways;
            dispatcher.set_router_count(clock.now(), gateways, None);
        }
        let (signals, findings) = SuspectSignals::new();
        let dispatch = Arc::new(Dispatch::new(dispatcher, clock, signals));
        let suspects = SuspectService::new(dispatch.clone());
        let pool = Pool::new(PoolSettings {
            connect_timeout: CONNECT_TIMEOUT,
            idle_timeout: BACK_END_IDLE_TIMEOUT,
            unframed_bodies: UnframedBodies::ReadUntilClose,
            response_ids: ResponseIds::Required(ports.header_codec.request_id_header()),
            suspect_idle_after: Some(BACK_END_SUSPECT_AFTER),
            ..PoolSettings::default()
        });
        let heartbeat = seconds(settings.platform.heartbeat_s);
        let store_health = Arc::new(StoreHealth::new(heartbeat));
        let sources = Arc::new(Sources::new(clock, store_health.clone()));
        let metrics = GatewayMetrics::new(dispatch.clone(), sources.clone())?;
        let ports = metrics.usage().count_store_calls(ports);
        let budget = MemoryBudget::new(settings.limits.held_bytes());
        let identity = NodeIdentity {
            node: MachineName(settings.machine.clone()),
            incarnation: Incarnation(rand::random()),
            address: settings.listen.peers,
        };
        let limits = metrics.limits(clock, &identity, settings.tenant_limits())?;
        let peers = Arc::new(Peers::default());
        let peer_client = PeerClient::new(settings.listen.peers, peers.clone());
        let links = BackEndLinks::new(pool, dispatch.clone(), peer_client);
        let direct_orders = ports.grants.clone();
        let ports = Ports {
            grants: Arc::new(OrderSender {
                links: links.clone(),
                grants: direct_orders.clone(),
            }),
            ..ports
        };
        let requests = Arc::new(RequestHandler {
            attempts: Attempts {
                dispatch: dispatch.clone(),
                links: links.clone(),
                budget: budget.clone(),
                header_codec: ports.header_codec.clone(),
                usage: metrics.usage().clone(),
            },
            limits: limits.clone(),
            logger: RequestLogger::new(),
            metrics: metrics.clone(),
            stopping: AtomicBool::new(false),
            bodies: Bodies::new(budget, settings.limits.held_bytes()),
        });
        let link_mbps = settings.limits.link_mbps;
        Ok(Gateway {
            settings,
            identity,
            ports,
            clock,
            dispatch,
            links,
            direct_orders,
            readiness: Arc::new(Readiness::default()),
            store_health,
            followers: Arc::new(Followers::new(clock, sources.clone(), link_mbps)),
            sources,
            peers,
            metrics,
            requests,
            stop,
            suspects,
            limits,
            findings,
        })
    }

    /// Starts all tasks, waits for the planned stop, and completes it.
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
            self.links.clone(),
        );
        self.start_limits();
        task::spawn(self.links.clone().check_lost_paths());
        let token_requester = TokenRequester {
            dispatch: self.dispatch.clone(),
            peers: self.peer_client(),
            events: events.clone(),
        };
        task::spawn(token_requester.run());
        task::spawn(forward_unavailable_owners(
            self.dispatch.unavailable_services(),
            events.clone(),
        ));
        let peers_served = listeners.peers.map(|listener| {
            let server = self.peer_server(&publisher, &events);
            task::spawn(server.serve(listener, servers_stop.clone()))
        });
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
        let status_handler = StatusHandler {
            readiness: self.readiness.clone(),
            metrics: self.metrics.clone(),
            header_codec: self.ports.header_codec.clone(),
            suspects: None,
            keys: None,
            limits: self.limits.clone(),
        };
        task::spawn(
            status_handler
                .clone()
                .serve(listeners.readiness, servers_stop.clone()),
        );
        if let Some(listener) = listeners.operators {
            let status_handler = StatusHandler {
                suspects: Some(self.suspects.clone()),
                keys: Some(self.dispatch.clone()),
                ..status_handler
            };
            task::spawn(status_handler.serve(listener, servers_stop.clone()));
        }
        let callers_stop = StopSignal::new();
        let requests = self.requests.clone();
        let disconnects = self.metrics.disconnects().clone();
        let handling = requests.clone();
        let handler = move |request: Request, connection: ConnectionInfo| {
            let tracker = disconnects.track();
            handling.clone().handle(request, connection, tracker)
        };
        let may_run_concurrently = move |request: &Request| requests.may_run_concurrently(request);
        let handler = ConcurrentHandler {
            handler,
            may_run_concurrently,
        };
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
        servers_stop.stop();
        if let Some(peers_served) = peers_served {
            let cut_at = stop_requested + self.settings.stop_timeout();
            finish_forwarded(peers_served, cut_at).await;
        }
        if served_report.aborted > 0 {
            emit!(EventId::StopCutShort, cut = served_report.aborted);
        } else {
            emit!(EventId::StopFinished, requests = served_report.requests);
        }
    }

    /// The server for messages of other gateways and requests that are forwarded
    /// for them.
    fn peer_server(
        &self,
        publisher: &StatePublisher,
        events: &async_channel::Sender<Event>,
    ) -> PeerServer {
        let forward = ForwardServer {
            links: self.links.clone(),
            header_codec: self.ports.header_codec.clone(),
            incarnation: self.identity.incarnation,
        };
        PeerServer {
            publisher: publisher.clone(),
            peers: self.peers.clone(),
            events: events.clone(),
            followers: self.followers.clone(),
            usage: self.metrics.usage().clone(),
            suspects: self.suspects.clone(),
            limits: self.limits.clone(),
            orders: OrderServer {
                forward: forward.clone(),
                grants: self.direct_orders.clone(),
            },
            forward,
            messages: MessageReader::default(),
        }
    }

    /// Tells the platform to send no new connections and resigns the
    /// coordinator leases. RequestHandler continue meanwhile.
    fn begin_stop(&self, events: &async_channel::Sender<Event>) {
        self.readiness.begin_stop();
        self.followers.leave();
        self.limits.resign();
        self.requests.stopping.store(true, Ordering::Relaxed);
        // The channel is unbounded and closes only when the process ends.
        let _ = events.try_send(Event::Stop);
    }

    fn server_limits(&self) -> ServerLimits {
        ServerLimits {
            max_connections: self.settings.limits.caller_connections,
            max_body_bytes: 64 * 1024 * 1024,
            idle_timeout: CALLER_IDLE_TIMEOUT,
            drain_timeout: self.settings.drain_timeout(),
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
            takeover_delay: takeover_delay::for_coordinator(link, rand::random()),
            topology: self.settings.topology(),
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

    /// Starts the relay task of this zone and, if the region has its own relay,
    /// that of the region. Each either follows the current relay or becomes it.
    /// A gateway without a peer address watches the store itself and starts
    /// neither.
    fn start_relays(&self, publisher: &StatePublisher) {
        if self.settings.listen.peers.is_none() {
            return;
        }
        let zone = self.settings.zone.clone();
        let topology = self.settings.topology();
        let region = topology.region().filter(|_| topology.has_region_relays());
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
            takeover_delay: takeover_delay::for_relay(link, rand::random()),
        };
        RelayTask {
            tier,
            record,
            topology: self.settings.topology(),
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

    /// Starts the enforcement of tenant limits together with the other
    /// gateways.
    fn start_limits(&self) {
        let limits = &self.settings.limits;
        let placement = LedgerPlacement {
            takeover_delay: takeover_delay::for_coordinator(limits.link_mbps, rand::random())
                + takeover_delay_for_cores(limits.cores),
        };
        self.limits.start(
            self.peer_client(),
            self.ports.clone(),
            self.sources.clone(),
            self.store_health.clone(),
            placement,
        );
    }

    fn peer_client(&self) -> PeerClient {
        PeerClient::new(self.settings.listen.peers, self.peers.clone())
    }
}
