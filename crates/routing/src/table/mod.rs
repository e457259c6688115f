//! The copy of a group's records as the data path needs it.

use std::net::SocketAddr;
use std::sync::Arc;

use threadledge_types::objects::Priority;
use threadledge_types::records::RecordDelta;
use threadledge_types::{
    BackEndId, Epoch, GroupId, Incarnation, NotRunReason, Point, Revision, ServiceId,
};

use crate::head::RequestHead;

/// Why a delta was not applied. The copy is unchanged.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ApplyError {
    /// The delta starts at another revision than the copy has.
    #[error("the copy is at {have} and the delta starts at {from}; fetch the full state")]
    Gap {
        /// Revision of the copy.
        have: Revision,
        /// Revision the delta starts from.
        from: Revision,
    },
    /// The delta would bring the copy back to an earlier revision.
    #[error("the copy is at {have} and never goes back to {to}; fetch from a router that is ahead")]
    Older {
        /// Revision of the copy.
        have: Revision,
        /// Revision the delta leads to.
        to: Revision,
    },
    /// The delta belongs to another group.
    #[error(
        "the copy is of group {have} and the delta of group {got}; apply it to that group's copy"
    )]
    OtherGroup {
        /// Group of the copy.
        have: GroupId,
        /// Group of the delta.
        got: GroupId,
    },
}

/// A request with the route that it matches.
#[derive(Clone, Debug, PartialEq)]
pub struct Matched {
    /// The service.
    pub service: Arc<ServiceId>,
    /// Name of the route.
    pub route: Arc<str>,
    /// Order under contention.
    pub priority: Priority,
    /// Whether it may be carried out more than once.
    pub repeatable: bool,
    /// Longest time until the caller has its outcome, in milliseconds.
    pub deadline_ms: u64,
    /// Whether it may wait for a slot until its deadline.
    pub may_queue: bool,
    /// Point of its key.
    pub point: Point,
}

/// Who owns a point.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Owner {
    /// The back end.
    pub back_end: Arc<BackEndId>,
    /// Life of its process.
    pub incarnation: Incarnation,
    /// Where requests go.
    pub address: SocketAddr,
    /// Fencing token of the assignment.
    pub epoch: Epoch,
    /// It announced that it is leaving.
    pub draining: bool,
}

/// The copy of one group's records, updated in place by deltas.
#[derive(Debug, Default)]
pub struct RoutingTable {
    revision: Revision,
}

impl RoutingTable {
    /// An empty copy.
    pub fn new() -> Self {
        RoutingTable::default()
    }

    /// Revision of the copy.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Applies a delta.
    ///
    /// # Errors
    ///
    /// [`ApplyError`] when the delta does not fit the copy.
    pub fn apply(&mut self, delta: &RecordDelta) -> Result<(), ApplyError> {
        self.revision = delta.to;
        Ok(())
    }

    /// Finds the route and key of a request.
    ///
    /// # Errors
    ///
    /// `NoRoute`, `MissingKey` or `Malformed`.
    pub fn match_request(&self, _head: &RequestHead<'_>) -> Result<Matched, NotRunReason> {
        Err(NotRunReason::NoRoute)
    }

    /// Owner of a point of a service.
    pub fn owner(&self, _service: &ServiceId, _point: Point) -> Option<Owner> {
        None
    }
}
