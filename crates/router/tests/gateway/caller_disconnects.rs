//! Callers that disconnect early, with the real program: their requests reach
//! no further back end, and the back ends at work on them are released.

use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};

use async_std::task::block_on;
use futures::future::join_all;
use serde_json::{Value, json};
use threadledge_platform_stand_in::{Behaviour, StandInBackEnd};

use super::process::{Gateway, TestRequest, World, configuration, eventually};

/// Total number of callers that disconnect.
const DISCONNECTS: usize = 1_000;
/// Callers that wait to be accepted at once; below the listener's backlog.
const BATCH: usize = 100;
/// Callers with requests in flight at once.
const IN_FLIGHT: usize = 250;
/// Concurrent requests after which the gateway has idle connections to the back
/// ends.
const WARM_UP_REQUESTS: usize = 32;
/// Timeout of every route, in seconds: longer than these tests wait, so that no
/// request times out.
const LONG_TIMEOUT_S: f64 = 120.0;

/// A caller with a connection of its own.
struct Caller(TcpStream);

impl Caller {
    fn connect(callers: SocketAddr) -> Caller {
        Caller(TcpStream::connect(callers).expect("connected"))
    }

    fn connect_and_send(callers: SocketAddr, id: &str, repeatable: bool) -> Caller {
        let mut caller = Caller::connect(callers);
        caller.send(id, repeatable);
        caller
    }

    fn send(&mut self, id: &str, repeatable: bool) {
        let (line, body) = if repeatable {
            ("GET /safe/x", "")
        } else {
            ("POST /unsafe/x", "an invitation")
        };
        let request = format!(
            "{line} HTTP/1.1\r\nhost: plain.example\r\nx-request-id: {id}\r\n\
             x-request-deadline-ms: 100000\r\ncontent-length: {}\r\n\r\n{body}",
            body.len()
        );
        self.0.write_all(request.as_bytes()).expect("sent");
    }
}

/// A configuration in which no request times out.
fn configuration_with_long_timeouts(version: u64) -> Value {
    let mut wanted = configuration(version);
    for route in ["safe", "unsafe"] {
        wanted["Routes"][route]["TimeoutS"] = json!(LONG_TIMEOUT_S);
    }
    wanted
}

/// A world in which the gateway has idle connections to the back ends.
fn world() -> World {
    let mut world = World::start_without_configuration();
    world
        .store
        .put("config", "main", configuration_with_long_timeouts(1));
    world.gateway.await_ready();
    world.await_all_keys_held();
    let ids: Vec<String> = (0..WARM_UP_REQUESTS)
        .map(|index| format!("warm-{index}"))
        .collect();
    let requests = ids.iter().map(|id| TestRequest {
        id,
        ..TestRequest::default()
    });
    let requests: Vec<TestRequest<'_>> = requests.collect();
    let sending = requests
        .iter()
        .map(|request| request.send_async(world.gateway.callers));
    // Some may be refused, which does not matter here.
    block_on(join_all(sending));
    world
}

fn in_flight(world: &World) -> usize {
    world.plain.iter().map(StandInBackEnd::in_flight).sum()
}

/// Number of executed requests whose id starts with `prefix`.
fn runs_with_prefix(world: &World, prefix: &str) -> usize {
    let runs = world.plain.iter().flat_map(StandInBackEnd::runs);
    runs.filter(|run| run.id.starts_with(prefix)).count()
}

fn metric(gateway: &Gateway, name: &str) -> u64 {
    let text = gateway.metrics();
    let line = text.lines().find_map(|line| line.strip_prefix(name));
    line.map_or(0, |value| value.trim().parse().expect("a count"))
}

/// Callers that disconnected, by the stage that their requests had reached.
fn disconnects(gateway: &Gateway) -> BTreeMap<&'static str, u64> {
    let stages = ["unread", "reading", "waiting", "at-back-end", "answering"];
    let count = |stage| {
        let name = format!("threadledge_gateway_left_total{{stage=\"{stage}\"}}");
        (stage, metric(gateway, &name))
    };
    stages.map(count).into()
}

fn await_idle(world: &World) {
    eventually(|| (metric(&world.gateway, "threadledge_gateway_running ") == 0).then_some(()));
}

