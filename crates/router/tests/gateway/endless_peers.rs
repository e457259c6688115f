//! Peers of a gateway that send bytes for as long as the connection is open.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use async_std::io::{ReadExt, WriteExt};
use async_std::net::{TcpListener, TcpStream};
use async_std::task::{self, block_on};
use serde_json::json;
use threadledge_coordination::{CoordinatorLease, Term};
use threadledge_net::{HttpClient, timer};
use threadledge_platform_stand_in::{StandInBackEnd, StandInStore, configuration};

use super::process::{Gateway, TIMEOUT, TestRequest, World, eventually};
use super::repeating_proxy::read_message;

/// Owners that the gateway reaches only through its peer.
const OWNERS: u8 = 40;
/// Orders that a peer is sent at once.
const ORDERS: usize = 32;
/// Bytes of an answer that are sent before the peer pauses.
const ANSWER_BYTES: usize = 3 * 1024 * 1024;
/// Bytes of an answer that no gateway holds in memory.
const LONG_ANSWER_BYTES: usize = 1024 * 1024;
/// Time for bytes that were sent to arrive.
const PAUSE: Duration = Duration::from_secs(2);
/// Memory that all messages of peers together may take, in KiB: the limit of 16
/// MiB twice, because buffers are copied when they grow, and a margin.
const MAX_MESSAGES_KIB: u64 = 48 * 1024;
/// Memory that all answers together may take, in KiB.
const MAX_GROWTH_KIB: u64 = 16 * 1024;

/// A gateway that answers each order, and each request that it is to forward, with
/// a body that has no end.
#[derive(Clone)]
struct EndlessForwarder {
    started: Instant,
    address: SocketAddr,
    orders: Arc<AtomicUsize>,
    /// Requests that it was to forward.
    requests: Arc<AtomicUsize>,
}

impl EndlessForwarder {
    async fn start() -> EndlessForwarder {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let forwarder = EndlessForwarder {
            started: Instant::now(),
            address: listener.local_addr().expect("an address"),
            orders: Arc::default(),
            requests: Arc::default(),
        };
        let accepting = forwarder.clone();
        task::spawn(async move {
            while let Ok((caller, _)) = listener.accept().await {
                let serving = accepting.clone();
                task::spawn(async move {
                    // The gateway closes the connection.
                    let _ = serving.serve(caller).await;
                });
            }
        });
        forwarder
    }

    async fn serve(&self, mut caller: TcpStream) -> std::io::Result<()> {
        loop {
            let request = read_message(&mut caller).await?;
            if String::from_utf8_lossy(&request).contains("/v1/order") {
                self.orders.fetch_add(1, Ordering::Relaxed);
                return send_without_end(caller).await;
            }
            if String::from_utf8_lossy(&request).contains("threadledge-forward-to") {
                self.requests.fetch_add(1, Ordering::Relaxed);
                let id = id_of(&request);
                let head = format!(
                    "HTTP/1.1 200 OK\r\nthreadledge-forward-result: answered\r\n\
                     x-server-stamp: a\r\nx-request-id: {id}\r\n\
                     transfer-encoding: chunked\r\n\r\n"
                );
                caller.write_all(head.as_bytes()).await?;
                let part = "8\r\naaaaaaaa\r\n".repeat(4_096);
                loop {
                    caller.write_all(part.as_bytes()).await?;
                }
            }
            let now = self.started.elapsed().as_micros() as u64;
            let reading = json!({"incarnation": 7, "now": now}).to_string();
            let length = reading.len();
            let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n");
            caller.write_all(head.as_bytes()).await?;
            caller.write_all(reading.as_bytes()).await?;
        }
    }

    /// Makes a gateway know this one.
    fn introduce_to(&self, gateway: &Gateway) {
        let report = json!({
            "from": self.address,
            "service": "keyed",
            "load": {"requests": [], "speeds": []},
        });
        let request = http::Request::post("/threadledge/v1/load").body(report.to_string().into());
        let client = HttpClient::default();
        let sent = client.send(gateway.peers, request.expect("valid"), TIMEOUT);
        assert_eq!(block_on(sent).expect("an answer").status(), 200);
    }
}

async fn send_without_end(mut stream: TcpStream) -> std::io::Result<()> {
    let head = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\nffffffff\r\n";
    stream.write_all(head.as_bytes()).await?;
    stream.write_all(&vec![b'a'; ANSWER_BYTES]).await?;
    stream.read_to_end(&mut Vec::new()).await.map(|_| ())
}

