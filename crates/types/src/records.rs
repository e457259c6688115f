//! Records of a consensus group's replicated state, as sent to routers.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::epoch::{Epoch, Revision};
use crate::ids::{BackEndId, GroupId, Incarnation, ServiceId, SessionId};
use crate::key::{Point, Slice};
use crate::objects::{BackEndSpec, KeyedServiceSpec};

/// An accepted service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServiceRecord {
    /// Id of the service.
    pub id: ServiceId,
    /// Specification that was accepted.
    pub spec: KeyedServiceSpec,
    /// `metadata.resourceVersion` of the object that was accepted.
    pub resource_version: u64,
    /// `metadata.generation` of the object that was accepted.
    pub object_generation: i64,
}

/// An accepted back end.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct BackEndRecord {
    /// Id of the back end.
    pub id: BackEndId,
    /// Labels of the object.
    pub labels: BTreeMap<String, String>,
    /// Specification that was accepted.
    pub spec: BackEndSpec,
    /// `metadata.resourceVersion` of the object that was accepted.
    pub resource_version: u64,
    /// `metadata.generation` of the object that was accepted.
    pub object_generation: i64,
}

/// An open session. The record is removed when the session ends.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SessionRecord {
    /// Id of the session.
    pub id: SessionId,
    /// True if the back end announced that it is leaving; it gets no new work.
    pub draining: bool,
}

/// Ownership of one slice of one service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SliceRecord {
    /// Service that the slice belongs to.
    pub service: ServiceId,
    /// The slice. The slices of a service cover all points without overlap.
    pub slice: Slice,
    /// Session that owns the slice. Without an owner no back end may serve it.
    pub owner: Option<SessionId>,
    /// Fencing token of the last assignment; kept when the owner is lost.
    pub epoch: Epoch,
    /// Back end that is preparing to take over the slice.
    pub next: Option<BackEndId>,
}

/// Identifies a slice by its service and first point.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct SliceKey {
    /// Service that the slice belongs to.
    pub service: ServiceId,
    /// First point of the slice.
    pub first: Point,
}

impl SliceRecord {
    /// Returns the identity of the slice.
    pub fn key(&self) -> SliceKey {
        SliceKey {
            service: self.service.clone(),
            first: self.slice.first,
        }
    }

    /// Returns the incarnation of the owning back end, if the slice has an
    /// owner.
    pub fn owner_incarnation(&self) -> Option<Incarnation> {
        self.owner.as_ref().map(|session| session.incarnation)
    }
}

/// One change to a router's copy of a group's state.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RecordChange {
    /// A service was accepted or changed.
    Service(Box<ServiceRecord>),
    /// A service was removed, with all its slices.
    ServiceRemoved(ServiceId),
    /// A back end was accepted or changed.
    BackEnd(Box<BackEndRecord>),
    /// A back end was removed.
    BackEndRemoved(BackEndId),
    /// A session opened or changed.
    Session(SessionRecord),
    /// A session ended.
    SessionRemoved(SessionId),
    /// A slice changed its owner, epoch, end point or next owner.
    Slice(SliceRecord),
    /// A slice was merged into the preceding one.
    SliceRemoved(SliceKey),
}

/// Changes that bring a copy of the state from one revision to a later one.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RecordDelta {
    /// Group that the state belongs to.
    pub group: GroupId,
    /// Revision that the copy must have; [`Revision::NONE`] together with
    /// `full` replaces the copy whatever its revision.
    pub from: Revision,
    /// Revision that the copy has afterwards.
    pub to: Revision,
    /// True if the changes are a snapshot of the whole state, not a difference.
    pub full: bool,
    /// Changes, to be applied in order.
    pub changes: Vec<RecordChange>,
}
