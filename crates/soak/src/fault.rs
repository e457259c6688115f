//! Which faults come when, drawn from a seed.

use std::fmt;
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::proxy::Ways;
use crate::world::ZONES;

/// Shortest and longest fault, in milliseconds.
const LENGTH_MS: (u64, u64) = (400, 5_000);
/// Shortest and longest pause between the starts of two faults.
const PAUSE_MS: (u64, u64) = (300, 3_000);

/// Shortest and longest time for which a zone is drained, in milliseconds:
/// longer than the bound within which its back ends get nothing new.
const DRAIN_MS: (u64, u64) = (7_000, 12_000);

/// Shortest and longest cut that keeps bytes: from one that orders outlast to
/// one after which keys are another's.
const HOLD_MS: (u64, u64) = (500, 7_000);
/// The same of one during which the keys of a back end become another's: its
/// loss was seen to show within 5 s, its hold is waited out twice at the most.
const LONG_HOLD_MS: (u64, u64) = (9_500, 11_500);
/// Shortest and longest pause before such a cut.
const LONG_HOLD_PAUSE_MS: (u64, u64) = (500, 4_000);
/// From the healing of such a cut until what was kept goes on. TCP waits up to
/// about as long again as a short cut lasted.
const LAG_MS: (u64, u64) = (350, 2_500);
/// From the crash of a back end until the next process serves at its address.
const DARK_MS: (u64, u64) = (100, 900);
/// From its registration until one of the dead process is written again.
const LATE_WRITE_MS: (u64, u64) = (50, 2_000);
/// Shortest and longest pause between two silences between gateways.
const PEERS_PAUSE_MS: (u64, u64) = (2_000, 9_000);
/// Time by which orders are carried out late.
const LATE_ORDER_MS: (u64, u64) = (500, 3_000);

/// What goes wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// A gateway is killed and started again.
    Kill(usize),
    /// Every gateway is killed at once and started again.
    KillAll,
    /// A gateway stands still.
    Pause(usize),
    /// A gateway is asked to stop, and started again when it has.
    Stop(usize),
    /// The settings file of a gateway has changed, as it is told.
    Reload(usize),
    /// The store answers nobody.
    StoreSilent,
    /// The store refuses everybody.
    StoreBusy,
    /// The store does what it is told to write and does not say so.
    StoreLosesAnswers,
    /// The store forgets its history.
    StoreForgets,
    /// What a gateway and the store say to each other is swallowed.
    StoreCut(usize),
    /// The same, of the store's answers alone.
    StoreDeaf(usize),
    /// Connections between a gateway and the store are reset.
    StoreReset(usize),
    /// Connections to a back end are reset.
    BackEndReset(usize),
    /// What is said to a back end is swallowed.
    BackEndCut(usize),
    /// What a back end answers is swallowed.
    BackEndDeaf(usize),
    /// What is said to a back end and what it answers comes late.
    BackEndSlow(usize),
    /// A back end says that it is leaving, and comes back as another.
    Replace(usize),
    /// The operator writes another configuration.
    Configure,
    /// The operator drains the zone of this number, and restores it.
    DrainZone(usize),
    /// Links to a back end are cut, of all gateways or of one; what is sent is
    /// kept and delivered some time after the cut has healed.
    BackEndHold {
        /// The back end.
        back_end: usize,
        /// Which ways are cut.
        ways: Ways,
        /// The gateway whose links alone are cut.
        gateway: Option<usize>,
        /// From the healing until what was kept goes on.
        lag: Duration,
    },
    /// The same of the links between a gateway and the store.
    StoreHold {
        /// The gateway.
        gateway: usize,
        /// Which ways are cut.
        ways: Ways,
        /// From the healing until what was kept goes on.
        lag: Duration,
    },
    /// Connections to a back end go silent for good, and new ones work.
    BackEndMute(usize),
    /// The same between a gateway and the store.
    StoreMute(usize),
    /// The same between a gateway and all others.
    PeersMute(usize),
    /// A back end crashes, and another process serves at its address.
    Restart {
        /// The back end.
        back_end: usize,
        /// Until the next process serves and is registered.
        dark: Duration,
        /// Whether the registration of the dead one has gone by then.
        lapses: bool,
        /// From then until that registration is written again.
        late: Duration,
    },
    /// A back end is slow for a while, as after its start, and says so.
    Cold(usize),
    /// A back end names a limit in its answers.
    NamesLimit {
        /// The back end.
        back_end: usize,
        /// Requests that it takes in ten seconds.
        in_ten_s: u32,
    },
    /// A back end says in its answers that it leaves, and is replaced then.
    SaysLeaving(usize),
    /// A back end turns every request away and asks for rest.
    AsksRest {
        /// The back end.
        back_end: usize,
        /// The rest.
        rest: Duration,
    },
    /// A back end leaves grants unanswered and carries them out later.
    LateGrants {
        /// The back end.
        back_end: usize,
        /// How much later.
        lateness: Duration,
    },
}

