//! Delays after which gateways try to take over a free role (relay or
//! coordinator). Gateways with spare bandwidth come first, and among candidates
//! for coordinator those near the store.
//!
//! These delays order candidates that notice the loss at the same time, and are
//! short beside the timeout after which a role counts as free.

use std::time::Duration;

/// Upper bound of the delay that depends on the link, in seconds.
const LINK_PART: f64 = 0.5;
/// Link speed, in Mbit/s, that gives a delay of one second before the upper
/// bound applies.
const LINK_MBPS: f64 = 5.0;
/// Maximum random delay of a relay, in seconds.
const RELAY_CHANCE: f64 = 0.25;
/// Maximum random delay of a coordinator, in seconds.
const COORDINATOR_CHANCE: f64 = 0.15;
/// Factor on the link's delay for a coordinator, below 1 because its messages
/// are small and grants last 3 s while it takes over.
const COORDINATOR_LINK: f64 = 0.2;
/// Store delay of a coordinator as a multiple of the time that a store call
/// takes, because moves take several calls one after the other.
const STORE_CALLS: f64 = 8.0;
/// Upper bound of the delay that depends on the store, in seconds.
const STORE_PART: f64 = 0.2;

/// Delay before a gateway claims the relay role. Machines with fast links come
/// first; the others are spread at random. `chance` is drawn from 0 to 1.
pub fn for_relay(link_mbps: f64, chance: f64) -> Duration {
    seconds(by_link(link_mbps) + RELAY_CHANCE * chance)
}

/// Delay added to the timeout after which a gateway takes over a coordinator's
/// lease. Machines with fast links come first. `chance` is drawn from 0 to 1.
pub fn for_coordinator(link_mbps: f64, chance: f64) -> Duration {
    seconds(COORDINATOR_LINK * by_link(link_mbps) + COORDINATOR_CHANCE * chance)
}

/// Further delay that depends on how long a store call takes; `None` means
/// unknown and gives the longest delay.
pub fn for_store_latency(call: Option<Duration>) -> Duration {
    let call = call.map_or(STORE_PART, |call| call.as_secs_f64());
    seconds((STORE_CALLS * call).min(STORE_PART))
}

fn by_link(link_mbps: f64) -> f64 {
    (LINK_MBPS / link_mbps.max(1.0)).min(LINK_PART)
}

fn seconds(value: f64) -> Duration {
    Duration::try_from_secs_f64(value).unwrap_or_default()
}
