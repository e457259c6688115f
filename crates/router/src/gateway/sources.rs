//! Where this gateway currently gets its updates (the store, or a relay), and
//! data exchanged with the relay: fleet size, leases and load reports.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::time::Duration;

use parking_lot::Mutex;
use threadledge_coordination::action::Versioned;
use threadledge_coordination::{CoordinatorLease, LoadReport};
use threadledge_net::timer;
use threadledge_relay::Source;
use threadledge_types::Timestamp;
use threadledge_types::deployment::ServiceName;

use super::notifier::Notifier;
use super::store_health::StoreHealth;
use crate::events::{EventId, emit};
use crate::proxy::Clock;

/// How long a lower count of gateways must last before it applies: gateways
/// that a relay has just lost still use their share of the common budgets.
const DECREASE_DELAY: Duration = Duration::from_secs(12);

/// How long a count entitles a gateway to its share of the common budgets.
/// Invariant: shorter than [`DECREASE_DELAY`], so that a gateway that the
/// others have lost stops using its share before they divide it among
/// themselves.
const SHARE_LIFETIME: Duration = Duration::from_secs(10);

/// Interval at which gateways without a relay list a collection one after the
/// other. The lists of all gateways at once saturate the store's link, so that
/// not even the relays get theirs.
const LIST_INTERVAL: Duration = Duration::from_millis(20);
/// Number of gateways assumed until the relay records were read, and where
/// there are none.
const DEFAULT_RECORDED_GATEWAYS: u32 = 100;

/// The number of gateways in the deployment, which share the common budgets.
#[derive(Debug, Default)]
pub struct Fleet {
    gateways: Option<u32>,
    /// When the count was last confirmed.
    seen: Timestamp,
    /// When lower counts began, and the highest of them.
    lower: Option<(Timestamp, u32)>,
}

impl Fleet {
    /// Records a count of gateways that was accurate at `seen`.
    pub fn set(&mut self, now: Timestamp, gateways: u32, seen: Timestamp) {
        self.seen = self.seen.max(seen);
        if self.gateways.is_none_or(|known| gateways >= known) {
            self.gateways = Some(gateways);
            self.lower = None;
            return;
        }
        let (since, most) = self.lower.unwrap_or((now, gateways));
        let most = most.max(gateways);
        self.lower = Some((since, most));
        if now.since(since) >= DECREASE_DELAY {
            self.gateways = Some(most);
            self.lower = None;
        }
    }

    /// The number of gateways, if known.
    pub fn gateways(&self) -> Option<u32> {
        self.gateways
    }

    /// Until when this gateway may use its share of the common budgets.
    pub fn shared_until(&self) -> Timestamp {
        self.seen + SHARE_LIFETIME
    }
}

/// The current source of updates and the state shared with the relay.
#[derive(Debug)]
pub struct Sources {
    clock: Clock,
    health: Arc<StoreHealth>,
    /// The source within the zone.
    source: Mutex<Source>,
    /// The source within the region, while this gateway is its zone's relay.
    region_source: Mutex<Option<Source>>,
    /// Whether this gateway is its zone's relay.
    is_relay: AtomicBool,
    /// When the store last answered the relay, as reported by it.
    relay_fresh_as_of: Mutex<Timestamp>,
    /// When other gateways confirmed this gateway's state while the store did
    /// not answer.
    peers_confirmed_at: Mutex<Timestamp>,
    /// Notified when a source or this gateway's relay role changes.
    changed: Notifier,
    /// Notified when this gateway's state is confirmed as of a later time.
    freshness: Notifier,
    /// The freshness at the last notification.
    notified_as_of: Mutex<Timestamp>,
    fleet: Mutex<Fleet>,
    /// Number of gateways by the relay records; 0: unknown.
    recorded_gateways: AtomicU32,
    /// The latest known leases of the coordinators.
    leases: Mutex<BTreeMap<ServiceName, Versioned<CoordinatorLease>>>,
    /// Notified when a lease passes to another holder.
    lease_changes: Notifier,
    /// Number of leases that passed to another holder.
    holder_changes: AtomicU64,
    /// Load reports that wait for the next poll of the relay.
    load: Mutex<BTreeMap<ServiceName, LoadReport>>,
}

impl Sources {
    /// Creates the state of a gateway that watches the store itself.
    pub fn new(clock: Clock, health: Arc<StoreHealth>) -> Self {
        Sources {
            clock,
            health,
            source: Mutex::new(Source::Store),
            region_source: Mutex::default(),
            is_relay: AtomicBool::new(false),
            relay_fresh_as_of: Mutex::new(Timestamp::ZERO),
            peers_confirmed_at: Mutex::new(Timestamp::ZERO),
            changed: Notifier::default(),
            freshness: Notifier::default(),
            notified_as_of: Mutex::new(Timestamp::ZERO),
            fleet: Mutex::default(),
            recorded_gateways: AtomicU32::new(0),
            leases: Mutex::default(),
            lease_changes: Notifier::default(),
            holder_changes: AtomicU64::new(0),
            load: Mutex::default(),
        }
    }

