//! Which faults come when, drawn from a seed.

use std::fmt;
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::world::ZONES;

/// Shortest and longest fault, in milliseconds.
const LENGTH_MS: (u64, u64) = (400, 5_000);
/// Shortest and longest pause between the starts of two faults.
const PAUSE_MS: (u64, u64) = (300, 3_000);

/// Shortest and longest time for which a zone is drained, in milliseconds:
/// longer than the bound within which its back ends get nothing new.
const DRAIN_MS: (u64, u64) = (7_000, 12_000);

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
}

impl Kind {
    /// Whether it may keep a gateway from reaching the store, or from running.
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
        )
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

/// The faults of a run of `total`, in the order of their beginnings.
pub fn plan(seed: u64, total: Duration, gateways: usize, back_ends: usize) -> Vec<Fault> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut at = Duration::ZERO;
    let mut faults = Vec::new();
    loop {
        at += Duration::from_millis(rng.random_range(PAUSE_MS.0..PAUSE_MS.1));
        if at >= total {
            break;
        }
        let length = Duration::from_millis(rng.random_range(LENGTH_MS.0..LENGTH_MS.1));
        let kind = draw(&mut rng, gateways, back_ends);
        faults.push(Fault { at, length, kind });
    }
    faults.extend(drains(seed, total));
    faults.sort_by_key(|fault| fault.at);
    faults
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
