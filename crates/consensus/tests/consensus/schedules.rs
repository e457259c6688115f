//! Random fault schedules. Each seed is one run, and the invariants are checked
//! after every step. At the end all faults are removed, and the group must
//! commit again without having lost committed entries.

use std::collections::BTreeSet;

use threadledge_consensus::{MemberChange, Members, Role};
use threadledge_types::{Generation, RouterId};

use crate::cluster::{Cluster, Faults, MILLISECOND, SECOND, identity};

/// Number of runs per test with three voters; half as many with five.
const SEEDS: u64 = 50;
/// Duration of the part of a run with faults.
const DURATION: u64 = 8 * SECOND;
/// Mean time between two rounds of faults and proposals.
const MEAN_INTERVAL: u64 = 50 * MILLISECOND;

/// Run with random faults and proposals, in which lost members are replaced.
struct Schedule {
    cluster: Cluster,
    voters: usize,
    next_command: u64,
    /// Whether proposals are made. Without them, a partitioned member lacks no
    /// entries, so only the lease prevents its election.
    proposing: bool,
}

impl Schedule {
    fn new(seed: u64, voters: usize) -> Self {
        Schedule {
            cluster: Cluster::with_voters(seed, voters),
            voters,
            next_command: 0,
            proposing: true,
        }
    }

    fn run(&mut self) {
        let end = self.cluster.now + DURATION;
        while self.cluster.now < end {
            self.inject_fault();
            self.propose();
            self.replace_members();
            let pause = self.cluster.random_below(2 * MEAN_INTERVAL);
            self.cluster.run(pause);
        }
        self.recover();
    }

    fn random_process(&mut self) -> RouterId {
        let ids: Vec<RouterId> = self.cluster.processes.keys().copied().collect();
        let chosen = self.cluster.random_below(ids.len() as u64);
        ids[usize::try_from(chosen).expect("an index")]
    }

    fn inject_fault(&mut self) {
        let victim = self.random_process();
        let cluster = &mut self.cluster;
        match cluster.random_below(40) {
            0..=2 if tolerates_loss_of(cluster, victim) => cluster.kill(victim),
            3..=5 => {
                let until = cluster.now + cluster.random_below(2 * SECOND);
                cluster.pause(victim, until);
            }
            6 | 7 => cluster.isolate(&[victim]),
            8 => {
                // Cut one direction of one link.
                let other = self.random_process();
                self.cluster.cut_links.insert((victim, other));
            }
            9..=12 => cluster.cut_links.clear(),
            13 => {
                cluster.faults = Faults {
                    drop: cluster.random_below(300),
                    duplicate: cluster.random_below(200),
                    max_delay: 1 + cluster.random_below(300 * MILLISECOND),
                    delayed_ready: cluster.random_below(500),
                };
            }
            14 | 15 => cluster.heal(),
            16 | 17 => {
                let _refused =
                    cluster.with_node(victim, |node, now| node.transfer_leadership(now, None));
            }
            _ => {}
        }
    }

    /// Proposes commands at every node; only leaders accept them.
    fn propose(&mut self) {
        if self.cluster.random_below(20) == 0 {
            self.proposing = !self.proposing;
        }
        if !self.proposing {
            return;
        }
        let ids: Vec<RouterId> = self.cluster.processes.keys().copied().collect();
        for id in ids {
            for _ in 0..self.cluster.random_below(4) {
                self.next_command += 1;
                let command = self.next_command;
                let _refused = self
                    .cluster
                    .with_node(id, |node, now| node.propose(now, command));
            }
        }
    }

    /// Adds members to replace lost ones, and sometimes healthy ones. Removes a
    /// member only while there is one more than needed.
    fn replace_members(&mut self) {
        let Some(leader) = self.cluster.leader_id() else {
            return;
        };
        let members = self.cluster.node(leader).members().clone();
        let lost = lost_members(&self.cluster, &members);
        let renew = self.cluster.random_below(20) == 0;
        let spare = members.voters.len() > self.voters;
        let change = if let Some(learner) = members.learners.keys().next() {
            if lost.contains(learner) {
                MemberChange::Remove(*learner)
            } else {
                MemberChange::Promote(*learner)
            }
        } else if spare {
            let any = self.random_process();
            MemberChange::Remove(lost.first().copied().unwrap_or(any))
        } else if renew || !lost.is_empty() {
            let id = self.cluster.join();
            MemberChange::AddLearner(identity(id.0))
        } else {
            return;
        };
        let _refused = self
            .cluster
            .with_node(leader, |node, now| node.propose_member_change(now, change));
        self.end_idle_processes();
    }

