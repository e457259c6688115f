//! Who takes a free office first.

use std::time::Duration;

use threadledge::gateway::takeover_delay::{for_coordinator, for_relay, for_store_latency};

const SMALL_MBPS: f64 = 10.0;
const LARGE_MBPS: f64 = 200.0;
const NEAR: Duration = Duration::from_millis(5);
const FAR: Duration = Duration::from_millis(29);

#[test]
fn machines_with_fast_links_relay_first() {
    assert!(for_relay(LARGE_MBPS, 1.0) < for_relay(SMALL_MBPS, 0.0));
}

#[test]
fn coordinators_come_from_near_the_store() {
    let near = for_coordinator(LARGE_MBPS, 1.0) + for_store_latency(Some(NEAR));
    let far = for_coordinator(LARGE_MBPS, 0.0) + for_store_latency(Some(FAR));
    assert!(near < far, "{near:?} {far:?}");
    assert!(for_store_latency(Some(NEAR)) < for_store_latency(None));
}

/// Grants last 3 s, and a standby looks every 0.6 s after a silence of 1.6 s.
#[test]
fn a_coordinator_far_away_and_small_comes_in_time_as_well() {
    let latest = for_coordinator(0.0, 1.0) + for_store_latency(None);
    assert!(latest <= Duration::from_millis(450), "{latest:?}");
}
