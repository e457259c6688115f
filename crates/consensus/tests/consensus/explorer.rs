//! Exhaustive exploration of a small group: every order of deliveries,
//! duplicates and timeouts up to a given depth. States seen before are not
//! explored again.
//!
//! Time does not advance. With election timeouts of zero, a timeout can happen
//! at any moment and no voter withholds its vote, so the exploration includes
//! every order of events that clocks could produce. It does not check the
//! lease.

use std::collections::HashSet;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::rc::Rc;

use threadledge_consensus::{Body, MemberChange, Payload, Role, Settings};
use threadledge_types::{Generation, RouterId, Timestamp, Timing};

use crate::checker::{Checker, Digest, TestNode};
use crate::cluster::{TestMessage, identity};

const NOW: Timestamp = Timestamp::ZERO;

/// State of the whole group.
#[derive(Clone)]
struct ClusterState {
    /// Nodes with their fingerprints.
    nodes: Vec<(u64, Rc<TestNode>)>,
    /// Undelivered messages with their fingerprints and receivers.
    messages: Vec<(u64, RouterId, Rc<TestMessage>)>,
    checker: Rc<Checker>,
    budget: Budget,
}

/// Number of events of each kind that may still happen.
#[derive(Clone, Hash)]
struct Budget {
    /// Election timeouts, which start pre-votes.
    timeouts: usize,
    /// Requests by the leader to campaign immediately, which skip the pre-vote.
    campaigns: usize,
    duplicates: usize,
    proposals: u64,
    changes: Vec<MemberChange>,
}

#[derive(Clone)]
enum Action {
    Deliver { message: usize, duplicate: bool },
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

impl ClusterState {
    /// Creates three nodes, of which the first leads and the first `voters`
    /// vote.
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
        let mut state = ClusterState {
            nodes: std::iter::once(founder)
                .chain(joiners)
                .map(|node| (0, Rc::new(node)))
                .collect(),
            messages: Vec::new(),
            checker: Rc::default(),
            budget,
        };
        for id in 2..=3 {
            state.change_and_deliver(MemberChange::AddLearner(identity(id)));
            if id <= voters {
                state.change_and_deliver(MemberChange::Promote(RouterId(id)));
            }
        }
        state
    }

    /// Makes the leader step down, so that all three nodes can vote.
    fn without_leader(mut self) -> Self {
        let mut newer = self.timeout_now(0);
        newer.sender = identity(2);
        newer.term += 1;
        newer.body = Body::StaleTerm;
        self.node(0).step(NOW, RouterId(2), newer);
        self.process_ready(0);
        self
    }

    fn change_and_deliver(&mut self, change: MemberChange) {
        self.node(0)
            .propose_member_change(NOW, change)
            .expect("change is accepted");
        self.process_ready(0);
        while !self.messages.is_empty() {
            self.apply(&Action::Deliver {
                message: 0,
                duplicate: false,
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
            let duplicate = false;
            actions.push(Action::Deliver { message, duplicate });
            if self.budget.duplicates > 0 {
                let duplicate = true;
                actions.push(Action::Deliver { message, duplicate });
            }
        }
        for (node, (_, it)) in self.nodes.iter().enumerate() {
            let is_leader = it.role() == Role::Leader;
            if !is_leader && self.budget.timeouts > 0 {
                actions.push(Action::Timeout { node });
            }
            if !is_leader && self.budget.campaigns > 0 {
                actions.push(Action::Campaign { node });
            }
            if is_leader && self.budget.proposals > 0 {
                actions.push(Action::Propose { node });
            }
            if is_leader && !self.budget.changes.is_empty() {
                actions.push(Action::Change { node });
            }
        }
        actions
    }

    /// Applies an action and returns whether a node changed or sent anything. A
    /// message that is never delivered represents a lost one, so a delivery
    /// that changes nothing leads to no new state.
    fn apply(&mut self, action: &Action) -> bool {
        let node = match action {
            Action::Deliver { message, duplicate } => {
                let (_, to, message) = if *duplicate {
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
        self.process_ready(node)
    }

    /// Processes the node's [`Ready`](threadledge_consensus::Ready) and checks
    /// the invariants. Returns whether the node changed or sent anything.
    fn process_ready(&mut self, node: usize) -> bool {
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

/// Visits every state within `depth` actions, breadth first. Returns the number
/// of states and the highest number of leaders in the history of any of them,
/// including the first leader.
fn explore(start: ClusterState, depth: usize) -> (usize, usize) {
    let mut seen = HashSet::from([start.fingerprint()]);
    let mut frontier = vec![start];
    let mut leaders = 0;
    for remaining in (0..depth).rev() {
        let mut next = Vec::new();
        for state in &frontier {
            for action in state.actions() {
                let mut reached = state.clone();
                let changed = reached.apply(&action);
                if changed && seen.insert(reached.fingerprint()) {
                    leaders = leaders.max(reached.checker.leaders.len());
                    if remaining > 0 {
                        next.push(reached);
                    }
                }
            }
        }
        frontier = next;
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
    let (states, leaders) = explore(ClusterState::new(3, budget), 10);
    assert!(states > 1_000, "only {states} states");
    assert_eq!(leaders, 2);
}

/// A late response to a pre-vote must not count as a vote.
#[test]
fn every_order_of_a_pre_vote_and_a_rival_election_is_safe() {
    let budget = Budget {
        timeouts: 1,
        campaigns: 1,
        duplicates: 0,
        proposals: 0,
        changes: Vec::new(),
    };
    let start = ClusterState::new(3, budget).without_leader();
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
    let (states, leaders) = explore(ClusterState::new(3, budget), 8);
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
    let (states, leaders) = explore(ClusterState::new(2, budget), 9);
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
    let (states, leaders) = explore(ClusterState::new(3, budget), 7);
    assert!(states > 5_000, "only {states} states");
    assert_eq!(leaders, 3);
}
