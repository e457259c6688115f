//! Client and server for messages between gateways: load reports for the
//! coordinators of keyed services, polls of a relay, updates for gateways that
//! the store does not answer, crash suspects, and token requests.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_std::net::TcpListener;
use async_std::task;
use http_types::{Method, Request, Response};
use parking_lot::Mutex;
use threadledge_coordination::LoadReport;
use threadledge_limits::settings::QUOTA_REQUEST_TIMEOUT;
use threadledge_limits::{QuotaRequest, QuotaResponse};
use threadledge_net::{
    BodyTimeouts, ClientError, HttpClient, Instant, PoolSettings, ServeReport, ServerLimits,
    StopSignal, serve,
};
use threadledge_suspects::SuspectUpdate;
use threadledge_types::deployment::ServiceName;

use super::answer;
use super::coordination::Event;
use super::followers::{Followers, millis};
use super::limits::Limits;
use super::links::{
    ClockAnswer, ForwardServer, ForwardedOrder, ForwardedOrderResult, OrderServer, is_forwarded,
};
use super::messages::{FollowAnswer, FollowPoll, KnownPeers, ServiceReport, SuspectExchange};
use super::peer_messages::{MessageFault, MessageReader};
use super::publisher::StatePublisher;
use super::suspects::SuspectService;
use super::sync::{PeerUpdate, SyncPosition};
use super::tokens::{ServiceTokenRequest, TOKEN_TIMEOUT, TokenReply, request_local_tokens};
use super::usage::Usage;

/// Path of load reports.
const LOAD_PATH: &str = "/threadledge/v1/load";
/// Path of requests for updates.
const NEWS_PATH: &str = "/threadledge/v1/news";
/// Path of polls of a relay.
const FOLLOW_PATH: &str = "/threadledge/v1/follow";
/// Path of exchanges about requests that crash back ends.
const SUSPECTS_PATH: &str = "/threadledge/v1/suspects";
/// Path of token requests for tenant limits.
const LIMITS_PATH: &str = "/threadledge/v1/limits";
/// Path of token requests for back ends that name a limit.
const TOKENS_PATH: &str = "/threadledge/v1/tokens";
/// Path of readings of a gateway's clock.
const CLOCK_PATH: &str = "/threadledge/v1/clock";
/// Path of orders to back ends that this gateway forwards.
const ORDER_PATH: &str = "/threadledge/v1/order";
/// Timeout of a reading of another gateway's clock: a request waits for it.
const CLOCK_TIMEOUT: Duration = Duration::from_millis(100);
/// Timeout of an exchange about requests that crash back ends: other gateways
/// wait for their turn meanwhile.
const SUSPECTS_TIMEOUT: Duration = Duration::from_millis(300);
/// Timeout of other calls to a peer. A late load report is useless.
const PEER_TIMEOUT: Duration = Duration::from_millis(800);
/// Time without any data from a peer after which its idle connections count as
/// suspect: longer than a poll is held, shorter than any call's timeout.
const PEER_SUSPECT_AFTER: Duration = Duration::from_millis(700);
/// Largest accepted message, in bytes.
const MAX_MESSAGE_BYTES: u64 = 4 * 1024 * 1024;
/// Largest result of a forwarded order, in bytes: the state of a release comes
/// from a header.
const MAX_ORDER_RESULT_BYTES: u64 = 32 * 1024;
/// Most connections from peers.
const MAX_CONNECTIONS: usize = 512;
/// Most connections to one peer for orders that it forwards.
const ORDER_CONNECTIONS: usize = 32;
/// How long a peer is remembered after it was last heard of.
const PEER_RETENTION: Duration = Duration::from_secs(60);
/// Most peers passed on to another gateway at once.
const MAX_PEERS_SHARED: usize = 4;
/// Most gateways named to one that is about to forward through this one.
const MAX_GATEWAYS_NAMED: usize = 16;
/// Most peers remembered.
const MAX_PEERS: usize = 32;

/// Gateways that this one has heard of recently, with the time of the last
/// mention.
#[derive(Debug, Default)]
pub(super) struct Peers {
    last_heard: Mutex<BTreeMap<SocketAddr, Instant>>,
}

