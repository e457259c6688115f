//! The leader lease and the voters' promise behind it.

use threadledge_consensus::{Body, Message, ProposeError, Role};
use threadledge_types::{Generation, GroupId, RouterId, Timestamp};

use crate::checker::TestNode;
use crate::cluster::{Cluster, MILLISECOND, SECOND, TestMessage, identity};

fn lease_holder(cluster: &Cluster, id: RouterId) -> bool {
    let process = &cluster.processes[&id];
    process.node.has_leader_lease(process.clock(cluster.now))
}

#[test]
fn lease_of_a_leader_that_is_cut_off_ends_before_the_next_election() {
    for seed in 0..20 {
        let mut cluster = Cluster::with_voters(seed, 3);
        let old = cluster.leader_id().expect("a leader");
        assert!(lease_holder(&cluster, old));
        cluster.isolate(&[old]);
        let held = cluster.run_until(SECOND, |cluster| !lease_holder(cluster, old));
        assert!(held <= 400 * MILLISECOND, "held for {held}");
        cluster.run_until(3 * SECOND, |cluster| {
            cluster.leader_id().is_some_and(|id| id != old)
        });
        cluster.run(SECOND);
        assert_ne!(cluster.node(old).role(), Role::Leader, "did not step down");
    }
}

#[test]
fn paused_leader_wakes_without_a_lease_and_follows() {
    let mut cluster = Cluster::with_voters(3, 3);
    let old = cluster.leader_id().expect("a leader");
    let end = cluster.now + 5 * SECOND;
    cluster.pause(old, end);
    cluster.run(5 * SECOND - 1);
    assert_eq!(cluster.node(old).role(), Role::Leader, "paused all along");
    assert!(!lease_holder(&cluster, old));
    assert_ne!(cluster.leader_id(), Some(old));
    cluster.run(SECOND);
    assert_eq!(cluster.node(old).role(), Role::Follower);
    assert_eq!(cluster.node(old).term(), cluster.leader().term());
}

#[test]
fn lease_counts_from_the_sending_of_what_was_answered() {
    let mut cluster = Cluster::with_voters(4, 3);
    cluster.faults.longest_delay = 1;
    cluster.run(SECOND);
    let leader = cluster.leader_id().expect("a leader");
    let followers: Vec<RouterId> = cluster.leader().progress().map(|it| it.0).collect();
    let until = cluster.leader().leader_lease_until();
    // The followers answer 200 ms late; the lease moves as if they had not.
    let resumed = cluster.now + SECOND / 5;
    for id in followers {
        cluster.pause(id, resumed);
    }
    cluster.run(SECOND / 5 - 1);
    assert_eq!(cluster.leader().leader_lease_until(), until);
    cluster.run(10 * MILLISECOND);
    let clock = cluster.processes[&leader].clock(cluster.now);
    let lease = cluster.settings.timing.leader_lease();
    let counted = cluster.leader().leader_lease_until();
    assert!(counted > until);
    assert!(counted < clock + lease - cluster.settings.timing.heartbeat() / 50);
}

fn vote_request(term: u64, pre_vote: bool, transfer: bool) -> TestMessage {
    Message {
        group: GroupId(0),
        generation: Generation(1),
        term,
        sender: identity(99),
        body: Body::VoteRequest {
            campaign_term: if pre_vote { term + 1 } else { term },
            pre_vote,
            transfer,
            last_index: 1_000,
            last_term: term,
        },
    }
}

/// Whether `node` grants the request at `now`.
fn grants(node: &mut TestNode, now: Timestamp, request: TestMessage) -> bool {
    node.step(now, RouterId(99), request);
    node.ready()
        .messages
        .into_iter()
        .any(|it| matches!(it.message.body, Body::VoteResponse { granted: true, .. }))
}

