//! Exponential backoff between attempts, with jitter drawn from a seed.

use std::time::Duration;

/// Maximum number of doublings.
const MAX_DOUBLINGS: u32 = 16;

/// Maps a number to a uniformly distributed one (the finalizer of SplitMix64).
/// The result is deterministic, so that runs can be repeated.
pub fn splitmix64(number: u64) -> u64 {
    let mut mixed = number.wrapping_add(0x9e37_79b9_7f4a_7c15);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}

/// Returns the wait before attempt number `attempts + 1`: a random duration
/// between half and all of `initial` doubled with each attempt, capped at
/// `max`. The jitter keeps requests that failed together from retrying
/// together.
pub fn backoff(initial: Duration, max: Duration, attempts: u32, draw: u64) -> Duration {
    let doublings = attempts.saturating_sub(1).min(MAX_DOUBLINGS);
    let whole = (initial * (1 << doublings)).min(max);
    let half = whole / 2;
    let jitter_micros = splitmix64(draw) % (half.as_micros() as u64 + 1);
    half + Duration::from_micros(jitter_micros)
}
