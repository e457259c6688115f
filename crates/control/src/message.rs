//! Messages between routers.

use serde::{Deserialize, Serialize};
use threadledge_ownership::{Command, Snapshot};
use threadledge_types::{GroupId, RouterId, RouterIdentity};

use crate::view::{GroupView, ViewVersion};

/// Consensus messages of a group.
pub type ConsensusMessage = threadledge_consensus::Message<Command, Snapshot>;

/// One message between the control planes of two routers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum PeerMessage {
    /// A consensus message for the group's replicated log.
    Consensus {
        /// Which group.
        group: GroupId,
        /// The message.
        message: Box<ConsensusMessage>,
    },
    /// Failure detection and member gossip.
    Membership(threadledge_membership::Message),
    /// A message that spreads copies of records down the tree.
    Spread {
        /// The spread message.
        message: threadledge_spread::SpreadMessage,
        /// Version of the sender's group view.
        view_version: Option<ViewVersion>,
        /// The sender's group view, included when it believes the receiver does
        /// not have it.
        view: Option<Box<GroupView>>,
    },
    /// Asks what the receiver knows of the group, before the sender lets it be
    /// bootstrapped again.
    GroupInquiry {
        /// Which group.
        group: GroupId,
    },
    /// Answers a [`PeerMessage::GroupInquiry`].
    GroupAnswer {
        /// Which group.
        group: GroupId,
        /// The sender's view of it.
        view: Option<Box<GroupView>>,
        /// Time since the sender last knew the group to have a leader, in
        /// microseconds; `None` if it never did.
        leader_age_micros: Option<u64>,
    },
}

/// All messages that one router sends to another at one time.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PeerBatch {
    /// The sender.
    pub from: RouterIdentity,
    /// The process addressed, when the sender knows it. Another process at the
    /// same address accepts only membership messages from the batch.
    pub to: Option<RouterId>,
    /// The messages, in order.
    pub messages: Vec<PeerMessage>,
}
