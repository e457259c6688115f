//! The owners of one service in the view of one baseline router.

use std::collections::{BTreeMap, BTreeSet};

use threadledge_types::session::Grant;
use threadledge_types::{BackEndId, Epoch, Point, ServiceId, SessionId, Slice};

use super::assignment::Assignment;
use super::health::Health;

/// One router's view of the owners of one service.
#[derive(Clone, Debug)]
pub struct View {
    service: ServiceId,
    /// Epoch under which this router's view is recorded. It distinguishes the
    /// views of different routers and is not used for fencing.
    epoch: Epoch,
    assignment: Assignment,
    owners: BTreeMap<Point, (Point, BackEndId)>,
    recorded: BTreeSet<(SessionId, Grant)>,
}

/// Changes of a view.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ViewChange {
    /// Grants that ended, with their sessions.
    pub released: Vec<(SessionId, Grant)>,
    /// New grants, with their sessions.
    pub taken: Vec<(SessionId, Grant)>,
}

impl View {
    /// Creates a view without owners.
    pub fn new(service: ServiceId, epoch: Epoch, assignment: Assignment) -> Self {
        View {
            service,
            epoch,
            assignment,
            owners: BTreeMap::new(),
            recorded: BTreeSet::new(),
        }
    }

    /// Recomputes the owners from the health of the back ends and returns the
    /// changes.
    pub fn update(&mut self, health: &BTreeMap<BackEndId, Health>) -> ViewChange {
        let alive = health.iter().filter(|(_, health)| health.is_alive());
        let alive: BTreeSet<BackEndId> = alive.map(|(id, _)| id.clone()).collect();
        let slices = self.assignment.slices(&alive);
        let mut recorded = BTreeSet::new();
        for (slice, owner) in &slices {
            let session = health.get(owner).and_then(Health::session);
            if let Some(session) = session {
                recorded.insert((session.clone(), self.grant(*slice)));
            }
        }
        self.owners = slices
            .into_iter()
            .map(|(slice, owner)| (slice.first, (slice.last, owner)))
            .collect();
        let change = ViewChange {
            released: self.recorded.difference(&recorded).cloned().collect(),
            taken: recorded.difference(&self.recorded).cloned().collect(),
        };
        self.recorded = recorded;
        change
    }

    /// Returns the owner of a point.
    pub fn owner(&self, point: Point) -> Option<&BackEndId> {
        let (_, (last, owner)) = self.owners.range(..=point).next_back()?;
        (point <= *last).then_some(owner)
    }

    /// Returns the epoch of this router's view.
    pub fn epoch(&self) -> Epoch {
        self.epoch
    }

    fn grant(&self, slice: Slice) -> Grant {
        Grant {
            service: self.service.clone(),
            slice,
            epoch: self.epoch,
        }
    }
}