impl Kind {
    /// Whether it may keep a gateway from reaching the store, or from running,
    /// or requests from reaching a back end in time.
    pub const fn cuts_off(self) -> bool {
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
        )
    }

    /// From its end until what it kept back is delivered.
    pub const fn lag(self) -> Duration {
        match self {
            Kind::BackEndHold { lag, .. } | Kind::StoreHold { lag, .. } => lag,
            _ => Duration::ZERO,
        }
    }
}

/// One fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Fault {
    /// When it begins, after the start.
    pub at: Duration,
    /// How long it lasts, where it lasts.
    pub length: Duration,
    /// What goes wrong.
    pub kind: Kind,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let at = self.at.as_secs_f64();
        let length = self.length.as_secs_f64();
        write!(f, "{at:.2} s, for {length:.2} s: {:?}", self.kind)
    }
}

/// Pause between two things that back ends say, in milliseconds.
const SAID_PAUSE_MS: (u64, u64) = (400, 2_000);
/// Pause between what happens beside them, in milliseconds.
const BESIDE_PAUSE_MS: (u64, u64) = (1_500, 5_000);
/// How long a back end names a limit, in milliseconds.
const LIMIT_MS: (u64, u64) = (6_000, 12_000);
/// Requests that one takes in ten seconds.
const LIMIT_IN_TEN_S: (u32, u32) = (5, 60);
/// From when a back end says that it leaves until it is replaced, in
/// milliseconds.
const LEAVING_MS: (u64, u64) = (4_000, 7_000);
/// Rest that is asked for, in milliseconds.
const REST_MS: (u64, u64) = (800, 4_000);

/// Which faults come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Choice {
    /// All.
    All,
    /// Those alone that aim at the owners of keys.
    Owners,
    /// Back ends that say what concerns later requests, a store that is away and
    /// gateways that are killed.
    Backpressure,
}

/// The faults of a run of `total`, in the order of their beginnings.
pub fn plan(
    seed: u64,
    total: Duration,
    gateways: usize,
    back_ends: usize,
    choice: Choice,
) -> Vec<Fault> {
    if choice == Choice::Backpressure {
        let mut faults = backpressure(seed, total, back_ends);
        faults.extend(beside_backpressure(seed, total, gateways));
        faults.sort_by_key(|fault| fault.at);
        return faults;
    }
    let mut faults = aimed_at_owners(seed, total, gateways, back_ends);
    faults.extend(silences(seed, total, gateways));
    faults.extend(long_holds(seed, total, back_ends));
    if choice == Choice::All {
        faults.extend(mixed(seed, total, gateways, back_ends));
        faults.extend(drains(seed, total));
    }
    faults.sort_by_key(|fault| fault.at);
    faults
}

fn mixed(seed: u64, total: Duration, gateways: usize, back_ends: usize) -> Vec<Fault> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut at = Duration::ZERO;
    let mut faults = Vec::new();
    loop {
        at += Duration::from_millis(rng.random_range(PAUSE_MS.0..PAUSE_MS.1));
        if at >= total {
            return faults;
        }
        let length = Duration::from_millis(rng.random_range(LENGTH_MS.0..LENGTH_MS.1));
        let kind = draw(&mut rng, gateways, back_ends);
        faults.push(Fault { at, length, kind });
    }
}

/// Links that keep bytes or go silent, back ends that restart, turn cold or
/// carry orders out late. They are drawn apart like the drained zones.
fn aimed_at_owners(seed: u64, total: Duration, gateways: usize, back_ends: usize) -> Vec<Fault> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    rng.set_stream(2);
    let mut at = Duration::ZERO;
    let mut faults = Vec::new();
    loop {
        at += between(&mut rng, PAUSE_MS);
        if at >= total {
            return faults;
        }
        let kind = draw_aimed(&mut rng, gateways, back_ends);
        let length = match kind {
            Kind::BackEndHold { .. } | Kind::StoreHold { .. } => between(&mut rng, HOLD_MS),
            _ => between(&mut rng, LENGTH_MS),
        };
        faults.push(Fault { at, length, kind });
    }
}

