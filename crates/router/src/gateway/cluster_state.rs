//! The gateway's local copy of configuration, back ends, ownership records and
//! drained zones, each with the store revision that tells newer from older
//! data.
//!
//! Data comes from the store by lists and watches, from a relay, and from other
//! gateways while the store does not answer. Data older than the local copy is
//! never applied.

mod deltas;
pub mod records;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use threadledge_coordination::OwnershipRecord;
use threadledge_coordination::action::{StoreRevision, Versioned};
use threadledge_net::is_header_value;
use threadledge_ports::{Change, Entry, Listing, Malformed};
use threadledge_tenants::find_shared_key;
use threadledge_types::deployment::{BackEnd, Configuration, DrainedZone, ServiceName};
use threadledge_types::{Timestamp, ZoneName};

use super::back_end_updates::BackEndUpdate;
use super::changes::{ChangeLog, ConfigurationChange};
use super::registry::Registry;
use super::sync::{CollectionRevisions, Delta, PeerUpdate, SyncPosition};
use super::watcher::Update;
use super::zones::DrainedZones;
use records::TrackedRecord;

/// A change of the local copy that an update caused.
#[derive(Clone, Debug, PartialEq)]
pub enum StateChange {
    /// A newer configuration.
    Configuration(Arc<Configuration>),
    /// A back end registered.
    Registered(BackEnd),
    /// A back end announced that it is leaving.
    Leaving(BackEnd),
    /// A back end's registration lapsed during a store outage; the back end
    /// stays in use until its grace period ends.
    Lapsed(BackEnd),
    /// A back end is gone.
    Gone(BackEnd),
    /// A newer ownership record.
    Record(ServiceName, Versioned<OwnershipRecord>),
    /// The operator drained a zone: its back ends get no new requests or keys.
    ZoneDrained(ZoneName),
    /// The operator restored a zone.
    ZoneRestored(ZoneName),
    /// An object is malformed; the last valid state is kept.
    Malformed(Malformed),
}

/// The gateway's local copy of the store's collections.
#[derive(Clone, Debug, Default)]
pub struct ClusterState {
    configuration: Option<Arc<Configuration>>,
    configuration_changes: ChangeLog<ConfigurationChange>,
    back_ends: Registry,
    records: BTreeMap<ServiceName, TrackedRecord>,
    configurations_revision: StoreRevision,
    records_revision: StoreRevision,
    zones: DrainedZones,
    /// All back ends in use were published, and since then only single ones
    /// have changed.
    in_use_published: bool,
    /// Speed of this gateway's link to its followers, in Mbit/s; 0 until it is
    /// set.
    link_mbps: f64,
    /// Most parts of a configuration sent to one follower at once. Until the
    /// link's speed is set it is below the minimum that any relay sends.
    max_parts: usize,
    /// Most back ends sent to one follower at once.
    max_back_ends: usize,
}

impl ClusterState {
    /// The versions and revisions of all data held, as sent with requests for
    /// updates.
    pub fn position(&self) -> SyncPosition {
        let records = self.records.iter();
        SyncPosition {
            configuration: self.configuration.as_ref().map(|each| each.version),
            back_ends: self.back_ends.revision(),
            ownership: records
                .map(|(service, record)| (service.clone(), record.found().revision))
                .collect(),
            zones: self.zones.changed_at(),
        }
    }

    /// All back ends as requests and keys may use them; `None` until the
    /// drained zones and all back ends are known.
    ///
    /// Invariant: the back ends of a drained zone count as draining, for every
    /// request and every key (without it, 3,900 to 14,700 requests a day
    /// reached them after the drain's deadline). Those of a restored zone count
    /// as cold for as long as after a start: they may have turned cold
    /// meanwhile, and may report it only after the operator has restored the
    /// zone.
    pub fn back_ends(&self, now: Timestamp) -> Option<Arc<[BackEnd]>> {
        self.zones.known()?;
        if self.is_partial() {
            return None;
        }
        let mut all = self.back_ends.all(now);
        all.iter_mut().for_each(|each| self.apply_zone(each, now));
        Some(all.into())
    }

    /// Changes of the back ends in use for a caller that keeps them: all back
    /// ends at first and after a zone changed, otherwise the changes since the
    /// last call.
    pub fn take_in_use(&mut self, now: Timestamp) -> Option<BackEndUpdate> {
        if !self.in_use_published {
            let all = self.back_ends(now)?;
            self.back_ends.clear_changed();
            self.in_use_published = true;
            return Some(BackEndUpdate::All(all));
        }
        let mut in_use = self.back_ends.take_changed(now);
        if let BackEndUpdate::Changed { changed, .. } = &mut in_use {
            changed
                .iter_mut()
                .for_each(|each| self.apply_zone(each, now));
        }
        Some(in_use)
    }

