//! Commands of the replicated log.

use serde::{Deserialize, Serialize};
use threadledge_types::records::{BackEndRecord, ServiceRecord};
use threadledge_types::session::LeaseSequence;
use threadledge_types::{
    BackEndId, Epoch, Generation, Point, Revision, ServiceId, SessionId, Slice,
};

/// One leadership of the group. At most one router leads in a term.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct LeaderTerm {
    /// Founding of the group.
    pub generation: Generation,
    /// Consensus term within that founding.
    pub term: u64,
}

impl LeaderTerm {
    /// Order of the request with number `sequence` of this term.
    pub fn lease_sequence(self, sequence: u64) -> LeaseSequence {
        LeaseSequence {
            generation: self.generation,
            term: self.term,
            sequence,
        }
    }
}

/// What a grantor knew when it concluded that an owner let a slice go.
///
/// The command takes effect only if all of it still holds, so that a
/// conclusion which the log has overtaken changes nothing.
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
        /// Which one.
        id: BackEndId,
        /// Version of the store at or after the deletion.
        resource_version: u64,
    },
    /// A service was created or changed.
    PutService(Box<ServiceRecord>),
    /// A service was deleted.
    DeleteService {
        /// Which one.
        id: ServiceId,
        /// Version of the store at or after the deletion.
        resource_version: u64,
    },
}

/// An entry of the group's log.
///
/// Commands that rest on what one leader observed ([`Command::CloseSession`],
/// [`Command::CompleteMove`], [`Command::Release`]) name its term and are
/// rejected once a later term began.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Command {
    /// A leader starts granting. First command of every term.
    BeginTerm(LeaderTerm),
    /// Every lease of earlier generations has run out: sessions may open.
    EndRecovery(LeaderTerm),
    /// Configuration objects changed.
    ApplyObjects {
        /// The changes, in any order.
        changes: Vec<ObjectChange>,
    },
    /// A back end process answered and may be given slices.
    OpenSession(SessionId),
    /// The process is gone or its last possible lease has run out.
    CloseSession {
        /// Which session.
        session: SessionId,
        /// Revision at which it opened: a session of the same process that
        /// opened again later is another one.
        opened: Revision,
        /// Term whose leader concluded it.
        term: LeaderTerm,
    },
    /// The back end announced that it is leaving.
    MarkDraining(SessionId),
    /// Gives an unowned slice an owner.
    Assign {
        /// Which service.
        service: ServiceId,
        /// Which slice.
        slice: Slice,
        /// The owner.
        to: SessionId,
        /// Epoch of the slice as the proposer saw it.
        expected_epoch: Epoch,
    },
    /// Starts handing an owned slice over.
    BeginMove {
        /// Which service.
        service: ServiceId,
        /// Which slice.
        slice: Slice,
        /// The next owner.
        to: BackEndId,
        /// Epoch of the slice as the proposer saw it.
        expected_epoch: Epoch,
    },
    /// Gives up a handover; the owner stays.
    CancelMove {
        /// Which service.
        service: ServiceId,
        /// Which slice.
        slice: Slice,
        /// Epoch of the slice as the proposer saw it.
        expected_epoch: Epoch,
    },
    /// The owner let go: the next owner takes over.
    CompleteMove {
        /// Which service.
        service: ServiceId,
        /// Which slice.
        slice: Slice,
        /// The new owner.
        to: SessionId,
        /// What the grantor saw.
        evidence: SliceEvidence,
    },
    /// The owner let go and there is no next owner: the slice is unowned.
    Release {
        /// Which service.
        service: ServiceId,
        /// Which slice.
        slice: Slice,
        /// What the grantor saw.
        evidence: SliceEvidence,
    },
    /// Divides a slice. Both parts keep the owner and the epoch.
    Split {
        /// Which service.
        service: ServiceId,
        /// Which slice.
        slice: Slice,
        /// First point of the upper part.
        at: Point,
        /// Epoch of the slice as the proposer saw it.
        expected_epoch: Epoch,
    },
    /// Joins two neighbouring slices of one owner, or two without owner. The
    /// epoch stays when both had the same and is new otherwise.
    Merge {
        /// Which service.
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
    /// Several commands in one entry, applied in order; one that is rejected
    /// does not stop the others.
    Batch(Vec<Command>),
}
