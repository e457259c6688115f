//! Callers with API keys of tenants, through the real program.

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

/// Puts a configuration version with tenants in force.
fn put(world: &World, version: u64, tenants: &[(&str, &[&str], Option<u32>)]) {
    let wanted = with_tenants(configuration(version), tenants);
    world.store.put("config", "main", wanted);
    let line = format!("threadledge_gateway_configuration_version {version}\n");
    eventually(|| shows(&world.gateway, &line));
}

/// Starts a world with two tenants with a key each, and a second key of the
/// first.
fn start() -> World {
    let world = World::start();
    let alpha = ("alpha", &[ALPHA, "alpha-key-two"][..], None);
    put(&world, 2, &[alpha, ("beta", &[BETA], None)]);
    world
}

fn text(answer: &Response<Vec<u8>>) -> String {
    String::from_utf8_lossy(answer.body()).into_owned()
}

/// Returns the tenant and the key that the back end of a request saw.
fn tenant_and_key_seen(world: &World, id: &str) -> (Option<String>, Option<String>) {
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
        let request = TestRequest {
            method: "POST",
            target: "/unsafe/x",
            body: "two invitations",
            id,
            api_key: Some(key),
            // The tenant name that a caller sends must be ignored.
            tenant: Some("alpha"),
            ..TestRequest::default()
        };
        assert_eq!(request.send(&world.gateway).status(), 200);
        assert_eq!(
            tenant_and_key_seen(&world, id),
            (Some(tenant.to_owned()), None)
        );
    }
}

/// A request of a tenant whose name is not ASCII ended without an answer.
#[test]
fn tenant_that_no_request_can_name_is_refused_and_others_are_served() {
    let world = World::start();
    let alpha = ("alpha", &[ALPHA][..], None);
    let odd = [
        ("\u{e9}", &["odd-key-one"][..], None),
        ("alpha\r\nx-tenant: beta", &["odd-key-two"], None),
        ("", &["odd-key-three"], None),
    ];
    // A configuration without any other tenant does not let callers in without a
    // key.
    put(&world, 2, &odd);
    let without_key = TestRequest::default().send(&world.gateway);
    assert_eq!(without_key.status(), 401);
    put(&world, 3, &[alpha, odd[0], odd[1], odd[2]]);
    for (name, keys, _) in odd {
        let request = TestRequest {
            api_key: Some(keys[0]),
            ..TestRequest::default()
        };
        let answer = request.send(&world.gateway);
        assert_eq!(answer.status(), 401, "{name:?}");
        assert_eq!(text(&answer), "unknown-api-key\n", "{name:?}");
    }
    let request = TestRequest {
        id: "a",
        api_key: Some(ALPHA),
        ..TestRequest::default()
    };
    assert_eq!(request.send(&world.gateway).status(), 200);
    let seen = tenant_and_key_seen(&world, "a");
    assert_eq!(seen, (Some("alpha".to_owned()), None));
    world.gateway.signal("-TERM");
    let (_, log) = world.gateway.wait_for_exit();
    let malformed = log.iter().filter(|line| line["event"] == 413);
    let lines = 2 * odd.len();
    assert_eq!(
        malformed.count(),
        lines,
        "one line for each and each version"
    );
}

#[test]
fn unknown_or_missing_key_gets_401_with_the_reason_and_runs_nowhere() {
    let world = start();
    for (api_key, reason) in [
        (None, "missing-api-key\n"),
        (Some("gamma-key"), "unknown-api-key\n"),
        (Some(""), "unknown-api-key\n"),
    ] {
        let request = TestRequest {
            method: "POST",
            target: "/unsafe/x",
            body: "two invitations",
            api_key,
            tenant: Some("alpha"),
            ..TestRequest::default()
        };
        let answer = request.send(&world.gateway);
        assert_eq!(answer.status(), 401);
        assert_eq!(text(&answer), reason);
        assert!(answer.headers().get("retry-after").is_none());
        assert_eq!(world.runs_of(request.id), 0);
    }
}

