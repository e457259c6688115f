//! A router's copy of a group's records, indexed for the data path.

mod apply;
mod effects;
mod route;
mod services;
mod sessions;
mod slices;

use std::net::SocketAddr;
use std::sync::Arc;

use threadledge_types::objects::Priority;
use threadledge_types::records::RecordDelta;
use threadledge_types::{
    BackEndId, Epoch, GroupId, Incarnation, NotRunReason, Point, Revision, ServiceId, hash_key,
    path_readings,
};

use crate::head::RequestHead;
use crate::key::extract_key;
pub(crate) use effects::Effects;
pub(crate) use route::Route;
pub(crate) use services::{ServiceEntry, ServiceIndex, Services};
pub(crate) use sessions::{BackEndIndex, Sessions};

/// Reason why a delta was not applied. The copy is unchanged.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ApplyError {
    /// The delta starts at another revision than that of the copy.
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
        "the copy belongs to group {have} and the delta to group {got}; apply it to the copy of group {got}"
    )]
    OtherGroup {
        /// Group of the copy.
        have: GroupId,
        /// Group of the delta.
        got: GroupId,
    },
}

/// The route that a request matched and the properties it gives the request.
#[derive(Clone, Debug, PartialEq)]
pub struct MatchedRoute {
    /// The service.
    pub service: Arc<ServiceId>,
    /// Name of the route.
    pub route: Arc<str>,
    /// Priority under contention.
    pub priority: Priority,
    /// Whether the request may be run more than once.
    pub repeatable: bool,
    /// Deadline for the outcome, in milliseconds after arrival.
    pub deadline_ms: u64,
    /// Whether the request may wait for a slot until its deadline.
    pub may_queue: bool,
    /// Point that the key hashes to.
    pub point: Point,
}

impl MatchedRoute {
    pub(crate) fn new(service: &ServiceEntry, route: &Route, point: Point, method: &str) -> Self {
        MatchedRoute {
            service: Arc::clone(&service.id),
            route: Arc::clone(&route.name),
            priority: route.priority,
            repeatable: route.is_repeatable(method),
            deadline_ms: route.deadline_ms,
            may_queue: route.may_queue,
            point,
        }
    }
}

/// The owner of a point.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Owner {
    /// The back end.
    pub back_end: Arc<BackEndId>,
    /// Incarnation of its process.
    pub incarnation: Incarnation,
    /// Address that requests are sent to.
    pub address: SocketAddr,
    /// Fencing token of the assignment.
    pub epoch: Epoch,
    /// Whether it announced that it is leaving.
    pub draining: bool,
}

/// The owner of a point, by table index.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct OwnerEntry {
    pub(crate) back_end: BackEndIndex,
    pub(crate) incarnation: Incarnation,
    pub(crate) epoch: Epoch,
    pub(crate) draining: bool,
}

/// A copy of one group's records, updated in place by deltas. The cost of
/// applying a delta is proportional to its changes; a lookup is O(log n).
#[derive(Debug, Default)]
pub struct RoutingTable {
    group: Option<GroupId>,
    revision: Revision,
    services: Services,
    sessions: Sessions,
}

impl RoutingTable {
    /// Creates an empty copy. The first delta determines its group.
    pub fn new() -> Self {
        RoutingTable::default()
    }

    /// Revision of the copy.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Number of slices, over all services.
    pub fn slice_count(&self) -> usize {
        self.services.values().map(|entry| entry.slices.len()).sum()
    }

    /// Applies a delta.
    ///
    /// # Errors
    ///
    /// [`ApplyError`] when the delta does not fit the copy.
    pub fn apply(&mut self, delta: &RecordDelta) -> Result<(), ApplyError> {
        self.apply_with_effects(delta).map(|_| ())
    }

    /// Applies a delta and returns which parts of the table it touched.
    pub(crate) fn apply_with_effects(
        &mut self,
        delta: &RecordDelta,
    ) -> Result<Effects, ApplyError> {
        self.check(delta)?;
        let mut effects = Effects::new(delta.full);
        if delta.full {
            self.replace(&delta.changes, &mut effects);
        } else {
            self.apply_changes(&delta.changes, &mut effects);
        }
        self.group = Some(delta.group);
        self.revision = delta.to;
        Ok(effects)
    }

    /// Finds the route and key of a request.
    ///
    /// # Errors
    ///
    /// `NoRoute`, `MissingKey` or `Malformed`.
    pub fn match_request(&self, head: &RequestHead<'_>) -> Result<MatchedRoute, NotRunReason> {
        let (_, service, route, point) = self.match_entry(head)?;
        Ok(MatchedRoute::new(service, route, point, head.method))
    }

    pub(crate) fn match_entry(
        &self,
        head: &RequestHead<'_>,
    ) -> Result<(ServiceIndex, &ServiceEntry, &Route, Point), NotRunReason> {
        let (index, service, route) = self
            .services
            .route(head.host, head.method, head.path)
            .ok_or(NotRunReason::NoRoute)?;
        if self.is_ambiguous(head, route) {
            return Err(NotRunReason::Malformed);
        }
        let key = extract_key(&route.key, head)?;
        Ok((index, service, route, hash_key(&key)))
    }

    /// Whether a back end may read the path as one of another route than the one
    /// that was found.
    fn is_ambiguous(&self, head: &RequestHead<'_>, found: &Arc<Route>) -> bool {
        path_readings(head.path).iter().any(|reading| {
            let other = self.services.route(head.host, head.method, reading);
            other.is_none_or(|(_, _, route)| !Arc::ptr_eq(route, found))
        })
    }

    /// Returns the owner of a point of a service; `None` if there is none or
    /// its session has ended.
    pub fn owner(&self, service: &ServiceId, point: Point) -> Option<Owner> {
        let index = self.services.find(service)?;
        let entry = self.owner_entry(index, point)?;
        let back_end = self.sessions.back_end(entry.back_end)?;
        Some(Owner {
            back_end: Arc::clone(&back_end.id),
            incarnation: entry.incarnation,
            address: back_end.spec.as_ref()?.address,
            epoch: entry.epoch,
            draining: entry.draining,
        })
    }

    pub(crate) fn owner_entry(&self, service: ServiceIndex, point: Point) -> Option<OwnerEntry> {
        let owner = self.services.get(service)?.slices.owner(point)?;
        let session = self.sessions.session(owner.session)?;
        if !session.open {
            return None;
        }
        Some(OwnerEntry {
            back_end: session.back_end,
            incarnation: session.incarnation,
            epoch: owner.epoch,
            draining: session.draining,
        })
    }

    pub(crate) fn service(&self, index: ServiceIndex) -> Option<&ServiceEntry> {
        self.services.get(index)
    }

    pub(crate) fn sessions(&self) -> &Sessions {
        &self.sessions
    }
}