impl Peers {
    pub(super) fn note_peers(&self, peers: impl IntoIterator<Item = SocketAddr>) {
        let now = Instant::now();
        let mut last_heard = self.last_heard.lock();
        last_heard.retain(|_, at| now.saturating_duration_since(*at) < PEER_RETENTION);
        for peer in peers {
            if last_heard.len() < MAX_PEERS || last_heard.contains_key(&peer) {
                last_heard.insert(peer, now);
            }
        }
    }

    /// All peers, most recently heard of first.
    pub(super) fn most_recent(&self) -> Vec<SocketAddr> {
        let last_heard = self.last_heard.lock();
        let mut peers: Vec<(Instant, SocketAddr)> =
            last_heard.iter().map(|(peer, at)| (*at, *peer)).collect();
        peers.sort_by(|left, right| right.cmp(left));
        peers.into_iter().map(|(_, peer)| peer).collect()
    }

    fn forget(&self, peer: SocketAddr) {
        self.last_heard.lock().remove(&peer);
    }
}

/// Client for calls to other gateways. Clones share connections and peers.
#[derive(Clone, Debug)]
pub(super) struct PeerClient {
    client: HttpClient,
    /// Client for orders that other gateways forward; many may be in flight.
    orders: HttpClient,
    own_address: Option<SocketAddr>,
    peers: Arc<Peers>,
}

impl PeerClient {
    pub(super) fn new(own_address: Option<SocketAddr>, peers: Arc<Peers>) -> Self {
        let settings = PoolSettings {
            connections_per_address: 2,
            connect_timeout: PEER_TIMEOUT,
            max_body_bytes: MAX_MESSAGE_BYTES,
            suspect_idle_after: Some(PEER_SUSPECT_AFTER),
            ..PoolSettings::default()
        };
        let orders = PoolSettings {
            connections_per_address: ORDER_CONNECTIONS,
            max_body_bytes: MAX_ORDER_RESULT_BYTES,
            ..settings.clone()
        };
        PeerClient {
            client: HttpClient::new(settings),
            orders: HttpClient::new(orders),
            own_address,
            peers,
        }
    }

    /// Sends a load report without waiting for the answer.
    pub(super) fn send_load(&self, to: SocketAddr, service: ServiceName, load: LoadReport) {
        let client = self.clone();
        task::spawn(async move {
            let report = ServiceReport {
                from: client.own_address,
                service,
                load,
            };
            let sent =
                client
                    .client
                    .post_json::<_, KnownPeers>(to, LOAD_PATH, &report, PEER_TIMEOUT);
            // A coordinator that cannot be reached plans with the reports of
            // other gateways.
            if let Ok(known) = sent.await {
                let others = known
                    .peers
                    .into_iter()
                    .filter(|peer| Some(*peer) != client.own_address);
                client.peers.note_peers(others.chain([to]));
            }
        });
    }

    /// Remembers a gateway's address unless it is this gateway's own.
    pub(super) fn note_peer(&self, peer: SocketAddr) {
        if Some(peer) != self.own_address {
            self.peers.note_peers([peer]);
        }
    }

    /// Polls a relay. Returns `None` if no data arrived for the poll timeout.
    /// An answer that takes longer keeps being read: a new request for it would
    /// take as long again.
    pub(super) async fn poll_relay(
        &self,
        relay: SocketAddr,
        poll: &FollowPoll,
        settings: &threadledge_relay::Settings,
    ) -> Option<FollowAnswer> {
        let silence = settings.poll_timeout;
        let pace = BodyTimeouts {
            idle: silence,
            total: settings.max_transfer,
        };
        let polled =
            self.client
                .post_json_with_body_timeouts(relay, FOLLOW_PATH, poll, silence, pace);
        polled.await.ok()
    }

    /// Exchanges suspected crash causes with one gateway. Returns `None` if it
    /// did not answer.
    pub(super) async fn exchange_suspects(
        &self,
        to: SocketAddr,
        exchange: &SuspectExchange,
    ) -> Option<SuspectUpdate> {
        let call = self
            .client
            .post_json(to, SUSPECTS_PATH, exchange, SUSPECTS_TIMEOUT);
        call.await.ok()
    }

    /// Requests limit tokens from the gateway that keeps the ledger. Returns
    /// `None` if it did not answer.
    pub(super) async fn request_quota(
        &self,
        to: SocketAddr,
        ask: &QuotaRequest,
    ) -> Option<QuotaResponse> {
        let call = self
            .client
            .post_json(to, LIMITS_PATH, ask, QUOTA_REQUEST_TIMEOUT);
        call.await.ok()
    }