    /// Sometimes ends the processes that are in no log's member list: joining
    /// nodes that were never added and members that were removed.
    fn end_idle_processes(&mut self) {
        if self.cluster.random_below(10) != 0 {
            return;
        }
        let mut listed = BTreeSet::new();
        for process in self.cluster.processes.values() {
            let members = process.node.members();
            listed.extend(members.iter().map(|member| member.id));
        }
        self.cluster.processes.retain(|id, _| listed.contains(id));
    }

    /// Removes all faults and checks that the group works again.
    fn recover(&mut self) {
        self.cluster.heal();
        self.cluster.run(5 * SECOND);
        let index = self.cluster.propose(u64::MAX - 1);
        self.cluster.run(5 * SECOND);
        let leader = self.cluster.leader();
        assert!(leader.commit_index() >= index, "the group does not commit");
        let members = leader.members().clone();
        for id in members.voters.keys() {
            if let Some(process) = self.cluster.processes.get(id) {
                assert!(process.node.commit_index() >= index, "{id} lags");
                let is_leader = Some(*id) == self.cluster.leader_id();
                let role = if is_leader {
                    Role::Leader
                } else {
                    Role::Follower
                };
                assert_eq!(process.node.role(), role, "{id}");
            }
        }
    }
}

fn lost_members(cluster: &Cluster, members: &Members) -> Vec<RouterId> {
    let ids = members.iter().map(|member| member.id);
    ids.filter(|id| !cluster.processes.contains_key(id))
        .collect()
}

/// Returns whether every node's member list has a quorum of running voters
/// without `victim`, so that the group tolerates its loss.
fn tolerates_loss_of(cluster: &Cluster, victim: RouterId) -> bool {
    let lists = cluster.processes.values().map(|it| it.node.members());
    lists
        .filter(|members| !members.is_empty())
        .all(|members| members.has_quorum(|id| id != victim && cluster.processes.contains_key(&id)))
}

fn run_seeds(first: u64, count: u64, voters: usize) {
    for seed in first..first + count {
        let mut schedule = Schedule::new(seed, voters);
        schedule.run();
    }
}

#[test]
fn three_voters_keep_every_invariant_in_the_first_schedules() {
    run_seeds(1_000, SEEDS, 3);
}

#[test]
fn three_voters_keep_every_invariant_in_the_second_schedules() {
    run_seeds(2_000, SEEDS, 3);
}

#[test]
fn three_voters_keep_every_invariant_in_the_third_schedules() {
    run_seeds(3_000, SEEDS, 3);
}

#[test]
fn five_voters_keep_every_invariant_in_the_first_schedules() {
    run_seeds(5_000, SEEDS / 2, 5);
}

#[test]
fn five_voters_keep_every_invariant_in_the_second_schedules() {
    run_seeds(6_000, SEEDS / 2, 5);
}

/// Checks that the schedules cover what they are meant to. A single run may
/// have few events by chance, so several are counted together.
#[test]
fn schedules_reach_elections_replacements_and_snapshots() {
    const RUNS: usize = 5;
    let (mut elections, mut commits, mut replaced, mut compacted) = (0, 0, 0, 0);
    for seed in (1_000..).take(RUNS) {
        let mut schedule = Schedule::new(seed, 3);
        schedule.run();
        let cluster = &schedule.cluster;
        let checker = &cluster.checkers[&Generation(1)];
        elections += checker.leaders.len();
        commits += checker.committed.len();
        let voters = &cluster.leader().members().voters;
        replaced += voters.keys().filter(|id| id.0 > 3).count();
        compacted += usize::from(cluster.leader().log().snapshot().index > 0);
    }
    assert!(elections > 3 * RUNS, "{elections} elections");
    assert!(commits > 100 * RUNS, "{commits} commits");
    assert!(replaced >= RUNS, "{replaced} voters were replaced");
    assert_eq!(compacted, RUNS, "runs without a snapshot");
}
