//! Starts what follows the collections of the platform's store.

use std::sync::Arc;
use std::time::Duration;

use async_std::task;
use parking_lot::Mutex;
use threadledge_coordination::OwnershipRecord;
use threadledge_coordination::action::StoreRevision;
use threadledge_ports::Collection;

use super::super::coordination::Event;
use super::super::directory::Directory;
use super::super::follow::Follower;
use super::super::knowledge::Knowledge;
use super::super::notifier::Notifier;
use super::super::settings::seconds;
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
        knowledge: Arc<Mutex<Knowledge>>,
        events: async_channel::Sender<Event>,
    ) -> Directory {
        let directory = Directory {
            knowledge,
            dispatch: self.dispatch.clone(),
            pool: self.pool.clone(),
            readiness: self.readiness.clone(),
            health: self.store_health.clone(),
            limits: self.limits.clone(),
            events,
            changed: Arc::new(Notifier::default()),
        };
        self.follow_back_ends(&directory);
        self.follow_configurations(&directory);
        self.follow_records(&directory);
        self.follow_zones(&directory);
        task::spawn(directory.clone().expire_lapsed());
        directory
    }

    fn follow_back_ends(&self, directory: &Directory) {
        let back_ends = self.follower("back-ends", self.ports.back_ends.clone());
        let back_ends = back_ends.gathering(GATHER_BACK_ENDS);
        let known = directory.clone();
        let back_ends = self.relayed(back_ends, move || known.reach().back_ends);
        let target = directory.clone();
        task::spawn(back_ends.run(move |update| target.back_ends(update)));
    }

    fn follow_configurations(&self, directory: &Directory) {
        let configurations = self.follower("configuration", self.ports.configurations.clone());
        let configurations = configurations.gathering(GATHER_CONFIGURATIONS);
        let known = directory.clone();
        let configurations = self.relayed(configurations, move || known.reach().configurations);
        let target = directory.clone();
        task::spawn(configurations.run(move |update| target.configurations(update)));
    }

    fn follow_records(&self, directory: &Directory) {
        let records: Arc<dyn Collection<OwnershipRecord>> = self.ports.ownership.clone();
        let records = self.follower("ownership", records);
        let records = records.gathering(GATHER_RECORDS);
        let known = directory.clone();
        let records = self.relayed(records, move || known.reach().records);
        let target = directory.clone();
        task::spawn(records.run(move |update| target.records(update)));
    }

    /// Follows the zones that the operator drains, if the deployment promises
    /// to heed them.
    fn follow_zones(&self, directory: &Directory) {
        if self.settings.bounds.zone_drain_s.is_none() {
            directory.knowledge.lock().without_zone_drains();
            return;
        }
        let zones = self.follower("drained-zones", self.ports.drained_zones.clone());
        let known = directory.clone();
        let zones = self.relayed(zones, move || known.reach().zones);
        let target = directory.clone();
        task::spawn(zones.run(move |update| target.zones(update)));
    }

    fn relayed<T: Send + 'static>(
        &self,
        follower: Follower<T>,
        reach: impl Fn() -> StoreRevision + Send + Sync + 'static,
    ) -> Follower<T> {
        if self.settings.listen.peers.is_none() {
            return follower;
        }
        follower.relayed(self.sources.clone(), reach)
    }

    fn follower<T: Send + 'static>(
        &self,
        name: &'static str,
        collection: Arc<dyn Collection<T>>,
    ) -> Follower<T> {
        let wait = seconds(self.settings.platform.watch_s);
        Follower::new(name, collection, self.store_health.clone(), wait)
    }
}
