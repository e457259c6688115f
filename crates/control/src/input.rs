//! What the shell tells the control core.

use threadledge_membership::MachineList;
use threadledge_types::objects::{BackEndObject, KeyedServiceObject};
use threadledge_types::session::{LeaseResponse, LeaseSequence};
use threadledge_types::validation::Problem;
use threadledge_types::{BackEndId, Generation};

use crate::bootstrap::GroupObjectState;
use crate::message::PeerBatch;
use crate::object_status::ObjectRef;

/// One event for the control core.
#[derive(Clone, Debug)]
pub enum Input {
    /// Time passed. Expected at least every 25 ms.
    Tick,
    /// Messages from another router.
    Peer(PeerBatch),
    /// A reading of the platform's machine list.
    Machines(MachineList),
    /// A back end answered a lease request.
    LeaseAnswered {
        /// The back end asked.
        back_end: BackEndId,
        /// Its answer.
        response: Box<LeaseResponse>,
    },
    /// A lease request got no usable answer; it may have been taken.
    LeaseFailed {
        /// The back end asked.
        back_end: BackEndId,
        /// Order of the request.
        order: LeaseSequence,
    },
    /// Answer to [`crate::Output::ReadGroupObject`].
    GroupObject(GroupObjectState),
    /// Answer to [`crate::Output::WriteGroupObject`].
    GroupObjectWritten {
        /// The generation that was to be founded.
        generation: Generation,
        /// What became of the write.
        result: GroupWriteResult,
    },
    /// The watcher saw the configuration or a change of it.
    Configuration(Box<ConfigurationEvent>),
    /// A planned stop begins: hand over duties and leave.
    Leave,
}

/// What became of a founding write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GroupWriteResult {
    /// The object carries this router as founder.
    Written,
    /// Another router's write came first.
    Conflict,
    /// The platform did not answer and could not be read back.
    Unavailable,
}

/// Something the watcher of the object API saw.
#[derive(Clone, Debug)]
pub enum ConfigurationEvent {
    /// Every back end at one version of the store.
    BackEndsListed(Listing<BackEndObject>),
    /// Every service at one version of the store.
    ServicesListed(Listing<KeyedServiceObject>),
    /// A back end was added or changed.
    BackEndChanged(ObservedObject<BackEndObject>),
    /// A service was added or changed.
    ServiceChanged(ObservedObject<KeyedServiceObject>),
    /// An object was deleted.
    Deleted {
        /// Which object.
        object: ObjectRef,
        /// A version at or below that of the deletion, and above every
        /// version of the object that was seen.
        resource_version: u64,
    },
}

/// All objects of one kind.
#[derive(Clone, Debug)]
pub struct Listing<K> {
    /// The objects.
    pub objects: Vec<ObservedObject<K>>,
    /// Objects that the watcher withholds; they stay as they are.
    pub withheld: Vec<ObjectRef>,
    /// Version of the store.
    pub resource_version: u64,
}

/// One object as the store holds it.
#[derive(Clone, Debug)]
pub struct ObservedObject<K> {
    /// Which object.
    pub object: ObjectRef,
    /// `metadata.generation`.
    pub generation: i64,
    /// The object, or why it cannot be read.
    pub content: Result<K, Problem>,
}
