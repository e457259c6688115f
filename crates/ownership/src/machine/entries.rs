//! What the state machine keeps for each object.

use std::collections::{BTreeMap, BTreeSet};

use k8s_openapi::apimachinery::pkg::apis::meta::v1::LabelSelector;
use kube_core::labels::{Selector, SelectorExt};
use serde::{Deserialize, Serialize};
use threadledge_types::records::{BackEndRecord, ServiceRecord, SessionRecord, SliceKey};
use threadledge_types::{BackEndId, Epoch, Point, Revision, SessionId, Slice};

/// One slice of a service; its first point is the key under which it stands.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct SliceEntry {
    pub last: Point,
    pub owner: Option<SessionId>,
    pub epoch: Epoch,
    pub next: Option<BackEndId>,
    /// Revision that last changed anything of this entry.
    pub revision: Revision,
}

impl SliceEntry {
    pub fn unowned(last: Point, revision: Revision) -> Self {
        SliceEntry {
            last,
            owner: None,
            epoch: Epoch::default(),
            next: None,
            revision,
        }
    }

    pub fn slice(&self, first: Point) -> Slice {
        Slice {
            first,
            last: self.last,
        }
    }
}

/// One service with its slices.
#[derive(Clone, Debug)]
pub(crate) struct ServiceEntry {
    pub record: ServiceRecord,
    /// Deleted, but some of its slices are still owned: until these are
    /// released the service keeps its slices, so that nobody else can be
    /// given one that may still be served.
    pub deleted: bool,
    pub slices: BTreeMap<Point, SliceEntry>,
    /// Slices that have an owner.
    pub owned: usize,
    /// A slice was assigned at least once.
    pub used: bool,
    /// Back ends that the selector selects.
    pub eligible: BTreeSet<BackEndId>,
    /// The parsed selector; `None` selects nothing.
    pub selector: Option<Selector>,
}

impl ServiceEntry {
    pub fn selects(&self, back_end: &BackEndRecord) -> bool {
        // Partners: a service selects only within its own namespace.
        let same_namespace = back_end.id.namespace == self.record.id.namespace;
        let matches = |selector: &Selector| selector.matches(&back_end.labels);
        same_namespace && self.selector.as_ref().is_some_and(matches)
    }
}

/// Parses a selector with the standard semantics; `None` if it is invalid.
pub(crate) fn parse_selector(selector: &LabelSelector) -> Option<Selector> {
    Selector::try_from(selector.clone()).ok()
}

/// What becomes of a back end once its session has ended.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) enum Successor {
    /// The record takes the place of the present one.
    Replaced(Box<BackEndRecord>),
    /// The back end is gone.
    Deleted { resource_version: u64 },
}

/// One back end.
///
/// While a session is open, the addresses in force stay: the process behind
/// the session lives there, and a process at another address is no proof of
/// its end.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct BackEndEntry {
    pub record: BackEndRecord,
    pub successor: Option<Successor>,
}

impl BackEndEntry {
    /// Highest object version taken.
    pub fn version(&self) -> u64 {
        match &self.successor {
            None => self.record.resource_version,
            Some(Successor::Replaced(record)) => record.resource_version,
            Some(Successor::Deleted { resource_version }) => *resource_version,
        }
    }
}

/// One open session.
#[derive(Clone, Debug)]
pub(crate) struct SessionEntry {
    pub record: SessionRecord,
    /// Revision at which it opened.
    pub opened: Revision,
    /// Slices it owns.
    pub slices: BTreeSet<SliceKey>,
}
