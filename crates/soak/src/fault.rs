//! Fault schedules drawn from a seed.

mod backpressure;
mod doubled;
mod kind;
mod mixed;
mod owners;
mod regions;
mod slow;

use std::fmt;
use std::time::Duration;

use rand::RngExt;
use rand_chacha::ChaCha8Rng;

use crate::regions::PLAIN_COUNT;

pub use kind::Kind;
pub use slow::{plan_slow_gateways, plan_slow_readers};

/// Bounds of the length of a fault, in milliseconds.
const LENGTH_MS: (u64, u64) = (400, 5_000);
/// Bounds of the pause between the starts of two faults.
const PAUSE_MS: (u64, u64) = (300, 3_000);
/// Time from the crash of a back end until the next process serves at its
/// address.
const RESTART_GAP_MS: (u64, u64) = (100, 900);
/// Time from the registration of the new process until that of the dead one is
/// written again.
const LATE_WRITE_MS: (u64, u64) = (50, 2_000);

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
        let mut faults = backpressure::plan_backpressure(seed, total, back_ends);
        faults.extend(backpressure::plan_concurrent_with_backpressure(
            seed, total, gateways,
        ));
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
    let mut faults = owners::plan_owner_faults(seed, total, gateways, back_ends);
    faults.extend(owners::plan_peer_stalls(seed, total, gateways));
    faults.extend(owners::plan_long_partitions(seed, total, back_ends));
    if fault_set == FaultSet::All {
        faults.extend(mixed::plan_mixed(seed, total, gateways, back_ends));
        faults.extend(mixed::plan_zone_drains(seed, total));
    }
    faults.sort_by_key(|fault| fault.at);
    faults
}

fn random_duration(rng: &mut ChaCha8Rng, (shortest, longest): (u64, u64)) -> Duration {
    Duration::from_millis(rng.random_range(shortest..longest))
}
