//! Tests of member changes.

use threadledge_consensus::{Body, MemberChange, ProposeError, Role};
use threadledge_types::{Generation, RouterId};

use crate::cluster::{Cluster, MILLISECOND, SECOND, TestMessage, identity};

fn try_change(cluster: &mut Cluster, change: MemberChange) -> Result<u64, ProposeError> {
    let leader = cluster.leader_id().expect("a leader");
    cluster.with_node(leader, |node, now| node.propose_member_change(now, change))
}

fn followers(cluster: &Cluster) -> Vec<RouterId> {
    cluster.leader().progress().map(|it| it.0).collect()
}

#[test]
fn joining_node_takes_no_part_until_a_leader_contacts_it() {
    let mut cluster = Cluster::with_voters(1, 3);
    let joiner = cluster.join();
    let sent = cluster.messages_sent;
    let request = Body::VoteRequest {
        campaign_term: 9,
        pre_vote: false,
        transfer: true,
        last_index: 900,
        last_term: 9,
    };
    let message = TestMessage {
        group: cluster.settings.group,
        generation: Generation(1),
        term: 9,
        sender: identity(99),
        body: request,
    };
    cluster.with_node(joiner, |node, now| node.step(now, RouterId(99), message));
    assert_eq!(cluster.messages_sent, sent);
    assert_eq!(cluster.node(joiner).role(), Role::Joining);
    assert_eq!(cluster.node(joiner).voted_for(), None);
}

#[test]
fn learner_neither_counts_for_a_quorum_nor_campaigns() {
    let mut cluster = Cluster::with_voters(2, 3);
    let learner = cluster.add_learner();
    let lost = followers(&cluster);
    for id in lost.into_iter().filter(|id| *id != learner) {
        cluster.kill(id);
    }
    let commit = cluster.leader().commit_index();
    cluster.propose(1);
    cluster.run(5 * SECOND);
    assert_eq!(cluster.node(learner).role(), Role::Learner);
    assert_eq!(cluster.node(learner).commit_index(), commit);
    assert_eq!(cluster.leader_id(), None, "a leader without a quorum");
}

#[test]
fn learner_is_promoted_only_when_it_has_caught_up() {
    let mut cluster = Cluster::with_voters(3, 3);
    let id = cluster.join();
    cluster.change(MemberChange::AddLearner(identity(id.0)));
    cluster.isolate(&[id]);
    cluster.run(SECOND / 2);
    let refused = try_change(&mut cluster, MemberChange::Promote(id));
    assert_eq!(refused, Err(ProposeError::NotCaughtUp(id)));
    cluster.heal();
    cluster.run(SECOND / 2);
    cluster.promote(id);
    assert!(cluster.leader().members().is_voter(id));
    assert_eq!(cluster.node(id).role(), Role::Follower);
}

#[test]
fn second_change_waits_for_the_first_and_for_an_entry_of_the_term() {
    let mut cluster = Cluster::with_voters(4, 3);
    cluster.drop_filter = Some(|message| matches!(message.body, Body::AppendResponse { .. }));
    cluster.change(MemberChange::AddLearner(identity(90)));
    let refused = try_change(&mut cluster, MemberChange::AddLearner(identity(91)));
    assert_eq!(refused, Err(ProposeError::MemberChangeInProgress));
    let old = cluster.leader_id().expect("a leader");
    cluster.kill(old);
    cluster.run_until(3 * SECOND, |cluster| cluster.leader_id().is_some());
    let refused = try_change(&mut cluster, MemberChange::AddLearner(identity(91)));
    assert_eq!(refused, Err(ProposeError::TermNotCommitted));
}

#[test]
fn invalid_changes_are_refused_with_specific_errors() {
    let mut cluster = Cluster::with_voters(5, 3);
    let voter = followers(&cluster)[0];
    let unknown = RouterId(77);
    let refused = try_change(&mut cluster, MemberChange::Promote(voter));
    assert_eq!(refused, Err(ProposeError::AlreadyMember(voter)));
    let refused = try_change(&mut cluster, MemberChange::Remove(unknown));
    assert_eq!(refused, Err(ProposeError::UnknownMember(unknown)));
    let lost = followers(&cluster)[1];
    cluster.kill(lost);
    cluster.run(SECOND);
    let refused = try_change(&mut cluster, MemberChange::Remove(voter));
    assert_eq!(refused, Err(ProposeError::WouldLoseQuorum));
}

