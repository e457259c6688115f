//! Messages between routers.

use serde::{Deserialize, Serialize};
use threadledge_ownership::{Command, Snapshot};
use threadledge_types::{GroupId, RouterId, RouterIdentity};

use crate::view::{GroupView, ViewVersion};

/// Consensus messages of a group.
pub type ConsensusMessage = threadledge_consensus::Message<Command, Snapshot>;

/// One message between the control cores of two routers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum PeerMessage {
    /// A step of the group's replicated log.
    Consensus {
        /// Which group.
        group: GroupId,
        /// The step.
        message: Box<ConsensusMessage>,
    },
    /// Failure detection and member gossip.
    Membership(threadledge_membership::Message),
    /// Copies of records on their way down the tree.
    Spread {
        /// The spread message.
        message: threadledge_spread::SpreadMessage,
        /// Version of the group view that the sender holds.
        view_version: Option<ViewVersion>,
        /// The sender's group view, when it believes the receiver lacks it.
        view: Option<Box<GroupView>>,
    },
    /// Asks what the receiver knows of the group, before the sender has it
    /// founded anew.
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
        /// Time since the sender last knew it to have a leader, in
        /// microseconds; `None` if it never did.
        leader_age_micros: Option<u64>,
    },
}

/// Everything one router has to say to another at one moment.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PeerBatch {
    /// The sender.
    pub from: RouterIdentity,
    /// The process meant, when the sender knows it. Another process at the
    /// same address takes only membership messages from the batch.
    pub to: Option<RouterId>,
    /// The messages, in order.
    pub messages: Vec<PeerMessage>,
}
