//! What gateways tell each other of configuration, back ends and owners.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use threadledge_coordination::OwnershipRecord;
use threadledge_coordination::action::StoreRevision;
use threadledge_types::deployment::{BackEnd, Configuration, ConfigurationVersion, ServiceName};

use super::changes::{ConfigurationChange, RecordChange};
use super::zones::DrainedZoneSet;

/// How far one gateway's knowledge goes.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct SyncPosition {
    /// Configuration in force.
    pub configuration: Option<ConfigurationVersion>,
    /// Revision up to which the back ends are known.
    pub back_ends: StoreRevision,
    /// Revision of each ownership record.
    pub ownership: BTreeMap<ServiceName, StoreRevision>,
    /// Revision of the last change of the drained zones.
    #[serde(default)]
    pub zones: Option<StoreRevision>,
}

/// Parts of one gateway's knowledge that another does not have: what changed, as
/// far as that can be told.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct PeerUpdate {
    /// The parts. They reach no further than the back ends among them: whoever
    /// asks goes on watching everything else from where it was.
    #[serde(rename = "differences")]
    pub delta: Delta,
    /// Time since all this was surely so, in milliseconds, as far as whoever
    /// tells it knows.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub age_ms: Option<u64>,
}

/// A back end whose registration lapsed while the store was away, and that is
/// awaited.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct LapsedBackEnd {
    /// The back end as it was registered last.
    pub known: RevisedBackEnd,
    /// Time until it counts as gone, in milliseconds.
    pub left_ms: u64,
}

impl LapsedBackEnd {
    /// A back end that counts as gone in `left`.
    pub fn new(known: &RevisedBackEnd, left: Duration) -> Self {
        LapsedBackEnd {
            known: known.clone(),
            left_ms: u64::try_from(left.as_millis()).unwrap_or(u64::MAX),
        }
    }

    /// Time until it counts as gone.
    pub fn left(&self) -> Duration {
        Duration::from_millis(self.left_ms)
    }
}

/// What a follower lacks, as far as it can be told by what changed.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, rename_all = "kebab-case")]
pub struct Delta {
    /// Changes of the configuration, in their order.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub configuration: Vec<ConfigurationChange>,
    /// The whole configuration, where what changed cannot be told.
    #[serde(skip_serializing_if = "Option::is_none")]
    #[serde(rename = "whole")]
    pub full_configuration: Option<Configuration>,
    /// The configuration is a later one, and too large to be told.
    #[serde(skip_serializing_if = "is_false")]
    pub fetch_configuration: bool,
    /// Back ends that are new or differ.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub back_ends: Vec<RevisedBackEnd>,
    /// These back ends are a part only: the next poll tells the rest.
    #[serde(skip_serializing_if = "is_false")]
    #[serde(rename = "back-ends-go-on")]
    pub more_back_ends: bool,
    /// Ids of back ends that are gone.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub gone: Vec<String>,
    /// Every back end that is left, where those that are gone were forgotten.
    #[serde(skip_serializing_if = "Option::is_none")]
    #[serde(rename = "left")]
    pub remaining: Option<Vec<String>>,
    /// Back ends whose registration lapsed and that are awaited.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub lapsed: Vec<LapsedBackEnd>,
    /// Changes of ownership records, in their order.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub changed_records: Vec<(ServiceName, RecordChange)>,
    /// Ownership records whose changes cannot be told.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub records: Vec<RevisedRecord>,
    /// The drained zones, if they are others now.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub zones: Option<DrainedZoneSet>,
    /// Revisions up to which all this goes.
    #[serde(rename = "reach")]
    pub revisions: CollectionRevisions,
}

/// Revisions of the store up to which a gateway knows each collection.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct CollectionRevisions {
    /// Of configurations.
    pub configurations: StoreRevision,
    /// Of back ends.
    pub back_ends: StoreRevision,
    /// Of ownership records.
    pub records: StoreRevision,
    /// Of drained zones.
    #[serde(default)]
    pub zones: StoreRevision,
}

/// One back end with the revision of its last change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct RevisedBackEnd {
    /// The revision.
    pub revision: StoreRevision,
    /// The back end.
    pub back_end: BackEnd,
}

impl Delta {
    /// Whether it tells anything of back ends.
    pub fn concerns_back_ends(&self) -> bool {
        let changes_registrations = !self.back_ends.is_empty() || !self.gone.is_empty();
        changes_registrations
            || self.remaining.is_some()
            || !self.lapsed.is_empty()
            || self.zones.is_some()
    }

    /// Whether there is anything to tell beside how far it reaches.
    pub fn is_empty(&self) -> bool {
        let revisions = self.revisions;
        *self
            == Delta {
                revisions,
                ..Delta::default()
            }
    }
}

pub(super) fn is_false(value: &bool) -> bool {
    !value
}

/// One ownership record with its revision.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct RevisedRecord {
    /// The service.
    pub service: ServiceName,
    /// Revision of the record's last change.
    pub revision: StoreRevision,
    /// The record.
    pub record: OwnershipRecord,
}
