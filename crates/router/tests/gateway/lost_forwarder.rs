//! A coordinator that loses the connection to the gateway that forwards its
//! orders.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use async_std::io::WriteExt;
use async_std::net::{TcpListener, TcpStream};
use async_std::task::{self, block_on};
use parking_lot::Mutex;
use serde_json::{Value, json};
use threadledge_net::HttpClient;
use threadledge_platform_stand_in::{KeyChange, StandInBackEnd, StandInStore, configuration};
use threadledge_soak::proxy::Proxy;

use super::lost_paths::{Cut, cut_path};
use super::process::{Gateway, TIMEOUT, eventually};
use super::repeating_proxy::read_message;

/// Regions of the zones. The coordinator is in `zone-a`.
const ZONES: [(&str, &str); 2] = [("zone-a", "home"), ("zone-b", "away")];
/// Run of the forwarder's process.
const INCARNATION: u64 = 7;

/// A gateway that takes orders to forward and breaks off each connection without
/// an answer, but for grants if `answers_grants`.
#[derive(Clone)]
struct BreakingForwarder {
    started: Instant,
    address: SocketAddr,
    answers_grants: bool,
    /// Latest time at which it may send each grant, with the hold of the grant.
    grants: Arc<Mutex<Vec<(Instant, Duration)>>>,
}

impl BreakingForwarder {
    async fn start(answers_grants: bool) -> BreakingForwarder {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let forwarder = BreakingForwarder {
            started: Instant::now(),
            address: listener.local_addr().expect("an address"),
            answers_grants,
            grants: Arc::default(),
        };
        let accepting = forwarder.clone();
        task::spawn(async move {
            while let Ok((caller, _)) = listener.accept().await {
                let serving = accepting.clone();
                task::spawn(async move {
                    // The end of either side ends the connection.
                    let _ = serving.serve(caller).await;
                });
            }
        });
        forwarder
    }

    async fn serve(&self, mut caller: TcpStream) -> std::io::Result<()> {
        loop {
            let request = read_message(&mut caller).await?;
            let text = String::from_utf8(request).expect("text");
            let Some((head, body)) = text.split_once("\r\n\r\n") else {
                return Ok(());
            };
            if head.contains("/v1/order") {
                let order: Value = serde_json::from_str(body).expect("JSON");
                self.note_order(&order);
                if !self.answers_grants || order["kind"]["grant"].is_null() {
                    return Ok(());
                }
                write_json(&mut caller, &json!({"replied": "granted"})).await?;
                continue;
            }
            let now = self.started.elapsed().as_micros() as u64;
            let reading = json!({"incarnation": INCARNATION, "now": now});
            write_json(&mut caller, &reading).await?;
        }
    }

    fn note_order(&self, order: &Value) {
        let grant = &order["kind"]["grant"];
        if grant.is_null() {
            return;
        }
        let until = order["until"]["until"].as_u64().expect("a deadline");
        let hold = serde_json::from_value(grant["hold"].clone()).expect("a hold");
        let until = self.started + Duration::from_micros(until);
        self.grants.lock().push((until, hold));
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

async fn write_json(caller: &mut TcpStream, value: &Value) -> std::io::Result<()> {
    let text = value.to_string();
    let length = text.len();
    let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n");
    caller.write_all(head.as_bytes()).await?;
    caller.write_all(text.as_bytes()).await
}

fn is_grant_of(key: u16, change: KeyChange) -> bool {
    matches!(change, KeyChange::Granted { first, last, .. } if first <= key && key <= last)
}

/// Keys of an owner in `zone` whose grants break off are not given on before the
/// last one that the forwarder may still send has expired.
#[track_caller]
fn assert_waited_out(zone: &str) {
    let store = block_on(StandInStore::start()).expect("a store");
    let start = |name: &str| block_on(StandInBackEnd::start(name, true)).expect("one");
    let (owner, other) = (start("k-1"), start("k-2"));
    let path = block_on(Proxy::start(owner.address())).expect("a proxy");
    let registration = |state| owner.registration_at(path.address(), zone, "keyed", state);
    store.put("servers", &owner.id, registration("ready"));
    store.put("servers", &other.id, other.registration("keyed", "ready"));
    store.put("config", "main", configuration(1));
    let mut gateway = Gateway::start_in_region("zone-a", "router-1", store.address(), &ZONES);
    gateway.await_ready();
    let sample = || (0..=u16::MAX).step_by(1_024);
    let key = eventually(|| sample().find(|key| owner.holds(*key)));
    let forwarder = block_on(BreakingForwarder::start(false));
    forwarder.introduce_to(&gateway);
    cut_path(&path, Cut::Reset);
    let cut = Instant::now();
    eventually(|| (!forwarder.grants.lock().is_empty()).then_some(()));
    store.put("servers", &owner.id, registration("draining"));
    let given_on = eventually(|| {
        let mut events = other.key_events().into_iter();
        events.find(|event| event.at > cut && is_grant_of(key, event.change))
    });
    let sent = forwarder.grants.lock();
    let expiry = sent.iter().map(|(until, hold)| *until + *hold).max();
    let expiry = expiry.expect("grants broke off");
    let early = expiry.saturating_duration_since(given_on.at);
    assert_eq!(early, Duration::ZERO, "given on too early");
}

#[test]
fn grant_that_a_lost_forwarder_may_still_send_is_waited_out() {
    assert_waited_out("zone-a");
}

#[test]
fn grant_that_a_lost_forwarder_may_still_send_to_another_region_is_waited_out() {
    assert_waited_out("zone-b");
}

/// Number of the event that a back end counts as lost.
const HOLDER_LOST: u64 = 316;
/// Forwarders that break off releases.
const FORWARDERS: usize = 3;
/// Time without an answer that makes no owner lost, since six orders take 3 s.
const SHORT: Duration = Duration::from_secs(1);

#[test]
fn owner_is_not_lost_by_releases_that_lost_forwarders_break_off() {
    let store = block_on(StandInStore::start()).expect("a store");
    let start = |name: &str| block_on(StandInBackEnd::start(name, true)).expect("one");
    let (owner, other) = (start("k-1"), start("k-2"));
    let path = block_on(Proxy::start(owner.address())).expect("a proxy");
    let registration = |state| owner.registration_at(path.address(), "zone-a", "keyed", state);
    store.put("servers", &owner.id, registration("ready"));
    store.put("servers", &other.id, other.registration("keyed", "ready"));
    store.put("config", "main", configuration(1));
    let mut gateway = Gateway::start_in_region("zone-a", "router-1", store.address(), &ZONES);
    gateway.await_ready();
    let sample = || (0..=u16::MAX).step_by(1_024);
    eventually(|| sample().find(|key| owner.holds(*key)));
    let forwarders: Vec<_> = (0..FORWARDERS)
        .map(|_| block_on(BreakingForwarder::start(true)))
        .collect();
    for forwarder in &forwarders {
        forwarder.introduce_to(&gateway);
    }
    cut_path(&path, Cut::Reset);
    let forwarded = || forwarders.iter().map(|each| each.grants.lock().len()).sum();
    eventually(|| {
        let grants: usize = forwarded();
        (grants >= 3).then_some(())
    });
    store.put("servers", &owner.id, registration("draining"));
    std::thread::sleep(SHORT);
    gateway.signal("-KILL");
    let (_, log) = gateway.wait_for_exit();
    let lost: Vec<_> = log
        .iter()
        .filter(|line| line["event"] == HOLDER_LOST)
        .collect();
    assert!(lost.is_empty(), "{lost:?}");
}
