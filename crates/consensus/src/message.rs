//! Messages between the nodes of one group.

use serde::{Deserialize, Serialize};
use threadledge_types::{Generation, GroupId, RouterIdentity, Timestamp};

use crate::entry::Entry;
use crate::log::Snapshot;

/// One message between two nodes.
#[derive(Clone, Debug, PartialEq, Hash, Serialize, Deserialize)]
pub struct Message<C, S> {
    /// Group of the sender. A node ignores other groups' messages.
    pub group: GroupId,
    /// Founding of the group that the sender belongs to.
    pub generation: Generation,
    /// Current term of the sender.
    pub term: u64,
    /// The sender, so that a node that knows no members can answer.
    pub sender: RouterIdentity,
    /// Content.
    pub body: Body<C, S>,
}

/// Content of a message.
///
/// A leader's `sent_at` is a reading of its own clock and is echoed in the
/// answer: it is how the leader knows when the message that was answered left,
/// which is what its lease is counted from.
#[derive(Clone, Debug, PartialEq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Body<C, S> {
    /// Asks for a vote, or whether one would be given.
    VoteRequest {
        /// Term that the candidate campaigns for.
        campaign_term: u64,
        /// Only asks; nothing is promised by the answer.
        pre_vote: bool,
        /// The leader itself asked the candidate to campaign, and has given up
        /// its lease.
        transfer: bool,
        /// Last index of the candidate's log.
        last_index: u64,
        /// Term of that entry.
        last_term: u64,
    },
    /// Answers a vote request.
    VoteResponse {
        /// Term that the candidate campaigned for.
        campaign_term: u64,
        /// Whether it was a pre-vote.
        pre_vote: bool,
        /// Whether the vote was given.
        granted: bool,
    },
    /// Entries that follow `previous_index`; none to pass on a commit index
    /// or to probe.
    Append {
        /// Leader's clock when it sent this.
        sent_at: Timestamp,
        /// Index before the first entry.
        previous_index: u64,
        /// Term of the entry at that index.
        previous_term: u64,
        /// The entries.
        entries: Vec<Entry<C>>,
        /// Leader's commit index.
        commit_index: u64,
    },
    /// Answers `Append` and `Snapshot`.
    AppendResponse {
        /// `sent_at` of the message answered.
        echo: Timestamp,
        /// Whether the entries were taken.
        outcome: AppendOutcome,
    },
    /// Keeps leadership.
    Heartbeat {
        /// Leader's clock when it sent this.
        sent_at: Timestamp,
        /// Leader's commit index, no higher than what the follower is known
        /// to have.
        commit_index: u64,
        /// Transfers of this term up to this number have been called off.
        cancelled_transfer: u64,
    },
    /// Answers `Heartbeat`.
    HeartbeatResponse {
        /// `sent_at` of the heartbeat answered.
        echo: Timestamp,
    },
    /// State of the application, for a follower that needs entries which have
    /// been dropped from the log.
    Snapshot {
        /// Leader's clock when it sent this.
        sent_at: Timestamp,
        /// The snapshot.
        snapshot: Snapshot<S>,
    },
    /// Asks the receiver to campaign at once.
    TimeoutNow {
        /// Number of the transfer within the term.
        transfer: u64,
    },
    /// The receiver's term is over; the message's term is higher.
    StaleTerm,
    /// The receiver's generation is over; the message's generation is higher.
    StaleGeneration,
    /// The receiver was taken out of the group.
    NotMember {
        /// Index of the committed entry that lists the members without it.
        members_index: u64,
    },
}

/// What a follower did with appended entries.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum AppendOutcome {
    /// Its log agrees with the leader's up to here.
    Accepted {
        /// Last index known to agree.
        match_index: u64,
    },
    /// Its log does not hold the entry before the first one sent.
    Rejected {
        /// `previous_index` of the message answered.
        previous_index: u64,
        /// Highest index at which the logs may agree.
        hint_index: u64,
        /// Term of the follower's entry at that index.
        hint_term: u64,
    },
}

/// A message and whom it goes to.
#[derive(Clone, Debug, PartialEq)]
pub struct Outgoing<C, S> {
    /// Receiver.
    pub to: RouterIdentity,
    /// The message.
    pub message: Message<C, S>,
}

impl<C, S> Body<C, S> {
    /// Whether only a leader sends such a message.
    pub(crate) fn is_from_leader(&self) -> bool {
        matches!(
            self,
            Body::Append { .. } | Body::Heartbeat { .. } | Body::Snapshot { .. }
        )
    }
}
