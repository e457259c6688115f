//! Tests of the request path through the real program.

use threadledge_platform_stand_in::{Behaviour, Fault};

use super::process::{TestRequest, World, configuration, eventually};

fn text(answer: &http::Response<Vec<u8>>) -> String {
    String::from_utf8_lossy(answer.body()).into_owned()
}

#[test]
fn keyed_request_goes_to_the_one_back_end_that_holds_the_key() {
    let world = World::start();
    for key in [5, 40_000] {
        let id = format!("request-{key}");
        let request = TestRequest {
            host: "keyed.example",
            target: "/k/x?y=1",
            id: &id,
            key: Some(key),
            ..TestRequest::default()
        };
        let answer = request.send(&world.gateway);
        assert_eq!(answer.status(), 200, "{}", text(&answer));
        let owner = world
            .keyed
            .iter()
            .find(|each| each.holds(key))
            .expect("held");
        let stamp = format!("stamp-of-{}", owner.id);
        assert_eq!(answer.headers()["x-server-stamp"], stamp.as_str());
        assert_eq!(answer.headers()["x-request-id"], id.as_str());
        assert_eq!(text(&answer), format!("answer to {id} from {}", owner.id));
        assert_eq!(owner.runs()[0].target, "/k/x?y=1");
    }
}

#[test]
fn method_path_and_body_reach_the_back_end_unchanged_with_the_time_left() {
    let world = World::start();
    let request = TestRequest {
        method: "POST",
        target: "/unsafe/a/b?c=d",
        body: "two invitations",
        ..TestRequest::default()
    };
    assert_eq!(request.send(&world.gateway).status(), 200);
    let runs: Vec<_> = world.plain.iter().flat_map(|each| each.runs()).collect();
    assert_eq!(runs.len(), 1);
    assert_eq!(runs[0].method, "POST");
    assert_eq!(runs[0].target, "/unsafe/a/b?c=d");
    assert_eq!(runs[0].body, b"two invitations");
    let left = runs[0].time_left_ms.expect("a deadline");
    assert!(
        (1..=1_000).contains(&left),
        "the route's timeout binds: {left}"
    );
}

#[test]
fn unknown_route_gets_404_and_missing_key_400() {
    let world = World::start();
    let other = TestRequest {
        target: "/elsewhere/x",
        ..TestRequest::default()
    };
    assert_eq!(other.send(&world.gateway).status(), 404);
    let keyless = TestRequest {
        host: "keyed.example",
        target: "/k/x",
        ..TestRequest::default()
    };
    assert_eq!(keyless.send(&world.gateway).status(), 400);
}

#[test]
fn full_back_ends_lead_to_a_refusal_with_a_retry_delay() {
    let world = World::start();
    for back_end in &world.plain {
        back_end.set_behaviour(Behaviour::Full);
    }
    let request = TestRequest {
        method: "POST",
        target: "/unsafe/x",
        ..TestRequest::default()
    };
    let answer = request.send(&world.gateway);
    assert_eq!(answer.status(), 503);
    let wait = answer.headers()["retry-after"].to_str().expect("text");
    assert!(wait.parse::<f64>().expect("a number") > 0.0);
    assert_eq!(
        world.runs_of(request.id),
        0,
        "a refusal promises that nothing ran"
    );
}

#[test]
fn unsafe_request_without_an_answer_runs_once_and_ends_unknown() {
    let world = World::start();
    for back_end in &world.plain {
        back_end.set_behaviour(Behaviour::Silent);
    }
    let request = TestRequest {
        method: "POST",
        target: "/unsafe/x",
        ..TestRequest::default()
    };
    let answer = request.send(&world.gateway);
    assert_eq!(answer.status(), 504);
    assert_eq!(world.runs_of(request.id), 1);
}

#[test]
fn response_to_another_request_or_without_a_stamp_reaches_no_caller() {
    let world = World::start();
    for behaviour in [Behaviour::WrongRequestId, Behaviour::NoStamp] {
        for back_end in &world.plain {
            back_end.set_behaviour(behaviour);
        }
        let request = TestRequest {
            method: "POST",
            target: "/unsafe/x",
            ..TestRequest::default()
        };
        let answer = request.send(&world.gateway);
        assert_eq!(answer.status(), 502, "{behaviour:?}");
        assert!(answer.headers().get("x-server-stamp").is_none());
    }
}

