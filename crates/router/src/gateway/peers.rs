//! What gateways tell each other: the load that each sees of services divided
//! by key, for the coordinator to divide the keys by; and, while the store
//! does not answer one of them, what others know beyond it.

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
    HttpClient, Instant, LargePace, PoolSettings, ServeReport, ServerLimits, StopSignal, serve,
};
use threadledge_suspects::SuspectUpdate;
use threadledge_types::deployment::ServiceName;

use super::answer;
use super::coordination::Event;
use super::followers::{Followers, millis};
use super::limits::Limits;
use super::messages::{FollowAnswer, FollowPoll, KnownPeers, ServiceReport, SuspectExchange};
use super::publisher::StatePublisher;
use super::suspects::SuspectService;
use super::sync::{PeerUpdate, SyncPosition};
use super::tokens::{ServiceTokenAsk, TOKEN_TIMEOUT, TokenReply, ask_here};
use super::usage::Usage;

/// Path of reports.
const LOAD_PATH: &str = "/threadledge/v1/load";
/// Path of questions for news.
const NEWS_PATH: &str = "/threadledge/v1/news";
/// Path of polls of a relay.
const FOLLOW_PATH: &str = "/threadledge/v1/follow";
/// Path of news of requests that crash back ends.
const SUSPECTS_PATH: &str = "/threadledge/v1/suspects";
/// Path of asks for tokens of tenants' limits.
const LIMITS_PATH: &str = "/threadledge/v1/limits";
/// Path of asks for tokens of back ends that name a limit.
const TOKENS_PATH: &str = "/threadledge/v1/tokens";
/// Longest wait for the answer to news of requests that crash back ends: others wait to be told meanwhile.
const SUSPECTS_TIMEOUT: Duration = Duration::from_millis(300);
/// Longest wait for a peer. A report that is late is worth nothing.
const PEER_TIMEOUT: Duration = Duration::from_millis(800);
/// How long a peer may say nothing before connections to it at rest are
/// doubted: longer than a poll is held, shorter than any is waited for.
const PEER_SUSPECT_AFTER: Duration = Duration::from_millis(700);
/// Longest time for a relay's answer that goes on coming.
const MAX_POLL_TRANSFER: Duration = Duration::from_secs(6);
/// Largest message taken, in bytes.
const MAX_MESSAGE_BYTES: u64 = 4 * 1024 * 1024;
/// Connections of peers.
const MAX_CONNECTIONS: usize = 512;
/// How long a peer is remembered that says nothing.
const PEER_RETENTION: Duration = Duration::from_secs(60);
/// Peers that are told to others at once.
const MAX_PEERS_SHARED: usize = 4;
/// Peers that are remembered at the most.
const MAX_PEERS: usize = 32;

/// Gateways that this one has heard of lately.
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

    /// Every peer, the last heard of first.
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

/// Speaks to other gateways. Clones share connections and peers.
#[derive(Clone, Debug)]
pub(super) struct PeerClient {
    client: HttpClient,
    own_address: Option<SocketAddr>,
    peers: Arc<Peers>,
}

impl PeerClient {
    pub(super) fn new(own_address: Option<SocketAddr>, peers: Arc<Peers>) -> Self {
        PeerClient {
            client: HttpClient::new(PoolSettings {
                connections_per_address: 2,
                connect_timeout: PEER_TIMEOUT,
                max_body_bytes: MAX_MESSAGE_BYTES,
                doubt_after: Some(PEER_SUSPECT_AFTER),
                ..PoolSettings::default()
            }),
            own_address,
            peers,
        }
    }

    /// Sends a report and does not wait for its answer.
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
            // A coordinator that cannot be reached plans by what others see.
            if let Ok(known) = sent.await {
                let others = known
                    .peers
                    .into_iter()
                    .filter(|peer| Some(*peer) != client.own_address);
                client.peers.note_peers(others.chain([to]));
            }
        });
    }

    /// A gateway is at this address, as the store says.
    pub(super) fn note_peer(&self, peer: SocketAddr) {
        if Some(peer) != self.own_address {
            self.peers.note_peers([peer]);
        }
    }

    /// Polls a relay. `None`: it said nothing for `silence`. What takes longer
    /// to arrive is read on: asked for again, it would take as long again.
    pub(super) async fn poll_relay(
        &self,
        relay: SocketAddr,
        poll: &FollowPoll,
        silence: Duration,
    ) -> Option<FollowAnswer> {
        let pace = LargePace {
            pause: silence,
            longest: MAX_POLL_TRANSFER,
        };
        let polled = self
            .client
            .post_json_for_large(relay, FOLLOW_PATH, poll, silence, pace);
        polled.await.ok()
    }

    /// Tells one gateway of requests that crash back ends. `None`: it did not
    /// answer.
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

    /// Asks the gateway that keeps the ledger for tokens. `None`: it did not
    /// answer.
    pub(super) async fn request_quota(&self, to: SocketAddr, ask: &QuotaRequest) -> Option<QuotaResponse> {
        let call = self
            .client
            .post_json(to, LIMITS_PATH, ask, QUOTA_REQUEST_TIMEOUT);
        call.await.ok()
    }

    /// Asks the coordinator of a service for tokens. `None`: it did not answer.
    pub(super) async fn request_tokens(
        &self,
        to: SocketAddr,
        ask: &ServiceTokenAsk,
    ) -> Option<TokenReply> {
        let call = self.client.post_json(to, TOKENS_PATH, ask, TOKEN_TIMEOUT);
        call.await.ok()
    }

    /// The address at which other gateways reach this one.
    pub(super) fn own_address(&self) -> Option<SocketAddr> {
        self.own_address
    }

    /// Asks one peer for what it knows beyond `position`.
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

    /// Every peer, the last heard of first.
    pub(super) fn most_recent(&self) -> Vec<SocketAddr> {
        self.peers.most_recent()
    }
}

