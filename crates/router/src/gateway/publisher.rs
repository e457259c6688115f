//! Applies updates to the cluster state and passes the changes to the request
//! path and the coordinators.

use std::net::SocketAddr;
use std::sync::Arc;

use parking_lot::Mutex;
use threadledge_coordination::action::StoreRevision;
use threadledge_coordination::{OwnershipRecord, OwnershipView};
use threadledge_net::timer;
use threadledge_tenants::KeyChanges;
use threadledge_types::Timestamp;
use threadledge_types::deployment::{BackEnd, Configuration, DrainedZone};

use super::back_end_updates::BackEndUpdate;
use super::cluster_state::{ClusterState, StateChange};
use super::coordination::Event;
use super::dispatch::Dispatch;
use super::initial_sync::{InitialSync, PartSource};
use super::limits::Limits;
use super::links::BackEndLinks;
use super::notifier::Notifier;
use super::readiness::Readiness;
use super::store_health::StoreHealth;
use super::sync::{CollectionRevisions, Delta, PeerUpdate, SyncPosition};
use super::watcher::Update;
use crate::events::{EventId, emit};

/// Most new registrations in one update that are logged one by one. With
/// thousands of back ends, each starting gateway would otherwise write as many
/// lines.
const MAX_LOGGED_SINGLY: usize = 256;

fn is_registration(change: &StateChange) -> bool {
    matches!(change, StateChange::Registered(_))
}

/// The cluster state and the components that are told of its changes. Clones
/// share them.
#[derive(Clone)]
pub(super) struct StatePublisher {
    pub(super) cluster_state: Arc<Mutex<ClusterState>>,
    pub(super) dispatch: Arc<Dispatch>,
    pub(super) links: BackEndLinks,
    pub(super) readiness: Arc<Readiness>,
    pub(super) health: Arc<StoreHealth>,
    pub(super) limits: Limits,
    pub(super) events: async_channel::Sender<Event>,
    pub(super) initial_sync: Arc<InitialSync>,
    /// Notified when the cluster state changes.
    pub(super) changed: Arc<Notifier>,
}

impl StatePublisher {
    /// The versions and revisions of all data held.
    pub(super) fn position(&self) -> SyncPosition {
        self.cluster_state.lock().position()
    }

    /// The update that a gateway at `position` lacks.
    pub(super) fn update_since(&self, position: &SyncPosition) -> PeerUpdate {
        self.cluster_state.lock().update_since(position, self.now())
    }

    /// The store revision that each collection reflects.
    pub(super) fn revisions(&self) -> CollectionRevisions {
        self.cluster_state.lock().revisions()
    }

    /// Whether all back ends and a configuration are known.
    pub(super) fn is_complete(&self) -> bool {
        let cluster_state = self.cluster_state.lock();
        !cluster_state.is_partial() && cluster_state.is_configured()
    }

    /// The store revision that the back ends reflect; 0 while some of them are
    /// missing.
    pub(super) fn complete_back_ends_revision(&self) -> StoreRevision {
        let cluster_state = self.cluster_state.lock();
        if cluster_state.is_partial() {
            return 0;
        }
        cluster_state.revisions().back_ends
    }

    /// The delta that a follower at `position` lacks, where `followers` share
    /// the link.
    pub(super) fn delta_since(&self, position: &SyncPosition, followers: usize) -> Delta {
        let now = self.now();
        let mut cluster_state = self.cluster_state.lock();
        cluster_state.set_follower_count(followers);
        cluster_state.delta_since(position, now)
    }

    /// Applies a delta from the relay at `from`.
    pub(super) fn apply_delta(&self, from: SocketAddr, delta: Delta) {
        let changes = self.apply(from, delta);
        self.publish(changes);
    }

    /// Applies an update from the gateway at `from`.
    pub(super) fn apply_peer_update(&self, from: SocketAddr, update: PeerUpdate) {
        let changes = self.apply(from, update.delta);
        if !changes.is_empty() {
            emit!(EventId::LearnedFromPeer, changes = changes.len());
        }
        self.publish(changes);
    }

    /// Applies a delta to the cluster state and publishes the back ends in use.
    /// Returns the other changes, which are still to be published.
    fn apply(&self, from: SocketAddr, delta: Delta) -> Vec<StateChange> {
        let mut cluster_state = self.cluster_state.lock();
        let concerns_back_ends = delta.concerns_back_ends() || cluster_state.is_partial();
        let now = self.now();
        let changes = cluster_state.apply_delta(delta, now);
        if concerns_back_ends {
            self.record_part(&cluster_state, PartSource::Gateway(from));
            self.publish_back_ends(cluster_state.take_in_use(now));
        }
        changes
    }

    /// Applies configurations from the store.
    pub(super) fn update_configurations(&self, update: Update<Configuration>) {
        let changes = self.cluster_state.lock().apply_configurations(update);
        self.publish(changes);
    }

    /// Applies ownership records from the store.
    pub(super) fn update_records(&self, update: Update<OwnershipRecord>) {
        let changes = self.cluster_state.lock().apply_records(update);
        self.publish(changes);
    }

    /// Applies back ends from the store.
    pub(super) fn update_back_ends(&self, update: Update<BackEnd>) {
        let now = self.now();
        self.health.record_contact(now);
        let changes = {
            let mut cluster_state = self.cluster_state.lock();
            cluster_state.set_lapse_grace(self.health.grace_until(now));
            let changes = cluster_state.apply_back_ends(update, now);
            self.record_part(&cluster_state, PartSource::Store);
            // Under the lock, so that the cluster state and the back ends in
            // use change in the same order.
            self.publish_back_ends(cluster_state.take_in_use(now));
            changes
        };
        self.publish(changes);
    }

