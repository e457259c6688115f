//! What a gateway tells others of what it knows.

use threadledge_types::Timestamp;
use threadledge_types::deployment::Configuration;

use super::super::followers::MAX_FOLLOWERS;
use super::super::sync::{CollectionRevisions, Delta, PeerUpdate, RevisedRecord, SyncPosition};
use super::ClusterState;

/// Routes of a configuration that is told whole by any relay; larger ones are
/// fetched from the store, so that no relay's link carries them for every
/// follower.
const MIN_ROUTE_LIMIT: usize = 40;
/// Tenants of a configuration that is told whole by any relay, for the same
/// reason: with two keys each they take 39 KB (194 bytes a tenant, as
/// measured).
const MIN_TENANT_LIMIT: usize = 200;
/// Parts of a configuration (routes, tenants) that a relay tells at once for each
/// Mbit/s of its link. A part takes 200 to 250 bytes: [`MAX_FOLLOWERS`], which is
/// as many as a relay serves, are told within 0.8 s, before they take it for
/// silent. Fetched by 32 gateways of another region instead, 1,900 routes are
/// 9 MB in the link between the two, 1.2 s of 60 Mbit/s (worked out from the
/// size of a route).
const PARTS_PER_MBPS: f64 = 12.0;
/// Back ends that a relay tells at once for each Mbit/s of its link, all its
/// followers together: 0.2 s of the link. While they are sent, what was told
/// before grows old, and on each level of the tree again: a follower that finds
/// it too old gives the answer up and watches the store. The rest is told with
/// the next answers.
const BACK_ENDS_PER_MBPS: f64 = 108.0;
/// Back ends told at once by any relay.
const MIN_BACK_END_LIMIT: usize = 40;
/// Parts told at once by a relay with fewer followers than it may have: 0.6 MB,
/// 0.25 s of the 20 Mbit/s of a small machine.
const MAX_SHARED_PARTS: f64 = 2_400.0;

impl ClusterState {
    /// Sets the speed of the link by which others are told, in Mbit/s.
    pub fn set_link_speed(&mut self, mbps: f64) {
        self.link_mbps = mbps;
        self.set_follower_count(MAX_FOLLOWERS);
    }

    /// Sets how many followers share that link. Below a relay they are a few
    /// each: what the link bears for them need not be asked of the store.
    pub fn set_follower_count(&mut self, followers: usize) {
        let full = self.link_mbps * PARTS_PER_MBPS;
        let shared = full * MAX_FOLLOWERS as f64 / followers.max(1) as f64;
        // Rounds down; a link so fast that this saturates bears anything.
        self.max_parts = full.max(shared.min(MAX_SHARED_PARTS)) as usize;
        let back_ends = self.link_mbps * BACK_ENDS_PER_MBPS / followers.max(1) as f64;
        self.max_back_ends = back_ends.min(MAX_SHARED_PARTS) as usize;
    }

    /// What a follower that knows what `position` say lacks.
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

    /// Whether a configuration is told whole to a follower that has none.
    fn sends_whole(&self, known: &Configuration) -> bool {
        let routes = self.max_parts.max(MIN_ROUTE_LIMIT);
        let tenants = self.max_parts.max(MIN_TENANT_LIMIT);
        known.routes.len() <= routes && known.tenants.len() <= tenants
    }

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

    /// What it holds beyond `position`, for a gateway that the store may not
    /// answer: a configuration whose changes cannot be told comes whole.
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
