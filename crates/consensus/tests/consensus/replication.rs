//! Tests of replication, compaction and limits.

use threadledge_consensus::{Body, MemberChange, ProposeError, Role, Settings};
use threadledge_types::{GroupId, RouterId, Timestamp};

use crate::checker::TestNode;
use crate::cluster::{Cluster, SECOND, TestMessage, identity};

fn is_snapshot(message: &TestMessage) -> bool {
    matches!(message.body, Body::Snapshot { .. })
}

fn follower(cluster: &Cluster) -> RouterId {
    cluster.leader().progress().next().expect("a follower").0
}

#[test]
fn idle_group_sends_nothing_but_heartbeats() {
    let mut cluster = Cluster::with_voters(1, 3);
    cluster.run(SECOND);
    let sent = cluster.messages_sent;
    cluster.run(10 * SECOND);
    let followers = 2;
    let heartbeats = 10 * 11 * followers;
    let sent = cluster.messages_sent - sent;
    assert!(sent <= 2 * heartbeats, "{sent} messages in ten seconds");
}

#[test]
fn proposals_made_together_share_messages() {
    let mut cluster = Cluster::with_voters(2, 3);
    let leader = cluster.leader_id().expect("a leader");
    let sent = cluster.messages_sent;
    cluster.with_node(leader, |node, now| {
        for command in 0..32 {
            node.propose(now, command).expect("taken");
        }
    });
    let sent = cluster.messages_sent - sent;
    assert_eq!(sent, 2 * 32 / 8, "two followers, eight entries a message");
}

#[test]
fn proposals_beyond_the_bound_are_refused_until_some_commit() {
    let mut cluster = Cluster::with_voters(3, 3);
    let leader = cluster.leader_id().expect("a leader");
    let bound = cluster.settings.max_uncommitted_entries as u64;
    let refused = cluster.with_node(leader, |node, now| {
        for command in 0..bound {
            node.propose(now, command).expect("taken");
        }
        node.propose(now, bound)
    });
    assert_eq!(refused, Err(ProposeError::Busy));
    cluster.run(SECOND);
    cluster.propose(bound);
}

#[test]
fn log_of_an_application_that_does_not_compact_stays_bounded() {
    let settings = Settings {
        compaction_threshold: 10,
        retained_entries: 0,
        max_uncommitted_entries: 10,
        ..Settings::default()
    };
    let now = Timestamp::ZERO;
    let bound = settings.max_log_entries();
    let mut node = TestNode::bootstrap(settings, identity(1), Default::default(), None, now);
    let taken = (0..).take_while(|command| node.propose(now, *command).is_ok());
    assert!(taken.count() < bound);
    assert!(node.ready().snapshot_wanted);
    assert_eq!(node.log().len(), bound);
    node.compact(Default::default(), node.commit_index());
    assert!(node.log().is_empty());
    assert!(node.propose(now, 0).is_ok());
}

#[test]
fn log_is_not_compacted_beyond_what_was_handed_out() {
    let mut cluster = Cluster::with_voters(14, 3);
    let leader = cluster.leader_id().expect("a leader");
    let index = cluster.propose(1);
    let node = &mut cluster.processes.get_mut(&leader).expect("the leader").node;
    let before = node.log().snapshot().index;
    node.compact(Default::default(), index);
    assert_eq!(node.log().snapshot().index, before);
}

#[test]
fn follower_that_lags_behind_the_log_receives_a_snapshot() {
    let mut cluster = Cluster::with_voters(4, 3);
    let id = follower(&cluster);
    cluster.isolate(&[id]);
    for command in 0..200 {
        cluster.propose(command);
        cluster.run(SECOND / 100);
    }
    assert!(cluster.node(id).log().last_index() < cluster.leader().log().first_index());
    cluster.heal();
    cluster.run(3 * SECOND);
    assert_eq!(cluster.processes[&id].state.applied, 200);
    assert!(cluster.node(id).log().snapshot().state.is_some());
}

