//! Fault schedules drawn from a seed.

mod doubled;
mod regions;
mod slow;

use std::fmt;
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::proxy::Directions;
use crate::proxy::copies::CopyTiming;
use crate::regions::PLAIN_COUNT;
use crate::world::ZONES;

pub use slow::{plan_slow_gateways, plan_slow_readers};

/// Bounds of the length of a fault, in milliseconds.
const LENGTH_MS: (u64, u64) = (400, 5_000);
/// Bounds of the pause between the starts of two faults.
const PAUSE_MS: (u64, u64) = (300, 3_000);

/// Bounds of the time for which a zone is drained, in milliseconds: longer than
/// the time within which its back ends must stop receiving requests.
const DRAIN_MS: (u64, u64) = (7_000, 12_000);

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
/// Time from the crash of a back end until the next process serves at its
/// address.
const RESTART_GAP_MS: (u64, u64) = (100, 900);
/// Time from the registration of the new process until that of the dead one is
/// written again.
const LATE_WRITE_MS: (u64, u64) = (50, 2_000);
/// Bounds of the pause between two stalls of connections between gateways.
const PEER_STALL_PAUSE_MS: (u64, u64) = (2_000, 9_000);
/// Delay after which late grants are applied.
const LATE_GRANT_MS: (u64, u64) = (500, 3_000);

