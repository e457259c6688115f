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
