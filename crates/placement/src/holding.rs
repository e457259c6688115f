//! What one back end holds of one service, and what is on its way.

use std::collections::BTreeSet;

use threadledge_types::Point;

use crate::weight::{Weight, density_order};

/// Slices of one service on one back end.
#[derive(Clone, Debug, Default)]
pub(crate) struct Holding {
    /// Sum over the slices it owns.
    pub owned: Weight,
    /// Sum over the slices that are proposed or being prepared for it.
    pub inbound: Weight,
    /// Number of those.
    pub inbound_count: usize,
    /// Sum over the owned slices that are being moved away.
    pub outbound: Weight,
    /// Number of those.
    pub outbound_count: usize,
    /// Whether the back end has reported since it holds anything.
    pub heard: bool,
    /// Owned slices, the one with the highest rate for each key last.
    by_density: BTreeSet<(u64, Point)>,
}

impl Holding {
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

    /// Number of slices owned.
    pub(crate) fn count(&self) -> usize {
        self.by_density.len()
    }

    /// Whether nothing is owned or on its way.
    pub(crate) fn is_empty(&self) -> bool {
        self.by_density.is_empty() && self.inbound_count == 0 && self.outbound_count == 0
    }

    /// What it will own once everything on its way has arrived.
    pub(crate) fn projected(&self) -> Weight {
        self.owned.plus(self.inbound).minus(self.outbound)
    }

    /// First points of the owned slices, highest rate for each key first.
    pub(crate) fn densest_first(&self) -> impl Iterator<Item = Point> + '_ {
        self.by_density.iter().rev().map(|(_, first)| *first)
    }
}
