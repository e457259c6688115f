//! Who should belong to a consensus group.
//!
//! The choice is a function of what is known now, so that it can be made anew
//! by whichever router leads. It names one change at a time and never one
//! that would leave fewer living voters than a quorum.

use std::collections::{BTreeMap, BTreeSet};

use threadledge_types::{RouterId, RouterIdentity, ZoneName};
use xxhash_rust::xxh3::xxh3_64;

use crate::member::{Member, MemberState};

/// The next change to a group's membership.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum GroupChange {
    /// Add this router, as a learner that becomes a voter once it caught up.
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
    /// The leader, who asks. It is never removed: a leader that leaves first
    /// hands leadership over, and the next leader removes it.
    pub leader: Option<RouterId>,
}

/// The next change that brings `group` closer to `target_size` living voters
/// spread over zones. `members` are all members known.
///
/// A voter that is dead or leaving is replaced: first another router is
/// added, then it is removed. A voter that is not among `members` counts as
/// dead.
pub fn next_change<'a>(
    group: &'a GroupView,
    members: impl IntoIterator<Item = &'a Member>,
    target_size: usize,
) -> GroupChange {
    let situation = Situation::new(group, members, target_size);
    if !group.learners.is_empty() {
        // One change at a time: the learner first becomes a voter or goes.
        return situation.remove_lost_learner();
    }
    if !situation.has_quorum() {
        // No change could be committed.
        return GroupChange::None;
    }
    situation
        .remove_surplus()
        .or_else(|| situation.add_missing())
        .or_else(|| situation.add_for_zones())
        .or_else(|| situation.remove_without_replacement())
        .unwrap_or(GroupChange::None)
}

/// How a voter stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Standing {
    Dead,
    Leaving,
    Living,
}

struct Situation<'a> {
    group: &'a GroupView,
    target_size: usize,
    members: BTreeMap<RouterId, &'a Member>,
    /// Living voters of each zone.
    zones: BTreeMap<&'a ZoneName, usize>,
}

impl<'a> Situation<'a> {
    fn new(
        group: &'a GroupView,
        members: impl IntoIterator<Item = &'a Member>,
        target_size: usize,
    ) -> Self {
        let members = members.into_iter();
        let mut situation = Situation {
            group,
            target_size: target_size.max(1),
            members: members.map(|m| (m.identity.id, m)).collect(),
            zones: BTreeMap::new(),
        };
        situation.zones = situation.living_voters_by_zone();
        situation
    }

    fn standing(&self, id: RouterId) -> Standing {
        match self.members.get(&id).map(|member| member.state) {
            Some(MemberState::Alive | MemberState::Suspect) => Standing::Living,
            Some(MemberState::Leaving) => Standing::Leaving,
            Some(MemberState::Dead) | None => Standing::Dead,
        }
    }

    /// Voters that can vote now; one that leaves still can.
    fn able_voters(&self) -> usize {
        let voters = self.group.voters.iter();
        voters
            .filter(|id| self.standing(**id) != Standing::Dead)
            .count()
    }

    fn count(&self, standing: Standing) -> usize {
        let voters = self.group.voters.iter();
        voters.filter(|id| self.standing(**id) == standing).count()
    }

    fn has_quorum(&self) -> bool {
        self.able_voters() >= quorum(self.group.voters.len())
    }

    fn remove_lost_learner(&self) -> GroupChange {
        let mut learners = self.group.learners.iter();
        let lost = learners.find(|id| self.standing(**id) != Standing::Living);
        lost.map_or(GroupChange::None, |id| GroupChange::Remove(*id))
    }

    /// A group above its target size gives up its worst voter.
    fn remove_surplus(&self) -> Option<GroupChange> {
        if self.group.voters.len() <= self.target_size {
            return None;
        }
        let worst = self.worst_voter()?;
        let living = self.count(Standing::Living);
        if self.standing(worst) == Standing::Living && living <= self.target_size {
            // The surplus is the leader, which leaves and cannot be removed
            // yet. A living voter given up for it would only be added again.
            return None;
        }
        self.remove(worst)
    }

    /// A group without enough living voters takes another router, even if
    /// that makes it larger than its target until the lost one is removed.
    fn add_missing(&self) -> Option<GroupChange> {
        if self.count(Standing::Living) >= self.target_size {
            return None;
        }
        let candidate = self.best_candidate()?;
        Some(GroupChange::Add(candidate.identity.clone()))
    }

    /// A zone without a voter gets one when another zone has several.
    fn add_for_zones(&self) -> Option<GroupChange> {
        let crowded = self.zones.values().any(|voters| *voters > 1);
        let candidate = self.best_candidate()?;
        let zone_is_empty = self.zone_load(&candidate.identity.zone) == 0;
        (crowded && zone_is_empty).then(|| GroupChange::Add(candidate.identity.clone()))
    }

    /// Nobody can replace a lost voter. One that leaves is removed if the
    /// group bears it, so that its going costs no quorum. One that is dead
    /// stays unless the group bears more losses without it: it may return.
    fn remove_without_replacement(&self) -> Option<GroupChange> {
        let worst = self.worst_voter()?;
        let size = self.group.voters.len();
        match self.standing(worst) {
            Standing::Living => None,
            Standing::Leaving => self.remove(worst),
            Standing::Dead if quorum(size - 1) < quorum(size) => self.remove(worst),
            Standing::Dead => None,
        }
    }

    /// Invariant: a removal leaves at least a quorum of living voters.
    fn remove(&self, id: RouterId) -> Option<GroupChange> {
        let remaining_size = self.group.voters.len().checked_sub(1)?;
        let others = self.group.voters.iter().filter(|voter| **voter != id);
        let able = others
            .filter(|voter| self.standing(**voter) != Standing::Dead)
            .count();
        (remaining_size > 0 && able >= quorum(remaining_size)).then_some(GroupChange::Remove(id))
    }

    /// The voter to give up first: a dead one, then one that leaves, then one
    /// of the most crowded zone. Never the leader.
    fn worst_voter(&self) -> Option<RouterId> {
        let voters = self.group.voters.iter().copied();
        voters
            .filter(|id| Some(*id) != self.group.leader)
            .min_by_key(|id| {
                let crowd = self
                    .members
                    .get(id)
                    .map(|m| self.zone_load(&m.identity.zone));
                let crowd = std::cmp::Reverse(crowd.unwrap_or(0));
                (self.standing(*id), crowd, hash(*id))
            })
    }

    /// The router to add first: one of the zone with the fewest living
    /// voters.
    fn best_candidate(&self) -> Option<&'a Member> {
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

    fn living_voters_by_zone(&self) -> BTreeMap<&'a ZoneName, usize> {
        let mut zones = BTreeMap::new();
        for id in &self.group.voters {
            if self.standing(*id) != Standing::Living {
                continue;
            }
            if let Some(member) = self.members.get(id) {
                *zones.entry(&member.identity.zone).or_insert(0) += 1;
            }
        }
        zones
    }
}

/// Votes needed in a group of this size.
fn quorum(size: usize) -> usize {
    size / 2 + 1
}

fn hash(id: RouterId) -> u64 {
    xxh3_64(&id.0.to_be_bytes())
}