/// Answers to forwarded orders used to be read up to 4 MiB each.
#[test]
fn endless_answers_of_a_forwarder_take_no_memory() {
    let store = block_on(StandInStore::start()).expect("a store");
    let owner = block_on(StandInBackEnd::start("k", true)).expect("one");
    for number in 1..=OWNERS {
        // Nothing listens there.
        let address = ([127, 0, 1, number], 9).into();
        let registration = owner.registration_at(address, "zone-a", "keyed", "ready");
        store.put("servers", &format!("k-{number}"), registration);
    }
    let mut gateway = Gateway::start(store.address());
    let forwarder = block_on(EndlessForwarder::start());
    eventually(|| gateway.readiness());
    forwarder.introduce_to(&gateway);
    let before = gateway.peak_memory_kib();
    store.put("config", "main", configuration(1));
    gateway.await_ready();
    eventually(|| (forwarder.orders.load(Ordering::Relaxed) >= ORDERS).then_some(()));
    std::thread::sleep(PAUSE);
    let grown = gateway.peak_memory_kib() - before;
    assert!(grown <= MAX_GROWTH_KIB, "grown by {grown} KiB");
}

/// An answer without end: what is sent once and what is sent again and again.
#[derive(Clone, Copy, Debug)]
struct Endless {
    start: &'static str,
    repeated: &'static str,
}

const ANSWERS: [Endless; 4] = [
    Endless {
        start: "HTTP/1.1 200 OK\r\n",
        repeated: "x-more: a\r\n",
    },
    Endless {
        start: "HTTP/1.1 200 OK\r\nx-server-stamp: a\r\nx-request-id: ID\r\ncontent-length: 900000000000\r\n\r\n",
        repeated: "aaaaaaaa",
    },
    Endless {
        start: "HTTP/1.1 200 OK\r\nx-server-stamp: a\r\nx-request-id: ID\r\ntransfer-encoding: chunked\r\n\r\n",
        repeated: "8\r\naaaaaaaa\r\n",
    },
    Endless {
        start: "HTTP/1.1 200 OK\r\nx-server-stamp: a\r\nx-request-id: ID\r\n\r\n",
        repeated: "aaaaaaaa",
    },
];

/// A gateway that answers everything so, as fast as it is read. Returns its
/// address and the number of its connections that were closed.
async fn endless_gateway(answer: Endless) -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let closed: Arc<AtomicUsize> = Arc::default();
    let counter = closed.clone();
    task::spawn(async move {
        while let Ok((caller, _)) = listener.accept().await {
            let counter = counter.clone();
            task::spawn(async move {
                // The gateway closes the connection.
                let _ = repeat(caller, answer).await;
                counter.fetch_add(1, Ordering::Relaxed);
            });
        }
    });
    (address, closed)
}

async fn repeat(mut caller: TcpStream, answer: Endless) -> std::io::Result<()> {
    let request = read_message(&mut caller).await?;
    let part = answer.repeated.repeat(4_096);
    let start = answer.start.replace("ID", &id_of(&request));
    caller.write_all(start.as_bytes()).await?;
    loop {
        caller.write_all(part.as_bytes()).await?;
    }
}

/// The id of a request, or a text that is none.
fn id_of(request: &[u8]) -> String {
    let text = String::from_utf8_lossy(request);
    let mut lines = text.lines();
    let id = lines.find_map(|line| line.strip_prefix("x-request-id: "));
    id.unwrap_or("none").to_owned()
}

/// The answers of a relay and of a coordinator are given up, and the gateway
/// takes the place of both.
#[test]
fn endless_answers_of_a_relay_and_coordinator_are_given_up() {
    for answer in ANSWERS {
        let store = block_on(StandInStore::start()).expect("a store");
        let owner = block_on(StandInBackEnd::start("k", true)).expect("one");
        let (peer, closed) = block_on(endless_gateway(answer));
        let holder = json!({"node": "router-2", "incarnation": 7, "address": peer});
        let relay = json!({"holder": holder, "members": 2});
        store.put("threadledge-relays", "zone-a", relay);
        let lease = CoordinatorLease {
            term: Term(1),
            holder: serde_json::from_value(holder).expect("an identity"),
            renewals: 1,
            lease_ms: 3_000,
            earlier_orders_ms: 0,
            hold_ms: 3_000,
        };
        let lease = serde_json::to_value(lease).expect("JSON");
        store.put("threadledge-leases", "keyed", lease);
        store.put("servers", &owner.id, owner.registration("keyed", "ready"));
        store.put("config", "main", configuration(1));
        let mut gateway = Gateway::start(store.address());
        eventually(|| gateway.readiness());
        let before = gateway.peak_memory_kib();
        gateway.await_ready();
        eventually(|| owner.holds(5).then_some(()));
        assert!(closed.load(Ordering::Relaxed) > 0, "{answer:?}");
        let grown = gateway.peak_memory_kib() - before;
        assert!(grown <= MAX_GROWTH_KIB, "{answer:?}: {grown} KiB");
    }
}

