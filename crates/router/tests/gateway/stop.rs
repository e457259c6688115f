//! Readiness and the planned stop of the real program.

use std::thread;
use std::time::Duration;

use async_std::task;
use threadledge_platform_stand_in::Behaviour;

use super::broken_back_end::{self, Answer, Received, post};
use super::process::{TestRequest, World, configuration, eventually};

/// Time for which a back end works on a request: longer than a stopping gateway
/// takes connections, and shorter than its grace period.
const LONG_WORK: Duration = Duration::from_millis(3_500);

fn numbers(log: &[serde_json::Value]) -> Vec<u64> {
    log.iter()
        .filter_map(|line| line["event"].as_u64())
        .collect()
}

#[test]
fn gateway_without_configuration_refuses_and_is_not_ready() {
    let mut world = World::start_without_configuration();
    eventually(|| world.gateway.readiness());
    assert_eq!(world.gateway.readiness(), Some(503));
    let answer = TestRequest::default().send(&world.gateway);
    assert_eq!(answer.status(), 503);
    world.store.put("config", "main", configuration(1));
    world.gateway.await_ready();
}

#[test]
fn planned_stop_becomes_unready_then_finishes_running_requests_and_exits() {
    let world = World::start();
    for back_end in &world.plain {
        back_end.set_behaviour(Behaviour::Silent);
    }
    let callers = world.gateway.callers;
    let running = task::spawn(async move {
        let request = TestRequest {
            method: "POST",
            target: "/unsafe/x",
            ..TestRequest::default()
        };
        request.send_async(callers).await
    });
    eventually(|| (world.runs_of("request-1") == 1).then_some(()));
    world.gateway.signal("-TERM");
    eventually(|| (world.gateway.readiness() == Some(503)).then_some(()));
    let late = TestRequest {
        host: "keyed.example",
        target: "/k/x",
        id: "late",
        key: Some(5),
        ..TestRequest::default()
    };
    let answer = late.send(&world.gateway);
    assert_eq!(
        answer.status(),
        200,
        "connections that still come are served"
    );
    assert_eq!(answer.headers()["connection"], "close");
    let cut = task::block_on(running);
    assert_eq!(
        cut.status(),
        504,
        "the route's timeout ends it, not the stop"
    );
    let (status, log) = world.gateway.wait_for_exit();
    assert_eq!(status.code(), Some(0));
    let numbers = numbers(&log);
    for expected in [101, 102, 103, 106, 107, 310] {
        assert!(numbers.contains(&expected), "{expected} not in {numbers:?}");
    }
    let lease = world
        .store
        .get("threadledge-leases", "keyed")
        .expect("a lease");
    assert!(lease["holder"].is_null(), "the lease was resigned: {lease}");
}

#[test]
fn hangup_signal_stops_nothing() {
    let world = World::start();
    world.gateway.signal("-HUP");
    assert_eq!(TestRequest::default().send(&world.gateway).status(), 200);
    world.gateway.signal("-TERM");
    let (status, log) = world.gateway.wait_for_exit();
    assert_eq!(status.code(), Some(0));
    assert!(numbers(&log).contains(&110));
}

#[test]
fn failed_request_is_in_the_log_with_its_attempts() {
    let world = World::start();
    for back_end in &world.plain {
        back_end.set_behaviour(Behaviour::Full);
    }
    let request = TestRequest {
        id: "wanted",
        ..TestRequest::default()
    };
    assert_eq!(request.send(&world.gateway).status(), 503);
    world.gateway.signal("-TERM");
    let (_, log) = world.gateway.wait_for_exit();
    let line = log.iter().find(|line| line["request"] == "wanted");
    let line = line.expect("the request's line");
    assert_eq!(line["status"], 503);
    assert_eq!(line["service"], "plain");
    let attempts = line["attempts"].as_str().expect("text");
    assert!(attempts.contains("not run (Busy)"), "{line}");
}

/// A gateway that stopped with no requests of its own cut those that it forwarded
/// for another gateway while the back end worked.
#[test]
fn planned_stop_finishes_requests_that_are_forwarded_for_another_gateway() {
    let world = broken_back_end::World::start_forwarding();
    let start = format!("{}content-length: 2\r\n\r\nok", Answer::HEAD);
    world.set_answer(Answer {
        delay: LONG_WORK,
        ..Answer::lasting(start)
    });
    let callers = world.gateways[0].callers;
    let running = thread::spawn(move || post(callers, "forwarded", 1));
    eventually(|| (world.arrivals("forwarded") == 1).then_some(()));
    world.gateways[1].signal("-TERM");
    assert_eq!(running.join().expect("an end"), Received::Whole(200));
    assert_eq!(world.arrivals("forwarded"), 1);
}
