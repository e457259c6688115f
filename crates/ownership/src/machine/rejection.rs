//! Why a command changed nothing.

use threadledge_types::{BackEndId, Epoch, Point, Revision, ServiceId, SessionId, Slice};

use crate::command::LeaderTerm;

/// Why a command, or one change of it, changed nothing.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum Rejection {
    /// The entry was applied before.
    #[error("revision {0} was applied before; apply each entry of the log once, in order")]
    AlreadyApplied(Revision),
    /// A later leader has begun its term.
    #[error("term {0:?} is over, {1:?} has begun; let the present leader propose")]
    TermOver(LeaderTerm, LeaderTerm),
    /// The object is known at this version or a later one.
    #[error("{name} is in force at version {applied}; ignore version {offered}")]
    StaleObject {
        /// `namespace/name` of the object.
        name: String,
        /// Version in force.
        applied: u64,
        /// Version that was offered.
        offered: u64,
    },
    /// The selector cannot be read; the service selects no back end.
    #[error("the selector of service {0} is invalid; correct its matchExpressions")]
    InvalidSelector(ServiceId),
    /// No such service, or it is deleted.
    #[error("service {0} is not accepted; apply its object first")]
    UnknownService(ServiceId),
    /// The back end is unknown, deleted, or about to get another address.
    #[error("back end {0} takes no sessions; wait until its object is accepted and in force")]
    UnknownBackEnd(BackEndId),
    /// Leases of an earlier generation may still run.
    #[error("leases of an earlier generation may still run; wait for EndRecovery")]
    Recovering,
    /// Another session of the back end is open.
    #[error("session {0} is open; close it before another of the same back end")]
    SessionOpen(SessionId),
    /// The session is not open (any more).
    #[error("session {0} is not open; read the state again")]
    SessionNotOpen(SessionId),
    /// The session gets no new slices.
    #[error("session {0} is leaving; choose another back end")]
    SessionDraining(SessionId),
    /// The service's selector does not select the back end.
    #[error("service {0} does not select back end {1}; choose one that it selects")]
    NotSelected(ServiceId, BackEndId),
    /// The service has no such slice (any more).
    #[error("service {0} has no slice {1}; read its slices again")]
    UnknownSlice(ServiceId, Slice),
    /// The slice changed since the proposer looked.
    #[error("slice {1} of {0} is at epoch {2}; read it again")]
    EpochMismatch(ServiceId, Slice, Epoch),
    /// The slice changed since the grantor looked.
    #[error("slice {1} of {0} was last changed at {2}; read it again")]
    SliceChanged(ServiceId, Slice, Revision),
    /// The slice has an owner.
    #[error("slice {1} of {0} has an owner; move it instead")]
    Owned(ServiceId, Slice),
    /// The slice has no owner.
    #[error("slice {1} of {0} has no owner; assign it instead")]
    Unowned(ServiceId, Slice),
    /// A move of the slice is under way.
    #[error("slice {1} of {0} is being moved; wait or cancel the move")]
    MovePending(ServiceId, Slice),
    /// No such move is under way.
    #[error("slice {1} of {0} is not being moved there; begin the move first")]
    NoMovePending(ServiceId, Slice),
    /// The next owner is the owner.
    #[error("slice {1} of {0} is owned by that back end; choose another")]
    AlreadyOwner(ServiceId, Slice),
    /// Splitting there would leave an empty part.
    #[error("point {2} does not divide slice {1} of {0}; choose one inside")]
    InvalidSplit(ServiceId, Slice, Point),
    /// The slices are no neighbours or have different owners.
    #[error("slices {1} and {2} of {0} cannot be joined; they need one owner and a common border")]
    InvalidMerge(ServiceId, Slice, Slice),
}