    /// Marks a back end as draining or cold if its zone is drained or was
    /// restored.
    fn apply_zone(&self, back_end: &mut BackEnd, now: Timestamp) {
        back_end.draining |= self.zones.is_drained(&back_end.zone);
        let restored = self.remaining_cold_after_restore(back_end, now);
        back_end.cold_for = back_end.cold_for.max(restored);
    }

    /// Whether no back ends were received yet, or only some parts from a relay.
    pub fn is_partial(&self) -> bool {
        self.back_ends.is_partial()
    }

    /// Whether a configuration is known.
    pub fn is_configured(&self) -> bool {
        self.configuration.is_some()
    }

    /// Number of registered back ends received so far.
    pub fn known_back_ends(&self) -> usize {
        self.back_ends.len()
    }

    /// How much longer a back end counts as cold because its zone was restored.
    fn remaining_cold_after_restore(&self, back_end: &BackEnd, now: Timestamp) -> Duration {
        let Some(restored) = self.zones.restored_at(&back_end.zone) else {
            return Duration::ZERO;
        };
        let services = self.configuration.as_ref().map(|each| &each.services);
        let service = services.and_then(|services| services.get(&back_end.service));
        let cold_start = service.map_or(Duration::ZERO, |service| service.cold_start);
        (restored + cold_start).since(now)
    }

    /// Applies drained zones from the store.
    pub fn apply_zones(&mut self, update: Update<DrainedZone>, now: Timestamp) -> Vec<StateChange> {
        self.in_use_published = false;
        self.zones.apply_update(update, now)
    }

    /// Records that this deployment never drains zones.
    pub fn assume_no_drained_zones(&mut self) {
        let listing = Listing {
            entries: Vec::new(),
            at: 0,
        };
        self.zones
            .apply_update(Update::Listed(listing), Timestamp::ZERO);
    }

    /// Sets the end of the grace period for registrations that disappear from
    /// the store; `None`: they count as gone at once.
    pub fn set_lapse_grace(&mut self, until: Option<Timestamp>) {
        self.back_ends.set_lapse_grace(until);
    }

    /// When the next grace period ends.
    pub fn next_expiry(&self) -> Option<Timestamp> {
        self.back_ends.next_expiry()
    }

    /// Removes the back ends whose grace period has ended.
    pub fn expire_lapsed(&mut self, now: Timestamp) -> Vec<StateChange> {
        self.back_ends.expire(now)
    }

    /// The store revision that each collection reflects.
    pub fn revisions(&self) -> CollectionRevisions {
        CollectionRevisions {
            configurations: self.configurations_revision,
            back_ends: self.back_ends.revision(),
            records: self.records_revision,
            zones: self.zones.revision(),
        }
    }

    /// Applies a relay's delta to this gateway's state.
    pub fn apply_delta(&mut self, mut delta: Delta, now: Timestamp) -> Vec<StateChange> {
        let mut changes = Vec::new();
        for change in std::mem::take(&mut delta.configuration) {
            let known = self.configuration.clone();
            let later = known.and_then(|known| change.apply(&known));
            changes.extend(later.and_then(|later| self.apply_configuration(later)));
        }
        let whole = delta.full_configuration.take();
        changes.extend(whole.and_then(|whole| self.apply_configuration(whole)));
        for (service, change) in std::mem::take(&mut delta.changed_records) {
            let known = self.records.get(&service);
            if let Some(found) = known.and_then(|known| change.apply(known.found())) {
                changes.extend(self.apply_record(service, found));
            }
        }
        for known in std::mem::take(&mut delta.records) {
            let found = Versioned {
                value: known.record,
                revision: known.revision,
            };
            changes.extend(self.apply_record(known.service, found));
        }
        if !delta.fetch_configuration {
            let revision = delta.revisions.configurations;
            self.configurations_revision = self.configurations_revision.max(revision);
        }
        self.records_revision = self.records_revision.max(delta.revisions.records);
        if let Some(zones) = delta.zones.take() {
            self.in_use_published = false;
            changes.extend(self.zones.apply_remote(zones, now));
        }
        self.zones.advance_to(delta.revisions.zones);
        if delta.revisions.back_ends > self.back_ends.revision() {
            changes.extend(self.back_ends.apply_delta(delta, now));
        }
        changes
    }

    /// Applies another gateway's update to this gateway's state.
    pub fn apply_peer_update(&mut self, update: PeerUpdate, now: Timestamp) -> Vec<StateChange> {
        self.apply_delta(update.delta, now)
    }

