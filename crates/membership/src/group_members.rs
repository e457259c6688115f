//! Selection of the members of a consensus group.
//!
//! The selection depends only on the current group and members, so any router
//! that becomes leader can continue it. It returns one change at a time, and
//! never one that would leave fewer voters able to vote than a quorum.

use std::collections::{BTreeMap, BTreeSet};

use threadledge_types::{RouterId, RouterIdentity, ZoneName};
use xxhash_rust::xxh3::xxh3_64;

use crate::member::{Member, MemberState};

/// Next change to the members of a group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum GroupChange {
    /// Add this router as a learner, to become a voter once it has caught up.
    Add(RouterIdentity),
    /// Remove this router.
    Remove(RouterId),
    /// No change is needed or possible now.
    None,
}

/// Current members of a group.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct GroupView {
    /// Voters of the group.
    pub voters: BTreeSet<RouterId>,
    /// Learners, which are to become voters.
    pub learners: BTreeSet<RouterId>,
    /// Leader of the group, which asks for the change. It is never removed: a
    /// leader that leaves first transfers leadership, and the next leader
    /// removes it.
    pub leader: Option<RouterId>,
}

/// Returns the next change that brings `group` closer to `target_size` living
/// voters spread over the zones. `members` are all known members.
///
/// A dead or leaving voter is replaced: another router is added before the
/// voter is removed. A voter that is not in `members` counts as dead.
pub fn next_change<'a>(
    group: &'a GroupView,
    members: impl IntoIterator<Item = &'a Member>,
    target_size: usize,
) -> GroupChange {
    let planner = Planner::new(group, members, target_size);
    if !group.learners.is_empty() {
        // Only one change at a time: first the learner becomes a voter or is
        // removed.
        return planner.remove_lost_learner();
    }
    if !planner.has_quorum() {
        // Without a quorum, no change can be committed.
        return GroupChange::None;
    }
    planner
        .remove_surplus()
        .or_else(|| planner.add_missing())
        .or_else(|| planner.add_for_empty_zone())
        .or_else(|| planner.remove_without_replacement())
        .unwrap_or(GroupChange::None)
}

/// State of a voter. Voters are removed in the order of the variants.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum VoterState {
    Dead,
    Leaving,
    Living,
}

/// Inputs of the selection of the next change.
struct Planner<'a> {
    group: &'a GroupView,
    target_size: usize,
    members: BTreeMap<RouterId, &'a Member>,
    /// Number of living voters in each zone.
    zones: BTreeMap<&'a ZoneName, usize>,
}

impl<'a> Planner<'a> {
    fn new(
        group: &'a GroupView,
        members: impl IntoIterator<Item = &'a Member>,
        target_size: usize,
    ) -> Self {
        let members = members.into_iter();
        let mut planner = Planner {
            group,
            target_size: target_size.max(1),
            members: members.map(|m| (m.identity.id, m)).collect(),
            zones: BTreeMap::new(),
        };
        planner.zones = planner.count_living_by_zone();
        planner
    }

    fn voter_state(&self, id: RouterId) -> VoterState {
        match self.members.get(&id).map(|member| member.state) {
            Some(MemberState::Alive | MemberState::Suspect) => VoterState::Living,
            Some(MemberState::Leaving) => VoterState::Leaving,
            Some(MemberState::Dead) | None => VoterState::Dead,
        }
    }

    /// Returns the number of voters that can vote. A leaving voter still can.
    fn voting_count(&self) -> usize {
        let voters = self.group.voters.iter();
        voters
            .filter(|id| self.voter_state(**id) != VoterState::Dead)
            .count()
    }

    /// Returns the number of voters in a state.
    fn count(&self, voter_state: VoterState) -> usize {
        let voters = self.group.voters.iter();
        voters
            .filter(|id| self.voter_state(**id) == voter_state)
            .count()
    }

    fn has_quorum(&self) -> bool {
        self.voting_count() >= quorum(self.group.voters.len())
    }

    fn remove_lost_learner(&self) -> GroupChange {
        let mut learners = self.group.learners.iter();
        let lost = learners.find(|id| self.voter_state(**id) != VoterState::Living);
        lost.map_or(GroupChange::None, |id| GroupChange::Remove(*id))
    }

