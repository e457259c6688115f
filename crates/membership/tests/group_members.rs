//! Tests of the selection of group members.

mod support;

use std::collections::BTreeSet;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use support::identity;
use threadledge_membership::group_members::{GroupChange, GroupView, next_change};
use threadledge_membership::{Member, MemberState, RefutationNumber};
use threadledge_types::{RouterId, ZoneName};

/// Returns living routers on the machines `0..count`. Machine `n` is in zone
/// `n % 3`.
fn living_members(count: usize) -> Vec<Member> {
    let member = |host| Member {
        identity: identity(host, 1),
        state: MemberState::Alive,
        refutation: RefutationNumber::default(),
    };
    (0..count).map(member).collect()
}

fn id(host: usize) -> RouterId {
    identity(host, 1).id
}

fn group(voters: &[usize]) -> GroupView {
    GroupView {
        voters: voters.iter().map(|host| id(*host)).collect(),
        learners: BTreeSet::new(),
        leader: voters.first().map(|host| id(*host)),
    }
}

/// Applies changes until there are none left and returns their number. An added
/// learner becomes a voter immediately.
fn apply_changes(group: &mut GroupView, members: &[Member], target: usize) -> usize {
    for steps in 0..50 {
        match next_change(group, members, target) {
            GroupChange::Add(identity) => {
                assert!(group.voters.insert(identity.id), "added twice");
            }
            GroupChange::Remove(id) => {
                assert_ne!(Some(id), group.leader);
                assert!(group.voters.remove(&id));
            }
            GroupChange::None => return steps,
        }
    }
    panic!("the group still changes after 50 steps: {group:?}");
}

fn zones_of(group: &GroupView, members: &[Member]) -> BTreeSet<ZoneName> {
    let voters = members
        .iter()
        .filter(|member| group.voters.contains(&member.identity.id));
    voters.map(|member| member.identity.zone.clone()).collect()
}

#[test]
fn a_founder_grows_to_the_target_over_all_zones() {
    for target in [3, 5] {
        let members = living_members(12);
        let mut group = group(&[0]);
        apply_changes(&mut group, &members, target);
        assert_eq!(group.voters.len(), target);
        assert_eq!(zones_of(&group, &members).len(), 3);
    }
}

#[test]
fn a_dead_voter_is_replaced_by_one_of_its_zone_before_it_is_removed() {
    let mut members = living_members(12);
    members[1].state = MemberState::Dead;
    let mut group = group(&[0, 1, 2]);
    let GroupChange::Add(added) = next_change(&group, &members, 3) else {
        panic!("no addition");
    };
    assert_eq!(added.zone, identity(1, 1).zone);
    group.voters.insert(added.id);
    assert_eq!(next_change(&group, &members, 3), GroupChange::Remove(id(1)));
}

#[test]
fn a_leaving_voter_is_replaced_and_a_suspect_one_is_not() {
    let mut members = living_members(12);
    members[2].state = MemberState::Suspect;
    let mut group = group(&[0, 1, 2]);
    assert_eq!(next_change(&group, &members, 3), GroupChange::None);
    members[2].state = MemberState::Leaving;
    apply_changes(&mut group, &members, 3);
    assert!(!group.voters.contains(&id(2)));
    assert_eq!(group.voters.len(), 3);
}

#[test]
fn one_change_at_a_time_while_a_learner_catches_up() {
    let mut members = living_members(12);
    let mut group = group(&[0]);
    group.learners.insert(id(4));
    assert_eq!(next_change(&group, &members, 3), GroupChange::None);
    members[4].state = MemberState::Dead;
    assert_eq!(next_change(&group, &members, 3), GroupChange::Remove(id(4)));
}

#[test]
fn without_a_quorum_nothing_is_changed() {
    let mut members = living_members(12);
    members[1].state = MemberState::Dead;
    members[2].state = MemberState::Dead;
    assert_eq!(
        next_change(&group(&[0, 1, 2]), &members, 3),
        GroupChange::None
    );
}

#[test]
fn one_of_the_last_two_voters_can_leave_without_loss_of_quorum() {
    let mut members = living_members(2);
    members[1].state = MemberState::Leaving;
    let step = next_change(&group(&[0, 1]), &members, 3);
    assert_eq!(step, GroupChange::Remove(id(1)));
}

#[test]
fn a_dead_voter_without_replacement_stays_because_it_may_return() {
    let mut members = living_members(3);
    members[2].state = MemberState::Dead;
    assert_eq!(
        next_change(&group(&[0, 1, 2]), &members, 3),
        GroupChange::None
    );
}

#[test]
fn a_leaving_leader_does_not_remove_itself() {
    let mut members = living_members(12);
    members[0].state = MemberState::Leaving;
    let mut group = group(&[0, 1, 2]);
    apply_changes(&mut group, &members, 3);
    assert!(group.voters.contains(&id(0)));
    group.leader = Some(id(1));
    apply_changes(&mut group, &members, 3);
    assert!(!group.voters.contains(&id(0)));
    assert_eq!(group.voters.len(), 3);
}

#[test]
fn voters_in_one_zone_spread_over_zones_that_return() {
    let members = living_members(9);
    let mut group = group(&[0, 3, 6]);
    let steps = apply_changes(&mut group, &members, 3);
    assert_eq!(zones_of(&group, &members).len(), 3);
    assert!(steps <= 4, "{steps} steps");
}

#[test]
fn random_losses_never_cost_the_quorum_and_always_reach_a_stable_group() {
    for seed in 0..300 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let target = [3, 5][(seed % 2) as usize];
        let mut members = living_members(rng.random_range(target..20));
        let mut group = group(&[0]);
        apply_changes(&mut group, &members, target);
        for _ in 0..20 {
            let host = rng.random_range(0..members.len());
            let states = [MemberState::Dead, MemberState::Leaving, MemberState::Alive];
            members[host].state = states[rng.random_range(0..3)];
            let is_able = |id: &RouterId| {
                let member = members.iter().find(|member| member.identity.id == *id);
                member.is_some_and(|member| member.state != MemberState::Dead)
            };
            let leader = group.voters.iter().copied().find(|id| is_able(id));
            group.leader = leader;
            let able = group.voters.iter().filter(|id| is_able(id)).count();
            if 2 * able <= group.voters.len() {
                assert_eq!(next_change(&group, &members, target), GroupChange::None);
                break;
            }
            apply_changes(&mut group, &members, target);
            let able = group.voters.iter().filter(|id| is_able(id)).count();
            assert!(2 * able > group.voters.len(), "seed {seed}");
        }
    }
}
