//! Order in which gateways take over a free role.

use std::time::Duration;

use threadledge::gateway::takeover_delay::{for_coordinator, for_relay, for_store_latency};

const SMALL_MBPS: f64 = 10.0;
const LARGE_MBPS: f64 = 200.0;
const NEAR_STORE_CALL: Duration = Duration::from_millis(5);
const FAR_STORE_CALL: Duration = Duration::from_millis(29);

#[test]
fn machines_with_fast_links_relay_first() {
    assert!(for_relay(LARGE_MBPS, 1.0) < for_relay(SMALL_MBPS, 0.0));
}

#[test]
fn gateways_near_the_store_take_over_first() {
    let near = for_coordinator(LARGE_MBPS, 1.0) + for_store_latency(Some(NEAR_STORE_CALL));
    let far = for_coordinator(LARGE_MBPS, 0.0) + for_store_latency(Some(FAR_STORE_CALL));
    assert!(near < far, "{near:?} {far:?}");
    assert!(for_store_latency(Some(NEAR_STORE_CALL)) < for_store_latency(None));
}

/// The bound leaves enough time because grants last 3 s and a standby polls
/// every 0.6 s after a timeout of 1.6 s.
#[test]
fn the_slowest_gateway_still_takes_over_in_time() {
    let latest = for_coordinator(0.0, 1.0) + for_store_latency(None);
    assert!(latest <= Duration::from_millis(450), "{latest:?}");
}
