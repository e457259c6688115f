//! Where this gateway learns from at the moment, shared by everyone whom it
//! concerns, and what goes up to its relay and comes down from it besides.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
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

/// How long fewer gateways must be told of before it counts: those that a
/// relay has just lost still share what all may use together.
const DECREASE_DELAY: Duration = Duration::from_secs(12);

/// How long what all may use together is shared by a count. Invariant: for
/// less long than a lower count waits, so that a gateway that the others lost
/// sight of has given its share up before they divide it.
const SHARE_LIFETIME: Duration = Duration::from_secs(10);

/// How many gateways there are.
#[derive(Debug, Default)]
pub struct Fleet {
    gateways: Option<u32>,
    /// When the count was last surely so.
    seen: Timestamp,
    /// Since when fewer are told of, and how many at the most.
    lower: Option<(Timestamp, u32)>,
}

impl Fleet {
    /// So many are told of, and were there at `seen`.
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

    /// How many there are, if it is known.
    pub fn gateways(&self) -> Option<u32> {
        self.gateways
    }

    /// Until when this gateway may use its share of what all may use together.
    pub fn shared_until(&self) -> Timestamp {
        self.seen + SHARE_LIFETIME
    }
}

/// Where a gateway learns from.
#[derive(Debug)]
pub struct Sources {
    clock: Clock,
    health: Arc<StoreHealth>,
    /// Within the zone.
    source: Mutex<Source>,
    /// Within the region, while this gateway relays for its zone.
    region_source: Mutex<Option<Source>>,
    /// This gateway relays for its zone.
    is_relay: AtomicBool,
    /// The store surely answered the relay at that time, as last told.
    relay_fresh_as_of: Mutex<Timestamp>,
    /// What this gateway knows was surely so at that time, as other gateways
    /// told it while the store did not answer.
    peers_confirmed_at: Mutex<Timestamp>,
    changed: Notifier,
    /// The store has surely answered since followers were told last.
    freshness: Notifier,
    /// How fresh this gateway was when they were told.
    notified_as_of: Mutex<Timestamp>,
    fleet: Mutex<Fleet>,
    leases: Mutex<BTreeMap<ServiceName, Versioned<CoordinatorLease>>>,
    /// Another holds one of the leases.
    lease_changes: Notifier,
    holder_changes: AtomicU64,
    load: Mutex<BTreeMap<ServiceName, LoadReport>>,
}

