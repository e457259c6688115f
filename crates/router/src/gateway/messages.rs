//! Messages between gateways.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use threadledge_coordination::action::StoreRevision;
use threadledge_coordination::{CoordinatorLease, LoadReport};
use threadledge_suspects::SuspectUpdate;
use threadledge_types::deployment::ServiceName;

use super::followers::PollingFollower;
use super::sync::{Delta, SyncPosition, is_false};

/// A load report for one service.
#[derive(Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(super) struct ServiceReport {
    pub(super) from: Option<SocketAddr>,
    pub(super) service: ServiceName,
    pub(super) load: LoadReport,
}

/// The answer to a load report: some peers that the receiver may ask for
/// updates.
#[derive(Debug, Default, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(super) struct KnownPeers {
    pub(super) peers: Vec<SocketAddr>,
}

/// A poll of a relay.
#[derive(Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(super) struct FollowPoll {
    /// The sender's address.
    pub(super) from: Option<SocketAddr>,
    /// The versions of the data that the sender has.
    #[serde(rename = "marks")]
    pub(super) position: SyncPosition,
    /// Gateways that get their updates through the sender, including itself.
    #[serde(default = "one")]
    pub(super) members: u32,
    /// Load seen by the sender since its last poll, by service.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub(super) load: BTreeMap<ServiceName, LoadReport>,
    /// Requests an immediate answer, because the follower has to know how fresh
    /// the relay is.
    #[serde(default, skip_serializing_if = "is_false")]
    pub(super) at_once: bool,
    /// Longest time to hold the answer, in milliseconds, if it differs from the
    /// default.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub(super) hold_ms: Option<u64>,
    /// Whether the sender polls as the relay of another zone of the region. Its
    /// gateways are counted in that zone.
    #[serde(default, skip_serializing_if = "is_false")]
    pub(super) for_zone: bool,
}

fn one() -> u32 {
    1
}

/// A relay's answer to a poll.
#[derive(Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "kind")]
pub(super) enum FollowAnswer {
    /// Updates for the follower.
    News(Box<FollowUpdate>),
    /// The relay has too many followers; these may be followed instead.
    Full {
        /// Addresses of current followers.
        followers: Vec<SocketAddr>,
    },
    /// The relay is leaving.
    Leaving,
}

/// Updates for a follower and their age.
#[derive(Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(super) struct FollowUpdate {
    /// Time since the store last answered the relay, in milliseconds.
    pub(super) age_ms: u64,
    /// Time for which the poll was held, in milliseconds.
    pub(super) held_ms: u64,
    /// The changes that the follower lacks.
    #[serde(rename = "differences")]
    pub(super) delta: Delta,
    /// Approximate number of gateways in the deployment, if known.
    #[serde(default)]
    pub(super) fleet: Option<u32>,
    /// Leases of the coordinators.
    pub(super) leases: Vec<KnownLease>,
    /// Addresses of some other gateways.
    pub(super) peers: Vec<SocketAddr>,
}

/// An exchange about requests that crash back ends.
#[derive(Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(super) struct SuspectExchange {
    /// The sender's address.
    pub(super) from: Option<SocketAddr>,
    /// Suspects that the receiver lacks.
    pub(super) news: SuspectUpdate,
    /// Whether the answer has to contain all suspects that the receiver knows.
    #[serde(default, skip_serializing_if = "is_false")]
    pub(super) whole: bool,
}

/// A coordinator's lease with its revision.
#[derive(Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(super) struct KnownLease {
    pub(super) service: ServiceName,
    pub(super) revision: StoreRevision,
    pub(super) lease: CoordinatorLease,
}

impl FollowPoll {
    /// The sender of the poll and the data that it already has.
    pub(super) fn follower(&self) -> PollingFollower<'_> {
        PollingFollower {
            address: self.from,
            members: self.members,
            for_zone: self.for_zone,
            position: &self.position,
        }
    }
}