#[test]
fn safe_request_that_one_back_end_fails_is_answered_by_another() {
    let world = World::start();
    world.plain[0].set_behaviour(Behaviour::Fails);
    for index in 0..6 {
        let id = format!("request-{index}");
        let request = TestRequest {
            id: &id,
            ..TestRequest::default()
        };
        let answer = request.send(&world.gateway);
        let stamp = answer.headers().get("x-server-stamp");
        let stamp = stamp.map(|stamp| stamp.to_str().expect("text").to_owned());
        // The retry budget is small while the gateway has seen few requests.
        if answer.status() == 200 {
            assert_eq!(stamp.as_deref(), Some("stamp-of-p-2"));
        }
    }
    let unsafe_request = TestRequest {
        method: "POST",
        target: "/unsafe/x",
        id: "unsafe-1",
        ..TestRequest::default()
    };
    unsafe_request.send(&world.gateway);
    assert_eq!(world.runs_of("unsafe-1"), 1);
}

#[test]
fn draining_back_ends_get_no_new_requests() {
    let world = World::start();
    let draining = &world.plain[0];
    world.store.put(
        "servers",
        &draining.id,
        draining.registration("plain", "draining"),
    );
    eventually(|| {
        let request = TestRequest::default();
        let answer = request.send(&world.gateway);
        let stamp = answer.headers()["x-server-stamp"].to_str().expect("text");
        (stamp == "stamp-of-p-2" && draining.runs().len() < 1_000).then_some(())
    });
    // The watch may already have delivered the change, or the loop above ended
    // by chance. A later version of the configuration shows that the earlier
    // change has arrived.
    world.store.put("config", "main", configuration(2));
    eventually(|| {
        let version = "threadledge_gateway_configuration_version 2";
        world.gateway.metrics().contains(version).then_some(())
    });
    let before = draining.runs().len();
    for index in 0..10 {
        let id = format!("later-{index}");
        let request = TestRequest {
            id: &id,
            ..TestRequest::default()
        };
        assert_eq!(request.send(&world.gateway).status(), 200);
    }
    assert_eq!(draining.runs().len(), before);
}

#[test]
fn crashed_owner_is_replaced_and_its_keys_are_served_again() {
    let world = World::start();
    let key = 5;
    let owner = world.keyed.iter().position(|each| each.holds(key));
    let owner = owner.expect("held");
    world.keyed[owner].crash();
    let other = &world.keyed[1 - owner];
    eventually(|| other.holds(key).then_some(()));
    eventually(|| {
        let request = TestRequest {
            host: "keyed.example",
            target: "/k/x",
            key: Some(key),
            ..TestRequest::default()
        };
        (request.send(&world.gateway).status() == 200).then_some(())
    });
}

#[test]
fn silent_store_stops_neither_requests_nor_grants() {
    let world = World::start();
    world.store.set_fault(Fault::Silent);
    let grants = || world.keyed.iter().map(|each| each.grants()).sum::<u64>();
    let before = grants();
    eventually(|| (grants() >= before + 6).then_some(()));
    let request = TestRequest {
        host: "keyed.example",
        target: "/k/x",
        key: Some(5),
        ..TestRequest::default()
    };
    assert_eq!(request.send(&world.gateway).status(), 200);
}

#[test]
fn malformed_configuration_leaves_the_previous_one_in_force() {
    let world = World::start();
    world
        .store
        .put("config", "main", serde_json::json!({"Version": "later"}));
    world.store.put("servers", "p-3", serde_json::json!({}));
    let request = TestRequest::default();
    assert_eq!(request.send(&world.gateway).status(), 200);
    world.store.put("config", "main", configuration(3));
    eventually(|| {
        let version = "threadledge_gateway_configuration_version 3";
        world.gateway.metrics().contains(version).then_some(())
    });
}

#[test]
fn older_configuration_never_replaces_a_later_one() {
    let world = World::start();
    world.store.put("config", "main", configuration(9));
    let shows = |version: &str| world.gateway.metrics().contains(version).then_some(());
    eventually(|| shows("configuration_version 9"));
    world.store.put("config", "main", configuration(4));
    world.store.put(
        "servers",
        "p-9",
        world.plain[0].registration("plain", "draining"),
    );
    eventually(|| shows("threadledge_gateway_back_ends 5"));
    assert!(shows("configuration_version 9").is_some());
}

/// Guards against a lost watch going unnoticed: without probes only watches
/// call the store, and they wait for 20 s, so one that the store forgot while
/// it was silent would be missed for that long.
#[test]
fn store_is_probed_without_keyed_services() {
    let mut world = World::start_without_configuration();
    let mut plain = configuration(1);
    let tables = ["Routes", "Services"];
    for table in tables {
        let table = plain[table].as_object_mut().expect("a table");
        table.remove("keyed");
    }
    world.store.put("config", "main", plain);
    world.gateway.await_ready();
    let before = world.store.calls();
    eventually(|| (world.store.calls() >= before + 5).then_some(()));
    assert!(world.store.get("threadledge-leases", "probe").is_none());
}
