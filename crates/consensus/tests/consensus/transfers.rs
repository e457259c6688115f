//! Handing leadership over.

use threadledge_consensus::{Body, ProposeError, Role};
use threadledge_types::{Generation, RouterId};

use crate::cluster::{Cluster, MILLISECOND, SECOND, TestMessage};

fn is_timeout_now(message: &TestMessage) -> bool {
    matches!(message.body, Body::TimeoutNow { .. })
}

fn transfer(cluster: &mut Cluster) -> (RouterId, RouterId) {
    let leader = cluster.leader_id().expect("a leader");
    let target = cluster
        .with(leader, |node, now| node.transfer_leadership(now, None))
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
    let (old, target) = transfer(&mut cluster);
    let refused = cluster.with(old, |node, now| node.propose(now, 2));
    assert_eq!(refused, Err(ProposeError::Transferring));
    let waited = cluster.run_until(SECOND, |cluster| {
        cluster.node(target).role() == Role::Leader && cluster.node(target).term_start_committed()
    });
    assert!(waited <= 30 * MILLISECOND, "took {waited}");
    assert!(cluster.node(target).commit_index() > index);
    assert!(has_lease(&cluster, target));
}

#[test]
fn transfer_whose_request_is_lost_is_called_off_and_the_lease_returns() {
    let mut cluster = Cluster::with_voters(2, 3);
    cluster.lose = Some(is_timeout_now);
    let (old, _) = transfer(&mut cluster);
    assert!(
        !has_lease(&cluster, old),
        "another may be elected any moment"
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
fn request_of_a_transfer_that_was_called_off_is_ignored_when_it_arrives() {
    let mut cluster = Cluster::with_voters(3, 3);
    let (old, target) = transfer(&mut cluster);
    let key = cluster
        .in_flight
        .iter()
        .find(|(_, (_, message))| is_timeout_now(message))
        .map(|(key, _)| *key)
        .expect("a request on its way");
    let delayed = cluster.in_flight.remove(&key).expect("the request");
    cluster.run(SECOND);
    assert!(has_lease(&cluster, old));
    let arrival = (cluster.now + 1, u64::MAX);
    cluster.in_flight.insert(arrival, delayed);
    cluster.run(SECOND);
    assert_eq!(cluster.node(target).role(), Role::Follower);
    assert_eq!(cluster.leader_id(), Some(old));
}

#[test]
fn leader_whose_target_is_lost_has_no_lease_until_it_leads_anew() {
    let mut cluster = Cluster::with_voters(4, 3);
    let (old, target) = transfer(&mut cluster);
    let term = cluster.node(old).term();
    cluster.kill(target);
    for _ in 0..3_000 {
        cluster.run(MILLISECOND);
        let leads = cluster.node(old).term() == term && has_lease(&cluster, old);
        assert!(!leads, "lease in the term of an unconfirmed transfer");
    }
    assert!(cluster.leader().term() > term);
}

#[test]
fn transfer_without_another_voter_is_refused() {
    let mut cluster = Cluster::new(5);
    let id = cluster.found(Generation(1), None);
    let refused = cluster.with(id, |node, now| node.transfer_leadership(now, None));
    assert_eq!(refused, Err(ProposeError::NoTransferTarget));
}
