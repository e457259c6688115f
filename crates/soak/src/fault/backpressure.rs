//! Backpressure from back ends, and the faults that occur meanwhile.

use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::{Fault, Kind, LENGTH_MS, random_duration};

/// Bounds of the pause between two backpressure episodes, in milliseconds.
const BACKPRESSURE_PAUSE_MS: (u64, u64) = (400, 2_000);
/// Bounds of the pause between concurrent faults, in milliseconds.
const CONCURRENT_PAUSE_MS: (u64, u64) = (1_500, 5_000);
/// Bounds of the time for which a back end announces a limit, in milliseconds.
const LIMIT_MS: (u64, u64) = (6_000, 12_000);
/// Requests per ten seconds in an announced limit.
const LIMIT_IN_TEN_S: (u32, u32) = (5, 60);
/// Time from when a back end announces that it is leaving until it is replaced,
/// in milliseconds.
const LEAVING_MS: (u64, u64) = (4_000, 7_000);
/// Bounds of a requested backoff, in milliseconds.
const REST_MS: (u64, u64) = (800, 4_000);

/// Backpressure episodes, which may overlap.
pub(super) fn plan_backpressure(seed: u64, total: Duration, back_ends: usize) -> Vec<Fault> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    rng.set_stream(5);
    let mut at = Duration::ZERO;
    let mut faults = Vec::new();
    loop {
        at += random_duration(&mut rng, BACKPRESSURE_PAUSE_MS);
        if at >= total {
            return faults;
        }
        let back_end = rng.random_range(0..back_ends);
        let (kind, lengths) = match rng.random_range(0..4) {
            0 => (Kind::SaysLeaving(back_end), LEAVING_MS),
            1 => {
                let rest = random_duration(&mut rng, REST_MS);
                (Kind::AsksRest { back_end, rest }, LENGTH_MS)
            }
            _ => {
                let in_ten_s = rng.random_range(LIMIT_IN_TEN_S.0..LIMIT_IN_TEN_S.1);
                (Kind::NamesLimit { back_end, in_ten_s }, LIMIT_MS)
            }
        };
        let length = random_duration(&mut rng, lengths);
        faults.push(Fault { at, length, kind });
    }
}

/// Faults that occur during backpressure. No connection is cut, because the
/// check must know every event that excuses a gateway from respecting
/// backpressure.
pub(super) fn plan_concurrent_with_backpressure(
    seed: u64,
    total: Duration,
    gateways: usize,
) -> Vec<Fault> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    rng.set_stream(6);
    let mut at = Duration::ZERO;
    let mut faults = Vec::new();
    loop {
        at += random_duration(&mut rng, CONCURRENT_PAUSE_MS);
        if at >= total {
            return faults;
        }
        let kind = match rng.random_range(0..6) {
            0 | 1 => Kind::Kill(rng.random_range(0..gateways)),
            2 => Kind::StoreSilent,
            3 => Kind::StoreBusy,
            4 => Kind::StoreForgets,
            _ => Kind::Configure,
        };
        let length = random_duration(&mut rng, LENGTH_MS);
        faults.push(Fault { at, length, kind });
    }
}
