//! Inputs from the shell to the control plane.

use threadledge_membership::MachineList;
use threadledge_types::objects::{BackEndObject, KeyedServiceObject};
use threadledge_types::session::{LeaseResponse, LeaseSequence};
use threadledge_types::validation::Problem;
use threadledge_types::{BackEndId, Generation};

use crate::bootstrap::GroupObjectState;
use crate::message::PeerBatch;
use crate::object_status::ObjectRef;

/// One input event.
#[derive(Clone, Debug)]
pub enum Input {
    /// Time has passed. Expected at least every 25 ms.
    Tick,
    /// Messages from another router.
    Peer(PeerBatch),
    /// A new reading of the platform's machine list.
    Machines(MachineList),
    /// A back end answered a lease request.
    LeaseAnswered {
        /// The back end that the request was sent to.
        back_end: BackEndId,
        /// Its answer.
        response: Box<LeaseResponse>,
    },
    /// A lease request got no usable answer. The back end may still have
    /// accepted it.
    LeaseFailed {
        /// The back end that the request was sent to.
        back_end: BackEndId,
        /// Sequence number of the request.
        order: LeaseSequence,
    },
    /// Answer to [`crate::Output::ReadGroupObject`].
    GroupObject(GroupObjectState),
    /// Result of [`crate::Output::WriteGroupObject`].
    GroupObjectWritten {
        /// Generation that was to be written.
        generation: Generation,
        /// Result of the write.
        result: GroupWriteResult,
    },
    /// The watcher saw the configuration or a change to it.
    Configuration(Box<ConfigurationEvent>),
    /// A planned stop begins: hand over all roles and leave the group.
    Leave,
}

/// Result of writing the group object.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GroupWriteResult {
    /// The object names this router as founder.
    Written,
    /// Another router wrote the object first.
    Conflict,
    /// The platform did not answer, and the object could not be read back.
    Unavailable,
}

/// A configuration event from the watcher of the object API.
#[derive(Clone, Debug)]
pub enum ConfigurationEvent {
    /// All back ends at one version of the store.
    BackEndsListed(Listing<BackEndObject>),
    /// All services at one version of the store.
    ServicesListed(Listing<KeyedServiceObject>),
    /// A back end was added or changed.
    BackEndChanged(ObservedObject<BackEndObject>),
    /// A service was added or changed.
    ServiceChanged(ObservedObject<KeyedServiceObject>),
    /// An object was deleted.
    Deleted {
        /// The object.
        object: ObjectRef,
        /// A version no higher than that of the deletion, and above every
        /// version of the object that was seen.
        resource_version: u64,
    },
}

/// List of all objects of one kind.
#[derive(Clone, Debug)]
pub struct Listing<K> {
    /// The objects.
    pub objects: Vec<ObservedObject<K>>,
    /// Objects that the watcher withholds; they stay as they are.
    pub withheld: Vec<ObjectRef>,
    /// Version of the store.
    pub resource_version: u64,
}

/// One object as stored.
#[derive(Clone, Debug)]
pub struct ObservedObject<K> {
    /// The object.
    pub object: ObjectRef,
    /// `metadata.generation`.
    pub generation: i64,
    /// The object, or the problem that makes it unreadable.
    pub content: Result<K, Problem>,
}
