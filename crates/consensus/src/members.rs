//! Members of a group and changes to them.

use std::collections::BTreeMap;
use std::hash::{Hash, Hasher};

use serde::{Deserialize, Serialize};
use threadledge_types::{RouterId, RouterIdentity};

/// Members of a group.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Members {
    /// Members that vote and count towards a quorum.
    pub voters: BTreeMap<RouterId, RouterIdentity>,
    /// Members that only receive the log.
    pub learners: BTreeMap<RouterId, RouterIdentity>,
}

/// Change of a single member. Only one member changes at a time, because the
/// quorums of two configurations that differ by one voter always overlap.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum MemberChange {
    /// Adds a router that receives the log without voting.
    AddLearner(RouterIdentity),
    /// Turns a learner that has caught up into a voter.
    Promote(RouterId),
    /// Removes a voter or a learner.
    Remove(RouterId),
}

impl Members {
    /// Creates the member list of a group with one voter.
    pub fn single(identity: RouterIdentity) -> Self {
        let mut members = Members::default();
        members.voters.insert(identity.id, identity);
        members
    }

    /// Returns the number of voters in a quorum: more than half of all voters.
    pub fn quorum_size(&self) -> usize {
        self.voters.len() / 2 + 1
    }

    /// Returns whether `id` is a voter.
    pub fn is_voter(&self, id: RouterId) -> bool {
        self.voters.contains_key(&id)
    }

    /// Returns whether `id` is a voter or a learner.
    pub fn contains(&self, id: RouterId) -> bool {
        self.is_voter(id) || self.learners.contains_key(&id)
    }

    /// Returns the identity of member `id`.
    pub fn identity(&self, id: RouterId) -> Option<&RouterIdentity> {
        self.voters.get(&id).or_else(|| self.learners.get(&id))
    }

    /// Iterates over all members, voters first.
    pub fn iter(&self) -> impl Iterator<Item = &RouterIdentity> {
        self.voters.values().chain(self.learners.values())
    }

    /// Returns whether there are no members.
    pub fn is_empty(&self) -> bool {
        self.voters.is_empty() && self.learners.is_empty()
    }

    /// Returns the largest value that a quorum of voters reaches or exceeds.
    /// `value` returns the value of one voter; `None` is below every value.
    pub fn quorum_value<T: Ord + Copy>(&self, value: impl Fn(RouterId) -> Option<T>) -> Option<T> {
        if self.voters.is_empty() {
            return None;
        }
        let mut values: Vec<Option<T>> = self.voters.keys().map(|id| value(*id)).collect();
        values.sort_unstable();
        values[self.voters.len() - self.quorum_size()]
    }

    /// Returns whether the voters for which `agrees` is true form a quorum.
    pub fn has_quorum(&self, agrees: impl Fn(RouterId) -> bool) -> bool {
        let count = self.voters.keys().filter(|id| agrees(**id)).count();
        !self.voters.is_empty() && count >= self.quorum_size()
    }
}

/// Hashes only the router ids: a router's identity never changes.
impl Hash for Members {
    fn hash<H: Hasher>(&self, hasher: &mut H) {
        self.voters.len().hash(hasher);
        for id in self.voters.keys().chain(self.learners.keys()) {
            id.hash(hasher);
        }
    }
}
