//! Random schedules of faults: each seed is one run, with the invariants
//! checked after every step. Afterwards the faults end, and the group has to
//! work again with all that was committed.

use std::collections::BTreeSet;

use threadledge_consensus::{MemberChange, Members, Role};
use threadledge_types::{Generation, RouterId};

use crate::cluster::{Cluster, Faults, MILLISECOND, SECOND, identity};

/// Runs of each test with three voters; half as many with five.
const SEEDS: u64 = 50;
/// Length of the faulty part of a run.
const DURATION: u64 = 8 * SECOND;
/// Time between two faults or requests.
const PACE: u64 = 50 * MILLISECOND;

/// A run with faults, and an operator that replaces lost members.
struct Schedule {
    cluster: Cluster,
    voters: usize,
    next_command: u64,
    /// Whether there are proposals. Without any, a member that is cut off
    /// lacks no entries, so nothing but the lease keeps it from being elected.
    busy: bool,
}

impl Schedule {
    fn new(seed: u64, voters: usize) -> Self {
        Schedule {
            cluster: Cluster::with_voters(seed, voters),
            voters,
            next_command: 0,
            busy: true,
        }
    }

    fn run(&mut self) {
        let end = self.cluster.now + DURATION;
        while self.cluster.now < end {
            self.disturb();
            self.propose();
            self.replace_members();
            let pause = self.cluster.draw(2 * PACE);
            self.cluster.run(pause);
        }
        self.recover();
    }

    fn pick(&mut self) -> RouterId {
        let ids: Vec<RouterId> = self.cluster.processes.keys().copied().collect();
        let chosen = self.cluster.draw(ids.len() as u64);
        ids[usize::try_from(chosen).expect("an index")]
    }

    fn disturb(&mut self) {
        let victim = self.pick();
        let cluster = &mut self.cluster;
        match cluster.draw(40) {
            0..=2 if survives_without(cluster, victim) => cluster.kill(victim),
            3..=5 => {
                let until = cluster.now + cluster.draw(2 * SECOND);
                cluster.pause(victim, until);
            }
            6 | 7 => cluster.isolate(&[victim]),
            8 => {
                // One direction of one link.
                let other = self.pick();
                self.cluster.cut.insert((victim, other));
            }
            9..=12 => cluster.cut.clear(),
            13 => {
                cluster.faults = Faults {
                    drop: cluster.draw(300),
                    duplicate: cluster.draw(200),
                    longest_delay: 1 + cluster.draw(300 * MILLISECOND),
                    late_ready: cluster.draw(500),
                };
            }
            14 | 15 => cluster.heal(),
            16 | 17 => {
                let _refused =
                    cluster.with(victim, |node, now| node.transfer_leadership(now, None));
            }
            _ => {}
        }
    }

    /// Proposes at every node that believes it leads.
    fn propose(&mut self) {
        if self.cluster.draw(20) == 0 {
            self.busy = !self.busy;
        }
        if !self.busy {
            return;
        }
        let ids: Vec<RouterId> = self.cluster.processes.keys().copied().collect();
        for id in ids {
            for _ in 0..self.cluster.draw(4) {
                self.next_command += 1;
                let command = self.next_command;
                let _refused = self
                    .cluster
                    .with(id, |node, now| node.propose(now, command));
            }
        }
    }

    /// Adds members in place of lost ones, and now and then of healthy ones.
    /// Takes one out only while there is one more than needed.
    fn replace_members(&mut self) {
        let Some(leader) = self.cluster.leader_id() else {
            return;
        };
        let members = self.cluster.node(leader).members().clone();
        let lost = lost_members(&self.cluster, &members);
        let renew = self.cluster.draw(20) == 0;
        let spare = members.voters.len() > self.voters;
        let change = if let Some(learner) = members.learners.keys().next() {
            if lost.contains(learner) {
                MemberChange::Remove(*learner)
            } else {
                MemberChange::Promote(*learner)
            }
        } else if spare {
            let any = self.pick();
            MemberChange::Remove(lost.first().copied().unwrap_or(any))
        } else if renew || !lost.is_empty() {
            let id = self.cluster.join();
            MemberChange::AddLearner(identity(id.0))
        } else {
            return;
        };
        let _refused = self
            .cluster
            .with(leader, |node, now| node.propose_member_change(now, change));
        self.end_idle_processes();
    }

    /// Ends processes that no log lists: joiners that were never added, and
    /// members that were taken out.
    fn end_idle_processes(&mut self) {
        if self.cluster.draw(10) != 0 {
            return;
        }
        let mut listed = BTreeSet::new();
        for process in self.cluster.processes.values() {
            let members = process.node.members();
            listed.extend(members.iter().map(|member| member.id));
        }
        self.cluster.processes.retain(|id, _| listed.contains(id));
    }

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
                let leads = Some(*id) == self.cluster.leader_id();
                let role = if leads { Role::Leader } else { Role::Follower };
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

/// Whether every member list in a log has a quorum of running voters without
/// `victim`: its loss is then one that the group tolerates.
fn survives_without(cluster: &Cluster, victim: RouterId) -> bool {
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

/// One run may be quiet by chance, so this looks at several together.
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