/// What the server for peers needs.
#[derive(Clone)]
pub(super) struct PeerServer {
    pub(super) publisher: StatePublisher,
    pub(super) peers: Arc<Peers>,
    pub(super) events: async_channel::Sender<Event>,
    pub(super) followers: Arc<Followers>,
    pub(super) usage: Usage,
    pub(super) suspects: SuspectService,
    pub(super) limits: Limits,
}

impl PeerServer {
    /// Serves other gateways until `stop` is given.
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

    async fn answer(&self, mut request: Request) -> Response {
        let Ok(body) = request.body_bytes().await else {
            return answer::own(400, "cut-short", None);
        };
        let message = match request.url().path() {
            LOAD_PATH => "load",
            FOLLOW_PATH => "follow",
            NEWS_PATH => "news",
            SUSPECTS_PATH => "suspects",
            LIMITS_PATH => "limits",
            TOKENS_PATH => "tokens",
            _ => "unknown",
        };
        let response = self.route(&request, &body).await;
        let answered = response.len().unwrap_or_default();
        self.usage.served_peer(message, body.len(), answered);
        response
    }

    async fn route(&self, request: &Request, body: &[u8]) -> Response {
        match (request.method(), request.url().path()) {
            (Method::Post, LOAD_PATH) => match serde_json::from_slice(body) {
                Ok(report) => answer::json(&self.handle_report(report)),
                Err(_) => answer::own(400, "malformed-report", None),
            },
            (Method::Post, FOLLOW_PATH) => match serde_json::from_slice::<FollowPoll>(body) {
                Ok(poll) => answer::json(&self.handle_poll(poll).await),
                Err(_) => answer::own(400, "malformed-poll", None),
            },
            (Method::Post, NEWS_PATH) => match serde_json::from_slice::<SyncPosition>(body) {
                Ok(position) => answer::json(&self.update_since(&position)),
                Err(_) => answer::own(400, "malformed-marks", None),
            },
            (Method::Post, SUSPECTS_PATH) => match serde_json::from_slice(body) {
                Ok(exchange) => answer::json(&self.handle_suspects(&exchange)),
                Err(_) => answer::own(400, "malformed-suspects", None),
            },
            (Method::Post, LIMITS_PATH) => match serde_json::from_slice(body) {
                Ok(ask) => answer::json(&self.limits.answer(&ask)),
                Err(_) => answer::own(400, "malformed-ask", None),
            },
            (Method::Post, TOKENS_PATH) => match serde_json::from_slice(body) {
                Ok(ask) => self.handle_tokens(&ask).await,
                Err(_) => answer::own(400, "malformed-ask", None),
            },
            _ => answer::own(404, "unknown-path", None),
        }
    }

    async fn handle_tokens(&self, ask: &ServiceTokenAsk) -> Response {
        match ask_here(&self.events, ask).await {
            Some(reply) => answer::json(&reply),
            None => answer::own(503, "stopping", None),
        }
    }

    fn update_since(&self, position: &SyncPosition) -> PeerUpdate {
        // Before the news: what comes in between makes them younger.
        let age = self.followers.confirmed_age();
        PeerUpdate {
            age_ms: Some(millis(age)),
            ..self.publisher.update_since(position)
        }
    }

    fn handle_suspects(&self, exchange: &SuspectExchange) -> SuspectUpdate {
        let source = exchange.from.map_or(String::new(), |from| from.to_string());
        // A relay that is new is told in turn before the store names it here.
        self.peers.note_peers(exchange.from);
        self.suspects.take(exchange.from, &source, &exchange.news);
        if exchange.whole {
            self.suspects.known(exchange.from)
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
