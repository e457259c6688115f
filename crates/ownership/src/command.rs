//! Commands stored in the replicated log.

use serde::{Deserialize, Serialize};
use threadledge_types::records::{BackEndRecord, ServiceRecord};
use threadledge_types::session::LeaseSequence;
use threadledge_types::{
    BackEndId, Epoch, Generation, Point, Revision, ServiceId, SessionId, Slice,
};

/// Identifies one term of leadership. At most one router leads in a term.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct LeaderTerm {
    /// Generation of the group. It increases whenever the group is founded
    /// anew, for example from a checkpoint after a majority was lost.
    pub generation: Generation,
    /// Consensus term within that generation.
    pub term: u64,
}

impl LeaderTerm {
    /// Returns the sequence of the lease request numbered `sequence` in this
    /// term.
    pub fn lease_sequence(self, sequence: u64) -> LeaseSequence {
        LeaseSequence {
            generation: self.generation,
            term: self.term,
            sequence,
        }
    }
}

/// State of a slice that a grantor relied on when it concluded that the owner
/// had released it.
///
/// The command takes effect only if all of it still holds, so that a conclusion
/// overtaken by later log entries changes nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SliceEvidence {
    /// Term of the grantor.
    pub term: LeaderTerm,
    /// Epoch under which the owner held the slice.
    pub epoch: Epoch,
    /// Revision that last changed the slice in any way.
    pub revision: Revision,
}

/// A change of one configuration object.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ObjectChange {
    /// A back end was created or changed.
    PutBackEnd(Box<BackEndRecord>),
    /// A back end was deleted.
    DeleteBackEnd {
        /// Identifier of the object.
        id: BackEndId,
        /// Version of the store at or after the deletion.
        resource_version: u64,
    },
    /// A service was created or changed.
    PutService(Box<ServiceRecord>),
    /// A service was deleted.
    DeleteService {
        /// Identifier of the object.
        id: ServiceId,
        /// Version of the store at or after the deletion.
        resource_version: u64,
    },
}

/// An entry of the group's log.
///
/// Commands based on one leader's observations ([`Command::CloseSession`],
/// [`Command::CompleteMove`], [`Command::Release`]) carry its term and are
/// rejected once a later term has begun.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Command {
    /// A leader starts granting. This is the first command of every term.
    BeginTerm(LeaderTerm),
    /// Every lease of earlier generations has expired, so sessions may open.
    EndRecovery(LeaderTerm),
    /// Configuration objects changed.
    ApplyObjects {
        /// The changes, in any order.
        changes: Vec<ObjectChange>,
    },
    /// A back-end process responded and may receive slices.
    OpenSession(SessionId),
    /// Ends a session whose process is gone or whose last possible lease has
    /// expired.
    CloseSession {
        /// The session to close.
        session: SessionId,
        /// Revision at which the session opened. It distinguishes a session
        /// from a later one of the same process.
        opened: Revision,
        /// Term of the leader that concluded this.
        term: LeaderTerm,
    },
    /// The back end announced that it is shutting down.
    MarkDraining(SessionId),
    /// Gives an unowned slice an owner.
    Assign {
        /// Service that the slice belongs to.
        service: ServiceId,
        /// The slice to change.
        slice: Slice,
        /// The owner.
        to: SessionId,
        /// Epoch of the slice as the proposer saw it.
        expected_epoch: Epoch,
    },
    /// Starts the handover of an owned slice.
    BeginMove {
        /// Service that the slice belongs to.
        service: ServiceId,
        /// The slice to change.
        slice: Slice,
        /// The next owner.
        to: BackEndId,
        /// Epoch of the slice as the proposer saw it.
        expected_epoch: Epoch,
    },
    /// Cancels a handover. The owner keeps the slice.
    CancelMove {
        /// Service that the slice belongs to.
        service: ServiceId,
        /// The slice to change.
        slice: Slice,
        /// Epoch of the slice as the proposer saw it.
        expected_epoch: Epoch,
    },
    /// Completes a handover after the owner released the slice.
    CompleteMove {
        /// Service that the slice belongs to.
        service: ServiceId,
        /// The slice to change.
        slice: Slice,
        /// The new owner.
        to: SessionId,
        /// State that the grantor relied on.
        evidence: SliceEvidence,
    },
    /// Removes the owner of a slice that it released without a next owner.
    Release {
        /// Service that the slice belongs to.
        service: ServiceId,
        /// The slice to change.
        slice: Slice,
        /// State that the grantor relied on.
        evidence: SliceEvidence,
    },
    /// Splits a slice. Both parts keep the owner and the epoch.
    Split {
        /// Service that the slice belongs to.
        service: ServiceId,
        /// The slice to change.
        slice: Slice,
        /// First point of the upper part.
        at: Point,
        /// Epoch of the slice as the proposer saw it.
        expected_epoch: Epoch,
    },
    /// Merges two adjacent slices that have the same owner or no owner. The
    /// epoch is kept if both had the same one; otherwise the merged slice gets
    /// a new epoch.
    Merge {
        /// Service that the slices belong to.
        service: ServiceId,
        /// The lower slice.
        first: Slice,
        /// The upper slice.
        second: Slice,
        /// Epoch of the lower slice as the proposer saw it.
        expected_first_epoch: Epoch,
        /// Epoch of the upper slice as the proposer saw it.
        expected_second_epoch: Epoch,
    },
    /// Applies several commands in order within one entry. A rejected command
    /// does not stop the others.
    Batch(Vec<Command>),
}
