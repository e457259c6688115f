//! Members as seen by this router.

use serde::{Deserialize, Serialize};
use threadledge_types::RouterIdentity;

use crate::message::RefutationNumber;

/// State of a router as seen by this router.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub enum MemberState {
    /// The router answers.
    Alive,
    /// The router did not answer and has not refuted the suspicion yet.
    Suspect,
    /// The router announced that it stops, or its machine is listed as leaving.
    Leaving,
    /// The router did not refute a suspicion in time, left, or is provably
    /// gone.
    Dead,
}

/// Router with its state.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// Identity of the router process.
    pub identity: RouterIdentity,
    /// State as seen by this router.
    pub state: MemberState,
    /// Refutation number of the router. Of two claims about it, the one with
    /// the higher number takes precedence.
    pub refutation: RefutationNumber,
}
