//! Requests that another gateway forwards keep the promises of direct ones.

use std::thread;
use std::time::Duration;

use async_std::io::WriteExt;
use async_std::net::TcpStream;
use async_std::task::block_on;
use serde_json::Value;
use threadledge_net::HttpClient;
use threadledge_platform_stand_in::{Behaviour, StandInBackEnd};

use super::lost_paths::{Cut, World, not_repeatable, plain};
use super::process::{TestRequest, eventually};

/// Longest wait for the answer of a gateway.
const PATIENCE: Duration = Duration::from_secs(5);
/// Requests sent one after the other.
const REQUESTS: usize = 30;
/// Size of an upload that is streamed, in bytes.
const UPLOAD: usize = 300_000;
/// Pause after a gateway has been frozen or woken.
const PAUSE: Duration = Duration::from_millis(50);

/// A world in which the first gateway knows that its paths are lost.
fn cut_off() -> World {
    let world = World::start();
    world.cut(Cut::Reset);
    world.load_until_detected();
    world
}

fn runs_of(world: &World, id: &str) -> usize {
    let all = world.back_ends.iter().flat_map(StandInBackEnd::runs);
    all.filter(|run| run.id == id).count()
}

fn running(world: &World) -> usize {
    world.back_ends.iter().map(StandInBackEnd::in_flight).sum()
}

#[test]
fn request_that_must_not_be_repeated_runs_once_and_never_after_a_refusal() {
    let world = cut_off();
    for number in 0..REQUESTS {
        let id = format!("once-{number}");
        if number == REQUESTS / 2 {
            world.in_reach.freeze();
        }
        let request = TestRequest {
            id: &id,
            deadline_ms: 300,
            ..not_repeatable()
        };
        let status = request.send(&world.cut_off).status().as_u16();
        let runs = runs_of(&world, &id);
        match status {
            200 => assert_eq!(runs, 1),
            503 => assert_eq!(runs, 0),
            _ => assert!(runs <= 1, "{status}: {runs} runs"),
        }
    }
    let before = world.back_ends.iter().map(|each| each.runs().len());
    let before: usize = before.sum();
    world.in_reach.signal("-CONT");
    eventually(|| (world.in_reach.readiness() == Some(200)).then_some(()));
    thread::sleep(PAUSE);
    let after = world.back_ends.iter().map(|each| each.runs().len());
    assert_eq!(after.sum::<usize>(), before, "sent after their deadline");
}

#[test]
fn back_end_is_released_when_the_caller_of_a_forwarded_request_leaves() {
    let world = cut_off();
    for back_end in &world.back_ends {
        back_end.set_behaviour(Behaviour::Silent);
    }
    let request = "GET /safe/x HTTP/1.1\r\nhost: plain.example\r\nx-request-id: gone\r\n\r\n";
    let mut caller = block_on(TcpStream::connect(world.cut_off.callers)).expect("connected");
    block_on(caller.write_all(request.as_bytes())).expect("sent");
    eventually(|| (running(&world) > 0).then_some(()));
    drop(caller);
    eventually(|| (running(&world) == 0).then_some(()));
}

#[test]
fn streamed_upload_arrives_whole_through_another_gateway() {
    let world = cut_off();
    let body = "x".repeat(UPLOAD);
    let request = TestRequest {
        body: &body,
        ..not_repeatable()
    };
    assert_eq!(request.send(&world.cut_off).status(), 200);
}

#[test]
fn target_arrives_byte_for_byte_through_another_gateway() {
    let world = cut_off();
    let target = "/unsafe/{id}/../x?name=O'Brien";
    let request = TestRequest {
        target,
        ..not_repeatable()
    };
    assert_eq!(request.send(&world.cut_off).status(), 200);
    let mut runs = world.back_ends.iter().flat_map(StandInBackEnd::runs);
    assert!(runs.any(|run| run.target == target));
}

#[test]
fn gateways_that_are_all_cut_off_refuse_and_forward_nothing_in_circles() {
    let world = cut_off();
    for back_end in &world.back_ends {
        back_end.crash();
    }
    for _ in 0..REQUESTS {
        for gateway in [&world.cut_off, &world.in_reach] {
            let status = plain().send(gateway).status().as_u16();
            assert!(matches!(status, 502 | 503), "{status}");
        }
    }
}

#[test]
fn leaving_back_end_gets_no_forwarded_requests() {
    let world = cut_off();
    let leaving = &world.back_ends[2];
    let registration = leaving.registration("plain", "draining");
    world.store.put("servers", &leaving.id, registration);
    for gateway in [&world.cut_off, &world.in_reach] {
        eventually(|| {
            let before = leaving.runs().len();
            for _ in 0..REQUESTS {
                plain().send(gateway);
            }
            (leaving.runs().len() == before).then_some(())
        });
    }
    let before = leaving.runs().len();
    for _ in 0..REQUESTS {
        assert_eq!(plain().send(&world.cut_off).status(), 200);
    }
    assert_eq!(leaving.runs().len(), before);
}

#[test]
fn gateway_asked_for_its_clock_names_others_that_may_forward() {
    let world = World::start();
    let ask = || {
        let request = http::Request::get("/threadledge/v1/clock").body(Vec::new());
        let client = HttpClient::default();
        let sent = client.send(world.cut_off.peers, request.expect("valid"), PATIENCE);
        let answer = block_on(sent).expect("an answer");
        serde_json::from_slice::<Value>(answer.body()).expect("JSON")
    };
    let named = serde_json::json!([world.in_reach.peers.to_string()]);
    eventually(|| (ask()["gateways"] == named).then_some(()));
}
