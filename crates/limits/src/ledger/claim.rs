//! Which part of the rates is a new ledger's to give.

use std::collections::BTreeSet;

use threadledge_types::{MachineName, Timestamp};

use crate::messages::{HolderRecord, Share};
use crate::settings::Settings;

/// Who kept the ledger before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Predecessor {
    /// It has surely handed out its last token and share by then.
    pub office_end: Timestamp,
}

/// What a ledger may give.
#[derive(Clone, Debug)]
pub(super) enum Claim {
    /// Everything.
    Whole,
    /// What gateways handed in that held it before.
    Part {
        /// Everything that was handed out before has run out by then.
        until: Timestamp,
        /// Machines that may hold shares and have not asked yet; `None` if
        /// they are not known.
        missing: Option<BTreeSet<MachineName>>,
    },
}

impl Claim {
    pub(super) fn begin(
        now: Timestamp,
        settings: &Settings,
        predecessor: Option<Predecessor>,
        found: Option<HolderRecord>,
    ) -> Self {
        let office_end = predecessor.map_or(now, |earlier| earlier.office_end);
        match (predecessor, found) {
            (None, None) => Claim::Whole,
            // Whoever was there before has listed nobody, itself neither.
            (Some(_), None) => Claim::Part {
                until: office_end,
                missing: None,
            },
            (_, Some(found)) => Claim::Part {
                until: settings.share_end(office_end),
                missing: Some(found.machines),
            },
        }
    }

    pub(super) fn is_whole(&self) -> bool {
        matches!(self, Claim::Whole)
    }

    /// The part of a rate that is this ledger's without anything handed in.
    pub(super) fn total(&self) -> u64 {
        match self {
            Claim::Whole => Share::WHOLE.0.into(),
            Claim::Part { .. } => 0,
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
                missing: Some(missing),
                ..
            } => {
                missing.remove(machine);
                missing.is_empty()
            }
            Claim::Part { missing: None, .. } | Claim::Whole => false,
        }
    }
}
