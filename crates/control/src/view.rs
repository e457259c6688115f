//! The view of the group that routers outside it hold.

use serde::{Deserialize, Serialize};
use threadledge_types::{Generation, RouterId, RouterIdentity};

/// Members of a group as last reported by one of them. It is attached to spread
/// messages, so that every router knows the roots of the tree.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupView {
    /// Generation of the group.
    pub generation: Generation,
    /// Consensus term in which the view was taken.
    pub term: u64,
    /// Commit index at which the view was taken.
    pub index: u64,
    /// The leader, preferred as a parent in the tree.
    pub leader: Option<RouterId>,
    /// The voters.
    pub voters: Vec<RouterIdentity>,
}

/// Version of a view. A later one replaces an earlier one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ViewVersion {
    /// Generation of the group.
    pub generation: Generation,
    /// Consensus term.
    pub term: u64,
    /// Commit index.
    pub index: u64,
}

impl GroupView {
    /// Version of this view, for comparison with other views of the group.
    pub fn version(&self) -> ViewVersion {
        ViewVersion {
            generation: self.generation,
            term: self.term,
            index: self.index,
        }
    }

    /// The voters in the order in which a child should try them as parents.
    pub fn roots(&self) -> Vec<RouterIdentity> {
        let mut roots = self.voters.clone();
        roots.sort_by_key(|voter| (Some(voter.id) != self.leader, voter.id));
        roots
    }
}
