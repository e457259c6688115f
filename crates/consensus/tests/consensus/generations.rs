//! Tests of generations and refounding.

use threadledge_consensus::{Body, MemberChange, Role};
use threadledge_types::{Generation, RouterId};

use crate::checker::Digest;
use crate::cluster::{Cluster, SECOND, identity};

/// Creates a group of generation 1 and the founder of generation 2. Returns the
/// founder and a voter of generation 1 for the founder to add.
fn refounded(seed: u64) -> (Cluster, RouterId, RouterId) {
    let mut cluster = Cluster::with_voters(seed, 3);
    let voter = cluster.leader().progress().next().expect("a follower").0;
    let state = Digest {
        applied: 5,
        digest: 5,
    };
    let founder = cluster.bootstrap(Generation(2), Some(state));
    cluster.run(SECOND / 10);
    (cluster, founder, voter)
}

#[test]
fn member_that_learns_of_a_higher_generation_retires_and_never_votes() {
    let (mut cluster, founder, voter) = refounded(1);
    cluster.with_node(founder, |node, now| {
        node.propose_member_change(now, MemberChange::AddLearner(identity(voter.0)))
            .expect("taken");
    });
    cluster.run(SECOND);
    let old: Vec<RouterId> = (1..=3).map(RouterId).collect();
    assert_eq!(cluster.node(voter).role(), Role::Retired);
    let term = cluster.node(voter).term();
    // The other members learn of the new generation from the retired member's
    // answers.
    cluster.run(3 * SECOND);
    for id in old {
        assert_eq!(cluster.node(id).role(), Role::Retired, "{id}");
        assert!(!cluster.node(id).has_leader_lease(Default::default()));
    }
    assert_eq!(cluster.node(voter).term(), term);
    assert_eq!(cluster.node(founder).role(), Role::Leader);
}

#[test]
fn retired_member_rejoins_only_the_newer_generation() {
    let (mut cluster, founder, voter) = refounded(2);
    let process = cluster.processes.get_mut(&voter).expect("a process");
    let old_messages = process.node.clone();
    process.node.retire(Generation(2));
    cluster.with_node(voter, |node, now| {
        *node = node.rejoin(now).expect("retired");
    });
    cluster.run(SECOND);
    assert_eq!(old_messages.role(), Role::Follower);
    assert_eq!(
        cluster.node(voter).role(),
        Role::Joining,
        "joined the old generation"
    );
    cluster.with_node(founder, |node, now| {
        node.propose_member_change(now, MemberChange::AddLearner(identity(voter.0)))
            .expect("taken");
    });
    cluster.run(SECOND);
    assert_eq!(cluster.node(voter).generation(), Generation(2));
    assert_eq!(cluster.node(voter).role(), Role::Learner);
    assert_eq!(
        cluster.processes[&voter].state.applied, 5,
        "snapshot arrived"
    );
}

#[test]
fn lower_generation_is_answered_with_a_hint() {
    let (mut cluster, founder, _) = refounded(3);
    let old = RouterId(1);
    let message = threadledge_consensus::Message {
        group: cluster.settings.group,
        generation: Generation(1),
        term: 500,
        sender: identity(old.0),
        body: Body::StaleTerm,
    };
    let term = cluster.node(founder).term();
    let process = cluster.processes.get_mut(&founder).expect("a process");
    let now = process.clock(cluster.now);
    process.node.step(now, old, message);
    assert_eq!(process.node.term(), term);
    let answers = process.node.ready().messages;
    assert_eq!(answers.len(), 1);
    assert_eq!(answers[0].to.id, old);
    assert_eq!(answers[0].message.generation, Generation(2));
    assert!(matches!(answers[0].message.body, Body::StaleGeneration));
}
