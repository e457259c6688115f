//! Gateways of two regions, and a route that allows one of them.

use async_std::task::block_on;
use serde_json::{Value, json};

use super::process::{Gateway, TestRequest, World, configuration, eventually};

/// Regions of the zones. The back ends are in `zone-a`.
const ZONES: [(&str, &str); 3] = [("zone-a", "home"), ("zone-b", "home"), ("zone-c", "away")];

/// A configuration whose route for repeatable requests allows one region.
fn restricted_to(version: u64, region: &str) -> Value {
    let mut wanted = configuration(version);
    wanted["Routes"]["safe"]["AllowedRegions"] = json!([region]);
    wanted
}

fn follows(gateway: &Gateway) -> Option<()> {
    let line = "threadledge_gateway_follows_relay 1\n";
    gateway.metrics().contains(line).then_some(())
}

fn await_version(gateway: &Gateway, version: u64) {
    let line = format!("threadledge_gateway_configuration_version {version}\n");
    eventually(|| gateway.metrics().contains(&line).then_some(()));
}

/// Returns the log line of the request with this id.
fn line_of<'a>(log: &'a [Value], id: &str) -> Option<&'a Value> {
    log.iter().find(|line| line["request"].as_str() == Some(id))
}

#[test]
fn request_restricted_to_another_region_is_forwarded_and_not_logged_here() {
    let World { store, plain, .. } = &World::start();
    let mut far = Gateway::start_in_region("zone-c", "router-2", store.address(), &ZONES);
    far.await_ready();
    store.put("config", "main", restricted_to(2, "home"));
    await_version(&far, 2);
    let request = TestRequest {
        id: "restricted",
        ..TestRequest::default()
    };
    assert_eq!(request.send(&far).status(), 200);
    let ran = plain.iter().flat_map(|back_end| back_end.runs());
    assert_eq!(ran.filter(|run| run.id == "restricted").count(), 1);
    let counted = "back_end_requests_total{choice=\"free\",distance=\"other-region\"} 1\n";
    let metrics = far.metrics();
    assert!(metrics.contains(counted), "{metrics}");

    store.put("config", "main", restricted_to(3, "away"));
    await_version(&far, 3);
    let refused = TestRequest {
        id: "refused",
        ..TestRequest::default()
    };
    let answer = refused.send(&far);
    assert_eq!(answer.status(), 503, "none is registered in its region");
    let ran = plain.iter().flat_map(|back_end| back_end.runs());
    assert_eq!(ran.filter(|run| run.id == "refused").count(), 0);

    far.signal("-TERM");
    let (_, log) = far.wait_for_exit();
    let kept = line_of(&log, "refused").expect("refusals are logged");
    assert_eq!(kept["path"], json!("/safe/x"), "this region may keep it");
    if let Some(passed_on) = line_of(&log, "restricted") {
        assert_eq!(passed_on["path"], json!(""));
        assert!(passed_on["identity"].is_null(), "{passed_on}");
    }
}

/// One of the relays of a region's zones watches the store; if it is lost,
/// another takes over.
#[test]
fn relays_of_one_region_share_a_watch_of_the_store() {
    let World { store, gateway, .. } = World::start();
    drop(gateway);
    let start = |zone: &str, name: &str, store| Gateway::start_in_region(zone, name, store, &ZONES);
    let mut first = start("zone-a", "router-2", store.address());
    first.await_ready();
    eventually(|| store.get("threadledge-relays", "region.home"));
    let endpoint = block_on(store.open_endpoint()).expect("another address");
    let mut second = start("zone-b", "router-3", endpoint.address());
    second.await_ready();
    eventually(|| follows(&second));
    let watches = endpoint.watches();
    for version in 2..=4 {
        store.put("config", "main", configuration(version));
        await_version(&second, version);
    }
    assert_eq!(endpoint.watches(), watches);
    drop(first);
    store.put("config", "main", configuration(5));
    await_version(&second, 5);
    eventually(|| follows(&second).is_none().then_some(()));
}

/// Of two back ends that could hold keys, one is outside the region that a
/// route to them allows.
#[test]
fn keys_are_held_where_every_route_to_them_allows_it() {
    let world = World::start_without_configuration();
    drop(world.gateway);
    let outside = &world.keyed[1];
    let entry = outside.registration_at(outside.address(), "zone-c", "keyed", "ready");
    world.store.put("servers", &outside.id, entry);
    let mut wanted = configuration(1);
    wanted["Routes"]["keyed"]["AllowedRegions"] = json!(["home"]);
    world.store.put("config", "main", wanted);
    let mut gateway = Gateway::start_in_region("zone-a", "router-2", world.store.address(), &ZONES);
    gateway.await_ready();
    let held_inside = || {
        (0..=u16::MAX)
            .step_by(4_096)
            .all(|key| world.keyed[0].holds(key))
    };
    eventually(|| held_inside().then_some(()));
    assert_eq!(outside.grants(), 0);
}
