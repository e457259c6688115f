//! Callers with keys of tenants, through the real program.

use async_std::task::block_on;
use http::Response;
use serde_json::{Value, json};
use threadledge_net::HttpClient;
use threadledge_platform_stand_in::{Fault, StandInBackEnd, StandInStore, with_tenants};
use threadledge_types::deployment::KeyDigest;

use super::process::{Gateway, TIMEOUT, TestRequest, World, configuration, eventually};

const ALPHA: &str = "alpha-key-one";
const BETA: &str = "beta-key-one";

fn shows(gateway: &Gateway, line: &str) -> Option<()> {
    gateway.metrics().contains(line).then_some(())
}

/// Puts a version with tenants in force.
fn put(world: &World, version: u64, tenants: &[(&str, &[&str], Option<u32>)]) {
    let wanted = with_tenants(configuration(version), tenants);
    world.store.put("config", "main", wanted);
    let line = format!("threadledge_gateway_configuration_version {version}\n");
    eventually(|| shows(&world.gateway, &line));
}

/// Two tenants with a key each, and a second key of the first.
fn start() -> World {
    let world = World::start();
    let alpha = ("alpha", &[ALPHA, "alpha-key-two"][..], None);
    put(&world, 2, &[alpha, ("beta", &[BETA], None)]);
    world
}

fn text(answer: &Response<Vec<u8>>) -> String {
    String::from_utf8_lossy(answer.body()).into_owned()
}

/// Tenant and key that the back end of a request saw.
fn seen(world: &World, id: &str) -> (Option<String>, Option<String>) {
    let all = world.keyed.iter().chain(&world.plain);
    let mut runs = all
        .flat_map(StandInBackEnd::runs)
        .filter(|run| run.id == id);
    let run = runs.next().expect("it ran");
    (run.tenant, run.api_key)
}

#[test]
fn back_end_sees_the_tenant_that_holds_the_key_and_never_the_key() {
    let world = start();
    for (id, key, tenant) in [("a", ALPHA, "alpha"), ("b", BETA, "beta")] {
        let ask = TestRequest {
            method: "POST",
            target: "/unsafe/x",
            body: "two invitations",
            id,
            api_key: Some(key),
            // What a caller says of itself counts for nothing.
            tenant: Some("alpha"),
            ..TestRequest::default()
        };
        assert_eq!(ask.send(&world.gateway).status(), 200);
        assert_eq!(seen(&world, id), (Some(tenant.to_owned()), None));
    }
}

#[test]
fn unknown_or_missing_key_gets_401_with_the_reason_and_runs_nowhere() {
    let world = start();
    for (api_key, reason) in [
        (None, "missing-api-key\n"),
        (Some("gamma-key"), "unknown-api-key\n"),
        (Some(""), "unknown-api-key\n"),
    ] {
        let ask = TestRequest {
            method: "POST",
            target: "/unsafe/x",
            body: "two invitations",
            api_key,
            tenant: Some("alpha"),
            ..TestRequest::default()
        };
        let answer = ask.send(&world.gateway);
        assert_eq!(answer.status(), 401);
        assert_eq!(text(&answer), reason);
        assert!(answer.headers().get("retry-after").is_none());
        assert_eq!(world.runs_of(ask.id), 0);
    }
}

#[test]
fn public_route_asks_for_no_key_and_takes_no_unknown_one() {
    let world = start();
    let ask = |id, api_key| TestRequest {
        host: "open.example",
        id,
        api_key,
        tenant: Some("alpha"),
        ..TestRequest::default()
    };
    assert_eq!(ask("none", None).send(&world.gateway).status(), 200);
    assert_eq!(seen(&world, "none"), (None, None));
    assert_eq!(ask("beta", Some(BETA)).send(&world.gateway).status(), 200);
    assert_eq!(seen(&world, "beta"), (Some("beta".to_owned()), None));
    let unknown = ask("unknown", Some("gamma-key"));
    assert_eq!(unknown.send(&world.gateway).status(), 401);
}

#[test]
fn key_and_tenant_are_taken_out_also_where_nobody_asks_for_keys() {
    let world = World::start();
    let ask = TestRequest {
        api_key: Some(ALPHA),
        tenant: Some("alpha"),
        ..TestRequest::default()
    };
    assert_eq!(ask.send(&world.gateway).status(), 200);
    assert_eq!(seen(&world, ask.id), (None, None));
}

