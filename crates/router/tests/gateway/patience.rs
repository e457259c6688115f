//! Who takes a free office first.

use std::time::Duration;

use threadledge::gateway::patience::{by_store, of_coordinator, of_relay};

const SMALL_MBPS: f64 = 10.0;
const LARGE_MBPS: f64 = 200.0;
const NEAR: Duration = Duration::from_millis(5);
const FAR: Duration = Duration::from_millis(29);

#[test]
fn machines_with_fast_links_relay_first() {
    assert!(of_relay(LARGE_MBPS, 1.0) < of_relay(SMALL_MBPS, 0.0));
}

#[test]
fn coordinators_come_from_near_the_store() {
    let near = of_coordinator(LARGE_MBPS, 1.0) + by_store(Some(NEAR));
    let far = of_coordinator(LARGE_MBPS, 0.0) + by_store(Some(FAR));
    assert!(near < far, "{near:?} {far:?}");
    assert!(by_store(Some(NEAR)) < by_store(None));
}

/// Grants last 3 s, and a standby looks every 0.6 s after a silence of 1.6 s.
#[test]
fn a_coordinator_far_away_and_small_comes_in_time_as_well() {
    let latest = of_coordinator(0.0, 1.0) + by_store(None);
    assert!(latest <= Duration::from_millis(450), "{latest:?}");
}