impl Sources {
    /// A gateway that watches the store itself.
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
            leases: Mutex::default(),
            lease_changes: Notifier::default(),
            holder_changes: AtomicU64::new(0),
            load: Mutex::default(),
        }
    }

    /// Takes another source within the zone.
    pub fn set(&self, source: Source, is_relay: bool) {
        self.record_relay_freshness(Some(source));
        let before = std::mem::replace(&mut *self.source.lock(), source);
        let was_relay = self.is_relay.swap(is_relay, Ordering::Relaxed);
        if before != source || was_relay != is_relay {
            self.changed.notify();
        }
    }

    /// Takes another source within the region; `None`: this gateway has no
    /// part in that.
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

    /// Whether this gateway relays for its zone.
    pub(super) fn is_relay(&self) -> bool {
        self.is_relay.load(Ordering::Relaxed)
    }

    /// Resolves when this gateway relays for its zone.
    pub(super) async fn until_is_relay(&self) {
        loop {
            let changed = self.changed.next();
            if self.is_relay() {
                return;
            }
            changed.await;
        }
    }

    /// Where this gateway learns from now.
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
            // The store is asked at that moment; the answer says what is next.
            Source::Relay { until, .. } if now >= until => Source::Unavailable,
            source => source,
        }
    }

    /// Whether a relay tells this gateway what is new.
    pub(super) fn has_relay(&self) -> bool {
        matches!(self.current(), Source::Relay { .. })
    }

    /// Whether neither the store nor a relay is known to answer.
    pub(super) fn is_waiting(&self) -> bool {
        self.current() == Source::Unavailable
    }

    /// What this gateway knows is as fresh as if the store had answered it at
    /// that time. A cheap call that was answered while nothing is watched
    /// freshens nothing.
    pub(super) fn fresh_as_of(&self) -> Timestamp {
        match self.current() {
            Source::Relay { seen, .. } => seen,
            Source::Store => self.health.last_answered(),
            Source::Starting { .. } | Source::Joining { .. } | Source::Unavailable => {
                *self.relay_fresh_as_of.lock()
            }
        }
    }

    /// Told when the store has surely answered anew, this gateway or its relay.
    pub(super) fn freshness_changes(&self) -> &Notifier {
        &self.freshness
    }

    /// Tells those who wait for it that this gateway is fresher, if it is.
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

    /// The steady clock.
    pub(super) fn now(&self) -> Timestamp {
        self.clock.now()
    }

    /// A peer that was asked at `asked` told everything that it knows, and
    /// that it was so an `age` before.
    pub(super) fn confirm(&self, asked: Timestamp, age: Duration) {
        let micros = u64::try_from(age.as_micros()).unwrap_or(u64::MAX);
        let at = Timestamp::from_micros(asked.as_micros().saturating_sub(micros));
        let mut confirmed = self.peers_confirmed_at.lock();
        *confirmed = confirmed.max(at);
    }

    /// What this gateway knows was surely so at that time, whoever said it:
    /// the store, a relay, or a peer that was asked in their place.
    pub(super) fn confirmed_at(&self) -> Timestamp {
        self.fresh_as_of().max(*self.peers_confirmed_at.lock())
    }

    /// Gateways of the deployment, roughly, if it is known.
    pub(super) fn fleet_size(&self) -> Option<u32> {
        self.fleet.lock().gateways()
    }

    /// The same, and until when this gateway may use its share of what all may
    /// use together.
    pub(super) fn fleet_shared_until(&self) -> (Option<u32>, Timestamp) {
        let fleet = self.fleet.lock();
        (fleet.gateways(), fleet.shared_until())
    }

    /// So many gateways are there, roughly, as a relay told or the records do,
    /// and were at `seen`.
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

    /// Resolves when the store has to be watched.
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
                    // Whether it changed or was too old by then shows above.
                    let _ = timer::timeout_at(deadline, changed).await;
                }
            }
        }
    }

    /// Resolves when neither the store nor a relay is known to answer.
    pub(super) async fn until_waiting(&self) {
        loop {
            let changed = self.changed.next();
            match self.current() {
                Source::Unavailable => return,
                Source::Relay { until, .. } => {
                    let deadline = self.clock.instant(until);
                    // Whether it changed or was too old by then shows above.
                    let _ = timer::timeout_at(deadline, changed).await;
                }
                Source::Store | Source::Starting { .. } | Source::Joining { .. } => changed.await,
            }
        }
    }

    /// Resolves when a relay tells what is new.
    pub(super) async fn until_has_relay(&self) {
        loop {
            let changed = self.changed.next();
            if self.has_relay() {
                return;
            }
            changed.await;
        }
    }

    /// A lease was read, written or told.
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

    /// Told when another gateway holds a lease.
    pub(super) fn lease_changes(&self) -> &Notifier {
        &self.lease_changes
    }

    /// How often a lease has passed to another holder so far.
    pub(super) fn holder_changes(&self) -> u64 {
        self.holder_changes.load(Ordering::Relaxed)
    }

    /// The lease as last read, written or told.
    pub(super) fn lease(&self, service: &ServiceName) -> Option<Versioned<CoordinatorLease>> {
        self.leases.lock().get(service).cloned()
    }

    /// Every lease that is known.
    pub(super) fn leases(&self) -> Vec<(ServiceName, Versioned<CoordinatorLease>)> {
        let leases = self.leases.lock();
        leases
            .iter()
            .map(|(service, lease)| (service.clone(), lease.clone()))
            .collect()
    }

    /// Keeps a report for the next poll of the relay.
    pub(super) fn queue_load(&self, service: &ServiceName, report: LoadReport) {
        let mut load = self.load.lock();
        load.entry(service.clone()).or_default().merge(report);
    }

    /// Takes the reports that were kept.
    pub(super) fn drain_load(&self) -> BTreeMap<ServiceName, LoadReport> {
        std::mem::take(&mut *self.load.lock())
    }
}
