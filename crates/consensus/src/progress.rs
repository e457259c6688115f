//! Replication progress of one follower, as tracked by the leader.

use std::collections::VecDeque;

use threadledge_types::Timestamp;

/// Mode in which entries are sent to a follower.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum ReplicationState {
    /// One message at a time, until the leader knows where the logs agree.
    Probe {
        /// Whether a message has been sent and not yet answered.
        awaiting_response: bool,
    },
    /// Pipelined messages, sent without waiting for responses.
    Replicate {
        /// Last entry index of each unanswered message, oldest first.
        in_flight: VecDeque<u64>,
    },
    /// A snapshot was sent and is not yet acknowledged.
    Snapshot {
        /// Index of the last entry that the snapshot includes.
        index: u64,
        /// When the snapshot was sent.
        sent_at: Timestamp,
    },
}

/// Replication progress of one follower, as tracked by the leader.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Progress {
    /// Highest index at which the follower's log is known to match the
    /// leader's.
    pub match_index: u64,
    /// Index of the next entry to send.
    pub next_index: u64,
    /// Mode in which entries are sent.
    pub state: ReplicationState,
    /// Send time of the latest message that the follower answered in this term.
    pub acked_sent_at: Option<Timestamp>,
    /// When the leader started to track the follower.
    pub tracked_since: Timestamp,
    /// Highest commit index sent to the follower.
    pub commit_sent: u64,
}

impl Progress {
    /// Creates the progress of a follower with an unknown log. Probing starts
    /// at `next_index`.
    pub fn new(next_index: u64, now: Timestamp) -> Self {
        Progress {
            match_index: 0,
            next_index,
            state: ReplicationState::Probe {
                awaiting_response: false,
            },
            acked_sent_at: None,
            tracked_since: now,
            commit_sent: 0,
        }
    }

    /// Returns whether an append message can be sent now.
    pub fn can_send(&self, max_in_flight: usize) -> bool {
        match &self.state {
            ReplicationState::Probe { awaiting_response } => !awaiting_response,
            ReplicationState::Replicate { in_flight } => in_flight.len() < max_in_flight.max(1),
            ReplicationState::Snapshot { .. } => false,
        }
    }

    /// Records that entries up to `last_index` were sent.
    pub fn record_sent_entries(&mut self, last_index: u64) {
        match &mut self.state {
            ReplicationState::Probe { awaiting_response } => *awaiting_response = true,
            ReplicationState::Replicate { in_flight } => {
                if last_index >= self.next_index {
                    in_flight.push_back(last_index);
                    self.next_index = last_index + 1;
                }
            }
            ReplicationState::Snapshot { .. } => {}
        }
    }

    /// Records that a snapshot up to `index` was sent.
    pub fn record_sent_snapshot(&mut self, index: u64, now: Timestamp) {
        self.state = ReplicationState::Snapshot {
            index,
            sent_at: now,
        };
    }

    /// Records a response to a message sent at `sent_at`.
    pub fn record_answer(&mut self, sent_at: Timestamp) {
        self.acked_sent_at = self.acked_sent_at.max(Some(sent_at));
    }

    /// Records that the logs agree up to `match_index`. Returns whether this
    /// raises the known match index.
    pub fn record_accepted(&mut self, match_index: u64) -> bool {
        let is_new = match_index > self.match_index;
        self.match_index = self.match_index.max(match_index);
        self.next_index = self.next_index.max(self.match_index + 1);
        let agreed = self.match_index;
        match &mut self.state {
            ReplicationState::Replicate { in_flight } => {
                while in_flight.front().is_some_and(|last| *last <= agreed) {
                    in_flight.pop_front();
                }
            }
            ReplicationState::Snapshot { index, .. } if agreed < *index => {}
            _ => self.start_replicating(),
        }
        is_new
    }

    /// Records that the follower's log does not match at `rejected_index`, and
    /// continues probing after `agreed_index`. Returns false if the rejection
    /// is stale.
    pub fn record_rejected(&mut self, rejected_index: u64, agreed_index: u64) -> bool {
        let stale = match &self.state {
            ReplicationState::Probe { .. } => rejected_index != self.next_index - 1,
            ReplicationState::Replicate { .. } => rejected_index <= self.match_index,
            ReplicationState::Snapshot { .. } => true,
        };
        if stale {
            return false;
        }
        let next = (agreed_index + 1).min(rejected_index);
        self.start_probing(next);
        true
    }

    /// Starts probing at `next_index`, or after `match_index` if that is
    /// higher.
    pub fn start_probing(&mut self, next_index: u64) {
        self.next_index = next_index.max(self.match_index + 1);
        self.state = ReplicationState::Probe {
            awaiting_response: false,
        };
    }

    /// Allows one more message to be sent, because an earlier message or its
    /// response may be lost.
    pub fn allow_one_more(&mut self, max_in_flight: usize) {
        match &mut self.state {
            ReplicationState::Probe { awaiting_response } => *awaiting_response = false,
            ReplicationState::Replicate { in_flight } => {
                if in_flight.len() >= max_in_flight.max(1) {
                    in_flight.pop_front();
                }
            }
            ReplicationState::Snapshot { .. } => {}
        }
    }

    fn start_replicating(&mut self) {
        self.next_index = self.match_index + 1;
        self.state = ReplicationState::Replicate {
            in_flight: VecDeque::new(),
        };
    }
}
