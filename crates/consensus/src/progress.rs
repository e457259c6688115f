//! What a leader knows of one follower.

use std::collections::VecDeque;

use threadledge_types::Timestamp;

/// How entries are sent to a follower.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum ReplicationState {
    /// One message at a time, until it is known where the logs agree.
    Probe {
        /// A message has been sent and is not answered.
        awaiting_response: bool,
    },
    /// Many messages at a time, without waiting for answers.
    Replicate {
        /// Last index of each message not answered, oldest first.
        in_flight: VecDeque<u64>,
    },
    /// A snapshot is on its way.
    Snapshot {
        /// Last index the snapshot covers.
        index: u64,
        /// When it was sent.
        sent_at: Timestamp,
    },
}

/// What a leader knows of one follower.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Progress {
    /// Highest index known to agree with the leader's log.
    pub match_index: u64,
    /// Next index to send.
    pub next_index: u64,
    /// How entries are sent.
    pub state: ReplicationState,
    /// When the latest message that it answered in this term was sent.
    pub acked_sent_at: Option<Timestamp>,
    /// When the leader began to track it.
    pub tracked_since: Timestamp,
    /// Highest commit index it was sent.
    pub commit_sent: u64,
}

impl Progress {
    /// A follower of which nothing is known; probing begins at `next_index`.
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

    /// Whether a message may be sent now.
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

    /// Records an answer to a message sent at `sent_at`.
    pub fn record_answer(&mut self, sent_at: Timestamp) {
        self.acked_sent_at = self.acked_sent_at.max(Some(sent_at));
    }

    /// Records that the logs agree up to `match_index`. Returns whether that
    /// is news.
    pub fn record_accepted(&mut self, match_index: u64) -> bool {
        let news = match_index > self.match_index;
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
            _ => self.replicate(),
        }
        news
    }

    /// Records that the follower has no entry at `rejected_index`; probing
    /// continues after `agreed_index`. Returns whether that is news.
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

    /// Starts probing at `next_index`, not before what is known to agree.
    pub fn start_probing(&mut self, next_index: u64) {
        self.next_index = next_index.max(self.match_index + 1);
        self.state = ReplicationState::Probe {
            awaiting_response: false,
        };
    }

    /// Lets one more message pass: the answer to an earlier one may be lost.
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

    fn replicate(&mut self) {
        self.next_index = self.match_index + 1;
        self.state = ReplicationState::Replicate {
            in_flight: VecDeque::new(),
        };
    }
}