#[test]
fn voter_that_heard_a_leader_gives_no_vote_within_the_promise() {
    let cluster = Cluster::with_voters(5, 3);
    let (_, process) = cluster
        .processes
        .iter()
        .find(|(_, it)| it.node.role() == Role::Follower)
        .expect("a follower");
    let now = process.clock(cluster.now);
    let later = now + cluster.settings.timing.election_min();
    for pre_vote in [true, false] {
        let request = vote_request(50, pre_vote, false);
        let mut node = process.node.clone();
        assert!(!grants(&mut node, now, request.clone()));
        assert_eq!(node.term(), process.node.term(), "term was disturbed");
        assert!(grants(&mut node, later, request));
        let campaigns = node.next_wakeup(later) >= later + cluster.settings.timing.election_min();
        assert_eq!(campaigns, !pre_vote, "a vote given puts campaigning off");
    }
    for pre_vote in [true, false] {
        let mut shorter = vote_request(50, pre_vote, true);
        if let Body::VoteRequest { last_term, .. } = &mut shorter.body {
            *last_term = 0;
        }
        let mut node = process.node.clone();
        assert!(!grants(&mut node, later, shorter), "log does not cover");
    }
    let mut node = process.node.clone();
    assert!(grants(&mut node, now, vote_request(50, false, true)));
    let other = Message {
        sender: identity(98),
        ..vote_request(50, false, true)
    };
    node.step(now, RouterId(98), other);
    assert_eq!(node.voted_for(), Some(RouterId(99)), "voted twice");
}

#[test]
fn promise_outlives_the_term_it_was_given_in() {
    let cluster = Cluster::with_voters(6, 3);
    let (_, process) = cluster
        .processes
        .iter()
        .find(|(_, it)| it.node.role() == Role::Follower)
        .expect("a follower");
    let now = process.clock(cluster.now);
    let mut node = process.node.clone();
    let newer = Message {
        body: Body::StaleTerm,
        ..vote_request(40, false, false)
    };
    node.step(now, RouterId(99), newer);
    assert_eq!(node.term(), 40);
    assert!(!grants(&mut node, now, vote_request(50, false, false)));
}

/// The leader's clock is the slowest and the voters' the fastest allowed, and
/// the voters campaign as soon as their promise has run out.
#[test]
fn lease_holds_against_the_largest_clock_drift() {
    for seed in 0..40 {
        let mut cluster = Cluster::new(seed);
        cluster.settings.timing.election_max_ms = cluster.settings.timing.election_min_ms + 2;
        cluster.faults.longest_delay = 1;
        let leader = cluster.found(Generation(1), None);
        for _ in 0..2 {
            let id = cluster.add_learner();
            cluster.promote(id);
            cluster.set_clock_rate(id, 1_050);
        }
        cluster.set_clock_rate(leader, 1_000);
        cluster.run(SECOND + seed * 5 * MILLISECOND);
        assert_eq!(cluster.leader_id(), Some(leader));
        cluster.isolate(&[leader]);
        // Two leases at one time fail the run.
        cluster.run(2 * SECOND);
        assert_ne!(cluster.leader_id(), Some(leader));
    }
}

/// The log of the member that does not hear the leader lacks nothing, so only
/// the others' promise keeps it from being elected.
#[test]
fn member_that_alone_does_not_hear_the_leader_is_not_elected() {
    let mut cluster = Cluster::with_voters(8, 3);
    let leader = cluster.leader_id().expect("a leader");
    let deaf = cluster.leader().progress().next().expect("a follower").0;
    cluster.cut.insert((leader, deaf));
    cluster.run(5 * SECOND);
    assert_eq!(cluster.node(deaf).role(), Role::PreCandidate);
    assert_eq!(cluster.checkers[&Generation(1)].leaders.len(), 1);
}

#[test]
fn paused_leader_refuses_proposals_as_soon_as_it_wakes() {
    let mut cluster = Cluster::with_voters(9, 3);
    let old = cluster.leader_id().expect("a leader");
    let end = cluster.now + 2 * SECOND;
    cluster.pause(old, end);
    cluster.run(2 * SECOND - 1);
    assert_eq!(cluster.node(old).role(), Role::Leader);
    let refused = cluster.with(old, |node, now| node.propose(now, 1));
    assert_eq!(refused, Err(ProposeError::NotLeader { leader: None }));
}
