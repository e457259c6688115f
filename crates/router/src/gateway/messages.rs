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

/// A report with the service that it is about and who sends it.
#[derive(Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(super) struct ServiceReport {
    pub(super) from: Option<SocketAddr>,
    pub(super) service: ServiceName,
    pub(super) load: LoadReport,
}

/// The answer to a report: some peers that one may ask for news.
#[derive(Debug, Default, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(super) struct KnownPeers {
    pub(super) peers: Vec<SocketAddr>,
}

/// A poll of a relay.
#[derive(Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(super) struct FollowPoll {
    /// Who asks.
    pub(super) from: Option<SocketAddr>,
    /// What it knows.
    #[serde(rename = "marks")]
    pub(super) position: SyncPosition,
    /// Gateways that learn through it, itself included.
    #[serde(default = "one")]
    pub(super) members: u32,
    /// The load that it saw since its last poll.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub(super) load: BTreeMap<ServiceName, LoadReport>,
    /// The answer is not held: the follower has to know how fresh the relay
    /// is.
    #[serde(default, skip_serializing_if = "is_false")]
    pub(super) at_once: bool,
    /// Longest time that the answer is held, in milliseconds, where it is not
    /// the usual one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub(super) hold_ms: Option<u64>,
    /// It asks as the relay of another zone of the region, which is counted
    /// there.
    #[serde(default, skip_serializing_if = "is_false")]
    pub(super) for_zone: bool,
}

fn one() -> u32 {
    1
}

/// A relay's answer.
#[derive(Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "kind")]
pub(super) enum FollowAnswer {
    /// What the follower lacks.
    News(Box<FollowUpdate>),
    /// The relay has followers enough; these are some.
    Full {
        /// Their addresses.
        followers: Vec<SocketAddr>,
    },
    /// This gateway is leaving.
    Leaving,
}

/// What a follower lacks, and how fresh it is.
#[derive(Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(super) struct FollowUpdate {
    /// Time since the store surely answered the relay, in milliseconds.
    pub(super) age_ms: u64,
    /// Time that the poll was held, in milliseconds.
    pub(super) held_ms: u64,
    /// What the follower lacks.
    #[serde(rename = "differences")]
    pub(super) delta: Delta,
    /// Gateways of the deployment, roughly, if it is known.
    #[serde(default)]
    pub(super) fleet: Option<u32>,
    /// Coordinators' leases with their revisions.
    pub(super) leases: Vec<KnownLease>,
    /// Some other gateways.
    pub(super) peers: Vec<SocketAddr>,
}

/// What one gateway tells another of requests that crash back ends.
#[derive(Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(super) struct SuspectExchange {
    /// Who tells.
    pub(super) from: Option<SocketAddr>,
    /// What the other one lacks.
    pub(super) news: SuspectUpdate,
    /// The answer is to tell everything that the other one knows.
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
    /// Who asks, and what it knows.
    pub(super) fn follower(&self) -> PollingFollower<'_> {
        PollingFollower {
            address: self.from,
            members: self.members,
            for_zone: self.for_zone,
            position: &self.position,
        }
    }
}