    fn record_part(&self, cluster_state: &ClusterState, from: PartSource) {
        let known = cluster_state.known_back_ends();
        let complete = !cluster_state.is_partial();
        self.initial_sync
            .record_part(self.now(), from, known, complete);
    }

    /// Applies drained zones from the store.
    pub(super) fn update_zones(&self, update: Update<DrainedZone>) {
        let changes = {
            let mut cluster_state = self.cluster_state.lock();
            let now = self.now();
            let changes = cluster_state.apply_zones(update, now);
            self.publish_back_ends(cluster_state.take_in_use(now));
            changes
        };
        self.publish(changes);
    }

    /// Removes back ends whose grace period has ended. Never returns.
    pub(super) async fn expire_lapsed(self) {
        loop {
            let changed = self.changed.next();
            let expiry = self.cluster_state.lock().next_expiry();
            match expiry {
                Some(expiry) if expiry <= self.now() => self.expire(),
                Some(expiry) => {
                    let deadline = self.dispatch.clock().instant(expiry);
                    // The next iteration finds out which of the two happened.
                    let _ = timer::timeout_at(deadline, changed).await;
                }
                None => changed.await,
            }
        }
    }

    fn expire(&self) {
        let changes = {
            let mut cluster_state = self.cluster_state.lock();
            let now = self.now();
            let changes = cluster_state.expire_lapsed(now);
            self.publish_back_ends(cluster_state.take_in_use(now));
            changes
        };
        self.publish(changes);
    }

    fn now(&self) -> Timestamp {
        self.dispatch.clock().now()
    }

    /// Passes the back ends in use to the request path, once all of them and
    /// the drained zones are known.
    fn publish_back_ends(&self, in_use: Option<BackEndUpdate>) {
        let Some(in_use) = in_use else {
            return;
        };
        let unused = self.dispatch.with(|dispatcher, now| match &in_use {
            BackEndUpdate::All(all) => dispatcher.set_back_ends(now, all),
            BackEndUpdate::Changed { changed, removed } => {
                dispatcher.update_back_ends(now, changed, removed)
            }
        });
        for address in unused {
            self.links.forget(address);
        }
        self.readiness.set_back_ends_known();
        self.send(Event::BackEndsChanged);
    }

    /// Logs the changes and passes them to the request path, the tenant limits
    /// and the coordinators.
    fn publish(&self, changes: Vec<StateChange>) {
        if !changes.is_empty() {
            self.changed.notify();
        }
        let registered = changes
            .iter()
            .filter(|change| is_registration(change))
            .count();
        let log_singly = registered <= MAX_LOGGED_SINGLY;
        if !log_singly {
            emit!(EventId::BackEndsRegistered, back_ends = registered);
        }
        for change in changes {
            match change {
                StateChange::Registered(_) if !log_singly => {}
                StateChange::Configuration(configuration) => {
                    self.publish_configuration(configuration)
                }
                StateChange::Record(service, found) => {
                    let view = OwnershipView::of(&found.value);
                    self.dispatch.with(|dispatcher, now| {
                        dispatcher.set_ownership(now, service.clone(), view);
                    });
                    self.send(Event::RecordObserved(service, found));
                }
                StateChange::Registered(back_end) => emit!(
                    EventId::BackEndRegistered,
                    back_end = %back_end.name,
                    service = %back_end.service,
                    address = %back_end.address,
                    zone = %back_end.zone,
                    draining = back_end.draining,
                ),
                StateChange::Leaving(back_end) => emit!(
                    EventId::BackEndLeaving,
                    back_end = %back_end.name,
                    service = %back_end.service,
                ),
                StateChange::Lapsed(back_end) => emit!(
                    EventId::RegistrationLapsed,
                    back_end = %back_end.name,
                    service = %back_end.service,
                ),
                StateChange::Gone(back_end) => emit!(
                    EventId::BackEndGone,
                    back_end = %back_end.name,
                    service = %back_end.service,
                ),
                StateChange::ZoneDrained(zone) => emit!(EventId::ZoneDrained, zone = %zone),
                StateChange::ZoneRestored(zone) => emit!(EventId::ZoneRestored, zone = %zone),
                StateChange::Malformed(malformed) => {
                    emit!(EventId::ObjectMalformed, problem = malformed.problem);
                }
            }
        }
    }

    fn publish_configuration(&self, configuration: Arc<Configuration>) {
        let keys = self
            .dispatch
            .with(|dispatcher, now| dispatcher.set_configuration(now, configuration.clone()));
        self.limits.configure(&configuration);
        self.readiness.set_configured();
        emit!(
            EventId::ConfigurationInForce,
            version = configuration.version.0,
            routes = configuration.routes.len(),
            services = configuration.services.len(),
        );
        if let Some(key_changes) = keys.filter(|key_changes| *key_changes != KeyChanges::default())
        {
            emit!(
                EventId::TenantKeysChanged,
                version = configuration.version.0,
                tenants = configuration.tenants.len(),
                taken = key_changes.removed,
                added = key_changes.added,
            );
        }
        self.send(Event::Configuration(configuration));
    }

    fn send(&self, event: Event) {
        // The channel is unbounded and closes only when the process ends.
        let _ = self.events.try_send(event);
    }
}
