//! Reasons for which commands are rejected.

use threadledge_types::{BackEndId, Epoch, Point, Revision, ServiceId, SessionId, Slice};

use crate::command::LeaderTerm;

/// Reason for which a command, or one change within it, was rejected.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum Rejection {
    /// The entry has already been applied.
    #[error("revision {0} has already been applied; apply each log entry once, in order")]
    AlreadyApplied(Revision),
    /// A later leader has begun its term.
    #[error("term {0:?} is over, {1:?} has begun; let the current leader propose")]
    TermOver(LeaderTerm, LeaderTerm),
    /// The same or a later version of the object is already in force.
    #[error("{name} is in force at version {applied}; ignore version {offered}")]
    StaleObject {
        /// `namespace/name` of the object.
        name: String,
        /// Version in force.
        applied: u64,
        /// Version that was rejected.
        offered: u64,
    },
    /// The selector cannot be parsed, so the service selects no back end.
    #[error("the selector of service {0} is invalid; correct its matchExpressions")]
    InvalidSelector(ServiceId),
    /// The service does not exist or is deleted.
    #[error("service {0} is not accepted; apply its object first")]
    UnknownService(ServiceId),
    /// The back end is unknown, deleted, or about to change its address.
    #[error("back end {0} cannot open a session; wait until its object is accepted and in force")]
    UnknownBackEnd(BackEndId),
    /// Leases of an earlier generation may still be valid.
    #[error("leases of an earlier generation may still be valid; wait for EndRecovery")]
    Recovering,
    /// Another session of the back end is open.
    #[error("session {0} is open; close it before opening another one of its back end")]
    SessionOpen(SessionId),
    /// The session is not open, or no longer open.
    #[error("session {0} is not open; read the state again")]
    SessionNotOpen(SessionId),
    /// The session is draining and receives no new slices.
    #[error("session {0} is draining; choose another back end")]
    SessionDraining(SessionId),
    /// The service's selector does not select the back end.
    #[error("service {0} does not select back end {1}; choose one that it selects")]
    NotSelected(ServiceId, BackEndId),
    /// The service has no such slice, or no longer has it.
    #[error("service {0} has no slice {1}; read its slices again")]
    UnknownSlice(ServiceId, Slice),
    /// The slice's epoch changed after the proposer read it.
    #[error("slice {1} of {0} is at epoch {2}; read it again")]
    EpochMismatch(ServiceId, Slice, Epoch),
    /// The slice changed after the grantor read it.
    #[error("slice {1} of {0} was last changed at {2}; read it again")]
    SliceChanged(ServiceId, Slice, Revision),
    /// The slice has an owner.
    #[error("slice {1} of {0} has an owner; move it instead")]
    Owned(ServiceId, Slice),
    /// The slice has no owner.
    #[error("slice {1} of {0} has no owner; assign it instead")]
    Unowned(ServiceId, Slice),
    /// The slice is already being moved.
    #[error("slice {1} of {0} is being moved; wait or cancel the move")]
    MovePending(ServiceId, Slice),
    /// The slice is not being moved to that back end.
    #[error("slice {1} of {0} is not being moved to that back end; begin the move first")]
    NoMovePending(ServiceId, Slice),
    /// The next owner already owns the slice.
    #[error("slice {1} of {0} is owned by that back end; choose another")]
    AlreadyOwner(ServiceId, Slice),
    /// Splitting at that point would leave an empty part.
    #[error("point {2} does not divide slice {1} of {0}; choose a point inside it")]
    InvalidSplit(ServiceId, Slice, Point),
    /// The slices are not adjacent or have different owners.
    #[error(
        "slices {1} and {2} of {0} cannot be merged; they must be adjacent and have the same owner"
    )]
    InvalidMerge(ServiceId, Slice, Slice),
}
