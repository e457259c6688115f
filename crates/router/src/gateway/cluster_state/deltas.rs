//! Builds the deltas that a gateway sends to followers and peers.

use threadledge_types::Timestamp;
use threadledge_types::deployment::Configuration;

use super::super::followers::MAX_FOLLOWERS;
use super::super::sync::{CollectionRevisions, Delta, PeerUpdate, RevisedRecord, SyncPosition};
use super::ClusterState;

/// Most routes of a configuration that any relay sends in full. Followers fetch
/// larger ones from the store, so that no relay's link carries them for every
/// follower.
const MIN_ROUTE_LIMIT: usize = 40;
/// Most tenants of a configuration that any relay sends in full, for the same
/// reason: with two keys each they take 39 KB (194 bytes a tenant, measured).
const MIN_TENANT_LIMIT: usize = 200;
/// Parts of a configuration (routes, tenants) that a relay sends at once per
/// Mbit/s of its link. A part takes 200 to 250 bytes, so that
/// [`MAX_FOLLOWERS`], the most that a relay serves, receive them within 0.8 s,
/// before they consider the relay silent. If 32 gateways of another region
/// fetched 1,900 routes instead, they would send 9 MB over the link between the
/// regions, 1.2 s of 60 Mbit/s (computed from the size of a route).
const PARTS_PER_MBPS: f64 = 12.0;
/// Back ends that a relay sends at once to all its followers together, per
/// Mbit/s of its link: 0.2 s of the link. Data that waits behind them ages, on
/// each level of the tree again, and a follower that finds an answer too old
/// discards it and watches the store. The remaining back ends are sent with the
/// next answers.
const BACK_ENDS_PER_MBPS: f64 = 108.0;
/// Back ends that any relay may send at once.
const MIN_BACK_END_LIMIT: usize = 40;
/// Most parts that a relay with fewer than [`MAX_FOLLOWERS`] followers sends at
/// once: 0.6 MB, 0.25 s of a small machine's 20 Mbit/s.
const MAX_SHARED_PARTS: f64 = 2_400.0;

impl ClusterState {
    /// Sets the speed of the link to the followers, in Mbit/s.
    pub fn set_link_speed(&mut self, mbps: f64) {
        self.link_mbps = mbps;
        self.set_follower_count(MAX_FOLLOWERS);
    }

    /// Sets how many followers share the link. Gateways below a relay have few
    /// followers each, so that their link may carry data that would otherwise
    /// be fetched from the store.
    pub fn set_follower_count(&mut self, followers: usize) {
        let full = self.link_mbps * PARTS_PER_MBPS;
        let shared = full * MAX_FOLLOWERS as f64 / followers.max(1) as f64;
        // Rounds down. The cast saturates for very fast links, which need no
        // limit.
        self.max_parts = full.max(shared.min(MAX_SHARED_PARTS)) as usize;
        let back_ends = self.link_mbps * BACK_ENDS_PER_MBPS / followers.max(1) as f64;
        self.max_back_ends = back_ends.min(MAX_SHARED_PARTS) as usize;
    }

    /// The delta that a follower at `position` lacks.
    pub fn delta_since(&self, position: &SyncPosition, now: Timestamp) -> Delta {
        let mut delta = Delta {
            revisions: self.revisions(),
            ..Delta::default()
        };
        self.configuration_since(position, &mut delta);
        let limit = self.max_back_ends.max(MIN_BACK_END_LIMIT);
        self.back_ends
            .delta_since(position.back_ends, now, limit, &mut delta);
        self.records_since(position, &mut delta);
        delta.zones = self.zones.newer_than(position.zones);
        delta
    }

    /// Adds the configuration to `delta`: its changes, the full configuration,
    /// or the request to fetch it.
    fn configuration_since(&self, position: &SyncPosition, delta: &mut Delta) {
        let known = self.configuration.as_ref().map(|each| each.version);
        if known <= position.configuration {
            return;
        }
        let log = &self.configuration_changes;
        let changes = position
            .configuration
            .and_then(|version| log.since_within(version, self.max_parts));
        match changes {
            Some(changes) => delta.configuration = changes,
            None => match self.configuration.as_deref() {
                Some(known) if self.sends_whole(known) => {
                    delta.full_configuration = Some(known.clone());
                }
                _ => delta.fetch_configuration = true,
            },
        }
    }

    /// Whether a follower without a configuration receives it in full.
    fn sends_whole(&self, known: &Configuration) -> bool {
        let routes = self.max_parts.max(MIN_ROUTE_LIMIT);
        let tenants = self.max_parts.max(MIN_TENANT_LIMIT);
        known.routes.len() <= routes && known.tenants.len() <= tenants
    }

    /// Adds to `delta` the ownership records that a follower at `position`
    /// lacks.
    fn records_since(&self, position: &SyncPosition, delta: &mut Delta) {
        for (service, known) in &self.records {
            let found = known.found();
            let known_revision = position.ownership.get(service).copied();
            if known_revision.is_some_and(|known_revision| known_revision >= found.revision) {
                continue;
            }
            match known_revision.and_then(|known_revision| known.change_since(known_revision)) {
                Some(change) => delta.changed_records.push((service.clone(), change)),
                None => delta.records.push(RevisedRecord {
                    service: service.clone(),
                    revision: found.revision,
                    record: found.value.clone(),
                }),
            }
        }
    }

    /// The update that a gateway at `position` lacks. The store may not answer
    /// that gateway, so a configuration whose changes are no longer known is
    /// sent in full.
    pub fn update_since(&self, position: &SyncPosition, now: Timestamp) -> PeerUpdate {
        let mut delta = self.delta_since(position, now);
        if std::mem::take(&mut delta.fetch_configuration) {
            delta.full_configuration = self.configuration.as_deref().cloned();
        }
        let back_ends = delta.revisions.back_ends;
        delta.revisions = CollectionRevisions {
            back_ends: if back_ends > position.back_ends {
                back_ends
            } else {
                0
            },
            ..CollectionRevisions::default()
        };
        PeerUpdate {
            delta,
            age_ms: None,
        }
    }
}
