//! Slices of one service that one back end owns, receives or gives up.

use std::collections::BTreeSet;

use threadledge_types::Point;

use crate::weight::{Weight, density_order};

/// Allocation of one service's slices to one back end.
#[derive(Clone, Debug, Default)]
pub(crate) struct Allocation {
    /// Total weight of the slices it owns.
    pub owned: Weight,
    /// Total weight of the slices that are proposed or being prepared for it.
    pub inbound: Weight,
    /// Number of those.
    pub inbound_count: usize,
    /// Total weight of the owned slices that are being moved away.
    pub outbound: Weight,
    /// Number of those.
    pub outbound_count: usize,
    /// True if the back end has reported its load since it first had slices.
    pub has_reported: bool,
    /// Owned slices in ascending order of rate per key.
    by_density: BTreeSet<(u64, Point)>,
}

impl Allocation {
    pub(crate) fn add(&mut self, first: Point, weight: Weight) {
        self.owned += weight;
        self.by_density.insert((density_order(weight), first));
    }

    pub(crate) fn remove(&mut self, first: Point, weight: Weight) {
        self.owned -= weight;
        self.by_density.remove(&(density_order(weight), first));
    }

    pub(crate) fn add_inbound(&mut self, weight: Weight) {
        self.inbound += weight;
        self.inbound_count += 1;
    }

    pub(crate) fn remove_inbound(&mut self, weight: Weight) {
        self.inbound -= weight;
        self.inbound_count -= 1;
    }

    pub(crate) fn add_outbound(&mut self, weight: Weight) {
        self.outbound += weight;
        self.outbound_count += 1;
    }

    pub(crate) fn remove_outbound(&mut self, weight: Weight) {
        self.outbound -= weight;
        self.outbound_count -= 1;
    }

    /// Returns the number of owned slices.
    pub(crate) fn count(&self) -> usize {
        self.by_density.len()
    }

    /// Returns whether nothing is owned, received or given up.
    pub(crate) fn is_empty(&self) -> bool {
        self.by_density.is_empty() && self.inbound_count == 0 && self.outbound_count == 0
    }

    /// Returns the weight that it will own once all moves have completed.
    pub(crate) fn projected(&self) -> Weight {
        self.owned.plus(self.inbound).minus(self.outbound)
    }

    /// Returns the first points of the owned slices in descending order of rate
    /// per key.
    pub(crate) fn densest_first(&self) -> impl Iterator<Item = Point> + '_ {
        self.by_density.iter().rev().map(|(_, first)| *first)
    }
}