#[test]
fn public_route_requires_no_key_and_refuses_unknown_ones() {
    let world = start();
    let request = |id, api_key| TestRequest {
        host: "open.example",
        id,
        api_key,
        tenant: Some("alpha"),
        ..TestRequest::default()
    };
    assert_eq!(request("none", None).send(&world.gateway).status(), 200);
    assert_eq!(tenant_and_key_seen(&world, "none"), (None, None));
    assert_eq!(
        request("beta", Some(BETA)).send(&world.gateway).status(),
        200
    );
    assert_eq!(
        tenant_and_key_seen(&world, "beta"),
        (Some("beta".to_owned()), None)
    );
    let unknown = request("unknown", Some("gamma-key"));
    assert_eq!(unknown.send(&world.gateway).status(), 401);
}

#[test]
fn key_and_tenant_headers_are_removed_also_when_no_keys_are_required() {
    let world = World::start();
    let request = TestRequest {
        api_key: Some(ALPHA),
        tenant: Some("alpha"),
        ..TestRequest::default()
    };
    assert_eq!(request.send(&world.gateway).status(), 200);
    assert_eq!(tenant_and_key_seen(&world, request.id), (None, None));
}

/// Returns the status of the response to a request with a key.
fn status(gateway: &Gateway, api_key: &str) -> u16 {
    let request = TestRequest {
        api_key: Some(api_key),
        ..TestRequest::default()
    };
    request.send(gateway).status().as_u16()
}

/// Revokes the first key of `alpha`.
fn revoke_key(store: &StandInStore, version: u64) {
    let alpha = ("alpha", &["alpha-key-two"][..], None);
    let tenants = [alpha, ("beta", &[BETA], None)];
    let wanted = with_tenants(configuration(version), &tenants);
    store.put("config", "main", wanted);
}

#[test]
fn revoked_key_is_refused_and_other_keys_still_work() {
    let world = start();
    assert_eq!(status(&world.gateway, ALPHA), 200);
    revoke_key(&world.store, 3);
    eventually(|| (status(&world.gateway, ALPHA) == 401).then_some(()));
    assert_eq!(status(&world.gateway, "alpha-key-two"), 200);
    assert_eq!(status(&world.gateway, BETA), 200);
}

/// The store refuses one gateway and serves the others. That gateway has to
/// learn of the change from a relay of its zone or, if it is alone in its zone,
/// from any other gateway.
#[test]
fn gateway_that_the_store_refuses_learns_of_a_revoked_key_from_others() {
    for zone in ["zone-a", "zone-b"] {
        let world = start();
        let endpoint = block_on(world.store.open_endpoint()).expect("another address");
        let mut cut_off = Gateway::start_in(zone, "router-2", endpoint.address());
        cut_off.await_ready();
        eventually(|| (status(&cut_off, ALPHA) == 200).then_some(()));
        endpoint.set_fault(Fault::Busy);
        revoke_key(&world.store, 3);
        eventually(|| (status(&cut_off, ALPHA) == 401).then_some(()));
        assert_eq!(status(&cut_off, BETA), 200);
    }
}

#[test]
fn restarted_gateway_accepts_no_key_before_it_has_a_configuration() {
    let world = start();
    let endpoint = block_on(world.store.open_endpoint()).expect("another address");
    endpoint.set_fault(Fault::Silent);
    let cut_off = Gateway::start_in("zone-c", "router-3", endpoint.address());
    eventually(|| cut_off.readiness());
    for api_key in [Some(ALPHA), Some("gamma-key"), None] {
        let request = TestRequest {
            api_key,
            ..TestRequest::default()
        };
        let answer = request.send(&cut_off);
        assert_eq!(answer.status(), 503, "{}", text(&answer));
    }
    endpoint.set_fault(Fault::None);
    eventually(|| (status(&cut_off, ALPHA) == 200).then_some(()));
    eventually(|| (status(&cut_off, "gamma-key") == 401).then_some(()));
}

/// A gateway without peers and store cannot know which keys are valid.
#[test]
fn isolated_gateway_has_stale_keys_and_refuses_all_if_it_fails_closed() {
    for (more, known) in [
        (&[("Bounds.RevokeS", "3")][..], 200),
        (
            &[("Bounds.RevokeS", "3"), ("Bounds.FailClosed", "true")],
            503,
        ),
    ] {
        let world = start();
        let endpoint = block_on(world.store.open_endpoint()).expect("another address");
        let mut alone = Gateway::start_with("zone-b", "router-2", endpoint.address(), more);
        alone.await_ready();
        eventually(|| (status(&alone, ALPHA) == 200).then_some(()));
        eventually(|| (status(&alone, "gamma-key") == 401).then_some(()));
        endpoint.set_fault(Fault::Silent);
        let World { gateway, .. } = world;
        drop(gateway);
        eventually(|| (status(&alone, "gamma-key") == 503).then_some(()));
        assert_eq!(status(&alone, ALPHA), known);
        endpoint.set_fault(Fault::None);
        eventually(|| (status(&alone, "gamma-key") == 401).then_some(()));
        eventually(|| (status(&alone, ALPHA) == 200).then_some(()));
    }
}

