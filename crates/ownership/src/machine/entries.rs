//! Entries of the replicated state, one type per kind of object.

use std::collections::{BTreeMap, BTreeSet};

use k8s_openapi::apimachinery::pkg::apis::meta::v1::LabelSelector;
use kube_core::labels::{Selector, SelectorExt};
use serde::{Deserialize, Serialize};
use threadledge_types::records::{BackEndRecord, ServiceRecord, SessionRecord, SliceKey};
use threadledge_types::{BackEndId, Epoch, Point, Revision, SessionId, Slice};

/// One slice of a service. Its first point is the key of the entry.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct SliceEntry {
    pub last: Point,
    pub owner: Option<SessionId>,
    pub epoch: Epoch,
    pub next: Option<BackEndId>,
    /// Revision of the last change to this entry.
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
    /// The service is deleted, but some of its slices are still owned. It keeps
    /// all its slices until these are released, so that a slice that may still
    /// be served cannot be assigned to another back end.
    pub deleted: bool,
    pub slices: BTreeMap<Point, SliceEntry>,
    /// Number of slices that have an owner.
    pub owned: usize,
    /// True if any slice was ever assigned.
    pub used: bool,
    /// Back ends that the selector selects.
    pub eligible: BTreeSet<BackEndId>,
    /// The parsed selector. `None` selects nothing.
    pub selector: Option<Selector>,
}

impl ServiceEntry {
    pub fn selects(&self, back_end: &BackEndRecord) -> bool {
        // Isolation between partners: a service selects back ends only within
        // its own namespace.
        let same_namespace = back_end.id.namespace == self.record.id.namespace;
        let matches = |selector: &Selector| selector.matches(&back_end.labels);
        same_namespace && self.selector.as_ref().is_some_and(matches)
    }
}

/// Parses a selector with the standard semantics. Returns `None` if it is
/// invalid.
pub(crate) fn parse_selector(selector: &LabelSelector) -> Option<Selector> {
    Selector::try_from(selector.clone()).ok()
}

/// Pending change of a back end that takes effect when its session ends.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) enum Successor {
    /// The record replaces the present one.
    Replaced(Box<BackEndRecord>),
    /// The back end is removed.
    Deleted { resource_version: u64 },
}

/// One back end.
///
/// The addresses in force stay unchanged while a session is open: the session's
/// process runs there, and a process at another address does not prove that it
/// has ended.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct BackEndEntry {
    pub record: BackEndRecord,
    pub successor: Option<Successor>,
}

impl BackEndEntry {
    /// Returns the highest accepted version of the object.
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
    /// Revision at which the session opened.
    pub opened: Revision,
    /// Slices that the session owns.
    pub slices: BTreeSet<SliceKey>,
}
