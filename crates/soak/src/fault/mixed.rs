//! Faults of every kind that is not about the owners of keys, and drained zones.

use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::{Fault, Kind, LENGTH_MS, PAUSE_MS};
use crate::world::ZONES;

/// Bounds of the time for which a zone is drained, in milliseconds: longer than
/// the time within which its back ends must stop receiving requests.
const DRAIN_MS: (u64, u64) = (7_000, 12_000);

pub(super) fn plan_mixed(
    seed: u64,
    total: Duration,
    gateways: usize,
    back_ends: usize,
) -> Vec<Fault> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut at = Duration::ZERO;
    let mut faults = Vec::new();
    loop {
        at += Duration::from_millis(rng.random_range(PAUSE_MS.0..PAUSE_MS.1));
        if at >= total {
            return faults;
        }
        let length = Duration::from_millis(rng.random_range(LENGTH_MS.0..LENGTH_MS.1));
        let kind = draw_mixed_fault(&mut rng, gateways, back_ends);
        faults.push(Fault { at, length, kind });
    }
}

/// Drained zones, one after the other. They are drawn from a separate random
/// stream, so that the other faults of a seed stay the same.
pub(super) fn plan_zone_drains(seed: u64, total: Duration) -> Vec<Fault> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    rng.set_stream(1);
    let mut drains = Vec::new();
    let mut at = Duration::ZERO;
    loop {
        at += Duration::from_millis(rng.random_range(PAUSE_MS.0..PAUSE_MS.1));
        let length = Duration::from_millis(rng.random_range(DRAIN_MS.0..DRAIN_MS.1));
        if at + length >= total {
            return drains;
        }
        let kind = Kind::DrainZone(rng.random_range(0..ZONES));
        drains.push(Fault { at, length, kind });
        at += length;
    }
}

fn draw_mixed_fault(rng: &mut ChaCha8Rng, gateways: usize, back_ends: usize) -> Kind {
    let gw = rng.random_range(0..gateways);
    let be = rng.random_range(0..back_ends);
    match rng.random_range(0..20) {
        0 | 1 => Kind::Kill(gw),
        2 => Kind::KillAll,
        3 | 4 => Kind::Pause(gw),
        5 => Kind::Stop(gw),
        6 => Kind::Reload(gw),
        7 => Kind::StoreSilent,
        8 => Kind::StoreBusy,
        9 => Kind::StoreLosesAnswers,
        10 => Kind::StoreForgets,
        11 => Kind::StoreCut(gw),
        12 => Kind::StoreDeaf(gw),
        13 => Kind::StoreReset(gw),
        14 => Kind::BackEndReset(be),
        15 => Kind::BackEndCut(be),
        16 => Kind::BackEndDeaf(be),
        17 => Kind::BackEndSlow(be),
        18 => Kind::Replace(be),
        _ => Kind::Configure,
    }
}
