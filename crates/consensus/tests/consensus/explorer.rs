//! Every order of deliveries, repetitions and timeouts on a small group, up to
//! a depth. States that were seen before are not gone on from.
//!
//! Time stands still: with election timeouts of zero, a timeout may happen at
//! any moment and no voter is bound by a promise, so the runs include all
//! those that clocks would allow, except for the lease, which is not looked at.

use std::collections::HashSet;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::rc::Rc;

use threadledge_consensus::{Body, MemberChange, Payload, Role, Settings};
use threadledge_types::{Generation, RouterId, Timestamp, Timing};

use crate::checker::{Checker, Digest, TestNode};
use crate::cluster::{TestMessage, identity};

const NOW: Timestamp = Timestamp::ZERO;

/// One state of the whole group.
#[derive(Clone)]
struct World {
    /// Each with its fingerprint.
    nodes: Vec<(u64, Rc<TestNode>)>,
    /// Each with its fingerprint and receiver.
    messages: Vec<(u64, RouterId, Rc<TestMessage>)>,
    checker: Rc<Checker>,
    budget: Budget,
}

/// What may still happen.
#[derive(Clone, Hash)]
struct Budget {
    /// Election timeouts, which ask for pre-votes.
    timeouts: usize,
    /// Requests of the leader to campaign at once, which skip the pre-vote.
    campaigns: usize,
    duplicates: usize,
    proposals: u64,
    changes: Vec<MemberChange>,
}

#[derive(Clone)]
enum Action {
    Deliver { message: usize, again: bool },
    Timeout { node: usize },
    Campaign { node: usize },
    Propose { node: usize },
    Change { node: usize },
}

fn fingerprint(value: &impl Hash) -> u64 {
    let mut hasher = DefaultHasher::new();
    value.hash(&mut hasher);
    hasher.finish()
}

impl World {
    /// Three nodes, of which the first leads and the first `voters` vote.
    fn new(voters: u64, budget: Budget) -> Self {
        let settings = Settings {
            timing: Timing {
                election_min_ms: 0,
                election_max_ms: 0,
                ..Timing::default()
            },
            ..Settings::default()
        };
        let founder = TestNode::bootstrap(settings.clone(), identity(1), Generation(1), None, NOW);
        let joiners = (2..=3).map(|id| TestNode::join(settings.clone(), identity(id), NOW));
        let mut world = World {
            nodes: std::iter::once(founder)
                .chain(joiners)
                .map(|node| (0, Rc::new(node)))
                .collect(),
            messages: Vec::new(),
            checker: Rc::default(),
            budget,
        };
        for id in 2..=3 {
            world.change_and_settle(MemberChange::AddLearner(identity(id)));
            if id <= voters {
                world.change_and_settle(MemberChange::Promote(RouterId(id)));
            }
        }
        world
    }

    /// Lets the leader step down, so that all three nodes may vote.
    fn without_leader(mut self) -> Self {
        let mut newer = self.timeout_now(0);
        newer.sender = identity(2);
        newer.term += 1;
        newer.body = Body::StaleTerm;
        self.node(0).step(NOW, RouterId(2), newer);
        self.settle(0);
        self
    }

    fn change_and_settle(&mut self, change: MemberChange) {
        self.node(0)
            .propose_member_change(NOW, change)
            .expect("change is taken");
        self.settle(0);
        while !self.messages.is_empty() {
            self.act(&Action::Deliver {
                message: 0,
                again: false,
            });
        }
    }

    fn node(&mut self, index: usize) -> &mut TestNode {
        Rc::make_mut(&mut self.nodes[index].1)
    }

    fn timeout_now(&self, node: usize) -> TestMessage {
        let (_, node) = &self.nodes[node];
        let other = identity(node.identity().id.0 % 3 + 1);
        TestMessage {
            group: node.settings().group,
            generation: node.generation(),
            term: node.term(),
            sender: node.leader().cloned().unwrap_or(other),
            body: Body::TimeoutNow { transfer: 1 },
        }
    }

    fn actions(&self) -> Vec<Action> {
        let mut actions = Vec::new();
        for message in 0..self.messages.len() {
            let again = false;
            actions.push(Action::Deliver { message, again });
            if self.budget.duplicates > 0 {
                let again = true;
                actions.push(Action::Deliver { message, again });
            }
        }
        for (node, (_, it)) in self.nodes.iter().enumerate() {
            let leads = it.role() == Role::Leader;
            if !leads && self.budget.timeouts > 0 {
                actions.push(Action::Timeout { node });
            }
            if !leads && self.budget.campaigns > 0 {
                actions.push(Action::Campaign { node });
            }
            if leads && self.budget.proposals > 0 {
                actions.push(Action::Propose { node });
            }
            if leads && !self.budget.changes.is_empty() {
                actions.push(Action::Change { node });
            }
        }
        actions
    }

