//! Static owners: the line is divided once, and nothing ever moves.

use threadledge_types::{BackEndId, Slice};

/// Equal shares of the line in the order of the back ends' names.
#[derive(Clone, Debug)]
pub struct StaticOwners {
    slices: Vec<(Slice, BackEndId)>,
}

impl StaticOwners {
    /// Divides the line among `members`; their order does not matter.
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

    /// Slices with their owners, whoever is alive.
    pub fn slices(&self) -> Vec<(Slice, BackEndId)> {
        self.slices.clone()
    }
}
