//! Gateways that get the processor for a part of the time only, and back ends
//! that read slowly. Each kind is drawn from a separate random stream and comes
//! in addition to any selection of faults.

use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::{Fault, Kind, LENGTH_MS, random_duration};

/// Bounds of the time for which a slow gateway runs in each period, in
/// milliseconds.
const SHARE_MS: (u64, u64) = (10, 60);
/// Slow gateways among this many, on average.
const SLOW_AMONG: (u32, u32) = (2, 3);
/// Bounds of the pause between two back ends that begin to read slowly, in
/// milliseconds.
const READER_PAUSE_MS: (u64, u64) = (150, 700);
/// Rates at which they read each connection, in bytes per second. A grant takes
/// up to half a kilobyte.
const READ_RATES: [u32; 4] = [50, 200, 1_000, 5_000];

/// Gateways that are slow from the first to the last fault, each with a share
/// of the processor that does not change.
pub fn plan_slow_gateways(seed: u64, total: Duration, gateways: usize) -> Vec<Fault> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    rng.set_stream(15);
    let mut faults = Vec::new();
    for gateway in 0..gateways {
        let is_slow = rng.random_ratio(SLOW_AMONG.0, SLOW_AMONG.1);
        let share = random_duration(&mut rng, SHARE_MS);
        if is_slow {
            faults.push(Fault {
                at: Duration::ZERO,
                length: total,
                kind: Kind::SlowGateway { gateway, share },
            });
        }
    }
    faults
}

/// Back ends that read slowly for a while; they overlap. `keyed` of them hold
/// keys and come first.
pub fn plan_slow_readers(seed: u64, total: Duration, keyed: usize, back_ends: usize) -> Vec<Fault> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    rng.set_stream(16);
    let mut faults = Vec::new();
    let mut at = random_duration(&mut rng, READER_PAUSE_MS);
    while at < total {
        let any = rng.random_range(0..back_ends);
        let kind = Kind::SlowReader {
            back_end: match rng.random_ratio(1, 6) {
                true => any,
                false => any % keyed,
            },
            bytes_per_s: READ_RATES[rng.random_range(0..READ_RATES.len())],
        };
        let length = random_duration(&mut rng, LENGTH_MS);
        faults.push(Fault { at, length, kind });
        at += random_duration(&mut rng, READER_PAUSE_MS);
    }
    faults
}
