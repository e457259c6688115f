//! In which order gateways take an office that is free: those with room for it
//! first, and of a coordinator's those near the store.
//!
//! What these add decides between candidates that learn of the loss together,
//! and is short beside the silence after which an office counts as free.

use std::time::Duration;

/// Longest part by the link, in seconds.
const LINK_PART: f64 = 0.5;
/// Speed at which the part by the link is a second, in Mbit/s.
const LINK_MBPS: f64 = 5.0;
/// Part of a relay's by chance, in seconds.
const RELAY_CHANCE: f64 = 0.25;
/// Part of a coordinator's by chance, in seconds.
const COORDINATOR_CHANCE: f64 = 0.15;
/// Of the part by the link, what counts for a coordinator: its messages are
/// small, and grants last 3 s while it takes over.
const COORDINATOR_LINK: f64 = 0.2;
/// How often a coordinator's part by the store is what a call takes. Moves take
/// several calls one after the other.
const STORE_CALLS: f64 = 8.0;
/// Longest part by the store, in seconds.
const STORE_PART: f64 = 0.2;

/// Time before a gateway claims to relay: machines with fast links come first,
/// and of the others each at a time of its own. `chance` is drawn from 0 to 1.
pub fn for_relay(link_mbps: f64, chance: f64) -> Duration {
    seconds(by_link(link_mbps) + RELAY_CHANCE * chance)
}

/// Added to the time after which a gateway takes a coordinator's office over:
/// machines with fast links come first. `chance` is drawn from 0 to 1.
pub fn for_coordinator(link_mbps: f64, chance: f64) -> Duration {
    seconds(COORDINATOR_LINK * by_link(link_mbps) + COORDINATOR_CHANCE * chance)
}

/// Added to that where a call to the store takes so long; `None`: unknown.
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
