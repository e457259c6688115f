//! Gateways of two regions, and a route that allows one of them.

use serde_json::{Value, json};

use super::process::{Ask, Gateway, World, configuration, eventually};

/// The back ends are in `zone-a`, of region `home`.
const BACK_ENDS: (&str, &str) = ("zone-a", "home");

/// A configuration whose route for repeatable requests allows one region.
fn allowing(version: u64, region: &str) -> Value {
    let mut wanted = configuration(version);
    wanted["Routes"]["safe"]["AllowedRegions"] = json!([region]);
    wanted
}

fn await_version(gateway: &Gateway, version: u64) {
    let line = format!("threadledge_gateway_configuration_version {version}\n");
    eventually(|| gateway.metrics().contains(&line).then_some(()));
}

/// The log line of the request with this id.
fn line_of<'a>(log: &'a [Value], id: &str) -> Option<&'a Value> {
    log.iter().find(|line| line["request"].as_str() == Some(id))
}

#[test]
fn request_that_must_not_leave_a_region_is_passed_on_and_not_kept() {
    let World { store, plain, .. } = &World::start();
    let away = ("zone-b", "away");
    let mut far = Gateway::start_in_region(away, BACK_ENDS, "router-2", store.address());
    far.await_ready();
    store.put("config", "main", allowing(2, "home"));
    await_version(&far, 2);
    let ask = Ask {
        id: "restricted",
        ..Ask::default()
    };
    assert_eq!(ask.send(&far).status(), 200);
    let ran = plain.iter().flat_map(|back_end| back_end.runs());
    assert_eq!(ran.filter(|run| run.id == "restricted").count(), 1);
    let counted = "back_end_requests_total{choice=\"free\",distance=\"other-region\"} 1\n";
    let metrics = far.metrics();
    assert!(metrics.contains(counted), "{metrics}");

    store.put("config", "main", allowing(3, "away"));
    await_version(&far, 3);
    let refused = Ask {
        id: "refused",
        ..Ask::default()
    };
    let answer = refused.send(&far);
    assert_eq!(answer.status(), 503, "none is registered in its region");
    let ran = plain.iter().flat_map(|back_end| back_end.runs());
    assert_eq!(ran.filter(|run| run.id == "refused").count(), 0);

    far.signal("-TERM");
    let (_, log) = far.finish();
    let kept = line_of(&log, "refused").expect("refusals are logged");
    assert_eq!(kept["path"], json!("/safe/x"), "this region may keep it");
    if let Some(passed_on) = line_of(&log, "restricted") {
        assert_eq!(passed_on["path"], json!(""));
        assert!(passed_on["identity"].is_null(), "{passed_on}");
    }
}
