//! Calls that a coordinator asks its caller to make, and notices for operators.

use std::time::Duration;

use threadledge_types::deployment::{BackEndName, KeyRange};

use crate::occupancy::{EndProof, SharedAddress};
use crate::order::{Order, OrderFault};
use crate::record::{CoordinatorLease, Fence, OwnershipRecord, Term};

/// Revision of an object in the store.
pub type StoreRevision = u64;

/// Precondition of a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Condition {
    /// No object of that name exists.
    Absent,
    /// The object still has this revision.
    Revision(StoreRevision),
}

/// Consistency that a read requires.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Freshness {
    /// The result reflects every write that was acknowledged before the call.
    Linearizable,
    /// The result may be seconds old.
    Stale,
}

/// A call to make. Exactly one event reports its result, even if it fails.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Read the coordinator's lease.
    ReadLease(Freshness),
    /// Write the coordinator's lease.
    WriteLease(CoordinatorLease, Condition),
    /// Read the ownership record.
    ReadRecord,
    /// Write the ownership record.
    WriteRecord(OwnershipRecord, Condition),
    /// Send an order to a back end.
    Send(Order),
}

/// An object with its revision.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Versioned<T> {
    /// The object.
    pub value: T,
    /// Revision of its last change.
    pub revision: StoreRevision,
}

/// Result of a read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReadResult<T> {
    /// The current object; `None` if it does not exist.
    Found(Option<Versioned<T>>),
    /// The store did not answer.
    Failed,
}

/// Result of a conditional write.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WriteResult<T> {
    /// The write took effect at this revision.
    Accepted(StoreRevision),
    /// The condition did not hold. Contains the current object if the store
    /// returned it.
    Conflict(Option<Versioned<T>>),
    /// The write certainly had no effect.
    NotDone,
    /// The write may have taken effect, or may still do so while its condition
    /// holds.
    Unknown,
}

/// A change in the coordinator's state, reported for the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Notice {
    /// This node became the coordinator.
    Elected {
        /// Its new term.
        term: Term,
    },
    /// Another node became the coordinator.
    Deposed {
        /// The term of this node, which has ended.
        term: Term,
    },
    /// The coordinator can no longer confirm its lease and sends no orders.
    LeaseLapsed {
        /// Its term.
        term: Term,
    },
    /// This node took over the ownership record.
    RecordAdopted {
        /// Its term.
        term: Term,
        /// Number of slices in the record.
        slices: usize,
    },
    /// Keys are being taken back from their owner.
    ReleaseStarted {
        /// The keys.
        range: KeyRange,
        /// The owner that is asked to release them.
        owner: BackEndName,
        /// Fencing token of the release.
        fence: Fence,
        /// Reason for the release.
        reason: ReleaseReason,
    },
    /// The former owner of keys no longer holds them, so that they may be
    /// assigned. Reported once for each release.
    ReleaseEnded {
        /// The keys.
        range: KeyRange,
        /// The former owner.
        owner: BackEndName,
        /// Fencing token of the release.
        fence: Fence,
        /// What ended the release.
        end: ReleaseEnd,
        /// Time since the release was decided.
        took: Duration,
        /// True if the back end answered the last grant of these keys that this
        /// node sent to it.
        grant_answered: bool,
    },
    /// A release ended because its owner has ended.
    HolderEndProved {
        /// The keys.
        range: KeyRange,
        /// The former owner.
        owner: BackEndName,
        /// What proved its end.
        proof: EndProof,
        /// Time since that was known.
        age: Duration,
    },
    /// Keys were assigned to a back end.
    Assigned {
        /// The keys.
        range: KeyRange,
        /// The new owner.
        owner: BackEndName,
        /// Fencing token of the grant.
        fence: Fence,
        /// True if the former owner handed its state over.
        warm: bool,
    },
    /// A back end stopped answering orders.
    HolderLost {
        /// The back end.
        owner: BackEndName,
    },
    /// Another process answered an order at the address of a back end.
    HolderReplaced {
        /// The back end.
        owner: BackEndName,
    },
    /// An order timed out or failed, as the first one in a row.
    OrderGivenUp {
        /// The order.
        order: Order,
        /// Time that the coordinator waited for the answer.
        waited: Duration,
        /// Reason why there is no answer.
        fault: OrderFault,
    },
    /// A back end answers orders again.
    HolderAnswers {
        /// The back end.
        owner: BackEndName,
        /// Number of orders that failed in the meantime.
        given_up: u32,
        /// Time since the first of them failed.
        silent_for: Duration,
    },
    /// Several back ends are registered at one address, where only one process
    /// can run.
    AddressShared(SharedAddress),
    /// A back end refused an order because it had seen a higher fencing token.
    OrderFenced {
        /// The back end.
        owner: BackEndName,
        /// The keys.
        range: KeyRange,
        /// Fencing token of the refused order.
        fence: Fence,
    },
    /// The record in the store is invalid and was replaced by an empty one.
    RecordBroken,
}

/// What ended a release.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReleaseEnd {
    /// The owner answered the release.
    Answered,
    /// The process that owned the keys is known to have ended.
    HolderEnded,
    /// The grant has expired by the clock.
    Expired,
    /// The owner has not answered in time and keeps the keys, which it need not
    /// give up.
    CalledOff,
}

/// Reason for taking keys back from their owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReleaseReason {
    /// The back end is leaving.
    Draining,
    /// The back end asked routers for a rest.
    Resting,
    /// The back end is no longer registered.
    Unregistered,
    /// The back end no longer answers orders.
    Lost,
    /// Other back ends have less load.
    Balance,
    /// The back end rejected a grant as malformed.
    Refused,
    /// Another process runs at the back end's address.
    Replaced,
}

impl ReleaseReason {
    /// Returns whether the owner may as well keep the keys. Such a move needs the
    /// owner's answer: only that proves that it holds them no more.
    pub const fn is_optional(self) -> bool {
        matches!(self, ReleaseReason::Balance | ReleaseReason::Resting)
    }
}
