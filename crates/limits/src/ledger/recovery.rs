//! Recovery of the rates after a change of ledger: determines how much of each
//! rate a new ledger may grant.

use std::collections::BTreeSet;

use threadledge_types::{MachineName, Timestamp};

use crate::messages::{HolderRecord, Share};
use crate::settings::Settings;

/// Previous ledger, as far as a new one knows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Predecessor {
    /// Time by which the previous ledger has certainly granted its last token
    /// and share.
    pub lease_end: Timestamp,
}

/// Largest share of a tenant's rate that one gateway gets. A machine that is
/// lost for good withholds no more than this from a new ledger; the rest is
/// enough for a tenant that uses two thirds of its limit.
pub(super) const MAX_SHARE: Share = Share(300_000);

/// Progress of a new ledger's recovery.
#[derive(Clone, Debug)]
pub(super) enum Recovery {
    /// The ledger owns the full rates.
    Complete,
    /// The ledger owns what gateways reported of the previous ledger's shares.
    Pending {
        /// When everything granted before has expired.
        expires: Timestamp,
        /// When the leases of all earlier ledgers have ended.
        lease_end: Timestamp,
        /// Machines that may have run an earlier ledger and have not sent a
        /// request yet.
        ledgers: BTreeSet<MachineName>,
        /// Machines that may hold shares and have not sent a request yet.
        missing: BTreeSet<MachineName>,
    },
}

impl Recovery {
    pub(super) fn start(
        now: Timestamp,
        settings: &Settings,
        predecessor: Option<Predecessor>,
        found: Option<HolderRecord>,
    ) -> Self {
        let lease_end = predecessor.map_or(now, |earlier| earlier.lease_end);
        match (predecessor, found) {
            // A ledger starts only after its record was written, so a missing
            // record means that there was no ledger before. An election may
            // have been won without a record being written, or appear so when
            // the response to the first write was lost.
            (_, None) => Recovery::Complete,
            (_, Some(found)) => Recovery::Pending {
                expires: settings.share_end(lease_end),
                lease_end,
                ledgers: found.ledgers,
                missing: found.machines,
            },
        }
    }

    pub(super) fn is_complete(&self) -> bool {
        matches!(self, Recovery::Complete)
    }

    /// Returns the share of each rate that the ledger owns without any reports:
    /// what the machines that have not sent a request cannot hold.
    pub(super) fn unreserved_share(&self, now: Timestamp) -> Share {
        match self {
            Recovery::Complete => Share::WHOLE,
            Recovery::Pending { missing, .. } if self.predecessors_done(now) => {
                let missing = u32::try_from(missing.len()).unwrap_or(u32::MAX);
                let kept = MAX_SHARE.0.saturating_mul(missing);
                Share(Share::WHOLE.0.saturating_sub(kept))
            }
            Recovery::Pending { .. } => Share::default(),
        }
    }

    /// Whether no earlier ledger can grant anything any more.
    pub(super) fn predecessors_done(&self, now: Timestamp) -> bool {
        match self {
            Recovery::Complete => true,
            Recovery::Pending {
                ledgers, lease_end, ..
            } => *lease_end <= now || ledgers.is_empty(),
        }
    }

    /// Whether everything granted before has expired.
    pub(super) fn has_expired(&self, now: Timestamp) -> bool {
        matches!(self, Recovery::Pending { expires, .. } if *expires <= now)
    }

    /// Notes that a machine has sent a request, so that its shares are known.
    /// Returns whether recovery is complete.
    pub(super) fn mark_accounted(&mut self, machine: &MachineName) -> bool {
        match self {
            Recovery::Pending {
                missing, ledgers, ..
            } => {
                missing.remove(machine);
                ledgers.remove(machine);
                missing.is_empty()
            }
            Recovery::Complete => false,
        }
    }
}
