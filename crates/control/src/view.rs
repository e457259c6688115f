//! What a router outside the group knows about it.

use serde::{Deserialize, Serialize};
use threadledge_types::{Generation, RouterId, RouterIdentity};

/// Members of a group as one of them last told. Carried along with spread
/// messages, so that every router knows where the tree has its roots.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupView {
    /// GroupBootstrap of the group.
    pub generation: Generation,
    /// Consensus term in which the view was taken.
    pub term: u64,
    /// Commit index at which the view was taken.
    pub index: u64,
    /// The leader, first in order of preference as a parent.
    pub leader: Option<RouterId>,
    /// The voters.
    pub voters: Vec<RouterIdentity>,
}

/// Order of views: a later one replaces an earlier one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ViewVersion {
    /// GroupBootstrap of the group.
    pub generation: Generation,
    /// Consensus term.
    pub term: u64,
    /// Commit index.
    pub index: u64,
}

impl GroupView {
    /// Position of this view among all views of the group.
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