    /// Sets the source within the zone.
    pub fn set(&self, source: Source, is_relay: bool) {
        self.record_relay_freshness(Some(source));
        let before = std::mem::replace(&mut *self.source.lock(), source);
        let was_relay = self.is_relay.swap(is_relay, Ordering::Relaxed);
        if before != source || was_relay != is_relay {
            self.changed.notify();
        }
    }

    /// Sets the source within the region; `None` if this gateway does not take
    /// part in the region's relaying.
    pub(super) fn set_region_source(&self, source: Option<Source>) {
        self.record_relay_freshness(source);
        let before = std::mem::replace(&mut *self.region_source.lock(), source);
        if before != source {
            self.changed.notify();
        }
    }

    fn record_relay_freshness(&self, source: Option<Source>) {
        if let Some(Source::Relay { seen, .. }) = source {
            *self.relay_fresh_as_of.lock() = seen;
        }
    }

    /// Whether this gateway is its zone's relay.
    pub(super) fn is_relay(&self) -> bool {
        self.is_relay.load(Ordering::Relaxed)
    }

    /// Resolves once this gateway is its zone's relay.
    pub(super) async fn until_is_relay(&self) {
        loop {
            let changed = self.changed.next();
            if self.is_relay() {
                return;
            }
            changed.await;
        }
    }

    /// The source from which this gateway currently gets its updates.
    pub(super) fn current(&self) -> Source {
        let now = self.clock.now();
        let within_zone = *self.source.lock();
        let region_source = *self.region_source.lock();
        let source = match within_zone {
            Source::Store if self.is_relay() => region_source.unwrap_or(Source::Store),
            source => source,
        };
        match source {
            Source::Starting { until } | Source::Joining { until } if now >= until => Source::Store,
            // The store is read at that moment; the result decides the next
            // source.
            Source::Relay { until, .. } if now >= until => Source::Unavailable,
            source => source,
        }
    }

    /// Whether a relay sends updates to this gateway.
    pub(super) fn has_relay(&self) -> bool {
        matches!(self.current(), Source::Relay { .. })
    }

    /// Whether neither the store nor a relay is known to answer.
    pub(super) fn is_waiting(&self) -> bool {
        self.current() == Source::Unavailable
    }

    /// The time as of which this gateway's state reflects the store. A probe
    /// that the store answers while nothing is watched does not advance it.
    pub(super) fn fresh_as_of(&self) -> Timestamp {
        match self.current() {
            Source::Relay { seen, .. } => seen,
            Source::Store => self.health.last_answered(),
            Source::Starting { .. } | Source::Joining { .. } | Source::Unavailable => {
                *self.relay_fresh_as_of.lock()
            }
        }
    }

    /// Notifier for later answers of the store, to this gateway or its relay.
    pub(super) fn freshness_changes(&self) -> &Notifier {
        &self.freshness
    }

    /// Notifies the waiters if this gateway's state is fresher than at the last
    /// notification.
    pub(super) fn notify_if_fresher(&self) {
        let seen = self.fresh_as_of();
        let mut notified = self.notified_as_of.lock();
        if seen <= *notified {
            return;
        }
        *notified = seen;
        drop(notified);
        self.freshness.notify();
    }

    /// The current time of the monotonic clock.
    pub(super) fn now(&self) -> Timestamp {
        self.clock.now()
    }

    /// Records that a peer, asked at `asked`, sent all its updates, and that
    /// its state was `age` old.
    pub(super) fn confirm(&self, asked: Timestamp, age: Duration) {
        let micros = u64::try_from(age.as_micros()).unwrap_or(u64::MAX);
        let at = Timestamp::from_micros(asked.as_micros().saturating_sub(micros));
        let mut confirmed = self.peers_confirmed_at.lock();
        *confirmed = confirmed.max(at);
    }

    /// The time as of which this gateway's state is confirmed by the store, a
    /// relay, or a peer asked in their place.
    pub(super) fn confirmed_at(&self) -> Timestamp {
        self.fresh_as_of().max(*self.peers_confirmed_at.lock())
    }

    /// The approximate number of gateways in the deployment, if known.
    pub(super) fn fleet_size(&self) -> Option<u32> {
        self.fleet.lock().gateways()
    }

    /// The approximate number of gateways, and until when this gateway may use
    /// its share of the common budgets.
    pub(super) fn fleet_shared_until(&self) -> (Option<u32>, Timestamp) {
        let fleet = self.fleet.lock();
        (fleet.gateways(), fleet.shared_until())
    }

