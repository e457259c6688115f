//! Tests of the leader lease and of the voters' promise that it rests on.

use threadledge_consensus::{Body, Message, ProposeError, Role};
use threadledge_types::{Generation, GroupId, RouterId, Timestamp};

use crate::checker::TestNode;
use crate::cluster::{Cluster, MILLISECOND, SECOND, TestMessage, identity};

/// Returns whether node `id` holds the leader lease now by its own clock.
fn has_lease(cluster: &Cluster, id: RouterId) -> bool {
    let process = &cluster.processes[&id];
    process.node.has_leader_lease(process.clock(cluster.now))
}

#[test]
fn lease_of_a_leader_that_is_cut_off_ends_before_the_next_election() {
    for seed in 0..20 {
        let mut cluster = Cluster::with_voters(seed, 3);
        let old = cluster.leader_id().expect("a leader");
        assert!(has_lease(&cluster, old));
        cluster.isolate(&[old]);
        let duration = cluster.run_until(SECOND, |cluster| !has_lease(cluster, old));
        assert!(duration <= 400 * MILLISECOND, "held for {duration}");
        cluster.run_until(3 * SECOND, |cluster| {
            cluster.leader_id().is_some_and(|id| id != old)
        });
        cluster.run(SECOND);
        assert_ne!(cluster.node(old).role(), Role::Leader, "did not step down");
    }
}

#[test]
fn paused_leader_resumes_without_a_lease_and_follows() {
    let mut cluster = Cluster::with_voters(3, 3);
    let old = cluster.leader_id().expect("a leader");
    let end = cluster.now + 5 * SECOND;
    cluster.pause(old, end);
    cluster.run(5 * SECOND - 1);
    assert_eq!(cluster.node(old).role(), Role::Leader, "still paused");
    assert!(!has_lease(&cluster, old));
    assert_ne!(cluster.leader_id(), Some(old));
    cluster.run(SECOND);
    assert_eq!(cluster.node(old).role(), Role::Follower);
    assert_eq!(cluster.node(old).term(), cluster.leader().term());
}

#[test]
fn lease_counts_from_the_send_time_of_answered_messages() {
    let mut cluster = Cluster::with_voters(4, 3);
    cluster.faults.max_delay = 1;
    cluster.run(SECOND);
    let leader = cluster.leader_id().expect("a leader");
    let followers: Vec<RouterId> = cluster.leader().progress().map(|it| it.0).collect();
    let until = cluster.leader().leader_lease_until();
    // The followers answer 200 ms late. The lease must not count from the time
    // of the answers.
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

/// Steps `node` with a vote request at `now` and returns whether it grants it.
fn grants(node: &mut TestNode, now: Timestamp, request: TestMessage) -> bool {
    node.step(now, RouterId(99), request);
    node.ready()
        .messages
        .into_iter()
        .any(|it| matches!(it.message.body, Body::VoteResponse { granted: true, .. }))
}

#[test]
fn voter_withholds_its_vote_after_hearing_from_a_leader() {
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
        assert_eq!(campaigns, !pre_vote, "a granted vote delays campaigning");
    }
    for pre_vote in [true, false] {
        let mut shorter = vote_request(50, pre_vote, true);
        if let Body::VoteRequest { last_term, .. } = &mut shorter.body {
            *last_term = 0;
        }
        let mut node = process.node.clone();
        assert!(
            !grants(&mut node, later, shorter),
            "candidate's log is not up to date"
        );
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

/// The leader's clock is the slowest allowed and the voters' clocks are the
/// fastest allowed, and the voters campaign as soon as their promise expires.
#[test]
fn lease_holds_against_the_largest_clock_drift() {
    for seed in 0..40 {
        let mut cluster = Cluster::new(seed);
        cluster.settings.timing.election_max_ms = cluster.settings.timing.election_min_ms + 2;
        cluster.faults.max_delay = 1;
        let leader = cluster.bootstrap(Generation(1), None);
        for _ in 0..2 {
            let id = cluster.add_learner();
            cluster.promote(id);
            cluster.set_clock_rate(id, 1_050);
        }
        cluster.set_clock_rate(leader, 1_000);
        cluster.run(SECOND + seed * 5 * MILLISECOND);
        assert_eq!(cluster.leader_id(), Some(leader));
        cluster.isolate(&[leader]);
        // `Cluster::check_leases` fails if two leases exist at the same time.
        cluster.run(2 * SECOND);
        assert_ne!(cluster.leader_id(), Some(leader));
    }
}

/// The member that does not receive the leader's messages lacks no log entries,
/// so only the other voters' promise prevents its election.
#[test]
fn member_that_alone_receives_nothing_from_the_leader_is_not_elected() {
    let mut cluster = Cluster::with_voters(8, 3);
    let leader = cluster.leader_id().expect("a leader");
    let unreached = cluster.leader().progress().next().expect("a follower").0;
    cluster.cut_links.insert((leader, unreached));
    cluster.run(5 * SECOND);
    assert_eq!(cluster.node(unreached).role(), Role::PreCandidate);
    assert_eq!(cluster.checkers[&Generation(1)].leaders.len(), 1);
}

#[test]
fn paused_leader_refuses_proposals_as_soon_as_it_resumes() {
    let mut cluster = Cluster::with_voters(9, 3);
    let old = cluster.leader_id().expect("a leader");
    let end = cluster.now + 2 * SECOND;
    cluster.pause(old, end);
    cluster.run(2 * SECOND - 1);
    assert_eq!(cluster.node(old).role(), Role::Leader);
    let refused = cluster.with_node(old, |node, now| node.propose(now, 1));
    assert_eq!(refused, Err(ProposeError::NotLeader { leader: None }));
}
