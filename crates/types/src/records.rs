//! Records of a group's replicated state, as routers receive them.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::epoch::{Epoch, Revision};
use crate::ids::{BackEndId, GroupId, Incarnation, ServiceId, SessionId};
use crate::key::{Point, Slice};
use crate::objects::{BackEndSpec, KeyedServiceSpec};

/// An accepted service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServiceRecord {
    /// Which service.
    pub id: ServiceId,
    /// Its accepted specification.
    pub spec: KeyedServiceSpec,
    /// Version of the object that was accepted.
    pub resource_version: u64,
    /// `metadata.generation` of the object that was accepted.
    pub object_generation: i64,
}

/// An accepted back end.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct BackEndRecord {
    /// Which back end.
    pub id: BackEndId,
    /// Its labels.
    pub labels: BTreeMap<String, String>,
    /// Its accepted specification.
    pub spec: BackEndSpec,
    /// Version of the object that was accepted.
    pub resource_version: u64,
    /// `metadata.generation` of the object that was accepted.
    pub object_generation: i64,
}

/// An open session. A session that ended has no record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SessionRecord {
    /// Which session.
    pub id: SessionId,
    /// The back end announced that it is leaving; it gets no new work.
    pub draining: bool,
}

/// Who owns one slice of one service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SliceRecord {
    /// Which service.
    pub service: ServiceId,
    /// Which slice. The slices of a service cover all points without overlap.
    pub slice: Slice,
    /// Session that owns it, if any. Without an owner nobody may serve it.
    pub owner: Option<SessionId>,
    /// Fencing token of the last assignment; stays when the owner goes.
    pub epoch: Epoch,
    /// Back end that is being prepared to take over.
    pub next: Option<BackEndId>,
}

/// Identifies a slice by where it starts.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct SliceKey {
    /// Which service.
    pub service: ServiceId,
    /// First point of the slice.
    pub first: Point,
}

impl SliceRecord {
    /// The record's identity.
    pub fn key(&self) -> SliceKey {
        SliceKey {
            service: self.service.clone(),
            first: self.slice.first,
        }
    }

    /// Life of the owning back end's process, if owned.
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
    /// A service is gone, with all its slices.
    ServiceRemoved(ServiceId),
    /// A back end was accepted or changed.
    BackEnd(Box<BackEndRecord>),
    /// A back end is gone.
    BackEndRemoved(BackEndId),
    /// A session opened or changed.
    Session(SessionRecord),
    /// A session ended.
    SessionRemoved(SessionId),
    /// A slice changed its owner, epoch, end point or next owner.
    Slice(SliceRecord),
    /// A slice was merged into the one before it.
    SliceRemoved(SliceKey),
}

/// Changes that bring a copy from one revision to a later one.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RecordDelta {
    /// Group whose state this is.
    pub group: GroupId,
    /// Revision the copy must have; [`Revision::NONE`] together with `full`
    /// replaces whatever the copy held.
    pub from: Revision,
    /// Revision the copy has afterwards.
    pub to: Revision,
    /// The changes describe the whole state rather than a difference.
    pub full: bool,
    /// The changes, to be applied in order.
    pub changes: Vec<RecordChange>,
}
