//! What a coordinator asks its shell to do, and what it tells operators.

use std::time::Duration;

use threadledge_types::deployment::{BackEndName, KeyRange};

use crate::occupancy::SharedAddress;
use crate::order::{Order, OrderFault};
use crate::record::{CoordinatorLease, Fence, OwnershipRecord, Term};

/// Revision of an object in the store.
pub type StoreRevision = u64;

/// On what a write depends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Condition {
    /// No object of that name exists.
    Absent,
    /// The object still has this revision.
    Revision(StoreRevision),
}

/// How current an answer must be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Freshness {
    /// It reflects every write that was acknowledged before the call.
    Linearizable,
    /// It may be seconds old.
    Stale,
}

/// A call to make. Each is answered by one event, whatever becomes of it.
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

/// What became of a read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReadResult<T> {
    /// The object as it is; `None` when there is none.
    Found(Option<Versioned<T>>),
    /// The store did not answer.
    Failed,
}

/// What became of a conditional write.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WriteResult<T> {
    /// It took effect, at this revision.
    Accepted(StoreRevision),
    /// The condition did not hold; the object as it is, if the store told.
    Conflict(Option<Versioned<T>>),
    /// It surely took no effect.
    NotDone,
    /// It may have taken effect, or may do so later while its condition holds.
    Unknown,
}

/// A change of what the coordinator believes, for the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Notice {
    /// This node coordinates now.
    Elected {
        /// Since this term.
        term: Term,
    },
    /// Another node coordinates.
    Deposed {
        /// The term that ended here.
        term: Term,
    },
    /// The coordinator cannot confirm its lease any more and gives no orders.
    LeaseLapsed {
        /// Its term.
        term: Term,
    },
    /// This node took the record over, with so many slices.
    RecordAdopted {
        /// Its term.
        term: Term,
        /// Slices in it.
        slices: usize,
    },
    /// Keys are being taken back.
    ReleaseStarted {
        /// The keys.
        range: KeyRange,
        /// From whom.
        owner: BackEndName,
        /// The release's fence.
        fence: Fence,
        /// Why.
        reason: ReleaseReason,
    },
    /// Keys were given to a back end.
    Assigned {
        /// The keys.
        range: KeyRange,
        /// To whom.
        owner: BackEndName,
        /// The grant's fence.
        fence: Fence,
        /// The former owner handed its state over.
        warm: bool,
    },
    /// A back end no longer answers orders.
    HolderLost {
        /// The back end.
        owner: BackEndName,
    },
    /// Another process answered an order at the address of a back end.
    HolderReplaced {
        /// The back end.
        owner: BackEndName,
    },
    /// The first order in a row that was given up without an answer.
    OrderGivenUp {
        /// The order.
        order: Order,
        /// How long its answer was waited for.
        waited: Duration,
        /// Why there is no answer.
        fault: OrderFault,
    },
    /// A back end answers orders again.
    HolderAnswers {
        /// The back end.
        owner: BackEndName,
        /// Orders that were given up meanwhile.
        given_up: u32,
        /// Since the first of them was given up.
        silent_for: Duration,
    },
    /// Several back ends are registered at one address, where only one
    /// process can run.
    AddressShared(SharedAddress),
    /// A back end has seen a higher fence than ours.
    OrderFenced {
        /// The back end.
        owner: BackEndName,
        /// The keys.
        range: KeyRange,
        /// Our fence.
        fence: Fence,
    },
    /// The record in the store is broken and was not taken.
    RecordBroken,
}

/// Why keys are taken back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReleaseReason {
    /// The back end is leaving.
    Draining,
    /// It asked routers for rest.
    Resting,
    /// Its registration is gone.
    Unregistered,
    /// It no longer answers.
    Lost,
    /// Another back end has less to do.
    Balance,
    /// It refused the grant.
    Refused,
    /// A later process runs at its address.
    Replaced,
}
