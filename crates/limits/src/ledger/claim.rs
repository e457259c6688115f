//! Which part of the rates is a new ledger's to give.

use std::collections::BTreeSet;

use threadledge_types::{MachineName, Timestamp};

use crate::messages::{HolderRecord, Share};
use crate::settings::Settings;

/// Who kept the ledger before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Predecessor {
    /// It has surely handed out its last token and share by then.
    pub lease_end: Timestamp,
}

/// Most of a tenant's rate that one gateway has as its share. A machine that
/// was lost for good keeps no more than this from a new ledger: what is left
/// bears a tenant that uses two thirds of its limit.
pub(super) const MOST_SHARE: Share = Share(300_000);

/// What a ledger may give.
#[derive(Clone, Debug)]
pub(super) enum Claim {
    /// Everything.
    Whole,
    /// What gateways handed in that held it before.
    Part {
        /// Everything that was handed out before has run out by then.
        until: Timestamp,
        /// No ledger before this one gives anything from then on.
        lease_end: Timestamp,
        /// Machines of such ledgers that have not asked yet.
        ledgers: BTreeSet<MachineName>,
        /// Machines that may hold shares and have not asked yet.
        missing: BTreeSet<MachineName>,
    },
}

impl Claim {
    pub(super) fn begin(
        now: Timestamp,
        settings: &Settings,
        predecessor: Option<Predecessor>,
        found: Option<HolderRecord>,
    ) -> Self {
        let lease_end = predecessor.map_or(now, |earlier| earlier.lease_end);
        match (predecessor, found) {
            // A ledger begins only after its record was written: there was
            // none. An office may have been won before, or seem so where the
            // answer to the first write was lost.
            (_, None) => Claim::Whole,
            (_, Some(found)) => Claim::Part {
                until: settings.share_end(lease_end),
                lease_end,
                ledgers: found.ledgers,
                missing: found.machines,
            },
        }
    }

    pub(super) fn is_whole(&self) -> bool {
        matches!(self, Claim::Whole)
    }

    /// The part of a rate that is this ledger's without anything handed in:
    /// what those that have not asked cannot have.
    pub(super) fn free(&self, now: Timestamp) -> Share {
        match self {
            Claim::Whole => Share::WHOLE,
            Claim::Part { missing, .. } if self.is_alone(now) => {
                let missing = u32::try_from(missing.len()).unwrap_or(u32::MAX);
                let kept = MOST_SHARE.0.saturating_mul(missing);
                Share(Share::WHOLE.0.saturating_sub(kept))
            }
            Claim::Part { .. } => Share::default(),
        }
    }

    /// Whether no ledger before this one gives anything any more.
    pub(super) fn is_alone(&self, now: Timestamp) -> bool {
        match self {
            Claim::Whole => true,
            Claim::Part {
                ledgers,
                lease_end,
                ..
            } => *lease_end <= now || ledgers.is_empty(),
        }
    }

    /// Whether what was handed out before has run out.
    pub(super) fn is_over(&self, now: Timestamp) -> bool {
        matches!(self, Claim::Part { until, .. } if *until <= now)
    }

    /// A machine has asked: what it holds is known. Says whether all are now.
    pub(super) fn accounted_for(&mut self, machine: &MachineName) -> bool {
        match self {
            Claim::Part {
                missing, ledgers, ..
            } => {
                missing.remove(machine);
                ledgers.remove(machine);
                missing.is_empty()
            }
            Claim::Whole => false,
        }
    }
}
