//! Messages by which gateways synchronise configuration, back ends, ownership
//! records and drained zones.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use threadledge_coordination::OwnershipRecord;
use threadledge_coordination::action::StoreRevision;
use threadledge_types::ZoneName;
use threadledge_types::deployment::{
    BackEnd, BackEndName, Configuration, ConfigurationVersion, ServiceName,
};

use super::changes::{ConfigurationChange, RecordChange};
use super::zones::DrainedZoneSet;

/// The versions of the data that a gateway already has.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct SyncPosition {
    /// Version of the configuration in force.
    pub configuration: Option<ConfigurationVersion>,
    /// Revision up to which the back ends are known.
    pub back_ends: StoreRevision,
    /// Revision of each ownership record.
    pub ownership: BTreeMap<ServiceName, StoreRevision>,
    /// Revision of the last change of the drained zones.
    #[serde(default)]
    pub zones: Option<StoreRevision>,
}

/// The data that another gateway lacks, sent to a gateway that the store does
/// not answer.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct PeerUpdate {
    /// The data. Only its back ends carry a revision: for everything else the
    /// receiver continues to watch from where it was.
    #[serde(rename = "differences")]
    pub delta: Delta,
    /// Age of the data in milliseconds: time since it was last confirmed;
    /// absent if the sender does not know it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub age_ms: Option<u64>,
}

/// A back end whose registration lapsed during a store outage and that is in
/// its grace period.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct LapsedBackEnd {
    /// The last registration.
    pub known: RevisedBackEnd,
    /// Remaining grace period in milliseconds.
    pub left_ms: u64,
}

impl LapsedBackEnd {
    /// Creates an entry whose grace period ends after `left`.
    pub fn new(known: &RevisedBackEnd, left: Duration) -> Self {
        LapsedBackEnd {
            known: known.clone(),
            left_ms: u64::try_from(left.as_millis()).unwrap_or(u64::MAX),
        }
    }

    /// Remaining grace period.
    pub fn left(&self) -> Duration {
        Duration::from_millis(self.left_ms)
    }
}

/// The changes that a follower lacks. Where changes are no longer known, the
/// full data takes their place.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, rename_all = "kebab-case")]
pub struct Delta {
    /// Changes of the configuration, in order.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub configuration: Vec<ConfigurationChange>,
    /// The full configuration, if the changes are no longer known.
    #[serde(skip_serializing_if = "Option::is_none")]
    #[serde(rename = "whole")]
    pub full_configuration: Option<Configuration>,
    /// Whether the follower has to fetch the configuration, because it is too
    /// large to send.
    #[serde(skip_serializing_if = "is_false")]
    pub fetch_configuration: bool,
    /// New or changed back ends.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub back_ends: Vec<RevisedBackEnd>,
    /// Whether the back ends are incomplete; the next poll returns more.
    #[serde(skip_serializing_if = "is_false")]
    #[serde(rename = "back-ends-go-on")]
    pub more_back_ends: bool,
    /// Ids of removed back ends.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub gone: Vec<String>,
    /// Ids of all remaining back ends, if the removals are no longer known.
    #[serde(skip_serializing_if = "Option::is_none")]
    #[serde(rename = "left")]
    pub remaining: Option<Vec<String>>,
    /// Back ends in their grace period.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub lapsed: Vec<LapsedBackEnd>,
    /// Changes of ownership records, in order.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub changed_records: Vec<(ServiceName, RecordChange)>,
    /// Full ownership records, where the changes are no longer known.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub records: Vec<RevisedRecord>,
    /// The drained zones, if they changed.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub zones: Option<DrainedZoneSet>,
    /// Store revisions that the follower reaches with this delta.
    #[serde(rename = "reach")]
    pub revisions: CollectionRevisions,
}

/// The store revision that a gateway's copy of each collection reflects.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct CollectionRevisions {
    /// Revision of the configurations.
    pub configurations: StoreRevision,
    /// Revision of the back ends.
    pub back_ends: StoreRevision,
    /// Revision of the ownership records.
    pub records: StoreRevision,
    /// Revision of the drained zones.
    #[serde(default)]
    pub zones: StoreRevision,
}

/// A back end with the revision of its last change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "BackEndRow", into = "BackEndRow")]
pub struct RevisedBackEnd {
    /// Revision of the last change.
    pub revision: StoreRevision,
    /// The registered back end.
    pub back_end: BackEnd,
}

/// A back end as sent: its values in order, without the names of the fields.
/// After a start, the list of all back ends goes to every gateway, and its size
/// decides how soon they serve.
#[derive(Serialize, Deserialize)]
struct BackEndRow(
    StoreRevision,
    BackEndName,
    ServiceName,
    SocketAddr,
    ZoneName,
    /// Slots.
    u32,
    /// Whether it is draining.
    bool,
    /// Remaining cold time in milliseconds.
    u64,
    /// Number of its registration.
    u64,
);

impl From<RevisedBackEnd> for BackEndRow {
    fn from(known: RevisedBackEnd) -> Self {
        let back_end = known.back_end;
        BackEndRow(
            known.revision,
            back_end.name,
            back_end.service,
            back_end.address,
            back_end.zone,
            back_end.slots,
            back_end.draining,
            u64::try_from(back_end.cold_for.as_millis()).unwrap_or(u64::MAX),
            back_end.registration,
        )
    }
}

impl From<BackEndRow> for RevisedBackEnd {
    fn from(row: BackEndRow) -> Self {
        let BackEndRow(
            revision,
            name,
            service,
            address,
            zone,
            slots,
            draining,
            cold_ms,
            registration,
        ) = row;
        let back_end = BackEnd {
            name,
            service,
            address,
            zone,
            slots,
            draining,
            cold_for: Duration::from_millis(cold_ms),
            registration,
        };
        RevisedBackEnd { revision, back_end }
    }
}

impl Delta {
    /// Whether it changes the back ends in use.
    pub fn concerns_back_ends(&self) -> bool {
        let changes_registrations = !self.back_ends.is_empty() || !self.gone.is_empty();
        changes_registrations
            || self.remaining.is_some()
            || !self.lapsed.is_empty()
            || self.zones.is_some()
    }

    /// Whether it contains no data besides the revisions.
    pub fn is_empty(&self) -> bool {
        let revisions = self.revisions;
        *self
            == Delta {
                revisions,
                ..Delta::default()
            }
    }
}

/// Serde helper: skips a field that is `false`.
pub(super) fn is_false(value: &bool) -> bool {
    !value
}

/// An ownership record with its revision.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct RevisedRecord {
    /// The service whose keys it assigns.
    pub service: ServiceName,
    /// Revision of the record's last change.
    pub revision: StoreRevision,
    /// The assignment of keys to owners.
    pub record: OwnershipRecord,
}
