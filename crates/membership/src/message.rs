//! Messages exchanged for membership and failure detection.

use serde::{Deserialize, Serialize};
use threadledge_types::{RouterId, RouterIdentity};

/// Refutation number of a router, called the incarnation number in SWIM. It
/// orders claims about the router. Only the router itself raises it, to refute
/// claims that it is suspect or dead.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct RefutationNumber(pub u32);

/// Message between two routers. Its size is bounded by
/// [`Settings::max_piggyback`](crate::Settings::max_piggyback) and by the limit
/// of each kind of body.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Message {
    /// Identity of the sender.
    pub from: RouterIdentity,
    /// Refutation number of the sender.
    pub refutation: RefutationNumber,
    /// Whether the sender is about to stop.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub leaving: bool,
    /// Content of the message.
    pub body: MessageBody,
    /// Updates about members.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub updates: Vec<MemberUpdate>,
}

/// Content of a message.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub enum MessageBody {
    /// Requests a [`MessageBody::Ack`].
    Ping {
        /// Chosen by the sender, echoed in the answer.
        sequence: u64,
    },
    /// Response to a ping.
    Ack {
        /// Sequence number of the ping.
        sequence: u64,
    },
    /// Asks the receiver to ping `target` and to report the result.
    PingRequest {
        /// Chosen by the sender, echoed in the answer.
        sequence: u64,
        /// Router to ping.
        target: RouterIdentity,
    },
    /// The target of a ping request answered.
    IndirectAck {
        /// Number of the ping request.
        sequence: u64,
    },
    /// The target of a ping request did not answer. It also shows the requester
    /// that the requester itself can be reached.
    IndirectNack {
        /// Number of the ping request.
        sequence: u64,
    },
    /// Carries only updates.
    Gossip,
    /// Carries updates that result from a table comparison. Other routers know
    /// them already, so they are not gossiped further.
    SyncUpdates,
    /// Offers to compare member tables.
    SyncOffer {
        /// Bucket at which the receiver starts to look for differences.
        start: u8,
        /// Short hash of each of the sender's buckets.
        hashes: Vec<u16>,
    },
    /// Response to an offer: the sender's members in the buckets that differ,
    /// up to a size limit.
    SyncDigest {
        /// Buckets that differ and are listed. Empty if the tables agree.
        buckets: Vec<u8>,
        /// Members in these buckets that the sender knows.
        entries: Vec<MemberDigest>,
    },
    /// Requests the identities of members that the sender lacks. The updates of
    /// the message are those that the receiver lacks; they are not gossiped
    /// further.
    SyncWanted {
        /// Members to send.
        ids: Vec<RouterId>,
    },
}

/// Member entry used to compare member tables.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
// A router answers a malformed batch with serde's error, which names this type.
#[serde(expecting = "struct Digest")]
pub struct MemberDigest {
    /// Router id of the member.
    pub id: RouterId,
    /// Refutation number of the member as known to the sender.
    #[serde(rename = "r")]
    pub refutation: RefutationNumber,
}

/// Claim about the state of a member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub enum MemberUpdate {
    /// The member is alive.
    Alive {
        /// Member that the update is about.
        identity: RouterIdentity,
        /// Refutation number of the member.
        refutation: RefutationNumber,
    },
    /// The member did not answer `by`.
    Suspect {
        /// Member that the update is about.
        id: RouterId,
        /// Refutation number to which the claim applies.
        refutation: RefutationNumber,
        /// Router that suspects the member.
        by: RouterId,
    },
    /// The member announced that it stops.
    Leaving {
        /// Member that the update is about.
        identity: RouterIdentity,
        /// Refutation number of the member.
        refutation: RefutationNumber,
    },
    /// The member did not refute a suspicion in time.
    Dead {
        /// Member that the update is about.
        id: RouterId,
        /// Refutation number to which the claim applies.
        refutation: RefutationNumber,
    },
}

impl MemberUpdate {
    /// Returns the member that the update is about.
    pub fn subject(&self) -> RouterId {
        match self {
            MemberUpdate::Alive { identity, .. } | MemberUpdate::Leaving { identity, .. } => {
                identity.id
            }
            MemberUpdate::Suspect { id, .. } | MemberUpdate::Dead { id, .. } => *id,
        }
    }
}
