//! Faults of two regions with a narrow link between them. Keys move all the
//! time; orders are late, answers doubled, the link full, gateways and the
//! store away. Each kind of trouble is drawn from a separate random stream, so
//! that they overlap.

use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::{Fault, Kind, LATE_WRITE_MS, LENGTH_MS, RESTART_GAP_MS, random_duration};
use crate::proxy::Directions;
use crate::proxy::copies::CopyTiming;

/// Bounds of the pause between two moves of keys, in milliseconds.
const MOVE_PAUSE_MS: (u64, u64) = (250, 900);
/// Time from when a back end leaves until its process ends.
const LEAVE_MS: (u64, u64) = (2_500, 8_000);
/// Bounds of the pause between two back ends that turn late.
const LATE_PAUSE_MS: (u64, u64) = (200, 1_000);
/// Longest delay of an order that is applied late.
const LATE_ORDER_MS: (u64, u64) = (500, 12_000);
/// Time for which a back end leaves orders unanswered.
const LATE_LENGTH_MS: (u64, u64) = (400, 5_500);
/// Bounds of the pause between two back ends that double answers.
const COPIES_PAUSE_MS: (u64, u64) = (400, 1_500);
/// Bounds of the percentage of answers that are sent twice.
const COPIES_PERCENT: (u32, u32) = (5, 40);
/// Bounds of the pause between two times when the link is full.
const LINK_PAUSE_MS: (u64, u64) = (800, 4_000);
/// How long the queue in a full link is, as a time.
const LINK_QUEUE_MS: (u64, u64) = (200, 2_500);
/// Bounds of the pause between two faults of gateways.
const GATEWAY_PAUSE_MS: (u64, u64) = (1_200, 4_000);
/// Bounds of the pause between two faults of the store.
const STORE_PAUSE_MS: (u64, u64) = (1_200, 4_500);
/// Delay of answers of a slow store.
const STORE_SLOW_MS: (u64, u64) = (100, 1_500);
/// Delay of writes that are applied late.
const STORE_LATE_MS: (u64, u64) = (500, 5_000);

/// Numbers of what faults may concern.
#[derive(Clone, Copy, Debug)]
pub(super) struct Targets {
    pub(super) gateways: usize,
    /// Back ends that hold keys; they come first.
    pub(super) keyed: usize,
    pub(super) back_ends: usize,
}

/// Draws one fault: its kind, and the bounds of its length.
type Draw = fn(&mut ChaCha8Rng, Targets) -> (Kind, (u64, u64));

/// Returns all faults, in no order.
pub(super) fn plan_regions(seed: u64, total: Duration, targets: Targets) -> Vec<Fault> {
    let series: [(u64, (u64, u64), Draw); 6] = [
        (9, MOVE_PAUSE_MS, draw_move),
        (10, LATE_PAUSE_MS, draw_late_orders),
        (11, COPIES_PAUSE_MS, draw_copies),
        (12, LINK_PAUSE_MS, draw_full_link),
        (13, GATEWAY_PAUSE_MS, draw_gateway_fault),
        (14, STORE_PAUSE_MS, draw_store_fault),
    ];
    let mut faults = Vec::new();
    for (stream, pause, draw) in series {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        rng.set_stream(stream);
        let mut at = random_duration(&mut rng, pause);
        while at < total {
            let (kind, lengths) = draw(&mut rng, targets);
            let length = random_duration(&mut rng, lengths);
            faults.push(Fault { at, length, kind });
            at += random_duration(&mut rng, pause);
        }
    }
    faults
}

fn draw_move(rng: &mut ChaCha8Rng, targets: Targets) -> (Kind, (u64, u64)) {
    let any = rng.random_range(0..targets.back_ends);
    let keyed = rng.random_range(0..targets.keyed);
    match rng.random_range(0..12) {
        0..=1 => (Kind::Replace(keyed), LENGTH_MS),
        2 => (Kind::Cold(keyed), LENGTH_MS),
        3..=4 => {
            let kind = Kind::Restart {
                back_end: keyed,
                dark: random_duration(rng, RESTART_GAP_MS),
                lapses: rng.random(),
                late: random_duration(rng, LATE_WRITE_MS),
            };
            (kind, LENGTH_MS)
        }
        5..=6 => (Kind::Unregistered(keyed), LENGTH_MS),
        each => {
            let kind = Kind::Leave {
                back_end: if each == 11 { any } else { keyed },
                says_draining: rng.random(),
                reused: rng.random(),
            };
            (kind, LEAVE_MS)
        }
    }
}

fn draw_late_orders(rng: &mut ChaCha8Rng, targets: Targets) -> (Kind, (u64, u64)) {
    let kind = Kind::LateOrders {
        back_end: rng.random_range(0..targets.keyed),
        lateness: random_duration(rng, LATE_ORDER_MS),
    };
    (kind, LATE_LENGTH_MS)
}

fn draw_copies(rng: &mut ChaCha8Rng, targets: Targets) -> (Kind, (u64, u64)) {
    let kind = Kind::Doubles {
        back_end: rng.random_range(0..targets.back_ends),
        timing: [CopyTiming::Late, CopyTiming::Late, CopyTiming::AtOnce][rng.random_range(0..3)],
        percent: rng.random_range(COPIES_PERCENT.0..COPIES_PERCENT.1),
    };
    (kind, LENGTH_MS)
}

fn draw_full_link(rng: &mut ChaCha8Rng, _targets: Targets) -> (Kind, (u64, u64)) {
    let ways = [Directions::There, Directions::Back, Directions::Both][rng.random_range(0..3)];
    let queue = random_duration(rng, LINK_QUEUE_MS);
    (Kind::LinkFull { ways, queue }, LENGTH_MS)
}

fn draw_gateway_fault(rng: &mut ChaCha8Rng, targets: Targets) -> (Kind, (u64, u64)) {
    let gateway = rng.random_range(0..targets.gateways);
    let kind = match rng.random_range(0..8) {
        0..=2 => Kind::KillCoordinator,
        3 => Kind::PauseCoordinator,
        4 => Kind::Stop(gateway),
        5 => Kind::Pause(gateway),
        _ => Kind::Kill(gateway),
    };
    (kind, LENGTH_MS)
}

fn draw_store_fault(rng: &mut ChaCha8Rng, targets: Targets) -> (Kind, (u64, u64)) {
    let gateway = rng.random_range(0..targets.gateways);
    let others = rng.random_range(1..targets.gateways.max(2));
    let kind = match rng.random_range(0..8) {
        0 => Kind::StoreSilent,
        1 => Kind::StoreBusy,
        2 => Kind::StoreLosesAnswers,
        3 => Kind::StoreForgets,
        4 => Kind::StoreSlow(random_duration(rng, STORE_SLOW_MS)),
        5 => Kind::StoreWritesLate(random_duration(rng, STORE_LATE_MS)),
        each => Kind::StoreTurnsAway {
            first: gateway,
            count: others,
            silently: each == 7,
        },
    };
    (kind, LENGTH_MS)
}
