//! Static owners: the points are divided once, and no slice ever moves.

use threadledge_types::{BackEndId, Slice};

/// Equal slices, assigned in the order of the back end names.
#[derive(Clone, Debug)]
pub struct StaticOwners {
    slices: Vec<(Slice, BackEndId)>,
}

impl StaticOwners {
    /// Divides the points among `members`, independent of their order.
    pub fn new(members: &[BackEndId]) -> Self {
        let mut members = members.to_vec();
        members.sort();
        let slices = match u32::try_from(members.len()) {
            Ok(count) if count > 0 => Slice::divide(count),
            _ => Vec::new(),
        };
        StaticOwners {
            slices: slices.into_iter().zip(members).collect(),
        }
    }

    /// Returns the slices with their owners, whether these are alive or not.
    pub fn slices(&self) -> Vec<(Slice, BackEndId)> {
        self.slices.clone()
    }
}
