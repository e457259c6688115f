//! Tests of leader elections.

use threadledge_consensus::{Body, Message, Role};

use crate::cluster::{Cluster, SECOND};

#[test]
fn founder_leads_alone_and_commits_at_once() {
    let mut cluster = Cluster::new(1);
    let id = cluster.bootstrap(threadledge_types::Generation(3), None);
    let index = cluster.propose(7);
    assert_eq!(cluster.node(id).commit_index(), index);
    assert!(cluster.node(id).has_committed_in_term());
    assert_eq!(cluster.processes[&id].state.applied, 1);
}

#[test]
fn three_voters_elect_another_leader_when_the_leader_is_lost() {
    let mut cluster = Cluster::with_voters(2, 3);
    let old = cluster.leader_id().expect("a leader");
    cluster.propose(1);
    cluster.run(SECOND / 10);
    cluster.kill(old);
    let waited = cluster.run_until(3 * SECOND, |cluster| cluster.leader_id().is_some());
    assert!(waited >= SECOND / 4, "elected before the lease expired");
    let index = cluster.propose(2);
    cluster.run(SECOND);
    for process in cluster.processes.values() {
        assert!(process.node.commit_index() >= index);
        assert_eq!(process.state.applied, 2);
        assert_ne!(process.node.role(), Role::Learner);
    }
}

#[test]
fn votes_of_another_campaign_do_not_count() {
    let mut cluster = Cluster::with_voters(3, 3);
    let old = cluster.leader_id().expect("a leader");
    cluster.drop_filter = Some(|it| {
        matches!(
            it.body,
            Body::VoteResponse {
                pre_vote: false,
                ..
            }
        )
    });
    cluster.kill(old);
    cluster.run_until(5 * SECOND, |cluster| {
        let mut nodes = cluster.processes.values().map(|it| &it.node);
        nodes.any(|node| node.role() == Role::Candidate)
    });
    let mut candidates = cluster.processes.values();
    let candidate = candidates.find(|it| it.node.role() == Role::Candidate);
    let candidate = candidate.expect("a candidate");
    let mut node = candidate.node.clone();
    let now = candidate.clock(cluster.now);
    let id = node.identity().id;
    let mut voters = node.members().voters.values();
    let other = voters.find(|it| it.id != old && it.id != id);
    let other = other.expect("another voter").clone();
    for (campaign_term, pre_vote) in [(node.term() - 1, false), (node.term(), true)] {
        let vote = Message {
            group: node.settings().group,
            generation: node.generation(),
            term: node.term(),
            sender: other.clone(),
            body: Body::VoteResponse {
                campaign_term,
                pre_vote,
                granted: true,
            },
        };
        let term = node.term();
        node.step(now, other.id, vote);
        assert_eq!((node.role(), node.term()), (Role::Candidate, term));
    }
}
