//! Checks of a gateway's settings, and the remedies in their errors.

use std::process::Command;
use std::time::Duration;

use threadledge::gateway::GatewaySettings;
use threadledge_net::ServerLimits;
use threadledge_types::ZoneName;

use super::process::PROGRAM;

const VALID: &str = r#"
machine = "router-1"
zone = "zone-a"
[listen]
callers = "127.0.0.1:1"
readiness = "127.0.0.1:2"
[platform]
store = "127.0.0.1:3"
"#;

fn problem_with(addition: &str) -> String {
    let text = format!("{VALID}{addition}");
    let settings: Result<GatewaySettings, _> = toml::from_str(&text);
    match settings {
        Ok(settings) => match settings.check() {
            Ok(()) => String::new(),
            Err(fault) => fault.to_string(),
        },
        Err(error) => error.to_string(),
    }
}

#[test]
fn defaults_are_valid() {
    assert_eq!(problem_with(""), "");
}

/// Orders to another region may take long. If all zones belong to one region,
/// no zone is far.
#[test]
fn only_zones_of_this_region_are_near() {
    let near = |addition: &str| {
        let text = VALID.replace("[listen]", &format!("{addition}\n[listen]"));
        let settings: GatewaySettings = toml::from_str(&text).expect("valid");
        settings.coordination().near_zones
    };
    assert_eq!(near(""), None);
    assert_eq!(near("region = \"r-1\"\nzones = { zone-a = \"r-1\" }"), None);
    let zones = "zones = { zone-a = \"r-1\", zone-b = \"r-1\", zone-c = \"r-2\" }";
    let near = near(&format!("region = \"r-1\"\n{zones}")).expect("two regions");
    let expected: Vec<ZoneName> = vec!["zone-a".into(), "zone-b".into()];
    assert!(near.iter().eq(&expected), "{near:?}");
    assert!(problem_with("[ownership]\nfar-order-s = 0.4").contains("far-order"));
}

/// Requests that were taken last, on a connection that was open, were cut while
/// the back end worked, although half a second of the grace period was left.
#[test]
fn request_taken_last_has_three_seconds_before_a_stop_cuts_it() {
    let settings: GatewaySettings = toml::from_str(VALID).expect("valid");
    let taken = ServerLimits::default().stop_idle_timeout;
    let drain = settings.drain_timeout();
    assert!(drain >= taken + Duration::from_secs(3), "{drain:?}");
    let bounds = &settings.bounds;
    assert!(drain.as_secs_f64() < bounds.grace_s - bounds.leave_s);
}

#[test]
fn unknown_fields_and_bad_values_are_named() {
    assert!(problem_with("colour = 1").contains("colour"));
    assert!(problem_with("[bounds]\ngrace-s = 0").contains("bounds.grace-s is 0"));
    assert!(problem_with("[bounds]\ngrace-s = nan").contains("bounds.grace-s"));
    assert!(problem_with("[retry-budget]\nratio = -1.0").contains("retry-budget.ratio"));
    assert!(problem_with("[bounds]\ngrace-s = 2").contains("bounds.leave-s"));
}

#[test]
fn durations_that_contradict_each_other_are_refused() {
    let hold = problem_with("[ownership]\nmax-hold-s = 2");
    assert!(hold.contains("ownership.hold-s is 3"), "{hold}");
    let renewal = problem_with("[ownership]\ngrant-renewal-s = 3");
    assert!(renewal.contains("grant-renewal-s must stay below ownership.hold-s"));
    let lease = problem_with("[ownership]\nlease-renewal-s = 2");
    assert!(lease.contains("takeover-after-s"), "{lease}");
}

#[test]
fn program_exits_with_the_place_and_the_remedy() {
    let path = std::env::temp_dir().join(format!("threadledge-bad-{}.toml", std::process::id()));
    std::fs::write(&path, "machine = 7").expect("written");
    let output = Command::new(PROGRAM)
        .args(["gateway", "--settings"])
        .arg(&path)
        .output()
        .expect("the program starts");
    let _ = std::fs::remove_file(&path);
    assert_eq!(output.status.code(), Some(2));
    let message = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(message.contains("machine"), "{message}");
    let missing = Command::new(PROGRAM)
        .args(["gateway", "--settings", "/nowhere/settings.toml"])
        .output()
        .expect("the program starts");
    assert_eq!(missing.status.code(), Some(2));
    let message = String::from_utf8_lossy(&missing.stderr).into_owned();
    assert!(message.contains("name a file that exists"), "{message}");
}