    /// Requests tokens from the coordinator of a service. Returns `None` if it
    /// did not answer.
    pub(super) async fn request_tokens(
        &self,
        to: SocketAddr,
        ask: &ServiceTokenRequest,
    ) -> Option<TokenReply> {
        let call = self.client.post_json(to, TOKENS_PATH, ask, TOKEN_TIMEOUT);
        call.await.ok()
    }

    /// Reads another gateway's clock. Returns `None` if it did not answer.
    pub(super) async fn read_clock(&self, of: SocketAddr) -> Option<ClockAnswer> {
        let read = self.client.get_json(of, CLOCK_PATH, CLOCK_TIMEOUT);
        read.await.ok()
    }

    /// Sends an order to a back end through another gateway.
    pub(super) async fn forward_order(
        &self,
        through: SocketAddr,
        order: &ForwardedOrder,
        timeout: Duration,
    ) -> Result<ForwardedOrderResult, ClientError> {
        let call = self.orders.post_json(through, ORDER_PATH, order, timeout);
        call.await
    }

    /// The address at which other gateways reach this one.
    pub(super) fn own_address(&self) -> Option<SocketAddr> {
        self.own_address
    }

    /// Fetches the data that a peer has and a gateway at `position` lacks.
    pub(super) async fn fetch_updates(
        &self,
        from: SocketAddr,
        position: &SyncPosition,
    ) -> Option<PeerUpdate> {
        let answer = self
            .client
            .post_json(from, NEWS_PATH, position, PEER_TIMEOUT)
            .await;
        if answer.is_err() {
            self.peers.forget(from);
        }
        answer.ok()
    }

    /// All peers, most recently heard of first.
    pub(super) fn most_recent(&self) -> Vec<SocketAddr> {
        self.peers.most_recent()
    }
}

/// Server for messages from other gateways.
#[derive(Clone)]
pub(super) struct PeerServer {
    pub(super) publisher: StatePublisher,
    pub(super) peers: Arc<Peers>,
    pub(super) events: async_channel::Sender<Event>,
    pub(super) followers: Arc<Followers>,
    pub(super) usage: Usage,
    pub(super) suspects: SuspectService,
    pub(super) limits: Limits,
    pub(super) forward: ForwardServer,
    pub(super) orders: OrderServer,
    pub(super) messages: MessageReader,
}

impl PeerServer {
    /// Serves other gateways until `stop` is signalled.
    pub(super) async fn serve(self, listener: TcpListener, stop: StopSignal) -> ServeReport {
        let limits = ServerLimits {
            max_connections: MAX_CONNECTIONS,
            max_body_bytes: MAX_MESSAGE_BYTES,
            ..ServerLimits::default()
        };
        let handler = move |request: Request, _connection| {
            let server = self.clone();
            async move { server.answer(request).await }
        };
        serve(listener, limits, stop, handler).await
    }

    /// Answers one request and counts its bytes.
    async fn answer(&self, mut request: Request) -> Response {
        if is_forwarded(&request) {
            let received = request.len().unwrap_or_default();
            let response = self.forward.forward(request).await;
            let answered = response.len().unwrap_or_default();
            self.usage
                .record_peer_message("forwarded", received, answered);
            return response;
        }
        let body = match self.messages.read(&mut request).await {
            Ok(message) => message,
            Err(MessageFault::CutShort) => return answer::text(400, "cut-short", None),
            Err(MessageFault::NoMemory) => return answer::text(503, "no-memory", None),
        };
        let message = match request.url().path() {
            LOAD_PATH => "load",
            FOLLOW_PATH => "follow",
            NEWS_PATH => "news",
            SUSPECTS_PATH => "suspects",
            LIMITS_PATH => "limits",
            TOKENS_PATH => "tokens",
            CLOCK_PATH => "clock",
            ORDER_PATH => "order",
            _ => "unknown",
        };
        let response = self.route(&request, &body.bytes).await;
        let answered = response.len().unwrap_or_default();
        self.usage
            .record_peer_message(message, body.bytes.len(), answered);
        response
    }

