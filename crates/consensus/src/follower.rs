//! Handling of the leader's messages by a follower.

use threadledge_types::{RouterIdentity, Timestamp};

use crate::entry::Entry;
use crate::log::Snapshot;
use crate::message::{AppendOutcome, Body};
use crate::node::{Node, State};

/// Fields of a received `Append` message.
pub(crate) struct Append<C> {
    pub(crate) sent_at: Timestamp,
    pub(crate) previous_index: u64,
    pub(crate) previous_term: u64,
    pub(crate) entries: Vec<Entry<C>>,
    pub(crate) commit_index: u64,
}

impl<C: Clone, S: Clone> Node<C, S> {
    /// Becomes a follower of `leader`, the leader of the current term, and
    /// restarts the election timer. Returns false if this node itself leads the
    /// term, which cannot happen if all peers are correct.
    pub(crate) fn follow_leader(&mut self, leader: &RouterIdentity) -> bool {
        if matches!(self.state, State::Leader(_)) {
            return false;
        }
        self.state = State::Follower;
        if self.leader.as_ref() != Some(leader) {
            self.leader = Some(leader.clone());
        }
        self.last_leader_contact = Some(self.clock);
        self.timer.restart(self.clock);
        true
    }

    pub(crate) fn handle_heartbeat(
        &mut self,
        leader: RouterIdentity,
        sent_at: Timestamp,
        commit_index: u64,
        cancelled_transfer: u64,
    ) {
        if !self.follow_leader(&leader) {
            return;
        }
        self.cancelled_transfer = self.cancelled_transfer.max(cancelled_transfer);
        self.commit_up_to(commit_index.min(self.log.last_index()));
        self.send(leader, Body::HeartbeatResponse { echo: sent_at });
    }

    pub(crate) fn handle_append(&mut self, leader: RouterIdentity, append: Append<C>) {
        if !self.follow_leader(&leader) {
            return;
        }
        let echo = append.sent_at;
        let outcome = self.append_entries(append);
        self.send(leader, Body::AppendResponse { echo, outcome });
    }

    /// Appends the entries of a message whose previous entry matches this log.
    fn append_entries(&mut self, append: Append<C>) -> AppendOutcome {
        if append.previous_index < self.commit_index {
            // Outdated message: committed entries match every leader's log and
            // are never overwritten.
            return AppendOutcome::Accepted {
                match_index: self.commit_index,
            };
        }
        if self.log.term_at(append.previous_index) != Some(append.previous_term) {
            let (hint_index, hint_term) = self
                .log
                .find_conflict_by_term(append.previous_index, append.previous_term);
            return AppendOutcome::Rejected {
                previous_index: append.previous_index,
                hint_index,
                hint_term,
            };
        }
        let mut match_index = append.previous_index;
        for entry in append.entries {
            if entry.index != match_index + 1 || !self.append_entry(entry) {
                break;
            }
            match_index += 1;
        }
        self.commit_up_to(append.commit_index.min(match_index));
        AppendOutcome::Accepted { match_index }
    }

    /// Appends an entry whose predecessor matches the leader's log, replacing
    /// conflicting entries. Returns whether the log now holds the entry.
    fn append_entry(&mut self, entry: Entry<C>) -> bool {
        if self.log.term_at(entry.index) == Some(entry.term) {
            return true;
        }
        // `append_entries` accepts only entries after the commit index.
        debug_assert!(entry.index > self.commit_index);
        if self.log.last_index() >= entry.index {
            self.log.truncate_from(entry.index);
        }
        if self.log.len() >= self.settings.max_log_entries() {
            return false;
        }
        self.log.push(entry);
        true
    }

    /// Raises the commit index to `index`. It never goes back.
    fn commit_up_to(&mut self, index: u64) {
        self.commit_index = self.commit_index.max(index);
    }

    pub(crate) fn handle_snapshot(
        &mut self,
        leader: RouterIdentity,
        sent_at: Timestamp,
        snapshot: Snapshot<S>,
    ) {
        if !self.follow_leader(&leader) {
            return;
        }
        let match_index = self.install_snapshot(snapshot);
        let outcome = AppendOutcome::Accepted { match_index };
        let echo = sent_at;
        self.send(leader, Body::AppendResponse { echo, outcome });
    }

    /// Replaces the log by `snapshot` if that is ahead of the commit index and
    /// the log does not already hold its last entry. Returns the index up to
    /// which this log matches the leader's.
    fn install_snapshot(&mut self, snapshot: Snapshot<S>) -> u64 {
        let index = snapshot.index;
        if index <= self.commit_index || snapshot.state.is_none() {
            return self.commit_index;
        }
        if self.log.term_at(index) == Some(snapshot.term) {
            self.commit_up_to(index);
            return index;
        }
        self.log.restore(snapshot);
        self.commit_index = index;
        self.delivered_index = index;
        self.restore_pending = true;
        index
    }
}
