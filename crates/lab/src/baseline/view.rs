//! One router's view of who owns what, and what changes in it.

use std::collections::{BTreeMap, BTreeSet};

use threadledge_types::session::Grant;
use threadledge_types::{BackEndId, Epoch, Point, ServiceId, SessionId, Slice};

use super::assignment::Assignment;
use super::health::Health;

/// Owners of one service as one router sees them.
#[derive(Clone, Debug)]
pub struct View {
    service: ServiceId,
    /// Epoch under which this router's view is recorded: it tells the views
    /// of different routers apart and fences nothing.
    epoch: Epoch,
    assignment: Assignment,
    owners: BTreeMap<Point, (Point, BackEndId)>,
    recorded: BTreeSet<(SessionId, Grant)>,
}

/// What became different in a view.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ViewChange {
    /// Slices that no longer belong to a session.
    pub released: Vec<(SessionId, Grant)>,
    /// Slices that belong to a session from now on.
    pub taken: Vec<(SessionId, Grant)>,
}

impl View {
    /// A view without owners.
    pub fn new(service: ServiceId, epoch: Epoch, assignment: Assignment) -> Self {
        View {
            service,
            epoch,
            assignment,
            owners: BTreeMap::new(),
            recorded: BTreeSet::new(),
        }
    }

    /// Sees the back ends anew and tells what changed.
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

    /// Owner of a point.
    pub fn owner(&self, point: Point) -> Option<&BackEndId> {
        let (_, (last, owner)) = self.owners.range(..=point).next_back()?;
        (point <= *last).then_some(owner)
    }

    /// Epoch of this router's view.
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