    /// Returns whether more came of it than the loss of a message: a message
    /// that is never delivered stands for a lost one, so a delivery that
    /// changes nothing leads to no new state.
    fn act(&mut self, action: &Action) -> bool {
        let node = match action {
            Action::Deliver { message, again } => {
                let (_, to, message) = if *again {
                    self.budget.duplicates -= 1;
                    self.messages[*message].clone()
                } else {
                    self.messages.remove(*message)
                };
                let node = usize::try_from(to.0 - 1).expect("an index");
                let from = message.sender.id;
                self.node(node)
                    .step(NOW, from, TestMessage::clone(&message));
                node
            }
            Action::Timeout { node } => {
                self.budget.timeouts -= 1;
                self.node(*node).tick(NOW);
                *node
            }
            Action::Campaign { node } => {
                self.budget.campaigns -= 1;
                let request = self.timeout_now(*node);
                let leader = request.sender.id;
                self.node(*node).step(NOW, leader, request);
                *node
            }
            Action::Propose { node } => {
                self.budget.proposals -= 1;
                let command = self.budget.proposals;
                let _refused = self.node(*node).propose(NOW, command);
                *node
            }
            Action::Change { node } => {
                let change = self.budget.changes.pop().expect("a change is left");
                let _refused = self.node(*node).propose_member_change(NOW, change);
                *node
            }
        };
        self.settle(node)
    }

    /// Carries out what a node hands out, and checks it. Returns whether the
    /// node changed or sent anything.
    fn settle(&mut self, node: usize) -> bool {
        let ready = self.node(node).ready();
        let sends = !ready.messages.is_empty();
        for outgoing in ready.messages {
            let (to, message) = (outgoing.to.id, Rc::new(outgoing.message));
            self.messages
                .push((fingerprint(&(to, &message)), to, message));
        }
        for committed in &ready.committed {
            let value = match committed.payload {
                Payload::Command(command) => command,
                Payload::Empty | Payload::Members(_) => 0,
            };
            let applied = committed.revision.index;
            Rc::make_mut(&mut self.checker).check_committed(
                committed,
                Digest {
                    applied,
                    digest: value,
                },
            );
        }
        let (hash, node) = &mut self.nodes[node];
        let before = std::mem::replace(hash, fingerprint(node));
        Rc::make_mut(&mut self.checker).check_node(node);
        sends || before != *hash
    }

    fn fingerprint(&self) -> u64 {
        let nodes: Vec<u64> = self.nodes.iter().map(|it| it.0).collect();
        let mut messages: Vec<u64> = self.messages.iter().map(|it| it.0).collect();
        messages.sort_unstable();
        let seen = (&self.checker.leaders, &self.checker.committed);
        fingerprint(&(nodes, messages, seen, &self.budget))
    }
}

/// Visits every state within `depth` actions, breadth first. Returns how many
/// there are, and the most leaders that any of them has seen, the first
/// included.
fn explore(start: World, depth: usize) -> (usize, usize) {
    let mut seen = HashSet::from([start.fingerprint()]);
    let mut layer = vec![start];
    let mut leaders = 0;
    for remaining in (0..depth).rev() {
        let mut next = Vec::new();
        for world in &layer {
            for action in world.actions() {
                let mut reached = world.clone();
                let changed = reached.act(&action);
                if changed && seen.insert(reached.fingerprint()) {
                    leaders = leaders.max(reached.checker.leaders.len());
                    if remaining > 0 {
                        next.push(reached);
                    }
                }
            }
        }
        layer = next;
    }
    (seen.len(), leaders)
}

#[test]
fn every_election_with_pre_vote_is_safe() {
    let budget = Budget {
        timeouts: 2,
        campaigns: 0,
        duplicates: 0,
        proposals: 0,
        changes: Vec::new(),
    };
    let (states, leaders) = explore(World::new(3, budget), 10);
    assert!(states > 1_000, "only {states} states");
    assert_eq!(leaders, 2);
}

/// A late answer to a pre-vote must not count as a vote.
#[test]
fn every_order_of_a_pre_vote_and_a_rival_election_is_safe() {
    let budget = Budget {
        timeouts: 1,
        campaigns: 1,
        duplicates: 0,
        proposals: 0,
        changes: Vec::new(),
    };
    let start = World::new(3, budget).without_leader();
    let (states, leaders) = explore(start, 8);
    assert!(states > 5_000, "only {states} states");
    assert_eq!(leaders, 3);
}

#[test]
fn every_order_of_two_elections_and_a_commit_is_safe() {
    let budget = Budget {
        timeouts: 0,
        campaigns: 2,
        duplicates: 0,
        proposals: 1,
        changes: Vec::new(),
    };
    let (states, leaders) = explore(World::new(3, budget), 8);
    assert!(states > 5_000, "only {states} states");
    assert_eq!(leaders, 3);
}

#[test]
fn every_order_of_promotion_and_election_is_safe() {
    let budget = Budget {
        timeouts: 0,
        campaigns: 2,
        duplicates: 0,
        proposals: 0,
        changes: vec![MemberChange::Promote(RouterId(3))],
    };
    let (states, leaders) = explore(World::new(2, budget), 9);
    assert!(states > 4_000, "only {states} states");
    assert_eq!(leaders, 3);
}

#[test]
fn every_order_of_removal_and_election_is_safe() {
    let budget = Budget {
        timeouts: 0,
        campaigns: 2,
        duplicates: 1,
        proposals: 0,
        changes: vec![MemberChange::Remove(RouterId(2))],
    };
    let (states, leaders) = explore(World::new(3, budget), 7);
    assert!(states > 5_000, "only {states} states");
    assert_eq!(leaders, 3);
}
