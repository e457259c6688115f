//! The grants that a holder has, which never overlap.

use std::collections::BTreeMap;

use threadledge_types::session::Grant;
use threadledge_types::{Point, ServiceId};

/// Grants by service and by the first point of their slice.
#[derive(Clone, Debug, Default)]
pub(super) struct HeldGrants {
    services: BTreeMap<ServiceId, BTreeMap<Point, Grant>>,
}

impl HeldGrants {
    /// Returns all grants, ordered by service and first point.
    pub fn all(&self) -> Vec<Grant> {
        let grants = self.services.values().flat_map(|grants| grants.values());
        grants.cloned().collect()
    }

    /// Returns the grant that covers the point.
    pub fn covering(&self, service: &ServiceId, point: Point) -> Option<&Grant> {
        let grants = self.services.get(service)?;
        let (_, grant) = grants.range(..=point).next_back()?;
        grant.slice.contains(point).then_some(grant)
    }

    /// Adds a grant. Of two overlapping grants the one with the higher epoch is
    /// kept: epochs only increase, so the other one is older.
    pub fn add(&mut self, grant: Grant) {
        let grants = self.services.entry(grant.service.clone()).or_default();
        let overlapping: Vec<Grant> = grants
            .range(..=grant.slice.last)
            .rev()
            .map(|(_, held)| held)
            .take_while(|held| held.slice.overlaps(&grant.slice))
            .cloned()
            .collect();
        if overlapping.iter().any(|held| held.epoch > grant.epoch) {
            return;
        }
        for held in overlapping {
            grants.remove(&held.slice.first);
        }
        grants.insert(grant.slice.first, grant);
    }

    /// Removes exactly this grant, if it is held.
    pub fn remove(&mut self, grant: &Grant) {
        let Some(grants) = self.services.get_mut(&grant.service) else {
            return;
        };
        if grants.get(&grant.slice.first) == Some(grant) {
            grants.remove(&grant.slice.first);
        }
        if grants.is_empty() {
            self.services.remove(&grant.service);
        }
    }
}
