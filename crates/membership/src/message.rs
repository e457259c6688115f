//! Messages between the membership cores of two routers.

use serde::{Deserialize, Serialize};
use threadledge_types::{RouterId, RouterIdentity};

/// How often a router contradicted claims that it is suspect or dead. Only
/// the router itself raises its number.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct RefutationNumber(pub u32);

/// One message; its size is bounded by
/// [`Settings::max_piggyback`](crate::Settings::max_piggyback) and the bound
/// of each body.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Message {
    /// The sender.
    pub from: RouterIdentity,
    /// The sender's own number.
    pub refutation: RefutationNumber,
    /// The sender is about to stop.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub leaving: bool,
    /// What the message is for.
    pub body: MessageBody,
    /// News about members.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub updates: Vec<MemberUpdate>,
}

/// What a message is for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub enum MessageBody {
    /// Asks for an [`MessageBody::Ack`].
    Ping {
        /// Chosen by the sender, echoed in the answer.
        sequence: u64,
    },
    /// Answers a ping.
    Ack {
        /// Number of the ping.
        sequence: u64,
    },
    /// Asks the receiver to ping `target` and to pass its answer on.
    PingRequest {
        /// Chosen by the sender, echoed in the answer.
        sequence: u64,
        /// Whom to ping.
        target: RouterIdentity,
    },
    /// The target of a ping request answered.
    IndirectAck {
        /// Number of the ping request.
        sequence: u64,
    },
    /// The target of a ping request did not answer; shows its sender that it
    /// can itself be reached.
    IndirectNack {
        /// Number of the ping request.
        sequence: u64,
    },
    /// Carries news only.
    Gossip,
    /// Carries updates that answer a comparison of tables; they are no news
    /// to others and are not passed on.
    SyncUpdates,
    /// Offers to compare member tables.
    SyncOffer {
        /// Bucket from which the receiver looks for differences.
        start: u8,
        /// Short hash of each of the sender's buckets.
        hashes: Vec<u16>,
    },
    /// Answers an offer: the sender's members in the buckets that differ, as
    /// far as they fit.
    SyncDigest {
        /// Buckets that differ and are listed; none when the tables agree.
        buckets: Vec<u8>,
        /// The sender's members in these buckets.
        entries: Vec<MemberDigest>,
    },
    /// Asks for the identities of members that the sender lacks; its updates
    /// tell what the receiver lacks and are not passed on.
    SyncWanted {
        /// The members.
        ids: Vec<RouterId>,
    },
}

/// One member as listed when tables are compared.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberDigest {
    /// The member.
    pub id: RouterId,
    /// Its number, as far as the sender knows.
    #[serde(rename = "r")]
    pub refutation: RefutationNumber,
}

/// One piece of news about a member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub enum MemberUpdate {
    /// It is alive.
    Alive {
        /// The member.
        identity: RouterIdentity,
        /// Its number.
        refutation: RefutationNumber,
    },
    /// `by` got no answer from it.
    Suspect {
        /// The member.
        id: RouterId,
        /// Its number at the time.
        refutation: RefutationNumber,
        /// Who suspects it.
        by: RouterId,
    },
    /// It announced that it stops.
    Leaving {
        /// The member.
        identity: RouterIdentity,
        /// Its number.
        refutation: RefutationNumber,
    },
    /// It did not contradict in time.
    Dead {
        /// The member.
        id: RouterId,
        /// Its number at the time.
        refutation: RefutationNumber,
    },
}

impl MemberUpdate {
    /// The member that the update is about.
    pub fn subject(&self) -> RouterId {
        match self {
            MemberUpdate::Alive { identity, .. } | MemberUpdate::Leaving { identity, .. } => {
                identity.id
            }
            MemberUpdate::Suspect { id, .. } | MemberUpdate::Dead { id, .. } => *id,
        }
    }
}
