//! A back end answers a request a second time, late, in the place of the next
//! response that is due on the connection.

use std::time::Duration;

use async_std::task::block_on;
use serde_json::{Value, json};
use threadledge_net::HttpClient;
use threadledge_platform_stand_in::{Behaviour, StandInBackEnd, StandInStore, configuration};

use super::process::{Gateway, TIMEOUT, TestRequest, eventually};
use super::repeating_proxy::{RejectionIds, RepeatingProxy};

/// Requests sent one after the other.
const REQUESTS: usize = 8;
/// Time for which a forwarded request may run.
const FORWARDED_FOR: Duration = Duration::from_secs(5);
/// Status of a back end that does not hold the key yet.
const NOT_OWNER: u16 = 421;
/// Status of a back end without capacity.
const FULL: u16 = 503;
/// Shard key of the requests.
const KEY: u16 = 5;

/// A gateway whose only path to the only keyed back end repeats responses.
struct World {
    /// Kept running.
    _store: StandInStore,
    owner: StandInBackEnd,
    gateway: Gateway,
}

impl World {
    fn start(ids: RejectionIds) -> World {
        let store = block_on(StandInStore::start()).expect("a store");
        let owner = block_on(StandInBackEnd::start("k-1", true)).expect("a back end");
        let path = block_on(RepeatingProxy::start(owner.address(), ids));
        let registration = owner.registration_at(path.address, "zone-a", "keyed", "ready");
        store.put("servers", &owner.id, registration);
        let mut wanted = configuration(1);
        wanted["Routes"]["keyed"]["Kind"] = json!("unsafe");
        store.put("config", "main", wanted);
        let mut gateway = Gateway::start(store.address());
        gateway.await_ready();
        eventually(|| owner.holds(KEY).then_some(()));
        World {
            _store: store,
            owner,
            gateway,
        }
    }

    fn runs_of(&self, id: &str) -> usize {
        let runs = self.owner.runs();
        runs.iter().filter(|run| run.id == id).count()
    }

    /// Sends requests that must not be repeated, each of which the back end
    /// rejects first. Returns the status and the number of runs of each.
    fn send_rejected_once(&self) -> Vec<(u16, usize)> {
        let send = |number: usize| {
            let id = format!("once-{number}");
            self.owner.reject_next(NOT_OWNER);
            let status = keyed(&id).send(&self.gateway).status().as_u16();
            (status, self.runs_of(&id))
        };
        (0..REQUESTS).map(send).collect()
    }
}

fn keyed(id: &str) -> TestRequest<'_> {
    TestRequest {
        method: "POST",
        host: "keyed.example",
        target: "/k/x",
        id,
        key: Some(KEY),
        ..TestRequest::default()
    }
}

/// Checks the status and the number of runs of each request.
fn assert_true_statuses(seen: &[(u16, usize)]) {
    for (status, runs) in seen {
        match status {
            200 => assert_eq!(*runs, 1, "{seen:?}"),
            503 => assert_eq!(*runs, 0, "{seen:?}"),
            _ => assert!(*runs <= 1, "{seen:?}"),
        }
    }
    assert!(seen.contains(&(200, 1)), "{seen:?}");
}

/// Guards against 503 for a request that ran, and against a second run.
#[test]
fn repeated_rejection_is_never_taken_for_the_answer_to_the_next_attempt() {
    let world = World::start(RejectionIds::Kept);
    assert_true_statuses(&world.send_rejected_once());
}

/// Guards against 503 for a request that ran, and against a second run.
#[test]
fn repeated_rejection_without_an_id_is_never_taken_for_the_answer_to_another_request() {
    let world = World::start(RejectionIds::Omitted);
    assert_true_statuses(&world.send_rejected_once());
}

/// Guards against 503 for a request that ran.
#[test]
fn repeated_rejection_is_never_taken_for_the_answer_to_a_request_with_the_same_id() {
    let world = World::start(RejectionIds::Kept);
    world.owner.set_behaviour(Behaviour::Full);
    let request = TestRequest {
        deadline_ms: 300,
        ..keyed("again")
    };
    assert_eq!(request.send(&world.gateway).status(), 503);
    world.owner.set_behaviour(Behaviour::Healthy);
    assert_eq!(keyed("again").send(&world.gateway).status(), 200);
    assert_eq!(world.runs_of("again"), 1);
}

/// Guards against 503 for a request that ran, told by another gateway.
#[test]
fn repeated_rejection_is_never_passed_on_to_the_gateway_that_forwarded_the_next_attempt() {
    let world = World::start(RejectionIds::Kept);
    world.owner.reject_next(FULL);
    assert_eq!(forward(&world, "forwarded"), 503);
    assert_eq!(forward(&world, "forwarded"), 200);
    assert_eq!(world.runs_of("forwarded"), 1);
}

/// Guards against 503 because of a back end that is well.
#[test]
fn signals_in_the_answer_to_another_request_are_not_taken_for_current_ones() {
    let world = World::start(RejectionIds::Kept);
    world.owner.set_leaving(true);
    world.owner.set_behaviour(Behaviour::WrongRequestId);
    assert_eq!(keyed("first").send(&world.gateway).status(), 502);
    world.owner.set_leaving(false);
    world.owner.set_behaviour(Behaviour::Healthy);
    assert_eq!(keyed("second").send(&world.gateway).status(), 200);
}

/// Sends a request as another gateway forwards it and returns the status.
fn forward(world: &World, id: &str) -> u16 {
    let client = HttpClient::default();
    let peers = world.gateway.peers;
    let ask = http::Request::get("/threadledge/v1/clock").body(Vec::new());
    let clock = block_on(client.send(peers, ask.expect("valid"), TIMEOUT)).expect("an answer");
    let clock: Value = serde_json::from_slice(clock.body()).expect("JSON");
    let now = clock["now"].as_u64().expect("microseconds");
    let until = now + u64::try_from(FORWARDED_FOR.as_micros()).expect("short");
    let request = http::Request::post("/k/x")
        .header("host", "keyed.example")
        .header("x-request-id", id)
        .header("x-shard-key", KEY.to_string())
        .header("threadledge-forward-to", &world.owner.id)
        .header(
            "threadledge-forward-until",
            format!("{}:{until}", clock["incarnation"]),
        )
        .body(Vec::new());
    let sent = client.send(peers, request.expect("valid"), TIMEOUT);
    block_on(sent).expect("an answer").status().as_u16()
}
