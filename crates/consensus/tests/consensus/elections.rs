//! Elections.

use threadledge_consensus::Role;

use crate::cluster::{Cluster, SECOND};

#[test]
fn founder_leads_alone_and_commits_at_once() {
    let mut cluster = Cluster::new(1);
    let id = cluster.found(threadledge_types::Generation(3), None);
    let index = cluster.propose(7);
    assert_eq!(cluster.node(id).commit_index(), index);
    assert!(cluster.node(id).term_start_committed());
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
    assert!(waited >= SECOND / 4, "elected before the lease ran out");
    let index = cluster.propose(2);
    cluster.run(SECOND);
    for process in cluster.processes.values() {
        assert!(process.node.commit_index() >= index);
        assert_eq!(process.state.applied, 2);
        assert_ne!(process.node.role(), Role::Learner);
    }
}
