//! What the control core asks of its shell.

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

/// One thing for the shell to carry out.
#[derive(Clone, Debug)]
pub enum Output {
    /// Send a message to another router.
    SendPeer {
        /// Peer address of the receiver.
        to: SocketAddr,
        /// The process meant, when known.
        to_id: Option<RouterId>,
        /// The message.
        message: Box<PeerMessage>,
    },
    /// Send a lease request to a back end's control address and report its
    /// answer or failure.
    SendLease {
        /// Control address of the back end.
        to: SocketAddr,
        /// The request.
        request: Box<LeaseRequest>,
    },
    /// Bring the data path's copy of the records forward.
    Records(RecordDelta),
    /// Read the group object and report it.
    ReadGroupObject,
    /// Write the group object, only if it still has the expected version, and
    /// report what became of it.
    WriteGroupObject {
        /// The generation to found.
        generation: Generation,
        /// Version the object must have; `None` if it must not exist.
        expected: Option<GroupObjectVersion>,
    },
    /// Start watching the configuration, in place of any earlier watch. The
    /// store is to be distrusted while it shows less than what is known.
    WatchConfiguration(Vec<AppliedObject>),
    /// Stop watching the configuration.
    StopWatching,
    /// Write the status of a configuration object.
    WriteStatus(StatusWrite),
    /// Something worth a line in the log.
    Observe(Observation),
}

/// Facts for logs and metrics.
#[derive(Clone, Debug, PartialEq)]
pub enum Observation {
    /// Another router was seen for the first time.
    RouterUp(RouterId),
    /// A router does not answer; others are asked about it.
    RouterSuspected(RouterId),
    /// A router is considered gone.
    RouterDown(RouterId),
    /// A router announced that it is leaving.
    RouterLeaving(RouterId),
    /// This router founded its group.
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
        /// Every problem with its remedy.
        message: String,
    },
    /// A back end's process opened a session.
    SessionOpened(SessionId),
    /// A session ended: its lease ran out or a later process answered.
    SessionClosed(SessionId),
    /// A back end began to drain.
    SessionDraining(SessionId),
    /// The platform's store answered with an older state than one already
    /// applied; it was ignored.
    StoreReverted {
        /// The back end or service concerned.
        object: String,
    },
    /// Slices of one service changed in one entry of the log.
    Slices {
        /// The service.
        service: ServiceId,
        /// What became of the slices.
        change: SliceChange,
        /// Their number.
        slices: u64,
    },
    /// A service's imbalance stayed above what its policy tolerates.
    ImbalanceTooHigh {
        /// The service.
        service: ServiceId,
        /// Load of the busiest back end over the mean.
        ratio: f64,
    },
    /// A service has slices without an owner and no back end that may take
    /// them.
    NoEligibleBackEnd {
        /// The service.
        service: ServiceId,
        /// Its slices without an owner.
        unowned: usize,
    },
    /// Something the grantor saw at a back end.
    Session(threadledge_ownership::grantor::Observation),
}
