//! Tests of leadership transfer.

use threadledge_consensus::{Body, ProposeError, Role};
use threadledge_types::{Generation, RouterId};

use crate::cluster::{Cluster, MILLISECOND, SECOND, TestMessage};

fn is_timeout_now(message: &TestMessage) -> bool {
    matches!(message.body, Body::TimeoutNow { .. })
}

fn is_heartbeat_response(message: &TestMessage) -> bool {
    matches!(message.body, Body::HeartbeatResponse { .. })
}

fn start_transfer(cluster: &mut Cluster) -> (RouterId, RouterId) {
    let leader = cluster.leader_id().expect("a leader");
    let target = cluster
        .with_node(leader, |node, now| node.transfer_leadership(now, None))
        .expect("a target");
    (leader, target)
}

fn has_lease(cluster: &Cluster, id: RouterId) -> bool {
    let process = &cluster.processes[&id];
    process.node.has_leader_lease(process.clock(cluster.now))
}

#[test]
fn target_leads_within_a_few_messages() {
    let mut cluster = Cluster::with_voters(1, 3);
    let index = cluster.propose(1);
    let (old, target) = start_transfer(&mut cluster);
    let refused = cluster.with_node(old, |node, now| node.propose(now, 2));
    assert_eq!(refused, Err(ProposeError::Transferring));
    let waited = cluster.run_until(SECOND, |cluster| {
        cluster.node(target).role() == Role::Leader && cluster.node(target).has_committed_in_term()
    });
    assert!(waited <= 30 * MILLISECOND, "took {waited}");
    assert!(cluster.node(target).commit_index() > index);
    assert!(has_lease(&cluster, target));
}

#[test]
fn transfer_whose_request_is_lost_is_cancelled_and_the_lease_is_restored() {
    let mut cluster = Cluster::with_voters(2, 3);
    cluster.drop_filter = Some(is_timeout_now);
    let (old, _) = start_transfer(&mut cluster);
    assert!(
        !has_lease(&cluster, old),
        "another leader may be elected at any moment"
    );
    cluster.run(SECOND / 2);
    let term = cluster.node(old).term();
    assert!(has_lease(&cluster, old));
    let index = cluster.propose(3);
    cluster.run(SECOND);
    assert!(cluster.node(old).commit_index() >= index);
    assert_eq!(cluster.node(old).term(), term);
}

#[test]
fn late_request_of_a_cancelled_transfer_is_ignored() {
    let mut cluster = Cluster::with_voters(3, 3);
    let (old, target) = start_transfer(&mut cluster);
    let delayed = cluster.intercept(|_, message| is_timeout_now(message));
    cluster.run(SECOND);
    assert!(has_lease(&cluster, old));
    cluster.release(delayed);
    cluster.run(SECOND);
    assert_eq!(cluster.node(target).role(), Role::Follower);
    assert_eq!(cluster.leader_id(), Some(old));
}

#[test]
fn leader_whose_target_is_lost_has_no_lease_until_the_next_term() {
    let mut cluster = Cluster::with_voters(4, 3);
    let (old, target) = start_transfer(&mut cluster);
    let term = cluster.node(old).term();
    cluster.kill(target);
    for _ in 0..3_000 {
        cluster.run(MILLISECOND);
        let has_lease_in_term = cluster.node(old).term() == term && has_lease(&cluster, old);
        assert!(
            !has_lease_in_term,
            "lease in the term of an unconfirmed transfer"
        );
    }
    assert!(cluster.leader().term() > term);
}

#[test]
fn most_caught_up_voter_is_chosen() {
    for lagging in 0..2 {
        let mut cluster = Cluster::with_voters(8, 3);
        let followers: Vec<RouterId> = cluster.leader().progress().map(|it| it.0).collect();
        cluster.isolate(&[followers[lagging]]);
        cluster.propose(1);
        cluster.run(20 * MILLISECOND);
        let (_, target) = start_transfer(&mut cluster);
        assert_eq!(target, followers[1 - lagging]);
    }
}

#[test]
fn transfer_without_another_voter_is_refused() {
    let mut cluster = Cluster::new(5);
    let id = cluster.bootstrap(Generation(1), None);
    let refused = cluster.with_node(id, |node, now| node.transfer_leadership(now, None));
    assert_eq!(refused, Err(ProposeError::NoTransferTarget));
}

#[test]
fn answer_sent_before_the_cancellation_does_not_restore_the_lease() {
    let mut cluster = Cluster::with_voters(6, 3);
    let leader = cluster.leader_id();
    cluster.run_until(SECOND, |cluster| {
        let mut messages = cluster.in_flight.values();
        messages.any(|(to, it)| Some(*to) == leader && is_heartbeat_response(it))
    });
    let answer = cluster.intercept(|to, it| Some(to) == leader && is_heartbeat_response(it));
    let from = answer.sender();
    let old = leader.expect("a leader");
    cluster.drop_filter = Some(is_timeout_now);
    cluster
        .with_node(old, |node, now| node.transfer_leadership(now, Some(from)))
        .expect("a target");
    cluster.cut_links.insert((from, old));
    cluster.run(SECOND / 2);
    cluster.propose(1);
    cluster.release(answer);
    assert!(!has_lease(&cluster, old), "the target may still campaign");
    cluster.heal();
    cluster.run(SECOND / 5);
    assert!(has_lease(&cluster, old));
}

#[test]
fn cancellation_in_one_term_does_not_stop_a_transfer_in_the_next() {
    let mut cluster = Cluster::with_voters(7, 3);
    cluster.drop_filter = Some(is_timeout_now);
    let (old, target) = start_transfer(&mut cluster);
    cluster.run(SECOND);
    cluster.heal();
    // Leadership goes to the third voter and from there to the first target,
    // whose cancelled transfer had the same number in the earlier term.
    let third = cluster.leader().members().voters.keys().copied();
    let third = third.into_iter().find(|id| *id != old && *id != target);
    for to in [third, Some(target)] {
        let leader = cluster.leader_id().expect("a leader");
        cluster
            .with_node(leader, |node, now| node.transfer_leadership(now, to))
            .expect("a target");
        cluster.run(SECOND / 5);
        assert_eq!(cluster.leader_id(), to);
    }
}