/// Status of the answer to a request with a key.
fn status(gateway: &Gateway, api_key: &str) -> u16 {
    let ask = TestRequest {
        api_key: Some(api_key),
        ..TestRequest::default()
    };
    ask.send(gateway).status().as_u16()
}

/// Takes the first key of `alpha` away.
fn take_away(store: &StandInStore, version: u64) {
    let alpha = ("alpha", &["alpha-key-two"][..], None);
    let tenants = [alpha, ("beta", &[BETA], None)];
    let wanted = with_tenants(configuration(version), &tenants);
    store.put("config", "main", wanted);
}

#[test]
fn key_that_is_taken_away_is_refused_and_the_others_go_on() {
    let world = start();
    assert_eq!(status(&world.gateway, ALPHA), 200);
    take_away(&world.store, 3);
    eventually(|| (status(&world.gateway, ALPHA) == 401).then_some(()));
    assert_eq!(status(&world.gateway, "alpha-key-two"), 200);
    assert_eq!(status(&world.gateway, BETA), 200);
}

/// The store turns a gateway away and serves the others: one of its zone that
/// relays, or, where it is alone in its zone, any other one.
#[test]
fn gateway_that_the_store_turns_away_hears_from_others_of_a_key_taken_away() {
    for zone in ["zone-a", "zone-b"] {
        let world = start();
        let door = block_on(world.store.open_endpoint()).expect("another address");
        let mut away = Gateway::start_in(zone, "router-2", door.address());
        away.await_ready();
        eventually(|| (status(&away, ALPHA) == 200).then_some(()));
        door.set_fault(Fault::Busy);
        take_away(&world.store, 3);
        eventually(|| (status(&away, ALPHA) == 401).then_some(()));
        assert_eq!(status(&away, BETA), 200);
    }
}

#[test]
fn gateway_that_restarts_takes_no_key_before_it_knows_a_configuration() {
    let world = start();
    let door = block_on(world.store.open_endpoint()).expect("another address");
    door.set_fault(Fault::Silent);
    let away = Gateway::start_in("zone-c", "router-3", door.address());
    eventually(|| away.readiness());
    for api_key in [Some(ALPHA), Some("gamma-key"), None] {
        let ask = TestRequest {
            api_key,
            ..TestRequest::default()
        };
        let answer = ask.send(&away);
        assert_eq!(answer.status(), 503, "{}", text(&answer));
    }
    door.set_fault(Fault::None);
    eventually(|| (status(&away, ALPHA) == 200).then_some(()));
    eventually(|| (status(&away, "gamma-key") == 401).then_some(()));
}

/// Alone and without the store nobody can say which keys there are.
#[test]
fn gateway_that_hears_of_nobody_is_unsure_of_keys_and_refuses_all_if_it_fails_closed() {
    for (more, known) in [
        (&[("Bounds.RevokeS", "3")][..], 200),
        (
            &[("Bounds.RevokeS", "3"), ("Bounds.FailClosed", "true")],
            503,
        ),
    ] {
        let world = start();
        let door = block_on(world.store.open_endpoint()).expect("another address");
        let mut alone = Gateway::start_with("zone-b", "router-2", door.address(), more);
        alone.await_ready();
        eventually(|| (status(&alone, ALPHA) == 200).then_some(()));
        eventually(|| (status(&alone, "gamma-key") == 401).then_some(()));
        door.set_fault(Fault::Silent);
        let World { gateway, .. } = world;
        drop(gateway);
        eventually(|| (status(&alone, "gamma-key") == 503).then_some(()));
        assert_eq!(status(&alone, ALPHA), known);
        door.set_fault(Fault::None);
        eventually(|| (status(&alone, "gamma-key") == 401).then_some(()));
        eventually(|| (status(&alone, ALPHA) == 200).then_some(()));
    }
}

/// Lists of the configuration that the store answered.
fn lists(gateway: &Gateway) -> u64 {
    let wanted = r#"{call="list",collection="configurations",outcome="answered"} "#;
    let text = gateway.metrics();
    let found = text.lines().find_map(|line| line.split_once(wanted));
    found.map_or(0, |(_, count)| count.parse().expect("a count"))
}