/// Sends the start of a request on a connection of its own, and then `part`
/// until the gateway closes the connection or `bytes` have been sent.
async fn send_request(
    to: SocketAddr,
    start: String,
    part: &'static str,
    bytes: usize,
) -> std::io::Result<()> {
    let mut stream = TcpStream::connect(to).await?;
    stream.write_all(start.as_bytes()).await?;
    let part = part.repeat(4_096);
    let mut sent = 0;
    while sent < bytes {
        stream.write_all(part.as_bytes()).await?;
        sent += part.len();
    }
    stream.read_to_end(&mut Vec::new()).await.map(|_| ())
}

/// Heads without end are refused on each port, and bodies that nobody reads.
#[test]
fn endless_requests_are_refused_on_each_port() {
    let gateway = Gateway::start(block_on(StandInStore::start()).expect("one").address());
    eventually(|| gateway.readiness());
    let before = gateway.peak_memory_kib();
    let (callers, peers) = (gateway.callers, gateway.peers);
    let (readiness, operators) = (gateway.readiness, gateway.operators);
    let head = "POST /metrics HTTP/1.1\r\nhost: a\r\n";
    let chunked = format!("{head}transfer-encoding: chunked\r\n\r\n");
    let mut sending = Vec::new();
    for to in [callers, peers, readiness, operators] {
        let sent = send_request(to, head.to_owned(), "x-more: a\r\n", usize::MAX);
        sending.push(task::spawn(sent));
    }
    for to in [callers, readiness, operators] {
        for _ in 0..ORDERS {
            let sent = send_request(to, chunked.clone(), "8\r\naaaaaaaa\r\n", usize::MAX);
            sending.push(task::spawn(sent));
        }
    }
    for each in sending {
        let ended = block_on(timer::timeout(TIMEOUT, each));
        assert!(ended.is_ok(), "not closed");
    }
    let grown = gateway.peak_memory_kib() - before;
    assert!(grown <= MAX_GROWTH_KIB, "grown by {grown} KiB");
}

/// Messages of peers used to be read up to 4 MiB each, on up to 512 connections.
#[test]
fn endless_messages_of_peers_take_no_memory() {
    let gateway = Gateway::start(block_on(StandInStore::start()).expect("one").address());
    eventually(|| gateway.readiness());
    let before = gateway.peak_memory_kib();
    for path in ["order", "clock", "follow", "load"] {
        let peers = gateway.peers;
        for _ in 0..ORDERS {
            let head = format!("POST /threadledge/v1/{path} HTTP/1.1\r\nhost: a\r\n");
            let start = format!("{head}transfer-encoding: chunked\r\n\r\n");
            let sent = send_request(peers, start, "8\r\naaaaaaaa\r\n", ANSWER_BYTES);
            task::spawn(sent);
        }
    }
    std::thread::sleep(PAUSE);
    let request = http::Request::get("/threadledge/v1/clock").body(Vec::new());
    let client = HttpClient::default();
    let small = client.send(gateway.peers, request.expect("valid"), TIMEOUT);
    assert_eq!(block_on(small).expect("an answer").status(), 200);
    let grown = gateway.peak_memory_kib() - before;
    assert!(grown <= MAX_MESSAGES_KIB, "grown by {grown} KiB");
}

