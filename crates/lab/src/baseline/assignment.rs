//! The way in which a baseline chooses owners.

use std::collections::BTreeSet;
use std::fmt;

use serde::{Deserialize, Serialize};
use threadledge_types::{BackEndId, Slice};

use super::hash_ring::HashRing;
use super::static_owners::StaticOwners;

/// Which baseline.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum BaselineKind {
    /// Consistent hashing over the back ends believed alive.
    HashRing,
    /// A fixed assignment without failover.
    StaticOwners,
}

impl BaselineKind {
    /// Every baseline.
    pub const ALL: [BaselineKind; 2] = [BaselineKind::HashRing, BaselineKind::StaticOwners];

    /// Name in reports and logs.
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

/// Owners of one service's slices.
#[derive(Clone, Debug)]
pub enum Assignment {
    /// By a ring.
    HashRing(HashRing),
    /// Fixed.
    StaticOwners(StaticOwners),
}

impl Assignment {
    /// The assignment of a baseline to the back ends of one service.
    pub fn new(kind: BaselineKind, members: &[BackEndId]) -> Self {
        match kind {
            BaselineKind::HashRing => Assignment::HashRing(HashRing::new(members)),
            BaselineKind::StaticOwners => Assignment::StaticOwners(StaticOwners::new(members)),
        }
    }

    /// Slices with their owners when `alive` are believed alive.
    pub fn slices(&self, alive: &BTreeSet<BackEndId>) -> Vec<(Slice, BackEndId)> {
        match self {
            Assignment::HashRing(ring) => ring.slices(alive),
            Assignment::StaticOwners(owners) => owners.slices(),
        }
    }
}