#[test]
fn snapshot_that_is_lost_is_sent_again() {
    let mut cluster = Cluster::with_voters(5, 3);
    for command in 0..200 {
        cluster.propose(command);
        cluster.run(SECOND / 100);
    }
    cluster.drop_filter = Some(is_snapshot);
    let id = cluster.add_learner();
    assert_eq!(cluster.node(id).commit_index(), 0);
    cluster.heal();
    cluster.run(4 * SECOND);
    assert_eq!(cluster.processes[&id].state.applied, 200);
}

#[test]
fn lost_entries_are_found_by_the_next_heartbeats() {
    let mut cluster = Cluster::with_voters(6, 3);
    cluster.drop_filter = Some(|message| matches!(message.body, Body::Append { .. }));
    let index = cluster.propose(1);
    cluster.run(SECOND / 100);
    cluster.heal();
    cluster.run(SECOND / 2);
    assert!(cluster.leader().commit_index() >= index);
}

#[test]
fn unresponsive_follower_is_sent_a_bounded_number_of_messages() {
    let mut cluster = Cluster::with_voters(7, 3);
    let id = follower(&cluster);
    cluster.pause(id, u64::MAX);
    cluster.run(2 * SECOND);
    let before = cluster.messages_sent;
    for command in 0..50 {
        cluster.propose(command);
    }
    let sent = cluster.messages_sent - before;
    let window = cluster.settings.max_in_flight_batches as u64;
    assert_eq!(sent, window, "only the responsive follower's window");
}

/// A deposed leader holds many entries that no other member has, and lacks as
/// many of a later term. The current leader was elected after those, so it
/// starts to compare at the end of its log.
#[test]
fn conflicting_entries_are_replaced_within_few_messages() {
    let mut cluster = Cluster::with_voters(8, 3);
    let old = cluster.leader_id().expect("a leader");
    let propose = |cluster: &mut Cluster| {
        for command in 0..20 {
            cluster.propose(command);
        }
    };
    cluster.isolate(&[old]);
    propose(&mut cluster);
    cluster.run(3 * SECOND);
    propose(&mut cluster);
    cluster.run(SECOND);
    let second = cluster.leader_id().expect("a leader");
    cluster
        .with_node(second, |node, now| node.transfer_leadership(now, None))
        .expect("a target");
    cluster.run(SECOND);
    let leader = cluster.leader();
    assert!(leader.log().first_index() <= cluster.node(old).commit_index());
    assert_eq!(
        leader.progress().filter(|it| it.1.match_index == 0).count(),
        1
    );
    let last_index = leader.log().last_index();
    cluster.heal();
    let sent = cluster.messages_sent;
    cluster.run_until(SECOND, |it| it.node(old).log().last_index() == last_index);
    let sent = cluster.messages_sent - sent;
    assert!(sent <= 24, "{sent} messages");
    cluster.run(SECOND);
    assert_eq!(cluster.node(old).commit_index(), last_index);
    assert_eq!(cluster.processes[&old].state.applied, 20);
}

/// Figure 8 of the Raft paper: an entry of an earlier term that a quorum holds
/// can still be overwritten, so counting replicas must not commit it.
#[test]
fn entry_of_an_earlier_term_is_not_committed_by_counting_replicas() {
    let mut cluster = Cluster::with_voters(9, 3);
    let commit = cluster.leader().commit_index();
    cluster.drop_filter = Some(|message| matches!(message.body, Body::AppendResponse { .. }));
    let index = cluster.propose(1);
    cluster.run(SECOND / 20);
    let old = cluster.leader_id().expect("a leader");
    cluster.kill(old);
    cluster.drop_filter = Some(|message| matches!(message.body, Body::Append { .. }));
    cluster.run_until(3 * SECOND, |cluster| cluster.leader_id().is_some());
    // The new leader's own entry is lost in transit. The old entry is held by
    // both voters and acknowledged.
    let new = cluster.leader_id().expect("a leader");
    let mut others = cluster.processes.keys().copied();
    let id = others.find(|id| *id != new).expect("a follower");
    assert_eq!(cluster.node(id).log().last_index(), index);
    let leader = cluster.processes.get_mut(&new).expect("the leader");
    let acknowledgement = TestMessage {
        group: GroupId(0),
        generation: leader.node.generation(),
        term: leader.node.term(),
        sender: identity(id.0),
        body: Body::AppendResponse {
            echo: Timestamp::ZERO,
            outcome: threadledge_consensus::AppendOutcome::Accepted { match_index: index },
        },
    };
    let now = leader.clock(cluster.now);
    leader.node.step(now, id, acknowledgement);
    assert_eq!(leader.node.role(), Role::Leader);
    assert_eq!(leader.node.commit_index(), commit);
    cluster.heal();
    cluster.run(SECOND);
    assert!(cluster.leader().commit_index() > index);
}