/// Returns how many list calls for the configuration the store answered.
fn lists(gateway: &Gateway) -> u64 {
    let wanted = r#"{call="list",collection="configurations",outcome="answered"} "#;
    let text = gateway.metrics();
    let found = text.lines().find_map(|line| line.split_once(wanted));
    found.map_or(0, |(_, count)| count.parse().expect("a count"))
}

/// Watches of a quiet store wait longer than keys stay confirmed, so the
/// gateway has to ask in between.
#[test]
fn gateway_without_peers_confirms_its_keys_with_a_quiet_store() {
    let World { store, .. } = start();
    let more = [("Bounds.RevokeS", "1"), ("without-peers", "")];
    let mut alone = Gateway::start_with("zone-b", "router-2", store.address(), &more);
    alone.await_ready();
    let before = lists(&alone);
    eventually(|| (lists(&alone) >= before + 3).then_some(()));
    eventually(|| (status(&alone, "gamma-key") == 401).then_some(()));
}

#[test]
fn configuration_in_which_two_tenants_share_a_key_is_rejected() {
    let mut world = start();
    let alpha = ("alpha", &[ALPHA, BETA][..], None);
    let shared = with_tenants(configuration(3), &[alpha, ("beta", &[BETA], None)]);
    world.store.put("config", "main", shared);
    revoke_key(&world.store, 4);
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

/// Searches everything that a gateway logs, serves and sends to others, while
/// callers use valid, invalid and revoked keys, for the keys.
#[test]
fn no_key_appears_in_anything_that_a_gateway_writes_or_sends() {
    let world = start();
    let endpoint = block_on(world.store.open_endpoint()).expect("another address");
    let everything = [("log.level", "trace")];
    let mut second = Gateway::start_with("zone-a", "router-2", endpoint.address(), &everything);
    second.await_ready();
    let keys = [ALPHA, "alpha-key-two", BETA, "gamma-key"];
    for gateway in [&world.gateway, &second] {
        for key in keys {
            status(gateway, key);
        }
        TestRequest::default().send(gateway);
    }
    revoke_key(&world.store, 3);
    eventually(|| (status(&second, ALPHA) == 401).then_some(()));
    for back_end in &world.plain {
        back_end.set_behaviour(threadledge_platform_stand_in::Behaviour::Full);
    }
    for key in keys {
        status(&second, key);
    }
    let mut output = second.metrics();
    output += &second.operator_get("/threadledge/v1/held");
    output += &second.operator_get("/threadledge/v1/keys/gamma-key");
    let marks = json!({"configuration": null, "back-ends": 0, "ownership": {}});
    let news = http::Request::post("/threadledge/v1/news")
        .body(marks.to_string().into_bytes())
        .expect("valid");
    let client = HttpClient::default();
    let news = block_on(client.send(second.peers, news, TIMEOUT)).expect("an answer");
    assert_eq!(news.status(), 200);
    let news = text(&news);
    assert!(news.contains("beta"), "the tenants are sent: {news}");
    second.signal("-TERM");
    let (_, log) = second.wait_for_exit();
    let log: String = log.iter().map(|line| format!("{line}\n")).collect();
    assert!(log.contains("unknown-api-key"), "{log}");
    assert!(log.contains("tenant-keys-changed"), "{log}");
    for key in keys {
        let digest = serde_json::to_value(KeyDigest::of(key.as_bytes())).expect("written");
        let digest = digest.as_str().expect("text");
        for (place, text) in [("output", &output), ("news", &news), ("log", &log)] {
            assert!(!text.contains(key), "{key} stands in {place}: {text}");
            let tells = place != "news" && text.contains(digest);
            assert!(!tells, "the digest of {key} stands in {place}");
        }
    }
}
