//! Callers with keys of tenants, through the real program.

use http::Response;
use threadledge_platform_stand_in::{StandInBackEnd, with_tenants};

use super::process::{Ask, Gateway, World, configuration, eventually};

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
        let ask = Ask {
            method: "POST",
            target: "/unsafe/x",
            body: "two invitations",
            id,
            api_key: Some(key),
            // What a caller says of itself counts for nothing.
            tenant: Some("alpha"),
            ..Ask::default()
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
        let ask = Ask {
            method: "POST",
            target: "/unsafe/x",
            body: "two invitations",
            api_key,
            tenant: Some("alpha"),
            ..Ask::default()
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
    let ask = |id, api_key| Ask {
        host: "open.example",
        id,
        api_key,
        tenant: Some("alpha"),
        ..Ask::default()
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
    let ask = Ask {
        api_key: Some(ALPHA),
        tenant: Some("alpha"),
        ..Ask::default()
    };
    assert_eq!(ask.send(&world.gateway).status(), 200);
    assert_eq!(seen(&world, ask.id), (None, None));
}