/// Kind of fault, printed under these names in plans and logs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// A gateway is killed and restarted.
    Kill(usize),
    /// Every gateway is killed at once and restarted.
    KillAll,
    /// A gateway is paused with SIGSTOP.
    Pause(usize),
    /// A gateway is asked to stop, and restarted once it has.
    Stop(usize),
    /// A gateway is told to reload its settings file.
    Reload(usize),
    /// The store answers no requests.
    StoreSilent,
    /// The store rejects all requests as overloaded.
    StoreBusy,
    /// The store applies writes but loses the responses.
    StoreLosesAnswers,
    /// The store compacts its history.
    StoreForgets,
    /// Bytes between a gateway and the store are dropped in both directions.
    StoreCut(usize),
    /// Responses of the store to a gateway are dropped.
    StoreDeaf(usize),
    /// Connections between a gateway and the store are reset.
    StoreReset(usize),
    /// Connections to a back end are reset.
    BackEndReset(usize),
    /// Bytes to and from a back end are dropped.
    BackEndCut(usize),
    /// Responses of a back end are dropped.
    BackEndDeaf(usize),
    /// Bytes to and from a back end are delayed.
    BackEndSlow(usize),
    /// A back end registers as draining and is replaced by another one.
    Replace(usize),
    /// The operator writes another configuration.
    Configure,
    /// The operator drains the zone of this number, and later restores it.
    DrainZone(usize),
    /// Connections to a back end are partitioned, for all gateways or for one;
    /// bytes are buffered and delivered some time after the partition has
    /// healed.
    BackEndHold {
        /// The back end.
        back_end: usize,
        /// Directions that are cut.
        ways: Directions,
        /// The gateway to which the partition is limited.
        gateway: Option<usize>,
        /// Time from the healing until buffered bytes are delivered.
        lag: Duration,
    },
    /// Connections between a gateway and the store are partitioned, and bytes
    /// are buffered.
    StoreHold {
        /// The gateway.
        gateway: usize,
        /// Directions that are cut.
        ways: Directions,
        /// Time from the healing until buffered bytes are delivered.
        lag: Duration,
    },
    /// Existing connections to a back end stall for good; new connections work.
    BackEndMute(usize),
    /// Existing connections between a gateway and the store stall for good.
    StoreMute(usize),
    /// Existing connections between a gateway and all other gateways stall for
    /// good.
    PeersMute(usize),
    /// A back end crashes, and another process serves at its address.
    Restart {
        /// The back end.
        back_end: usize,
        /// Time until the next process serves and is registered.
        dark: Duration,
        /// True if the registration of the dead process expires before that.
        lapses: bool,
        /// Time from then until the old registration is written again.
        late: Duration,
    },
    /// A back end reports that it is slow for a while, as after its start.
    Cold(usize),
    /// A back end announces a rate limit in its responses.
    NamesLimit {
        /// The back end.
        back_end: usize,
        /// Requests per ten seconds that it accepts.
        in_ten_s: u32,
    },
    /// A back end announces in its responses that it is leaving, and is
    /// replaced afterwards.
    SaysLeaving(usize),
    /// A back end rejects every request and asks for a backoff.
    AsksRest {
        /// The back end.
        back_end: usize,
        /// Length of the backoff.
        rest: Duration,
    },
    /// A back end leaves grants unanswered and applies them later.
    LateGrants {
        /// The back end.
        back_end: usize,
        /// Delay after which the grants are applied.
        lateness: Duration,
    },
    /// A back end sends some of its answers twice.
    Doubles {
        /// The back end.
        back_end: usize,
        /// Time of the second copy.
        timing: CopyTiming,
        /// Percentage of the answers that are sent twice.
        percent: u32,
    },
    /// A back end leaves grants and releases unanswered and applies them later.
    LateOrders {
        /// The back end.
        back_end: usize,
        /// Longest delay after which one is applied.
        lateness: Duration,
    },
    /// A back end leaves, its process ends later, and another one has come at
    /// another address.
    Leave {
        /// The back end.
        back_end: usize,
        /// True if it registers as draining; else its registration vanishes.
        says_draining: bool,
        /// True if a back end of another service takes over its address.
        reused: bool,
    },
    /// A back end cannot reach the store: its registration lapses while it
    /// serves on.
    Unregistered(usize),
    /// A gateway gets the processor only for a part of each period.
    SlowGateway {
        /// The gateway.
        gateway: usize,
        /// Time for which it runs in each period.
        share: Duration,
    },
    /// A back end reads each connection slowly, so that what it was sent waits
    /// unread.
    SlowReader {
        /// The back end.
        back_end: usize,
        /// Rate at which it reads each connection.
        bytes_per_s: u32,
    },
    /// Other traffic fills the link between two regions.
    LinkFull {
        /// Directions that are full, as seen from the first region.
        ways: Directions,
        /// How long the queue is, as a time.
        queue: Duration,
    },
    /// The gateway that holds the lease of a coordinator is killed.
    KillCoordinator,
    /// The gateway that holds the lease of a coordinator is paused.
    PauseCoordinator,
    /// The store answers after this time.
    StoreSlow(Duration),
    /// The store answers no write and applies it after this time.
    StoreWritesLate(Duration),
    /// The store turns some gateways away.
    StoreTurnsAway {
        /// The first of them.
        first: usize,
        /// Their number; after the last gateway comes the first.
        count: usize,
        /// True if it does not answer them; else it rejects their calls.
        silently: bool,
    },
}

impl Kind {
    /// Returns whether the fault may keep a gateway from reaching the store or
    /// from running, or requests from reaching a back end in time.
    pub const fn may_disconnect(self) -> bool {
        !matches!(
            self,
            Kind::Reload(_)
                | Kind::BackEndReset(_)
                | Kind::BackEndCut(_)
                | Kind::BackEndDeaf(_)
                | Kind::BackEndSlow(_)
                | Kind::Replace(_)
                | Kind::Configure
                | Kind::DrainZone(_)
                | Kind::BackEndMute(_)
                | Kind::Restart { .. }
                | Kind::Cold(_)
                | Kind::LateGrants { .. }
                | Kind::NamesLimit { .. }
                | Kind::SaysLeaving(_)
                | Kind::AsksRest { .. }
                | Kind::Doubles { .. }
                | Kind::LateOrders { .. }
                | Kind::Leave { .. }
                | Kind::Unregistered(_)
                | Kind::SlowGateway { .. }
                | Kind::SlowReader { .. }
        )
    }

