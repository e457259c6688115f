//! The assignment of slices to back ends in a baseline.

use std::collections::BTreeSet;
use std::fmt;

use serde::{Deserialize, Serialize};
use threadledge_types::{BackEndId, Slice};

use super::hash_ring::HashRing;
use super::static_owners::StaticOwners;

/// Kinds of baselines.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum BaselineKind {
    /// Consistent hashing over the back ends that are considered alive.
    HashRing,
    /// A fixed assignment without failover.
    StaticOwners,
}

impl BaselineKind {
    /// All baselines.
    pub const ALL: [BaselineKind; 2] = [BaselineKind::HashRing, BaselineKind::StaticOwners];

    /// Returns the name used in reports and logs.
    pub const fn as_str(self) -> &'static str {
        match self {
            BaselineKind::HashRing => "hash-ring",
            BaselineKind::StaticOwners => "static-owners",
        }
    }
}

impl fmt::Display for BaselineKind {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.as_str())
    }
}

/// Assignment of the slices of one service.
#[derive(Clone, Debug)]
pub enum Assignment {
    /// Assignment by a hash ring.
    HashRing(HashRing),
    /// Fixed assignment.
    StaticOwners(StaticOwners),
}

impl Assignment {
    /// Creates the assignment of a baseline for the back ends of one service.
    pub fn new(kind: BaselineKind, members: &[BackEndId]) -> Self {
        match kind {
            BaselineKind::HashRing => Assignment::HashRing(HashRing::new(members)),
            BaselineKind::StaticOwners => Assignment::StaticOwners(StaticOwners::new(members)),
        }
    }

    /// Returns the slices with their owners, given the back ends that are
    /// considered alive.
    pub fn slices(&self, alive: &BTreeSet<BackEndId>) -> Vec<(Slice, BackEndId)> {
        match self {
            Assignment::HashRing(ring) => ring.slices(alive),
            Assignment::StaticOwners(owners) => owners.slices(),
        }
    }
}