    /// Records the approximate number of gateways as of `seen`, as reported by
    /// `relay` or counted in the relay records.
    pub(super) fn set_fleet_size(&self, gateways: u32, seen: Timestamp, relay: Option<SocketAddr>) {
        let now = self.clock.now();
        let mut fleet = self.fleet.lock();
        let before = fleet.gateways();
        fleet.set(now, gateways, seen);
        let after = fleet.gateways();
        drop(fleet);
        if before == after {
            return;
        }
        let by = relay.map_or_else(|| "records".to_owned(), |relay| relay.to_string());
        emit!(EventId::GatewaysCounted, before, after, told = gateways, by);
    }

    /// Resolves when this gateway has to watch the store itself.
    pub(super) async fn until_store(&self) {
        loop {
            let changed = self.changed.next();
            match self.current() {
                Source::Store => return,
                Source::Unavailable => changed.await,
                Source::Starting { until }
                | Source::Joining { until }
                | Source::Relay { until, .. } => {
                    let deadline = self.clock.instant(until);
                    // The next iteration finds out whether the source changed
                    // or expired.
                    let _ = timer::timeout_at(deadline, changed).await;
                }
            }
        }
    }

    /// Records the number of gateways by the relay records in the store.
    pub fn set_recorded_gateways(&self, gateways: u32) {
        let before = self.recorded_gateways.swap(gateways, Ordering::Relaxed);
        if before != gateways {
            self.changed.notify();
        }
    }

    /// Resolves when this gateway may list a collection: at once if it watches
    /// the store for its zone, otherwise in a turn that spreads the lists of
    /// all gateways over time. `turn` is drawn from 0 to 1.
    pub(super) async fn until_list_turn(&self, turn: f64) {
        let asked = self.clock.now();
        loop {
            let changed = self.changed.next();
            let at = asked + self.list_spread().mul_f64(turn);
            let lists_for_zone = self.is_relay() && self.current() == Source::Store;
            if lists_for_zone || self.clock.now() >= at {
                return;
            }
            // The next iteration finds out which of the two happened.
            let _ = timer::timeout_at(self.clock.instant(at), changed).await;
        }
    }

    /// Time over which the lists of all gateways are spread.
    fn list_spread(&self) -> Duration {
        let gateways = match self.recorded_gateways.load(Ordering::Relaxed) {
            0 => DEFAULT_RECORDED_GATEWAYS,
            gateways => gateways,
        };
        LIST_INTERVAL * gateways
    }

    /// Resolves when neither the store nor a relay is known to answer.
    pub(super) async fn until_waiting(&self) {
        loop {
            let changed = self.changed.next();
            match self.current() {
                Source::Unavailable => return,
                Source::Relay { until, .. } => {
                    let deadline = self.clock.instant(until);
                    // The next iteration finds out whether the source changed
                    // or expired.
                    let _ = timer::timeout_at(deadline, changed).await;
                }
                Source::Store | Source::Starting { .. } | Source::Joining { .. } => changed.await,
            }
        }
    }

    /// Resolves when a relay sends updates.
    pub(super) async fn until_has_relay(&self) {
        loop {
            let changed = self.changed.next();
            if self.has_relay() {
                return;
            }
            changed.await;
        }
    }

    /// Records a lease that was read, written or received.
    pub(super) fn observe_lease(&self, service: &ServiceName, found: &Versioned<CoordinatorLease>) {
        let mut leases = self.leases.lock();
        let known = leases.get(service);
        if known.is_some_and(|known| known.revision >= found.revision) {
            return;
        }
        let new_holder = known.is_none_or(|known| known.value.term != found.value.term);
        leases.insert(service.clone(), found.clone());
        drop(leases);
        if new_holder {
            self.holder_changes.fetch_add(1, Ordering::Relaxed);
            self.lease_changes.notify();
        }
    }

    /// Notifier for leases that pass to another holder.
    pub(super) fn lease_changes(&self) -> &Notifier {
        &self.lease_changes
    }

    /// How often a lease has passed to another holder.
    pub(super) fn holder_changes(&self) -> u64 {
        self.holder_changes.load(Ordering::Relaxed)
    }

    /// The latest known lease of a service.
    pub(super) fn lease(&self, service: &ServiceName) -> Option<Versioned<CoordinatorLease>> {
        self.leases.lock().get(service).cloned()
    }

    /// All known leases.
    pub(super) fn leases(&self) -> Vec<(ServiceName, Versioned<CoordinatorLease>)> {
        let leases = self.leases.lock();
        leases
            .iter()
            .map(|(service, lease)| (service.clone(), lease.clone()))
            .collect()
    }

    /// Queues a load report for the next poll of the relay.
    pub(super) fn queue_load(&self, service: &ServiceName, report: LoadReport) {
        let mut load = self.load.lock();
        load.entry(service.clone()).or_default().merge(report);
    }

    /// Takes the queued load reports.
    pub(super) fn drain_load(&self) -> BTreeMap<ServiceName, LoadReport> {
        std::mem::take(&mut *self.load.lock())
    }
}
