//! Errors returned for rejected proposals.

use threadledge_types::{RouterId, RouterIdentity};

/// Reason why a proposal was rejected. Nothing was appended to the log.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ProposeError {
    /// This node is not the leader.
    #[error("this router does not lead the group; send the proposal to the leader{}", leader_hint(.leader))]
    NotLeader {
        /// Current leader, if known.
        leader: Option<Box<RouterIdentity>>,
    },
    /// Too many entries are uncommitted, or the log needs compaction.
    #[error("too many entries await commit or compaction; propose again after some have committed")]
    Busy,
    /// Leadership is being transferred to another voter.
    #[error("leadership is being transferred; send the proposal to the next leader")]
    Transferring,
    /// An earlier member change is not committed yet.
    #[error("another member change is in progress; propose again after it has committed")]
    MemberChangeInProgress,
    /// The leader has not yet committed an entry of its own term.
    #[error("the leader has not committed an entry of its term yet; propose again shortly")]
    TermNotCommitted,
    /// The router is already a member.
    #[error("router {0} is already a member; no change is needed")]
    AlreadyMember(RouterId),
    /// The router is not a member, or does not have the role that the request
    /// needs.
    #[error("router {0} is not a member with the required role; add it as a learner first")]
    UnknownMember(RouterId),
    /// The learner lacks entries or does not respond.
    #[error("learner {0} has not caught up; promote it when it has")]
    NotCaughtUp(RouterId),
    /// The change would leave the group without a responsive quorum, so that
    /// nothing could be committed.
    #[error("the change would leave no responsive quorum; replace the unresponsive members first")]
    WouldLoseQuorum,
    /// No other voter can take over leadership.
    #[error("no other responsive voter could lead; add a voter first")]
    NoTransferTarget,
}

/// End of the `NotLeader` message: names the leader if it is known.
fn leader_hint(leader: &Option<Box<RouterIdentity>>) -> String {
    match leader {
        Some(leader) => format!(", router {}", leader.id),
        None => " once one is known".to_owned(),
    }
}
