//! Why a proposal was not taken.

use threadledge_types::{RouterId, RouterIdentity};

/// Why a proposal was not taken. Nothing was appended to the log.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ProposeError {
    /// This node does not lead.
    #[error("this router does not lead the group; send the proposal to the leader{}", name(.leader))]
    NotLeader {
        /// The leader, when known.
        leader: Option<Box<RouterIdentity>>,
    },
    /// Too many entries wait for commit or for compaction.
    #[error(
        "too many entries wait for commit or compaction; propose again when some have committed"
    )]
    Busy,
    /// Leadership is being handed over.
    #[error("leadership is being transferred; propose again to the next leader")]
    Transferring,
    /// An earlier member change is not committed yet.
    #[error("another member change is in progress; propose again when it has committed")]
    MemberChangeInProgress,
    /// The leader has not committed an entry of its own term.
    #[error("the leader has not committed an entry of its term; propose again shortly")]
    TermNotCommitted,
    /// The router is a member already.
    #[error("router {0} is a member already; no change is needed")]
    AlreadyMember(RouterId),
    /// The router is no member, or no learner when a learner is asked for.
    #[error("router {0} is not a member of the kind asked for; add it as a learner first")]
    UnknownMember(RouterId),
    /// The learner misses entries or does not answer.
    #[error("learner {0} has not caught up; promote it when it has")]
    NotCaughtUp(RouterId),
    /// The change would leave a group that cannot commit.
    #[error("the change would leave no quorum that answers; replace the silent members first")]
    WouldLoseQuorum,
    /// No voter can take leadership over.
    #[error("no other voter answers that could lead; add a voter first")]
    NoTransferTarget,
}

fn name(leader: &Option<Box<RouterIdentity>>) -> String {
    match leader {
        Some(leader) => format!(", router {}", leader.id),
        None => " once one is known".to_owned(),
    }
}