    /// Dispatches a request by its path.
    async fn route(&self, request: &Request, body: &[u8]) -> Response {
        match (request.method(), request.url().path()) {
            (Method::Post, LOAD_PATH) => match serde_json::from_slice(body) {
                Ok(report) => answer::json(&self.handle_report(report)),
                Err(_) => answer::text(400, "malformed-report", None),
            },
            (Method::Post, FOLLOW_PATH) => match serde_json::from_slice::<FollowPoll>(body) {
                Ok(poll) => answer::json(&self.handle_poll(poll).await),
                Err(_) => answer::text(400, "malformed-poll", None),
            },
            (Method::Post, NEWS_PATH) => match serde_json::from_slice::<SyncPosition>(body) {
                Ok(position) => answer::json(&self.update_since(&position)),
                Err(_) => answer::text(400, "malformed-marks", None),
            },
            (Method::Post, SUSPECTS_PATH) => match serde_json::from_slice(body) {
                Ok(exchange) => answer::json(&self.handle_suspects(&exchange)),
                Err(_) => answer::text(400, "malformed-suspects", None),
            },
            (Method::Post, LIMITS_PATH) => match serde_json::from_slice(body) {
                Ok(ask) => answer::json(&self.limits.handle_request(&ask)),
                Err(_) => answer::text(400, "malformed-ask", None),
            },
            (Method::Post, TOKENS_PATH) => match serde_json::from_slice(body) {
                Ok(ask) => self.handle_tokens(&ask).await,
                Err(_) => answer::text(400, "malformed-ask", None),
            },
            (Method::Post, ORDER_PATH) => match serde_json::from_slice(body) {
                Ok(order) => answer::json(&self.orders.forward(order).await),
                Err(_) => answer::text(400, "malformed-order", None),
            },
            (Method::Get, CLOCK_PATH) => answer::json(&self.clock_answer()),
            _ => answer::text(404, "unknown-path", None),
        }
    }

    fn clock_answer(&self) -> ClockAnswer {
        let mut gateways = self.peers.most_recent();
        gateways.truncate(MAX_GATEWAYS_NAMED);
        ClockAnswer {
            reading: self.forward.clock_reading(),
            gateways,
        }
    }

    async fn handle_tokens(&self, ask: &ServiceTokenRequest) -> Response {
        match request_local_tokens(&self.events, ask).await {
            Some(reply) => answer::json(&reply),
            None => answer::text(503, "stopping", None),
        }
    }

    fn update_since(&self, position: &SyncPosition) -> PeerUpdate {
        // Taken before the data: updates that arrive in between only make the
        // data younger.
        let age = self.followers.confirmed_age();
        PeerUpdate {
            age_ms: Some(millis(age)),
            ..self.publisher.update_since(position)
        }
    }

    fn handle_suspects(&self, exchange: &SuspectExchange) -> SuspectUpdate {
        let source = exchange.from.map_or(String::new(), |from| from.to_string());
        // A new relay has to receive exchanges before the store names it here.
        self.peers.note_peers(exchange.from);
        self.suspects
            .merge_update(exchange.from, &source, &exchange.news);
        if exchange.whole {
            self.suspects.known_suspects(exchange.from)
        } else {
            SuspectUpdate::default()
        }
    }

    async fn handle_poll(&self, mut poll: FollowPoll) -> FollowAnswer {
        self.peers.note_peers(poll.from);
        for (service, load) in std::mem::take(&mut poll.load) {
            // The channel is unbounded and closes only when the process ends.
            let _ = self.events.try_send(Event::Load(service, load));
        }
        let peers = self.recent_peers();
        let hold = if poll.at_once {
            Duration::ZERO
        } else {
            let longest = threadledge_relay::Settings::default().max_hold;
            let requested = poll.hold_ms.map(Duration::from_millis);
            requested.map_or(longest, |requested| requested.min(longest))
        };
        self.followers
            .answer(&self.publisher, &poll.follower(), peers, hold)
            .await
    }

    fn recent_peers(&self) -> Vec<SocketAddr> {
        let mut peers = self.peers.most_recent();
        peers.truncate(MAX_PEERS_SHARED);
        peers
    }

    fn handle_report(&self, report: ServiceReport) -> KnownPeers {
        let peers = self.recent_peers();
        self.peers.note_peers(report.from);
        // The channel is unbounded and closes only when the process ends.
        let _ = self
            .events
            .try_send(Event::Load(report.service, report.load));
        KnownPeers { peers }
    }
}
