//! Starts what follows the collections of the platform's store.

use std::sync::Arc;
use std::time::Duration;

use async_std::task;
use parking_lot::Mutex;
use threadledge_coordination::OwnershipRecord;
use threadledge_coordination::action::StoreRevision;
use threadledge_ports::Collection;

use super::super::cluster_state::ClusterState;
use super::super::coordination::Event;
use super::super::notifier::Notifier;
use super::super::publisher::StatePublisher;
use super::super::settings::seconds;
use super::super::watcher::CollectionWatcher;
use super::Gateway;

/// Registrations come together when back ends start, and leave together.
const GATHER_BACK_ENDS: Duration = Duration::from_millis(250);
/// Keys that move together are written in a few steps.
const GATHER_RECORDS: Duration = Duration::from_millis(30);
/// Configurations may come in quick succession.
const GATHER_CONFIGURATIONS: Duration = Duration::from_millis(200);

impl Gateway {
    /// Follows everything that is kept in the store, and tells it to whom it
    /// concerns.
    pub(super) fn start_followers(
        &self,
        cluster_state: Arc<Mutex<ClusterState>>,
        events: async_channel::Sender<Event>,
    ) -> StatePublisher {
        let publisher = StatePublisher {
            cluster_state,
            dispatch: self.dispatch.clone(),
            pool: self.pool.clone(),
            readiness: self.readiness.clone(),
            health: self.store_health.clone(),
            limits: self.limits.clone(),
            events,
            changed: Arc::new(Notifier::default()),
        };
        self.follow_back_ends(&publisher);
        self.follow_configurations(&publisher);
        self.follow_records(&publisher);
        self.follow_zones(&publisher);
        task::spawn(publisher.clone().expire_lapsed());
        publisher
    }

    fn follow_back_ends(&self, publisher: &StatePublisher) {
        let back_ends = self.follower("back-ends", self.ports.back_ends.clone());
        let back_ends = back_ends.batch_changes(GATHER_BACK_ENDS);
        let known = publisher.clone();
        let back_ends = self.relayed(back_ends, move || known.revisions().back_ends);
        let target = publisher.clone();
        task::spawn(back_ends.run(move |update| target.back_ends(update)));
    }

    fn follow_configurations(&self, publisher: &StatePublisher) {
        let configurations = self.follower("configuration", self.ports.configurations.clone());
        let configurations = configurations.batch_changes(GATHER_CONFIGURATIONS);
        let known = publisher.clone();
        let configurations = self.relayed(configurations, move || known.revisions().configurations);
        let target = publisher.clone();
        task::spawn(configurations.run(move |update| target.configurations(update)));
    }

    fn follow_records(&self, publisher: &StatePublisher) {
        let records: Arc<dyn Collection<OwnershipRecord>> = self.ports.ownership.clone();
        let records = self.follower("ownership", records);
        let records = records.batch_changes(GATHER_RECORDS);
        let known = publisher.clone();
        let records = self.relayed(records, move || known.revisions().records);
        let target = publisher.clone();
        task::spawn(records.run(move |update| target.records(update)));
    }

    /// Follows the zones that the operator drains, if the deployment promises
    /// to heed them.
    fn follow_zones(&self, publisher: &StatePublisher) {
        if self.settings.bounds.zone_drain_s.is_none() {
            publisher.cluster_state.lock().assume_no_drained_zones();
            return;
        }
        let zones = self.follower("drained-zones", self.ports.drained_zones.clone());
        let known = publisher.clone();
        let zones = self.relayed(zones, move || known.revisions().zones);
        let target = publisher.clone();
        task::spawn(zones.run(move |update| target.zones(update)));
    }

    fn relayed<T: Send + 'static>(
        &self,
        follower: CollectionWatcher<T>,
        reach: impl Fn() -> StoreRevision + Send + Sync + 'static,
    ) -> CollectionWatcher<T> {
        if self.settings.listen.peers.is_none() {
            return follower;
        }
        follower.with_relay(self.sources.clone(), reach)
    }

    fn follower<T: Send + 'static>(
        &self,
        name: &'static str,
        collection: Arc<dyn Collection<T>>,
    ) -> CollectionWatcher<T> {
        let wait = seconds(self.settings.platform.watch_s);
        CollectionWatcher::new(name, collection, self.store_health.clone(), wait)
    }
}