#[test]
fn messages_of_another_group_are_ignored() {
    let mut cluster = Cluster::with_voters(10, 3);
    let id = follower(&cluster);
    let message = TestMessage {
        group: GroupId(1),
        generation: cluster.leader().generation(),
        term: 90,
        sender: identity(99),
        body: Body::StaleTerm,
    };
    cluster.with_node(id, |node, now| node.step(now, RouterId(99), message));
    assert!(cluster.node(id).term() < 90);
}

#[test]
fn messages_survive_encoding_as_json() {
    let mut cluster = Cluster::with_voters(11, 3);
    cluster.propose(1);
    cluster.run(200);
    assert!(!cluster.in_flight.is_empty());
    for (_, message) in cluster.in_flight.values() {
        let text = serde_json::to_string(message).expect("encodes");
        let decoded: TestMessage = serde_json::from_str(&text).expect("decodes");
        assert_eq!(decoded, *message);
    }
    let members = cluster.leader().members();
    let text = serde_json::to_string(members).expect("encodes");
    let decoded: threadledge_consensus::Members = serde_json::from_str(&text).expect("decodes");
    assert_eq!(decoded, *members);
}

/// The entries of an append message may end before the receiver's log does. The
/// rest of that log may differ from the leader's and must not be committed.
#[test]
fn follower_commits_nothing_that_it_has_not_compared() {
    let mut cluster = Cluster::with_voters(12, 3);
    let old = cluster.leader_id().expect("a leader");
    cluster.isolate(&[old]);
    for command in 0..5 {
        cluster.propose(command);
    }
    let process = cluster.processes.get_mut(&old).expect("the leader");
    let agreed = process.node.commit_index();
    let append = TestMessage {
        group: GroupId(0),
        generation: process.node.generation(),
        term: 9,
        sender: identity(2),
        body: Body::Append {
            sent_at: Timestamp::ZERO,
            previous_index: agreed,
            previous_term: process.node.log().last_term(),
            entries: Vec::new(),
            commit_index: agreed + 5,
        },
    };
    let now = process.clock(cluster.now);
    process.node.step(now, RouterId(2), append);
    assert_eq!(process.node.role(), Role::Follower);
    assert_eq!(process.node.commit_index(), agreed);
}

#[test]
fn old_snapshot_that_arrives_again_changes_nothing() {
    let mut cluster = Cluster::with_voters(13, 3);
    let propose = |cluster: &mut Cluster| {
        for command in 0..100 {
            cluster.propose(command);
            cluster.run(SECOND / 100);
        }
    };
    propose(&mut cluster);
    let id = cluster.join();
    cluster.change(MemberChange::AddLearner(identity(id.0)));
    cluster.run_until(SECOND, |cluster| {
        cluster.in_flight.values().any(|(_, it)| is_snapshot(it))
    });
    let snapshot = cluster.intercept(|_, it| is_snapshot(it));
    cluster.release(snapshot.clone());
    propose(&mut cluster);
    let commit_index = cluster.node(id).commit_index();
    cluster.release(snapshot);
    assert!(cluster.node(id).commit_index() >= commit_index);
    assert_eq!(cluster.processes[&id].state.applied, 200);
}
