//! Starts the watchers of the collections in the platform's store.

use std::sync::Arc;
use std::time::Duration;

use async_std::task;
use parking_lot::Mutex;
use threadledge_coordination::OwnershipRecord;
use threadledge_coordination::action::StoreRevision;
use threadledge_ports::Collection;

use super::super::cluster_state::ClusterState;
use super::super::coordination::Event;
use super::super::initial_sync::InitialSync;
use super::super::notifier::Notifier;
use super::super::publisher::StatePublisher;
use super::super::settings::seconds;
use super::super::watcher::CollectionWatcher;
use super::Gateway;

/// Batches registrations, which arrive together when back ends start and
/// disappear together when they stop.
const BACK_END_BATCH_WINDOW: Duration = Duration::from_millis(250);
/// Batches ownership records: keys that move together are written in a few
/// steps.
const RECORD_BATCH_WINDOW: Duration = Duration::from_millis(30);
/// Batches configurations, which may follow each other quickly.
const CONFIGURATION_BATCH_WINDOW: Duration = Duration::from_millis(200);

impl Gateway {
    /// Starts a watcher for each collection in the store; each passes its
    /// updates to the returned publisher.
    pub(super) fn start_watchers(
        &self,
        cluster_state: Arc<Mutex<ClusterState>>,
        events: async_channel::Sender<Event>,
    ) -> StatePublisher {
        let publisher = StatePublisher {
            cluster_state,
            dispatch: self.dispatch.clone(),
            links: self.links.clone(),
            readiness: self.readiness.clone(),
            health: self.store_health.clone(),
            limits: self.limits.clone(),
            events,
            initial_sync: Arc::new(InitialSync::new(self.clock.now())),
            changed: Arc::new(Notifier::default()),
        };
        self.watch_back_ends(&publisher);
        self.watch_configurations(&publisher);
        self.watch_records(&publisher);
        self.watch_zones(&publisher);
        task::spawn(publisher.clone().expire_lapsed());
        publisher
    }

    fn watch_back_ends(&self, publisher: &StatePublisher) {
        let back_ends = self.watcher("back-ends", self.ports.back_ends.clone());
        let back_ends = back_ends.batch_changes(BACK_END_BATCH_WINDOW);
        let known = publisher.clone();
        let back_ends = self.with_relay(back_ends, move || known.complete_back_ends_revision());
        let target = publisher.clone();
        task::spawn(back_ends.run(move |update| target.update_back_ends(update)));
    }

    fn watch_configurations(&self, publisher: &StatePublisher) {
        let configurations = self.watcher("configuration", self.ports.configurations.clone());
        let configurations = configurations.batch_changes(CONFIGURATION_BATCH_WINDOW);
        let known = publisher.clone();
        let configurations =
            self.with_relay(configurations, move || known.revisions().configurations);
        let target = publisher.clone();
        task::spawn(configurations.run(move |update| target.update_configurations(update)));
    }

    fn watch_records(&self, publisher: &StatePublisher) {
        let records: Arc<dyn Collection<OwnershipRecord>> = self.ports.ownership.clone();
        let records = self.watcher("ownership", records);
        let records = records.batch_changes(RECORD_BATCH_WINDOW);
        let known = publisher.clone();
        let records = self.with_relay(records, move || known.revisions().records);
        let target = publisher.clone();
        task::spawn(records.run(move |update| target.update_records(update)));
    }

    /// Watches the zones that the operator drains, if the deployment supports
    /// draining. Otherwise no zone ever counts as drained.
    fn watch_zones(&self, publisher: &StatePublisher) {
        if self.settings.bounds.zone_drain_s.is_none() {
            publisher.cluster_state.lock().assume_no_drained_zones();
            return;
        }
        let zones = self.watcher("drained-zones", self.ports.drained_zones.clone());
        let known = publisher.clone();
        let zones = self.with_relay(zones, move || known.revisions().zones);
        let target = publisher.clone();
        task::spawn(zones.run(move |update| target.update_zones(update)));
    }

    /// Lets the watcher pause while a relay delivers the collection, if this
    /// gateway has a peer address and can follow a relay.
    fn with_relay<T: Send + 'static>(
        &self,
        watcher: CollectionWatcher<T>,
        revision: impl Fn() -> StoreRevision + Send + Sync + 'static,
    ) -> CollectionWatcher<T> {
        if self.settings.listen.peers.is_none() {
            return watcher;
        }
        watcher.with_relay(self.sources.clone(), revision)
    }

    fn watcher<T: Send + 'static>(
        &self,
        name: &'static str,
        collection: Arc<dyn Collection<T>>,
    ) -> CollectionWatcher<T> {
        let wait = seconds(self.settings.platform.watch_s);
        CollectionWatcher::new(name, collection, self.store_health.clone(), wait)
    }
}