/// Gateways whose connections with the others go silent, drawn apart as well.
fn silences(seed: u64, total: Duration, gateways: usize) -> Vec<Fault> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    rng.set_stream(3);
    let mut at = Duration::ZERO;
    let mut faults = Vec::new();
    loop {
        at += between(&mut rng, PEERS_PAUSE_MS);
        if at >= total {
            return faults;
        }
        faults.push(Fault {
            at,
            length: between(&mut rng, LENGTH_MS),
            kind: Kind::PeersMute(rng.random_range(0..gateways)),
        });
    }
}

/// Back ends that no order reaches for so long that their keys become
/// another's, one after the other, drawn apart as well.
fn long_holds(seed: u64, total: Duration, back_ends: usize) -> Vec<Fault> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    rng.set_stream(4);
    let mut at = Duration::ZERO;
    let mut faults = Vec::new();
    loop {
        at += between(&mut rng, LONG_HOLD_PAUSE_MS);
        let length = between(&mut rng, LONG_HOLD_MS);
        let kind = Kind::BackEndHold {
            back_end: rng.random_range(0..back_ends),
            ways: [Ways::There, Ways::Both][rng.random_range(0..2)],
            gateway: None,
            lag: between(&mut rng, LAG_MS),
        };
        if at >= total {
            return faults;
        }
        faults.push(Fault { at, length, kind });
        at += length;
    }
}

fn draw_aimed(rng: &mut ChaCha8Rng, gateways: usize, back_ends: usize) -> Kind {
    let gateway = rng.random_range(0..gateways);
    let back_end = rng.random_range(0..back_ends);
    let ways = [Ways::There, Ways::Back, Ways::Both][rng.random_range(0..3)];
    match rng.random_range(0..13) {
        each @ 0..=3 => Kind::BackEndHold {
            back_end,
            ways,
            gateway: (each > 1).then_some(gateway),
            lag: between(rng, LAG_MS),
        },
        4 => Kind::StoreHold {
            gateway,
            ways,
            lag: between(rng, LAG_MS),
        },
        5 => Kind::BackEndMute(back_end),
        6 => Kind::StoreMute(gateway),
        7..=9 => Kind::Restart {
            back_end,
            dark: between(rng, DARK_MS),
            lapses: rng.random(),
            late: between(rng, LATE_WRITE_MS),
        },
        10 => Kind::Cold(back_end),
        _ => Kind::LateGrants {
            back_end,
            lateness: between(rng, LATE_ORDER_MS),
        },
    }
}

fn between(rng: &mut ChaCha8Rng, (shortest, longest): (u64, u64)) -> Duration {
    Duration::from_millis(rng.random_range(shortest..longest))
}

/// Drained zones, one after the other. They are drawn apart from the other
/// faults, so that the seeds of those stay what they are.
fn drains(seed: u64, total: Duration) -> Vec<Fault> {
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

fn draw(rng: &mut ChaCha8Rng, gateways: usize, back_ends: usize) -> Kind {
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

/// Back ends that say what concerns later requests, in series that overlap.
fn backpressure(seed: u64, total: Duration, back_ends: usize) -> Vec<Fault> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    rng.set_stream(5);
    let mut at = Duration::ZERO;
    let mut faults = Vec::new();
    loop {
        at += between(&mut rng, SAID_PAUSE_MS);
        if at >= total {
            return faults;
        }
        let back_end = rng.random_range(0..back_ends);
        let (kind, lengths) = match rng.random_range(0..4) {
            0 => (Kind::SaysLeaving(back_end), LEAVING_MS),
            1 => {
                let rest = between(&mut rng, REST_MS);
                (Kind::AsksRest { back_end, rest }, LENGTH_MS)
            }
            _ => {
                let in_ten_s = rng.random_range(LIMIT_IN_TEN_S.0..LIMIT_IN_TEN_S.1);
                (Kind::NamesLimit { back_end, in_ten_s }, LIMIT_MS)
            }
        };
        let length = between(&mut rng, lengths);
        faults.push(Fault { at, length, kind });
    }
}

/// What happens beside that: what excuses a gateway from them must be known,
/// so that no link is cut.
fn beside_backpressure(seed: u64, total: Duration, gateways: usize) -> Vec<Fault> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    rng.set_stream(6);
    let mut at = Duration::ZERO;
    let mut faults = Vec::new();
    loop {
        at += between(&mut rng, BESIDE_PAUSE_MS);
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
        let length = between(&mut rng, LENGTH_MS);
        faults.push(Fault { at, length, kind });
    }
}
