//! Proof that a router process has ended permanently.

use serde::{Deserialize, Serialize};
use threadledge_types::{Incarnation, MachineName, RouterId};

/// Proof that a router process no longer runs. A suspicion is never a proof,
/// however long it lasts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum DeathProof {
    /// A later process answered on the same machine.
    LaterIncarnation {
        /// Machine of both processes.
        machine: MachineName,
        /// Process that answered.
        successor: RouterId,
        /// Incarnation of that process, higher than that of the dead one.
        incarnation: Incarnation,
    },
    /// The platform listed the machine and later no longer did.
    RemovedFromList {
        /// Machine of the process.
        machine: MachineName,
        /// Version of a list that included the machine.
        listed: u64,
        /// Later version that does not include it.
        missing: u64,
    },
}
