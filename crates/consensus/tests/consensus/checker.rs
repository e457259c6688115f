//! Consensus invariants, checked after every step of a run.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use threadledge_consensus::{CommittedEntry, Node, Payload, Role};
use threadledge_types::RouterId;

/// State of the test application: the number of applied commands and a hash of
/// them that depends on their order.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Digest {
    pub applied: u64,
    pub digest: u64,
}

impl Digest {
    pub fn apply(&mut self, command: u64) {
        self.applied += 1;
        self.digest = self.digest.wrapping_mul(31).wrapping_add(command + 1);
    }
}

pub type TestNode = Node<u64, Digest>;

/// Observations in one generation of one run.
#[derive(Clone, Debug, Default)]
pub struct Checker {
    /// Leader of each term.
    pub leaders: BTreeMap<u64, RouterId>,
    /// Committed entries by index, as first returned by any node.
    pub committed: BTreeMap<u64, Payload<u64>>,
    /// Application state after each index, as first reached by any node.
    states: BTreeMap<u64, Digest>,
    /// Every entry seen in a log by index and term, with the term of its
    /// predecessor if known.
    logged: BTreeMap<(u64, u64), (Payload<u64>, Option<u64>)>,
    commit_indices: BTreeMap<RouterId, u64>,
}

impl Checker {
    /// Checks one node after it was stepped.
    pub fn check_node(&mut self, node: &TestNode) {
        let id = node.identity().id;
        let known = self.commit_indices.entry(id).or_default();
        assert!(node.commit_index() >= *known, "commit index went back");
        *known = node.commit_index();
        self.check_log_matching(node);
        if node.role() == Role::Leader && !self.leaders.contains_key(&node.term()) {
            self.check_leader_completeness(node);
        }
        if node.role() == Role::Leader {
            let leader = *self.leaders.entry(node.term()).or_insert(id);
            assert_eq!(leader, id, "two leaders in term {}", node.term());
        }
    }

    /// Checks the log matching property: an index and a term identify one entry
    /// and one predecessor in all logs. By induction, logs that agree at an
    /// index agree on all earlier entries.
    fn check_log_matching(&mut self, node: &TestNode) {
        let log = node.log();
        let unsettled = node.commit_index().max(log.first_index());
        for index in unsettled..=log.last_index() {
            let entry = log.entry(index).expect("within the log");
            let before = log.term_at(index - 1);
            let seen = self
                .logged
                .entry((index, entry.term))
                .or_insert_with(|| (entry.payload.clone(), before));
            assert_eq!(seen.0, entry.payload, "two entries at {index}");
            assert!(
                seen.1 == before || before.is_none() || seen.1.is_none(),
                "two predecessors of {index}"
            );
        }
    }

    /// Checks that a new leader holds every committed entry.
    fn check_leader_completeness(&self, node: &TestNode) {
        for (index, payload) in &self.committed {
            let held = node.log().entry(*index).map(|entry| &entry.payload);
            let covered = *index <= node.log().snapshot().index;
            assert!(
                held == Some(payload) || (held.is_none() && covered),
                "leader of term {} lacks committed entry {index}",
                node.term()
            );
        }
    }

    /// Checks a committed entry and the application state after it.
    pub fn check_committed(&mut self, entry: &CommittedEntry<u64>, state: Digest) {
        let index = entry.revision.index;
        let first = self
            .committed
            .entry(index)
            .or_insert_with(|| entry.payload.clone());
        assert_eq!(*first, entry.payload, "two entries committed at {index}");
        self.check_state(index, state);
    }

    /// Checks that all applications reach the same state at `index`.
    pub fn check_state(&mut self, index: u64, state: Digest) {
        let first = *self.states.entry(index).or_insert(state);
        assert_eq!(first, state, "two states at {index}");
    }
}
