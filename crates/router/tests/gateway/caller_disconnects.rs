//! Callers that leave early, through the real program: what they asked for
//! reaches no back end any more, and back ends are let go.

use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};

use async_std::task::block_on;
use futures::future::join_all;
use serde_json::{Value, json};
use threadledge_platform_stand_in::{Behaviour, StandInBackEnd};

use super::process::{Ask, Gateway, World, configuration, eventually};

/// Callers that leave, in all.
const LEAVING: usize = 1_000;
/// Callers that wait to be accepted at once; fewer than a listener holds.
const BATCH: usize = 100;
/// Callers whose requests are under way at once.
const UNDER_WAY: usize = 250;
/// Requests at once after which connections to back ends are at rest.
const AT_REST: usize = 32;
/// Timeout of every route, in seconds: beyond the patience of these tests, so
/// that it ends nothing in them.
const LONG_S: f64 = 120.0;

/// A caller whose connection is its own.
struct Caller(TcpStream);

impl Caller {
    fn connect(callers: SocketAddr) -> Caller {
        Caller(TcpStream::connect(callers).expect("connected"))
    }

    fn ask(callers: SocketAddr, id: &str, repeatable: bool) -> Caller {
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

/// A configuration in which no timeout ends a request.
fn patient(version: u64) -> Value {
    let mut wanted = configuration(version);
    for route in ["safe", "unsafe"] {
        wanted["Routes"][route]["TimeoutS"] = json!(LONG_S);
    }
    wanted
}

/// A world in which the gateway has connections to back ends at rest.
fn world() -> World {
    let mut world = World::start_without_configuration();
    world.store.put("config", "main", patient(1));
    world.gateway.await_ready();
    world.await_held();
    let ids: Vec<String> = (0..AT_REST).map(|index| format!("warm-{index}")).collect();
    let asks = ids.iter().map(|id| Ask {
        id,
        ..Ask::default()
    });
    let asks: Vec<Ask<'_>> = asks.collect();
    let sending = asks.iter().map(|ask| ask.sending(world.gateway.callers));
    // Some may be refused: that is no matter.
    block_on(join_all(sending));
    world
}

fn at_work(world: &World) -> usize {
    world.plain.iter().map(StandInBackEnd::in_flight).sum()
}

/// Requests that ran whose id begins so.
fn runs_of_kind(world: &World, prefix: &str) -> usize {
    let runs = world.plain.iter().flat_map(StandInBackEnd::runs);
    runs.filter(|run| run.id.starts_with(prefix)).count()
}

fn metric(gateway: &Gateway, name: &str) -> u64 {
    let text = gateway.metrics();
    let line = text.lines().find_map(|line| line.strip_prefix(name));
    line.map_or(0, |value| value.trim().parse().expect("a count"))
}

/// Callers that left, by how far their requests had come.
fn left(gateway: &Gateway) -> BTreeMap<&'static str, u64> {
    let stages = ["unread", "reading", "waiting", "at-back-end", "answering"];
    let count = |stage| {
        let name = format!("threadledge_gateway_left_total{{stage=\"{stage}\"}}");
        (stage, metric(gateway, &name))
    };
    stages.map(count).into()
}

fn await_nothing_runs(world: &World) {
    eventually(|| (metric(&world.gateway, "threadledge_gateway_running ") == 0).then_some(()));
}

#[test]
fn requests_whose_callers_left_before_they_were_read_reach_no_back_end() {
    let world = world();
    for batch in 0..LEAVING / BATCH {
        world.gateway.freeze();
        for index in 0..BATCH {
            let id = format!("left-{batch}-{index}");
            drop(Caller::ask(world.gateway.callers, &id, index % 2 == 0));
        }
        world.gateway.signal("-CONT");
        let all = (batch + 1) * BATCH;
        eventually(|| {
            let left: u64 = left(&world.gateway).values().sum();
            (left == all as u64).then_some(())
        });
    }
    await_nothing_runs(&world);
    assert_eq!(runs_of_kind(&world, "left-"), 0);
    let stages = left(&world.gateway);
    assert_eq!(stages["unread"] + stages["reading"], LEAVING as u64);
}

#[test]
fn callers_that_leave_while_they_wait_or_are_served_are_dropped_everywhere() {
    let world = world();
    for back_end in &world.plain {
        back_end.set_behaviour(Behaviour::Silent);
    }
    for round in 0..LEAVING / UNDER_WAY {
        let callers: Vec<Caller> = (0..UNDER_WAY)
            .map(|index| {
                let id = format!("left-{round}-{index}");
                Caller::ask(world.gateway.callers, &id, true)
            })
            .collect();
        eventually(|| (at_work(&world) > 0).then_some(()));
        drop(callers);
        eventually(|| (at_work(&world) == 0).then_some(()));
        await_nothing_runs(&world);
    }
    let ran = runs_of_kind(&world, "left-");
    for back_end in &world.plain {
        back_end.set_behaviour(Behaviour::Healthy);
    }
    for index in 0..20 {
        let id = format!("stays-{index}");
        let ask = Ask {
            id: &id,
            ..Ask::default()
        };
        assert_eq!(ask.send(&world.gateway).status(), 200);
    }
    assert_eq!(runs_of_kind(&world, "left-"), ran, "nothing was sent later");
    assert!(left(&world.gateway)["at-back-end"] > 0);
}

#[test]
fn caller_that_leaves_ends_both_attempts_of_a_hedged_request() {
    let world = world();
    for back_end in &world.plain {
        back_end.set_behaviour(Behaviour::Silent);
    }
    let caller = Caller::ask(world.gateway.callers, "left", true);
    eventually(|| (world.runs_of("left") == 2).then_some(()));
    drop(caller);
    eventually(|| (at_work(&world) == 0).then_some(()));
    await_nothing_runs(&world);
    assert_eq!(left(&world.gateway)["at-back-end"], 1);
}

#[test]
fn caller_that_leaves_a_kept_connection_is_noticed_as_well() {
    let world = world();
    let mut caller = Caller::ask(world.gateway.callers, "first", true);
    let mut start = [0; 12];
    caller.0.read_exact(&mut start).expect("an answer");
    assert_eq!(&start, b"HTTP/1.1 200");
    for back_end in &world.plain {
        back_end.set_behaviour(Behaviour::Silent);
    }
    caller.send("left", true);
    eventually(|| (at_work(&world) > 0).then_some(()));
    drop(caller);
    eventually(|| (at_work(&world) == 0).then_some(()));
}

#[test]
fn caller_that_stops_sending_counts_as_left() {
    let world = world();
    for back_end in &world.plain {
        back_end.set_behaviour(Behaviour::Silent);
    }
    let caller = Caller::ask(world.gateway.callers, "left", true);
    eventually(|| (at_work(&world) > 0).then_some(()));
    caller.0.shutdown(Shutdown::Write).expect("shut down");
    eventually(|| (at_work(&world) == 0).then_some(()));
    drop(caller);
}

#[test]
fn callers_that_leave_amid_long_answers_are_noticed() {
    let world = world();
    for back_end in &world.plain {
        back_end.set_behaviour(Behaviour::Stalls);
    }
    let mut callers: Vec<Caller> = (0..4)
        .map(|index| Caller::ask(world.gateway.callers, &format!("left-{index}"), true))
        .collect();
    for caller in &mut callers {
        let mut start = [0; 12];
        caller.0.read_exact(&mut start).expect("an answer");
        assert_eq!(&start, b"HTTP/1.1 200");
    }
    assert!(at_work(&world) >= callers.len());
    drop(callers);
    eventually(|| (at_work(&world) == 0).then_some(()));
    assert_eq!(left(&world.gateway)["answering"], 4);
}
