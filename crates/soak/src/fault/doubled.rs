//! Back ends that send answers twice, and what moves keys meanwhile. Each is
//! drawn from a separate random stream.
//!
//! No order is delayed or carried out late, so that a key which is given on
//! while its holder is at work is always a fault.

use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::{Fault, Kind, LATE_WRITE_MS, LENGTH_MS, RESTART_GAP_MS, random_duration};
use crate::proxy::copies::CopyTiming;
use crate::world::SERVICES;

/// Bounds of the pause between the starts of two back ends' copies, in
/// milliseconds.
const COPIES_PAUSE_MS: (u64, u64) = (200, 800);
/// Bounds of the percentage of answers that are sent twice.
const COPIES_PERCENT: (u32, u32) = (5, 40);
/// Bounds of the pause between two moves of keys, in milliseconds.
const MOVE_PAUSE_MS: (u64, u64) = (400, 1_200);

/// Back ends that send answers twice for a while; they may overlap.
pub(super) fn plan_copies(seed: u64, total: Duration, back_ends: usize) -> Vec<Fault> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    rng.set_stream(7);
    let mut at = Duration::ZERO;
    let mut faults = Vec::new();
    loop {
        at += random_duration(&mut rng, COPIES_PAUSE_MS);
        if at >= total {
            return faults;
        }
        let kind = Kind::Doubles {
            back_end: draw_back_end(&mut rng, back_ends),
            timing: [CopyTiming::Late, CopyTiming::Late, CopyTiming::AtOnce]
                [rng.random_range(0..3)],
            percent: rng.random_range(COPIES_PERCENT.0..COPIES_PERCENT.1),
        };
        let length = random_duration(&mut rng, LENGTH_MS);
        faults.push(Fault { at, length, kind });
    }
}

/// Back ends that are replaced, turn cold or crash, and gateways that are
/// killed.
pub(super) fn plan_moves(
    seed: u64,
    total: Duration,
    gateways: usize,
    back_ends: usize,
) -> Vec<Fault> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    rng.set_stream(8);
    let mut at = Duration::ZERO;
    let mut faults = Vec::new();
    loop {
        at += random_duration(&mut rng, MOVE_PAUSE_MS);
        if at >= total {
            return faults;
        }
        let back_end = draw_back_end(&mut rng, back_ends);
        let kind = match rng.random_range(0..8) {
            0..=3 => Kind::Replace(back_end),
            4 | 5 => Kind::Cold(back_end),
            6 => Kind::Restart {
                back_end,
                dark: random_duration(&mut rng, RESTART_GAP_MS),
                lapses: rng.random(),
                late: random_duration(&mut rng, LATE_WRITE_MS),
            },
            _ => Kind::Kill(rng.random_range(0..gateways)),
        };
        let length = random_duration(&mut rng, LENGTH_MS);
        faults.push(Fault { at, length, kind });
    }
}

/// Draws a back end, three of four times one that holds keys.
fn draw_back_end(rng: &mut ChaCha8Rng, back_ends: usize) -> usize {
    let back_end = rng.random_range(0..back_ends);
    let keyed = back_end - back_end % SERVICES.len();
    match rng.random() {
        true => keyed,
        false => back_end,
    }
}
