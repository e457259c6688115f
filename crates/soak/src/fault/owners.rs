//! Faults that aim at the owners of keys. Each series is drawn from a separate
//! random stream.

use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::{Fault, Kind, LATE_WRITE_MS, LENGTH_MS, PAUSE_MS, RESTART_GAP_MS, random_duration};
use crate::proxy::Directions;

/// Bounds of the length of a network partition that buffers bytes: from one
/// that grants survive to one after which the keys belong to another back end.
const PARTITION_MS: (u64, u64) = (500, 7_000);
/// Bounds of a partition during which the keys of a back end move to another
/// one: its loss was observed to be detected within 5 s, and its hold is waited
/// out at most twice.
const LONG_PARTITION_MS: (u64, u64) = (9_500, 11_500);
/// Bounds of the pause before such a partition.
const LONG_PARTITION_PAUSE_MS: (u64, u64) = (500, 4_000);
/// Time from the healing of such a partition until buffered bytes are
/// delivered. TCP retransmission waits up to about as long again as a short
/// partition lasted.
const LAG_MS: (u64, u64) = (350, 2_500);
/// Bounds of the pause between two stalls of connections between gateways.
const PEER_STALL_PAUSE_MS: (u64, u64) = (2_000, 9_000);
/// Delay after which late grants are applied.
const LATE_GRANT_MS: (u64, u64) = (500, 3_000);

/// Partitions, stalled connections, and back ends that restart, become cold or
/// apply grants late. Like the drained zones, they are drawn from a separate
/// random stream.
pub(super) fn plan_owner_faults(
    seed: u64,
    total: Duration,
    gateways: usize,
    back_ends: usize,
) -> Vec<Fault> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    rng.set_stream(2);
    let mut at = Duration::ZERO;
    let mut faults = Vec::new();
    loop {
        at += random_duration(&mut rng, PAUSE_MS);
        if at >= total {
            return faults;
        }
        let kind = draw_owner_fault(&mut rng, gateways, back_ends);
        let length = match kind {
            Kind::BackEndHold { .. } | Kind::StoreHold { .. } => {
                random_duration(&mut rng, PARTITION_MS)
            }
            _ => random_duration(&mut rng, LENGTH_MS),
        };
        faults.push(Fault { at, length, kind });
    }
}

/// Gateways whose connections to the others stall, drawn from a separate random
/// stream.
pub(super) fn plan_peer_stalls(seed: u64, total: Duration, gateways: usize) -> Vec<Fault> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    rng.set_stream(3);
    let mut at = Duration::ZERO;
    let mut faults = Vec::new();
    loop {
        at += random_duration(&mut rng, PEER_STALL_PAUSE_MS);
        if at >= total {
            return faults;
        }
        faults.push(Fault {
            at,
            length: random_duration(&mut rng, LENGTH_MS),
            kind: Kind::PeersMute(rng.random_range(0..gateways)),
        });
    }
}

/// Partitions that keep grants from a back end for so long that its keys move
/// to another one. They follow one another and are drawn from a separate random
/// stream.
pub(super) fn plan_long_partitions(seed: u64, total: Duration, back_ends: usize) -> Vec<Fault> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    rng.set_stream(4);
    let mut at = Duration::ZERO;
    let mut faults = Vec::new();
    loop {
        at += random_duration(&mut rng, LONG_PARTITION_PAUSE_MS);
        let length = random_duration(&mut rng, LONG_PARTITION_MS);
        let kind = Kind::BackEndHold {
            back_end: rng.random_range(0..back_ends),
            ways: [Directions::There, Directions::Both][rng.random_range(0..2)],
            gateway: None,
            lag: random_duration(&mut rng, LAG_MS),
        };
        if at >= total {
            return faults;
        }
        faults.push(Fault { at, length, kind });
        at += length;
    }
}

fn draw_owner_fault(rng: &mut ChaCha8Rng, gateways: usize, back_ends: usize) -> Kind {
    let gateway = rng.random_range(0..gateways);
    let back_end = rng.random_range(0..back_ends);
    let ways = [Directions::There, Directions::Back, Directions::Both][rng.random_range(0..3)];
    match rng.random_range(0..13) {
        each @ 0..=3 => Kind::BackEndHold {
            back_end,
            ways,
            gateway: (each > 1).then_some(gateway),
            lag: random_duration(rng, LAG_MS),
        },
        4 => Kind::StoreHold {
            gateway,
            ways,
            lag: random_duration(rng, LAG_MS),
        },
        5 => Kind::BackEndMute(back_end),
        6 => Kind::StoreMute(gateway),
        7..=9 => Kind::Restart {
            back_end,
            dark: random_duration(rng, RESTART_GAP_MS),
            lapses: rng.random(),
            late: random_duration(rng, LATE_WRITE_MS),
        },
        10 => Kind::Cold(back_end),
        _ => Kind::LateGrants {
            back_end,
            lateness: random_duration(rng, LATE_GRANT_MS),
        },
    }
}