    /// Removes a voter from a group that is above its target size.
    fn remove_surplus(&self) -> Option<GroupChange> {
        if self.group.voters.len() <= self.target_size {
            return None;
        }
        let worst = self.removal_candidate()?;
        let living = self.count(VoterState::Living);
        if self.voter_state(worst) == VoterState::Living && living <= self.target_size {
            // The surplus voter is the leader, which is leaving and cannot be
            // removed yet. If a living voter were removed instead, it would
            // only be added again.
            return None;
        }
        self.remove(worst)
    }

    /// Adds a router to a group without enough living voters, even if the group
    /// then exceeds its target size until the lost voter is removed.
    fn add_missing(&self) -> Option<GroupChange> {
        if self.count(VoterState::Living) >= self.target_size {
            return None;
        }
        let candidate = self.addition_candidate()?;
        Some(GroupChange::Add(candidate.identity.clone()))
    }

    /// Adds a voter in a zone without one if another zone has several.
    fn add_for_empty_zone(&self) -> Option<GroupChange> {
        let is_uneven = self.zones.values().any(|voters| *voters > 1);
        let candidate = self.addition_candidate()?;
        let zone_is_empty = self.zone_load(&candidate.identity.zone) == 0;
        (is_uneven && zone_is_empty).then(|| GroupChange::Add(candidate.identity.clone()))
    }

    /// Removes a lost voter that no router can replace. A leaving voter is
    /// removed if the others still form a quorum, so that its departure does
    /// not cost the quorum. A dead voter may return, so it is removed only if
    /// the group tolerates more losses without it, which is when the quorum
    /// becomes smaller.
    fn remove_without_replacement(&self) -> Option<GroupChange> {
        let worst = self.removal_candidate()?;
        let size = self.group.voters.len();
        match self.voter_state(worst) {
            VoterState::Living => None,
            VoterState::Leaving => self.remove(worst),
            VoterState::Dead if quorum(size - 1) < quorum(size) => self.remove(worst),
            VoterState::Dead => None,
        }
    }

    /// Returns the removal of a voter, if the remaining voters that can vote
    /// are at least a quorum. No change may break this invariant.
    fn remove(&self, id: RouterId) -> Option<GroupChange> {
        let remaining_size = self.group.voters.len().checked_sub(1)?;
        let others = self.group.voters.iter().filter(|voter| **voter != id);
        let able = others
            .filter(|voter| self.voter_state(**voter) != VoterState::Dead)
            .count();
        (remaining_size > 0 && able >= quorum(remaining_size)).then_some(GroupChange::Remove(id))
    }

    /// Returns the voter to remove first: a dead one, then a leaving one, then
    /// one in the zone with the most living voters. Never returns the leader.
    fn removal_candidate(&self) -> Option<RouterId> {
        let voters = self.group.voters.iter().copied();
        voters
            .filter(|id| Some(*id) != self.group.leader)
            .min_by_key(|id| {
                let load = self
                    .members
                    .get(id)
                    .map(|m| self.zone_load(&m.identity.zone));
                let load = std::cmp::Reverse(load.unwrap_or(0));
                (self.voter_state(*id), load, hash(*id))
            })
    }

    /// Returns the router to add first: one in the zone with the fewest living
    /// voters.
    fn addition_candidate(&self) -> Option<&'a Member> {
        let members = self.members.values().copied();
        members
            .filter(|member| member.state == MemberState::Alive)
            .filter(|member| !self.group.voters.contains(&member.identity.id))
            .min_by_key(|member| {
                let load = self.zone_load(&member.identity.zone);
                (load, hash(member.identity.id))
            })
    }

    fn zone_load(&self, zone: &ZoneName) -> usize {
        self.zones.get(zone).copied().unwrap_or(0)
    }

    fn count_living_by_zone(&self) -> BTreeMap<&'a ZoneName, usize> {
        let mut zones = BTreeMap::new();
        for id in &self.group.voters {
            if self.voter_state(*id) != VoterState::Living {
                continue;
            }
            if let Some(member) = self.members.get(id) {
                *zones.entry(&member.identity.zone).or_insert(0) += 1;
            }
        }
        zones
    }
}

/// Returns the number of votes needed in a group of `size` voters.
fn quorum(size: usize) -> usize {
    size / 2 + 1
}

fn hash(id: RouterId) -> u64 {
    xxh3_64(&id.0.to_be_bytes())
}