    /// Time from the end of the fault until the bytes that it buffered are
    /// delivered.
    pub const fn lag(self) -> Duration {
        match self {
            Kind::BackEndHold { lag, .. } | Kind::StoreHold { lag, .. } => lag,
            _ => Duration::ZERO,
        }
    }
}

/// One scheduled fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Fault {
    /// Start time, since the start of the soak.
    pub at: Duration,
    /// Duration, for faults that have one.
    pub length: Duration,
    /// Kind of the fault.
    pub kind: Kind,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let at = self.at.as_secs_f64();
        let length = self.length.as_secs_f64();
        write!(f, "{at:.2} s, for {length:.2} s: {:?}", self.kind)
    }
}

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

/// Selection of the faults to inject.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FaultSet {
    /// All faults but backpressure.
    All,
    /// Only faults that affect the ownership of keys.
    Owners,
    /// Backpressure from back ends, together with store outages and killed
    /// gateways.
    Backpressure,
    /// Only answers that back ends send twice, while keys move.
    Doubled,
    /// Those of two regions with a narrow link between them.
    Regions,
}

/// Returns the faults of a soak that lasts `total`, ordered by start time.
pub fn plan(
    seed: u64,
    total: Duration,
    gateways: usize,
    back_ends: usize,
    fault_set: FaultSet,
) -> Vec<Fault> {
    if fault_set == FaultSet::Backpressure {
        let mut faults = plan_backpressure(seed, total, back_ends);
        faults.extend(plan_concurrent_with_backpressure(seed, total, gateways));
        faults.sort_by_key(|fault| fault.at);
        return faults;
    }
    if fault_set == FaultSet::Doubled {
        let mut faults = doubled::plan_copies(seed, total, back_ends);
        faults.extend(doubled::plan_moves(seed, total, gateways, back_ends));
        faults.sort_by_key(|fault| fault.at);
        return faults;
    }
    if fault_set == FaultSet::Regions {
        let targets = regions::Targets {
            gateways,
            keyed: back_ends - PLAIN_COUNT,
            back_ends,
        };
        let mut faults = regions::plan_regions(seed, total, targets);
        faults.sort_by_key(|fault| fault.at);
        return faults;
    }
    let mut faults = plan_owner_faults(seed, total, gateways, back_ends);
    faults.extend(plan_peer_stalls(seed, total, gateways));
    faults.extend(plan_long_partitions(seed, total, back_ends));
    if fault_set == FaultSet::All {
        faults.extend(plan_mixed(seed, total, gateways, back_ends));
        faults.extend(plan_zone_drains(seed, total));
    }
    faults.sort_by_key(|fault| fault.at);
    faults
}

fn plan_mixed(seed: u64, total: Duration, gateways: usize, back_ends: usize) -> Vec<Fault> {
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

/// Partitions, stalled connections, and back ends that restart, become cold or
/// apply grants late. Like the drained zones, they are drawn from a separate
/// random stream.
fn plan_owner_faults(seed: u64, total: Duration, gateways: usize, back_ends: usize) -> Vec<Fault> {
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
fn plan_peer_stalls(seed: u64, total: Duration, gateways: usize) -> Vec<Fault> {
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
fn plan_long_partitions(seed: u64, total: Duration, back_ends: usize) -> Vec<Fault> {
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

fn random_duration(rng: &mut ChaCha8Rng, (shortest, longest): (u64, u64)) -> Duration {
    Duration::from_millis(rng.random_range(shortest..longest))
}

/// Drained zones, one after the other. They are drawn from a separate random
/// stream, so that the other faults of a seed stay the same.
fn plan_zone_drains(seed: u64, total: Duration) -> Vec<Fault> {
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

/// Backpressure episodes, which may overlap.
fn plan_backpressure(seed: u64, total: Duration, back_ends: usize) -> Vec<Fault> {
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
fn plan_concurrent_with_backpressure(seed: u64, total: Duration, gateways: usize) -> Vec<Fault> {
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
