//! Outputs of the control plane, to be carried out by the shell.

use std::net::SocketAddr;

use threadledge_types::records::RecordDelta;
use threadledge_types::session::LeaseRequest;
use threadledge_types::{Generation, Revision, RouterId, ServiceId, SessionId};

use crate::bootstrap::GroupObjectVersion;
use crate::message::PeerMessage;
use crate::object_status::{ObjectRef, StatusWrite};
use crate::slice_changes::SliceChange;

/// An object that the group has applied.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AppliedObject {
    /// Which object.
    pub object: ObjectRef,
    /// Version that was applied.
    pub resource_version: u64,
}

/// One action for the shell to carry out.
#[derive(Clone, Debug)]
pub enum Output {
    /// Send a message to another router.
    SendPeer {
        /// Peer address of the receiving router.
        to: SocketAddr,
        /// The process addressed, when known.
        to_id: Option<RouterId>,
        /// The message.
        message: Box<PeerMessage>,
    },
    /// Send a lease request to a back end's control address and report the
    /// answer or failure.
    SendLease {
        /// Control address of the back end.
        to: SocketAddr,
        /// The request.
        request: Box<LeaseRequest>,
    },
    /// Apply a delta to the data path's copy of the records.
    Records(RecordDelta),
    /// Read the group object and report its state.
    ReadGroupObject,
    /// Write the group object, only if it still has the expected version, and
    /// report the result.
    WriteGroupObject {
        /// Generation to bootstrap.
        generation: Generation,
        /// Version the object must have; `None` if it must not exist.
        expected: Option<GroupObjectVersion>,
    },
    /// Start watching the configuration, in place of any earlier watch. Do not
    /// trust the store while it shows older versions than these.
    WatchConfiguration(Vec<AppliedObject>),
    /// Stop watching the configuration.
    StopWatching,
    /// Write the status of a configuration object.
    WriteStatus(StatusWrite),
    /// An event for the log.
    Observe(Observation),
}

/// Events for logs and metrics.
#[derive(Clone, Debug, PartialEq)]
pub enum Observation {
    /// Another router was seen for the first time.
    RouterUp(RouterId),
    /// A router does not answer; other routers are asked to probe it.
    RouterSuspected(RouterId),
    /// A router is considered dead.
    RouterDown(RouterId),
    /// A router announced that it is leaving.
    RouterLeaving(RouterId),
    /// This router bootstrapped its group.
    GroupFounded(Generation),
    /// This router was elected leader.
    BecameLeader {
        /// Consensus term.
        term: u64,
    },
    /// This router is no longer leader.
    LostLeadership {
        /// Consensus term that ended.
        term: u64,
    },
    /// A router is being added to the group.
    AddingMember(RouterId),
    /// A learner becomes a voter.
    PromotingMember(RouterId),
    /// A router is being removed from the group.
    RemovingMember(RouterId),
    /// A configuration object was accepted.
    ObjectAccepted {
        /// Kind, namespace and name.
        object: String,
        /// Revision at which it is in force.
        revision: Revision,
    },
    /// A configuration object was rejected.
    ObjectRejected {
        /// Kind, namespace and name.
        object: String,
        /// All problems, each with its remedy.
        message: String,
    },
    /// A back end's process opened a session.
    SessionOpened(SessionId),
    /// A session ended because its lease expired or a later process answered.
    SessionClosed(SessionId),
    /// A back end started draining.
    SessionDraining(SessionId),
    /// The platform's store returned an older state than one already applied;
    /// it was ignored.
    StoreReverted {
        /// The back end or service affected.
        object: String,
    },
    /// Slices of one service changed in the same way in one log entry.
    Slices {
        /// The service.
        service: ServiceId,
        /// The kind of change.
        change: SliceChange,
        /// Number of slices changed.
        slices: u64,
    },
    /// The imbalance of a service stayed above what its policy tolerates.
    ImbalanceTooHigh {
        /// The service.
        service: ServiceId,
        /// Load of the busiest back end divided by the mean.
        ratio: f64,
    },
    /// A service has slices without an owner and no back end that may own them.
    NoEligibleBackEnd {
        /// The service.
        service: ServiceId,
        /// Number of its slices without an owner.
        unowned: usize,
    },
    /// An event that the grantor observed at a back end.
    Session(threadledge_ownership::grantor::Observation),
}
