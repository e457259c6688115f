//! Delays after which gateways try to take over a free role (relay or
//! coordinator). Gateways with spare bandwidth come first, and among candidates
//! for coordinator those near the store.
//!
//! These delays order candidates that notice the loss at the same time, and are
//! short beside the timeout after which a role counts as free.

use std::time::Duration;

/// Upper bound of the delay that depends on the link, in seconds.
const MAX_LINK_DELAY_S: f64 = 0.5;
/// Link speed, in Mbit/s, that gives a delay of one second before the upper
/// bound applies.
const ONE_SECOND_LINK_MBPS: f64 = 5.0;
/// Maximum random delay of a relay, in seconds.
const MAX_RELAY_JITTER_S: f64 = 0.25;
/// Maximum random delay of a coordinator, in seconds.
const MAX_COORDINATOR_JITTER_S: f64 = 0.15;
/// Factor on the link's delay for a coordinator, below 1 because its messages
/// are small and grants last 3 s while it takes over.
const COORDINATOR_LINK_FACTOR: f64 = 0.2;
/// Store delay of a coordinator as a multiple of the time that a store call
/// takes, because moves take several calls one after the other.
const STORE_DELAY_CALLS: f64 = 8.0;
/// Upper bound of the delay that depends on the store, in seconds.
const MAX_STORE_DELAY_S: f64 = 0.2;

/// Delay before a gateway claims the relay role. Machines with fast links come
/// first; the others are spread at random. `random` is drawn from 0 to 1.
pub fn for_relay(link_mbps: f64, random: f64) -> Duration {
    seconds(link_delay_s(link_mbps) + MAX_RELAY_JITTER_S * random)
}

/// Delay added to the timeout after which a gateway takes over a coordinator's
/// lease. Machines with fast links come first. `random` is drawn from 0 to 1.
pub fn for_coordinator(link_mbps: f64, random: f64) -> Duration {
    seconds(COORDINATOR_LINK_FACTOR * link_delay_s(link_mbps) + MAX_COORDINATOR_JITTER_S * random)
}

/// Further delay that depends on how long a store call takes; `None` means
/// unknown and gives the longest delay.
pub fn for_store_latency(call: Option<Duration>) -> Duration {
    let call = call.map_or(MAX_STORE_DELAY_S, |call| call.as_secs_f64());
    seconds((STORE_DELAY_CALLS * call).min(MAX_STORE_DELAY_S))
}

fn link_delay_s(link_mbps: f64) -> f64 {
    (ONE_SECOND_LINK_MBPS / link_mbps.max(1.0)).min(MAX_LINK_DELAY_S)
}

fn seconds(value: f64) -> Duration {
    Duration::try_from_secs_f64(value).unwrap_or_default()
}