    /// Applies configurations from the store; the newest valid one takes
    /// effect.
    pub fn apply_configurations(&mut self, update: Update<Configuration>) -> Vec<StateChange> {
        let at = update.at();
        self.configurations_revision = self.configurations_revision.max(at);
        let entries = put_entries(update).into_iter();
        entries
            .flat_map(|entry| {
                let checked = entry.value.and_then(|configuration| {
                    check_tenant_keys(&configuration)?;
                    Ok(configuration)
                });
                match checked {
                    Ok(configuration) => self.apply_without_odd_tenants(configuration),
                    Err(malformed) => vec![StateChange::Malformed(malformed)],
                }
            })
            .collect()
    }

    /// Applies a configuration without the keys of tenants that no request can
    /// name: their callers are refused, and all others are served.
    fn apply_without_odd_tenants(&mut self, mut configuration: Configuration) -> Vec<StateChange> {
        let malformed = revoke_odd_tenants(&mut configuration);
        let Some(applied) = self.apply_configuration(configuration) else {
            return Vec::new();
        };
        let malformed = malformed.into_iter().map(StateChange::Malformed);
        std::iter::once(applied).chain(malformed).collect()
    }

    /// Applies a configuration if it is newer than the known one.
    fn apply_configuration(&mut self, configuration: Configuration) -> Option<StateChange> {
        let known = self.configuration.as_ref().map(|each| each.version);
        if Some(configuration.version) <= known {
            return None;
        }
        let configuration = Arc::new(configuration);
        if let Some(before) = &self.configuration {
            let change = ConfigurationChange::between(before, &configuration);
            self.configuration_changes.push(change);
        }
        self.configuration = Some(configuration.clone());
        // The cold time of back ends in a restored zone may have changed.
        self.in_use_published &= !self.zones.any_restored();
        Some(StateChange::Configuration(configuration))
    }

    /// Applies ownership records from the store.
    pub fn apply_records(&mut self, update: Update<OwnershipRecord>) -> Vec<StateChange> {
        let at = update.at();
        self.records_revision = self.records_revision.max(at);
        let entries = put_entries(update).into_iter();
        entries
            .filter_map(|entry| match entry.value {
                Ok(value) => {
                    let revision = entry.revision;
                    let service = ServiceName::from(entry.name);
                    self.apply_record(service, Versioned { value, revision })
                }
                Err(malformed) => Some(StateChange::Malformed(malformed)),
            })
            .collect()
    }

    /// Applies an ownership record if it is newer than the known one and
    /// assigns every key exactly once.
    fn apply_record(
        &mut self,
        service: ServiceName,
        found: Versioned<OwnershipRecord>,
    ) -> Option<StateChange> {
        let known = self.records.get_mut(&service);
        if known
            .as_ref()
            .is_some_and(|known| known.found().revision >= found.revision)
        {
            return None;
        }
        if found.value.check().is_err() {
            let problem = format!("the ownership record of {service} has gaps or overlaps");
            return Some(StateChange::Malformed(Malformed { problem }));
        }
        match known {
            Some(known) => known.replace(found.clone()),
            None => {
                let tracked = TrackedRecord::new(found.clone());
                self.records.insert(service.clone(), tracked);
            }
        }
        Some(StateChange::Record(service, found))
    }

    /// Applies back ends from the store.
    pub fn apply_back_ends(&mut self, update: Update<BackEnd>, now: Timestamp) -> Vec<StateChange> {
        self.back_ends.apply_update(update, now)
    }
}

/// Rejects a configuration in which two tenants hold the same key: a request
/// with that key could not be attributed. The last configuration without such a
/// key stays in force.
fn check_tenant_keys(configuration: &Configuration) -> Result<(), Malformed> {
    let Some((one, other)) = find_shared_key(&configuration.tenants) else {
        return Ok(());
    };
    let version = configuration.version;
    let problem = format!(
        "in version {version} of the configuration the tenants {one} and {other} share a key; \
         take it from one of them"
    );
    Err(Malformed { problem })
}

/// Takes the keys from the tenants whose name a header cannot carry unchanged.
/// The tenants stay: without any, requests would need no key.
fn revoke_odd_tenants(configuration: &mut Configuration) -> Vec<Malformed> {
    let version = configuration.version;
    let mut malformed = Vec::new();
    for (name, tenant) in &mut configuration.tenants {
        if is_header_value(name.as_str()) {
            continue;
        }
        tenant.keys.clear();
        let problem = format!(
            "in version {version} of the configuration a header cannot carry the name of the \
             tenant {:?}; rename it with visible ASCII characters",
            name.as_str()
        );
        malformed.push(Malformed { problem });
    }
    malformed
}

/// The entries that an update adds or changes.
fn put_entries<T>(update: Update<T>) -> Vec<Entry<T>> {
    match update {
        Update::Listed(listing) => listing.entries,
        Update::Changed(changes) => changes
            .changes
            .into_iter()
            .filter_map(|change| match change {
                Change::Put(entry) => Some(entry),
                Change::Gone(_) => None,
            })
            .collect(),
    }
}
