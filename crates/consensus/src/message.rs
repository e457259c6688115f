//! Messages between the nodes of one group.

use serde::{Deserialize, Serialize};
use threadledge_types::{Generation, GroupId, RouterIdentity, Timestamp};

use crate::entry::Entry;
use crate::log::Snapshot;

/// Message from one node to another.
#[derive(Clone, Debug, PartialEq, Hash, Serialize, Deserialize)]
pub struct Message<C, S> {
    /// Group of the sender. A node ignores messages of other groups.
    pub group: GroupId,
    /// Generation that the sender belongs to.
    pub generation: Generation,
    /// Current term of the sender.
    pub term: u64,
    /// Identity of the sender, so that a node without a member list can answer.
    pub sender: RouterIdentity,
    /// Content of the message.
    pub body: Body<C, S>,
}

/// Content of a message.
///
/// `sent_at` is a reading of the leader's clock, which the follower echoes in
/// its response. The leader counts its lease from the send time of the messages
/// that were answered.
#[derive(Clone, Debug, PartialEq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Body<C, S> {
    /// Requests a vote or, as a pre-vote, asks whether it would be granted.
    VoteRequest {
        /// Term that the candidate campaigns for.
        campaign_term: u64,
        /// Pre-vote: the response does not bind the voter.
        pre_vote: bool,
        /// The leader asked the candidate to campaign and has given up its
        /// lease.
        transfer: bool,
        /// Index of the last entry in the candidate's log.
        last_index: u64,
        /// Term of that entry.
        last_term: u64,
    },
    /// Response to `VoteRequest`.
    VoteResponse {
        /// Term that the candidate campaigned for.
        campaign_term: u64,
        /// Whether the request was a pre-vote.
        pre_vote: bool,
        /// Whether the vote was granted.
        granted: bool,
    },
    /// Entries after `previous_index`. Empty if the leader only probes the
    /// follower or sends a new commit index.
    Append {
        /// Leader's clock when it sent the message.
        sent_at: Timestamp,
        /// Index before the first entry.
        previous_index: u64,
        /// Term of the entry at that index.
        previous_term: u64,
        /// Entries to append.
        entries: Vec<Entry<C>>,
        /// Leader's commit index.
        commit_index: u64,
    },
    /// Response to `Append` and `Snapshot`.
    AppendResponse {
        /// `sent_at` of the message that is answered.
        echo: Timestamp,
        /// Whether the follower accepted the message.
        outcome: AppendOutcome,
    },
    /// Asserts leadership and keeps followers from campaigning.
    Heartbeat {
        /// Leader's clock when it sent the message.
        sent_at: Timestamp,
        /// Leader's commit index, but at most the highest index that the
        /// follower is known to hold.
        commit_index: u64,
        /// Highest number of a transfer cancelled in this term; all transfers
        /// up to it are cancelled.
        cancelled_transfer: u64,
    },
    /// Response to `Heartbeat`.
    HeartbeatResponse {
        /// `sent_at` of the heartbeat that is answered.
        echo: Timestamp,
    },
    /// Application state for a follower that needs entries which are no longer
    /// in the leader's log.
    Snapshot {
        /// Leader's clock when it sent the message.
        sent_at: Timestamp,
        /// Snapshot to install.
        snapshot: Snapshot<S>,
    },
    /// Asks the receiver to campaign immediately.
    TimeoutNow {
        /// Number of the leadership transfer within the term.
        transfer: u64,
    },
    /// The receiver's term is outdated; the message carries a higher one.
    StaleTerm,
    /// The receiver's generation is outdated; the message carries a higher one.
    StaleGeneration,
    /// The receiver was removed from the group.
    NotMember {
        /// Index of the committed member list that no longer includes it.
        members_index: u64,
    },
}

/// Result of an append or snapshot message on the follower.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum AppendOutcome {
    /// The follower's log agrees with the leader's up to `match_index`.
    Accepted {
        /// Highest index at which the logs are known to agree.
        match_index: u64,
    },
    /// The follower's log does not hold the entry at `previous_index`.
    Rejected {
        /// `previous_index` of the rejected message.
        previous_index: u64,
        /// Highest index at which the logs may agree.
        hint_index: u64,
        /// Term of the follower's entry at that index.
        hint_term: u64,
    },
}

/// Message with its receiver.
#[derive(Clone, Debug, PartialEq)]
pub struct Outgoing<C, S> {
    /// Router to send the message to.
    pub to: RouterIdentity,
    /// Message to send.
    pub message: Message<C, S>,
}

impl<C, S> Body<C, S> {
    /// Returns whether only leaders send this kind of message.
    pub(crate) fn is_from_leader(&self) -> bool {
        matches!(
            self,
            Body::Append { .. } | Body::Heartbeat { .. } | Body::Snapshot { .. }
        )
    }
}
