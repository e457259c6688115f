//! The grants a holder has, without overlaps.

use std::collections::BTreeMap;

use threadledge_types::session::Grant;
use threadledge_types::{Point, ServiceId};

#[derive(Clone, Debug, Default)]
pub(super) struct Holdings {
    services: BTreeMap<ServiceId, BTreeMap<Point, Grant>>,
}

impl Holdings {
    pub fn all(&self) -> Vec<Grant> {
        let grants = self.services.values().flat_map(|grants| grants.values());
        grants.cloned().collect()
    }

    /// The grant that covers the point.
    pub fn covering(&self, service: &ServiceId, point: Point) -> Option<&Grant> {
        let grants = self.services.get(service)?;
        let (_, grant) = grants.range(..=point).next_back()?;
        grant.slice.contains(point).then_some(grant)
    }

    /// Takes a grant. Of two that overlap the one with the higher epoch
    /// stays: epochs grow, so the other is the older.
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

    /// Drops exactly this grant, if held.
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
