//! What is known about one router.

use serde::{Deserialize, Serialize};
use threadledge_types::RouterIdentity;

use crate::message::RefutationNumber;

/// State of a router as this one sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub enum MemberState {
    /// It answers.
    Alive,
    /// It did not answer and has not yet contradicted.
    Suspect,
    /// It announced that it stops.
    Leaving,
    /// It did not contradict in time, left, or is provably gone.
    Dead,
}

/// One router.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// The process.
    pub identity: RouterIdentity,
    /// State in the eyes of this router.
    pub state: MemberState,
    /// How often the router contradicted a suspicion; of two claims about
    /// it, the one with the higher number counts.
    pub refutation: RefutationNumber,
}