#[test]
fn member_removed_while_partitioned_does_not_depose_the_leader_when_it_returns() {
    let mut cluster = Cluster::with_voters(6, 3);
    let id = cluster.add_learner();
    cluster.promote(id);
    cluster.isolate(&[id]);
    cluster.change(MemberChange::Remove(id));
    cluster.run(3 * SECOND);
    let leader = cluster.leader_id();
    let term = cluster.leader().term();
    assert_eq!(cluster.node(id).role(), Role::PreCandidate);
    cluster.heal();
    cluster.run(3 * SECOND);
    assert_eq!(cluster.node(id).role(), Role::Removed);
    assert_eq!(cluster.leader_id(), leader);
    assert_eq!(cluster.leader().term(), term);
}

#[test]
fn removed_member_is_notified_immediately() {
    let mut cluster = Cluster::with_voters(11, 3);
    let id = followers(&cluster)[0];
    cluster.change(MemberChange::Remove(id));
    cluster.run(20 * MILLISECOND);
    assert_eq!(cluster.node(id).role(), Role::Removed);
}

#[test]
fn leader_that_removes_itself_steps_down_after_commit_and_another_leads() {
    let mut cluster = Cluster::with_voters(7, 3);
    let old = cluster.leader_id().expect("a leader");
    cluster.change(MemberChange::Remove(old));
    let waited = cluster.run_until(SECOND, |cluster| {
        cluster.leader_id().is_some_and(|id| id != old)
    });
    assert!(waited <= 50 * MILLISECOND, "took {waited}");
    cluster.run(3 * SECOND);
    assert_eq!(cluster.node(old).role(), Role::Removed);
    assert!(!cluster.leader().members().contains(old));
    assert_eq!(cluster.leader().members().voters.len(), 2);
}

/// Only one follower's log holds the promotion that makes four voters. That
/// follower needs three votes, so it is elected only if the promoted learner
/// votes, which does not know of its promotion yet.
#[test]
fn promoted_learner_votes_before_it_knows_of_its_promotion() {
    let mut cluster = Cluster::with_voters(8, 3);
    let learner = cluster.add_learner();
    let old = cluster.leader_id().expect("a leader");
    let voters = followers(&cluster);
    let informed = voters[0];
    for id in voters.into_iter().filter(|id| *id != informed) {
        cluster.cut_links.insert((old, id));
    }
    cluster.change(MemberChange::Promote(learner));
    cluster.run(5 * MILLISECOND);
    assert!(cluster.node(informed).members().is_voter(learner));
    assert!(!cluster.node(learner).members().is_voter(learner));
    cluster.kill(old);
    cluster.run_until(5 * SECOND, |cluster| cluster.leader_id().is_some());
    assert_eq!(cluster.leader_id(), Some(informed));
    cluster.run(SECOND);
    assert_eq!(cluster.node(learner).role(), Role::Follower);
}

/// The leader's own removal reached no other member, so its log is more up to
/// date than the others'.
#[test]
fn member_whose_removal_is_not_committed_still_campaigns() {
    let mut cluster = Cluster::with_voters(9, 3);
    let old = cluster.leader_id().expect("a leader");
    cluster.isolate(&[old]);
    cluster.change(MemberChange::Remove(old));
    cluster.run(2 * SECOND);
    assert_eq!(cluster.node(old).role(), Role::PreCandidate);
    cluster.heal();
    cluster.run(3 * SECOND);
    assert_eq!(
        cluster.node(old).role(),
        Role::Follower,
        "removal was not overwritten"
    );
    assert!(cluster.leader().members().is_voter(old));
}

#[test]
fn every_member_can_be_replaced_in_turn_without_losing_an_entry() {
    let mut cluster = Cluster::with_voters(10, 3);
    for round in 0..6 {
        cluster.propose(round);
        cluster.run(SECOND / 2);
        let lost = cluster.leader_id().expect("a leader");
        cluster.kill(lost);
        cluster.run_until(3 * SECOND, |cluster| cluster.leader_id().is_some());
        cluster.run(SECOND / 2);
        let id = cluster.add_learner();
        cluster.promote(id);
        cluster.change(MemberChange::Remove(lost));
        cluster.run(SECOND / 2);
    }
    let states: Vec<u64> = cluster
        .processes
        .values()
        .map(|it| it.state.applied)
        .collect();
    assert_eq!(states, vec![6, 6, 6]);
}