/// Watches of a quiet store wait longer than keys are sure.
#[test]
fn gateway_without_others_asks_a_quiet_store_whether_its_keys_still_stand() {
    let World { store, .. } = start();
    let more = [("Bounds.RevokeS", "1"), ("without-peers", "")];
    let mut alone = Gateway::start_with("zone-b", "router-2", store.address(), &more);
    alone.await_ready();
    let before = lists(&alone);
    eventually(|| (lists(&alone) >= before + 3).then_some(()));
    eventually(|| (status(&alone, "gamma-key") == 401).then_some(()));
}

#[test]
fn version_in_which_two_tenants_share_a_key_changes_nothing() {
    let mut world = start();
    let alpha = ("alpha", &[ALPHA, BETA][..], None);
    let shared = with_tenants(configuration(3), &[alpha, ("beta", &[BETA], None)]);
    world.store.put("config", "main", shared);
    take_away(&world.store, 4);
    eventually(|| (status(&world.gateway, ALPHA) == 401).then_some(()));
    assert_eq!(status(&world.gateway, BETA), 200);
    world.gateway.await_ready();
    world.gateway.signal("-TERM");
    let (_, log) = world.gateway.wait_for_exit();
    let problem = log
        .iter()
        .find_map(|line| line["problem"].as_str())
        .expect("it was said");
    assert!(problem.contains("alpha and beta share a key"), "{problem}");
    assert!(!problem.contains(BETA));
}

#[test]
fn operators_look_a_key_up_by_its_digest() {
    let world = start();
    let state = |key: &str| {
        let digest = serde_json::to_value(KeyDigest::of(key.as_bytes())).expect("written");
        let digest = digest.as_str().expect("text").to_owned();
        let path = format!("/threadledge/v1/keys/{digest}");
        let text = world.gateway.operator_get(&path);
        serde_json::from_str::<Value>(&text).expect("JSON")
    };
    let held = state(BETA);
    assert_eq!(held["tenant"], "beta");
    assert_eq!(held["version"], 2);
    assert_eq!(held["unsure"], false);
    assert_eq!(state("gamma-key")["tenant"], Value::Null);
    let wrong = world
        .gateway
        .operator_get("/threadledge/v1/keys/beta-key-one");
    assert_eq!(wrong, "digest-is-64-hex-digits-of-sha-256\n");
}

/// Everything that a gateway writes, serves and tells others while callers
/// show good, bad and lost keys, searched for the keys.
#[test]
fn no_key_stands_in_anything_that_a_gateway_writes_or_tells() {
    let world = start();
    let door = block_on(world.store.open_endpoint()).expect("another address");
    let everything = [("log.level", "trace")];
    let mut second = Gateway::start_with("zone-a", "router-2", door.address(), &everything);
    second.await_ready();
    let keys = [ALPHA, "alpha-key-two", BETA, "gamma-key"];
    for gateway in [&world.gateway, &second] {
        for key in keys {
            status(gateway, key);
        }
        TestRequest::default().send(gateway);
    }
    take_away(&world.store, 3);
    eventually(|| (status(&second, ALPHA) == 401).then_some(()));
    for back_end in &world.plain {
        back_end.set_behaviour(threadledge_platform_stand_in::Behaviour::Full);
    }
    for key in keys {
        status(&second, key);
    }
    let mut told = second.metrics();
    told += &second.operator_get("/threadledge/v1/held");
    told += &second.operator_get("/threadledge/v1/keys/gamma-key");
    let marks = json!({"configuration": null, "back-ends": 0, "ownership": {}});
    let news = http::Request::post("/threadledge/v1/news")
        .body(marks.to_string().into_bytes())
        .expect("valid");
    let client = HttpClient::default();
    let news = block_on(client.send(second.peers, news, TIMEOUT)).expect("an answer");
    assert_eq!(news.status(), 200);
    let news = text(&news);
    assert!(news.contains("beta"), "the tenants are told: {news}");
    second.signal("-TERM");
    let (_, log) = second.wait_for_exit();
    let log: String = log.iter().map(|line| format!("{line}\n")).collect();
    assert!(log.contains("unknown-api-key"), "{log}");
    assert!(log.contains("tenant-keys-changed"), "{log}");
    for key in keys {
        let digest = serde_json::to_value(KeyDigest::of(key.as_bytes())).expect("written");
        let digest = digest.as_str().expect("text");
        for (place, text) in [("told", &told), ("news", &news), ("log", &log)] {
            assert!(!text.contains(key), "{key} stands in {place}: {text}");
            let tells = place != "news" && text.contains(digest);
            assert!(!tells, "the digest of {key} stands in {place}");
        }
    }
}