#[test]
fn requests_abandoned_before_they_are_read_reach_no_back_end() {
    let world = world();
    for batch in 0..DISCONNECTS / BATCH {
        world.gateway.freeze();
        for index in 0..BATCH {
            let id = format!("left-{batch}-{index}");
            drop(Caller::connect_and_send(
                world.gateway.callers,
                &id,
                index % 2 == 0,
            ));
        }
        world.gateway.signal("-CONT");
        let all = (batch + 1) * BATCH;
        eventually(|| {
            let left: u64 = disconnects(&world.gateway).values().sum();
            (left == all as u64).then_some(())
        });
    }
    await_idle(&world);
    assert_eq!(runs_with_prefix(&world, "left-"), 0);
    let stages = disconnects(&world.gateway);
    assert_eq!(stages["unread"] + stages["reading"], DISCONNECTS as u64);
}

#[test]
fn abandoned_requests_are_cancelled_while_queued_or_in_flight() {
    let world = world();
    for back_end in &world.plain {
        back_end.set_behaviour(Behaviour::Silent);
    }
    for round in 0..DISCONNECTS / IN_FLIGHT {
        let callers: Vec<Caller> = (0..IN_FLIGHT)
            .map(|index| {
                let id = format!("left-{round}-{index}");
                Caller::connect_and_send(world.gateway.callers, &id, true)
            })
            .collect();
        eventually(|| (in_flight(&world) > 0).then_some(()));
        drop(callers);
        eventually(|| (in_flight(&world) == 0).then_some(()));
        await_idle(&world);
    }
    let ran = runs_with_prefix(&world, "left-");
    for back_end in &world.plain {
        back_end.set_behaviour(Behaviour::Healthy);
    }
    for index in 0..20 {
        let id = format!("stays-{index}");
        let request = TestRequest {
            id: &id,
            ..TestRequest::default()
        };
        assert_eq!(request.send(&world.gateway).status(), 200);
    }
    assert_eq!(
        runs_with_prefix(&world, "left-"),
        ran,
        "nothing was sent later"
    );
    assert!(disconnects(&world.gateway)["at-back-end"] > 0);
}

#[test]
fn disconnect_cancels_both_attempts_of_a_hedged_request() {
    let world = world();
    for back_end in &world.plain {
        back_end.set_behaviour(Behaviour::Silent);
    }
    let caller = Caller::connect_and_send(world.gateway.callers, "left", true);
    eventually(|| (world.runs_of("left") == 2).then_some(()));
    drop(caller);
    eventually(|| (in_flight(&world) == 0).then_some(()));
    await_idle(&world);
    assert_eq!(disconnects(&world.gateway)["at-back-end"], 1);
}

#[test]
fn disconnect_on_a_kept_alive_connection_is_noticed() {
    let world = world();
    let mut caller = Caller::connect_and_send(world.gateway.callers, "first", true);
    let mut start = [0; 12];
    caller.0.read_exact(&mut start).expect("an answer");
    assert_eq!(&start, b"HTTP/1.1 200");
    for back_end in &world.plain {
        back_end.set_behaviour(Behaviour::Silent);
    }
    caller.send("left", true);
    eventually(|| (in_flight(&world) > 0).then_some(()));
    drop(caller);
    eventually(|| (in_flight(&world) == 0).then_some(()));
}

#[test]
fn half_closed_connection_counts_as_a_disconnect() {
    let world = world();
    for back_end in &world.plain {
        back_end.set_behaviour(Behaviour::Silent);
    }
    let caller = Caller::connect_and_send(world.gateway.callers, "left", true);
    eventually(|| (in_flight(&world) > 0).then_some(()));
    caller.0.shutdown(Shutdown::Write).expect("shut down");
    eventually(|| (in_flight(&world) == 0).then_some(()));
    drop(caller);
}

#[test]
fn disconnects_during_long_responses_are_noticed() {
    let world = world();
    for back_end in &world.plain {
        back_end.set_behaviour(Behaviour::Stalls);
    }
    let mut callers: Vec<Caller> = (0..4)
        .map(|index| {
            Caller::connect_and_send(world.gateway.callers, &format!("left-{index}"), true)
        })
        .collect();
    for caller in &mut callers {
        let mut start = [0; 12];
        caller.0.read_exact(&mut start).expect("an answer");
        assert_eq!(&start, b"HTTP/1.1 200");
    }
    assert!(in_flight(&world) >= callers.len());
    drop(callers);
    eventually(|| (in_flight(&world) == 0).then_some(()));
    assert_eq!(disconnects(&world.gateway)["answering"], 4);
}
