//! Evidence that a router process is gone for good.

use serde::{Deserialize, Serialize};
use threadledge_types::{Incarnation, MachineName, RouterId};

/// Why a router process certainly runs no more. Suspicion, however long, is
/// never a proof.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum DeathProof {
    /// A later process answered on the same machine.
    LaterIncarnation {
        /// The machine.
        machine: MachineName,
        /// The process that answered.
        successor: RouterId,
        /// Its incarnation, higher than that of the dead one.
        incarnation: Incarnation,
    },
    /// The platform listed the machine and later listed it no more.
    RemovedFromList {
        /// The machine.
        machine: MachineName,
        /// Version of the list that had the machine.
        listed: u64,
        /// Later version that lacks it.
        missing: u64,
    },
}