/// A report of the load of every key is longer than most messages.
#[test]
fn long_messages_of_peers_are_read() {
    let gateway = Gateway::start(block_on(StandInStore::start()).expect("one").address());
    eventually(|| gateway.readiness());
    let requests = (0..=u16::MAX).map(|key| json!({"key": key, "count": 1}));
    let report = json!({
        "from": gateway.operators,
        "service": "keyed",
        "load": {"requests": requests.collect::<Vec<_>>(), "speeds": []},
    });
    let report = report.to_string().into_bytes();
    for _ in 0..ORDERS {
        let request = http::Request::post("/threadledge/v1/load").body(report.clone());
        let client = HttpClient::default();
        let sent = client.send(gateway.peers, request.expect("valid"), TIMEOUT);
        assert_eq!(block_on(sent).expect("an answer").status(), 200);
    }
}

/// Sends a request and reads its answer until it ends, without keeping it.
/// Returns the number of its bytes.
async fn request_and_discard(callers: SocketAddr, number: usize) -> std::io::Result<usize> {
    let mut stream = TcpStream::connect(callers).await?;
    let head = "GET /safe/x HTTP/1.1\r\nhost: plain.example\r\nconnection: close\r\n";
    let request = format!("{head}x-request-id: endless-{number}\r\n\r\n");
    stream.write_all(request.as_bytes()).await?;
    let mut part = vec![0; 64 * 1024];
    let mut received = 0;
    loop {
        match stream.read(&mut part).await {
            // A cut answer may end with a reset.
            Ok(0) | Err(_) => return Ok(received),
            Ok(count) => received += count,
        }
    }
}

/// Sends many requests at once and waits until all have ended. Returns whether
/// an answer was passed on that is longer than a gateway holds.
fn await_requests(gateway: &Gateway) -> bool {
    let start = |number| task::spawn(request_and_discard(gateway.callers, number));
    let requests: Vec<_> = (0..ORDERS).map(start).collect();
    let received = requests.into_iter().map(|request| {
        let ended = block_on(timer::timeout(TIMEOUT, request));
        ended.expect("ends at its deadline").expect("sent")
    });
    // All are awaited.
    received
        .max()
        .is_some_and(|longest| longest > LONG_ANSWER_BYTES)
}

/// Back ends that answer requests, orders and probes so.
#[test]
fn endless_answers_of_back_ends_end_and_take_no_memory() {
    for answer in ANSWERS {
        let mut world = World::start();
        let owner = &world.keyed[0];
        let before = world.gateway.peak_memory_kib();
        let mut closed = Vec::new();
        for (number, service) in ["plain", "plain", "keyed", "keyed"].iter().enumerate() {
            let (address, count) = block_on(endless_gateway(answer));
            let registration = owner.registration_at(address, "zone-a", service, "ready");
            let name = format!("endless-{number}");
            world.store.put("servers", &name, registration);
            closed.push((name, count));
        }
        let mut passed_on = false;
        for (_, count) in &closed {
            eventually(|| {
                passed_on |= await_requests(&world.gateway);
                (count.load(Ordering::Relaxed) > 0).then_some(())
            });
        }
        let has_whole_head = answer.start.ends_with("\r\n\r\n");
        assert_eq!(passed_on, has_whole_head, "{answer:?}");
        let grown = world.gateway.peak_memory_kib() - before;
        assert!(grown <= MAX_GROWTH_KIB, "{answer:?}: {grown} KiB");
        for (name, _) in &closed {
            world.store.remove("servers", name);
        }
        world.gateway.await_ready();
        eventually(|| (TestRequest::default().send(&world.gateway).status() == 200).then_some(()));
    }
}

/// A gateway that answers requests which it is to forward so.
#[test]
fn endless_answers_to_forwarded_requests_end_and_take_no_memory() {
    let store = block_on(StandInStore::start()).expect("a store");
    let back_end = block_on(StandInBackEnd::start("p", false)).expect("one");
    // Nothing listens there.
    let address = ([127, 0, 2, 1], 9).into();
    let registration = back_end.registration_at(address, "zone-a", "plain", "ready");
    store.put("servers", &back_end.id, registration);
    store.put("config", "main", configuration(1));
    let mut gateway = Gateway::start(store.address());
    let forwarder = block_on(EndlessForwarder::start());
    gateway.await_ready();
    forwarder.introduce_to(&gateway);
    let before = gateway.peak_memory_kib();
    let mut passed_on = false;
    eventually(|| {
        passed_on |= await_requests(&gateway);
        (forwarder.requests.load(Ordering::Relaxed) >= ORDERS).then_some(())
    });
    assert!(passed_on, "no long answer");
    let grown = gateway.peak_memory_kib() - before;
    assert!(grown <= MAX_GROWTH_KIB, "grown by {grown} KiB");
}
