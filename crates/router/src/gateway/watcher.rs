//! Watches one collection of the platform's store: lists it, watches for
//! changes, and lists it again when the store no longer has the history. The
//! last known state stays in use meanwhile.

use std::future::pending;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use futures::future::{Either, select};
use threadledge_coordination::action::{Freshness, StoreRevision};
use threadledge_net::Instant;
use threadledge_net::timer;
use threadledge_ports::{Changes, Collection, Listing, PartialListing, StoreError};

use super::backoff::Backoff;
use super::sources::Sources;
use super::store_health::StoreHealth;
use crate::events::{EventId, emit};

/// Pause after the first failed call, and the shortest after later ones.
const MIN_PAUSE: Duration = Duration::from_millis(100);
/// Factor by which each pause may exceed the one before.
const PAUSE_GROWTH: u32 = 5;
/// Longest pause after failed calls. Each gateway makes cheaper calls that show
/// sooner that the store answers again.
const MAX_PAUSE: Duration = Duration::from_secs(3);
/// Wait time of the first watch after a failure. A store that fell silent may
/// still be so on an open connection, and a long watch would not show it.
const PROBE_WATCH: Duration = Duration::from_millis(200);
/// A watch that returns sooner without a change is followed by a pause.
const MIN_WATCH: Duration = Duration::from_millis(20);

/// An update of a watched collection.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Update<T> {
    /// All objects of the collection.
    Listed(Listing<T>),
    /// Changes since the last update.
    Changed(Changes<T>),
}

impl<T> Update<T> {
    /// The store revision that the update reflects.
    pub fn at(&self) -> StoreRevision {
        match self {
            Update::Listed(listing) => listing.at,
            Update::Changed(changes) => changes.at,
        }
    }
}

/// A watcher of one collection of the store.
pub struct CollectionWatcher<T> {
    name: &'static str,
    collection: Arc<dyn Collection<T>>,
    health: Arc<StoreHealth>,
    wait: Duration,
    /// Pause after a change, so that changes in quick succession cost one call.
    batch_window: Duration,
    relay: Option<Relayed>,
    backoff: Backoff,
    /// Whether the last call failed.
    lost: bool,
    /// Whether the store may have forgotten a watch, so that the next one is
    /// short.
    suspect: bool,
}

/// The relay that also delivers the collection.
struct Relayed {
    sources: Arc<Sources>,
    /// Returns the revision up to which the collection is known; 0 while the
    /// relay has delivered none of it or only some parts.
    revision: Box<dyn Fn() -> StoreRevision + Send + Sync>,
}

/// The state from which watching starts.
enum InitialState<T> {
    /// The result of listing the collection.
    Listed(Result<Listing<T>, StoreError>),
    /// A relay delivers the collection, which is known up to this revision.
    FromRelay(StoreRevision),
}

/// How a watch ended.
enum WatchOutcome<T> {
    /// A relay now delivers updates.
    Relayed,
    Answered(Result<Changes<T>, StoreError>),
    /// Another call to the store failed meanwhile, so the watch may be lost.
    Suspect,
}

impl<T: Send + 'static> CollectionWatcher<T> {
    /// Creates a watcher whose watches wait up to `wait` for a change.
    pub fn new(
        name: &'static str,
        collection: Arc<dyn Collection<T>>,
        health: Arc<StoreHealth>,
        wait: Duration,
    ) -> Self {
        CollectionWatcher {
            name,
            collection,
            health,
            wait,
            batch_window: Duration::ZERO,
            relay: None,
            backoff: Backoff::new(MIN_PAUSE, MAX_PAUSE, PAUSE_GROWTH),
            lost: false,
            suspect: false,
        }
    }

    /// Waits for `batch_window` after each change before the next watch. The
    /// first change is passed on at once.
    pub fn batch_changes(mut self, batch_window: Duration) -> Self {
        self.batch_window = batch_window;
        self
    }

    /// Sets the backoff after failed calls.
    pub fn with_backoff(mut self, backoff: Backoff) -> Self {
        self.backoff = backoff;
        self
    }

    /// Suspends watching while a relay delivers updates. `revision` returns the
    /// revision up to which the collection is known.
    pub fn with_relay(
        mut self,
        sources: Arc<Sources>,
        revision: impl Fn() -> StoreRevision + Send + Sync + 'static,
    ) -> Self {
        let revision = Box::new(revision);
        self.relay = Some(Relayed { sources, revision });
        self
    }

    /// Watches the collection and passes each update to `on_update`. Never
    /// returns.
    pub async fn run(mut self, mut on_update: impl FnMut(Update<T>) + Send) {
        // The first list may be stale by seconds, which makes it cheap; the
        // watch continues from its revision.
        let mut freshness = match self.relay {
            Some(_) => Freshness::Stale,
            None => Freshness::Linearizable,
        };
        loop {
            match self.list_or_relay(freshness).await {
                InitialState::FromRelay(at) => {
                    self.on_answer();
                    freshness = Freshness::Linearizable;
                    self.watch(at, &mut on_update).await;
                }
                InitialState::Listed(Ok(listing)) => {
                    freshness = Freshness::Linearizable;
                    self.on_answer();
                    let at = listing.at;
                    on_update(Update::Listed(listing));
                    self.watch(at, &mut on_update).await;
                }
                InitialState::Listed(Err(error)) => self.on_failure(&error).await,
            }
        }
    }

    /// Lists the collection, unless a relay delivers it first. When all
    /// gateways had restarted, their lists over a saturated link to another
    /// region delayed each other for 17 s.
    async fn list_or_relay(&self, freshness: Freshness) -> InitialState<T> {
        let listing = pin!(self.list(freshness));
        let synced = pin!(self.until_relay_synced());
        match select(listing, synced).await {
            Either::Left((listed, _)) => InitialState::Listed(listed),
            Either::Right((at, _)) => InitialState::FromRelay(at),
        }
    }

    /// Lists the collection once it is this gateway's turn. After the first
    /// page of a stale list it waits whether a relay delivers the rest: if all
    /// gateways that start together asked for each page of 10,000 back ends,
    /// they would saturate the store's link for longer than they may take.
    async fn list(&self, freshness: Freshness) -> Result<Listing<T>, StoreError> {
        if let Some(relay) = &self.relay {
            relay.sources.until_list_turn(rand::random()).await;
        }
        let mut listing = PartialListing::default();
        while let Some(after) = listing.next_start() {
            let page = self.collection.page(after, freshness).await?;
            listing.add(page)?;
            if listing.next_start().is_some()
                && freshness == Freshness::Stale
                && let Some(relay) = &self.relay
            {
                relay.sources.until_store().await;
            }
        }
        Ok(listing.into_listing())
    }

    /// Resolves when a relay has delivered the collection, with the revision up
    /// to which it is known.
    async fn until_relay_synced(&self) -> StoreRevision {
        let Some(relay) = &self.relay else {
            return pending().await;
        };
        loop {
            relay.sources.until_has_relay().await;
            let at = (relay.revision)();
            if at > 0 {
                return at;
            }
            // Nothing notifies when the relay itself has received the
            // collection.
            timer::sleep(MIN_PAUSE).await;
        }
    }

    /// Waits until the store has to be watched and returns the revision from
    /// which to watch.
    async fn wait_for_store(&mut self, at: StoreRevision) -> StoreRevision {
        let Some(relay) = &self.relay else {
            return at;
        };
        let sources = relay.sources.clone();
        if sources.has_relay() {
            self.on_answer();
        }
        sources.until_store().await;
        match &self.relay {
            Some(relay) => at.max((relay.revision)()),
            None => at,
        }
    }

    /// Watches until the store no longer has the history after the last
    /// revision.
    async fn watch(
        &mut self,
        mut at: StoreRevision,
        on_update: &mut (impl FnMut(Update<T>) + Send),
    ) {
        loop {
            at = self.wait_for_store(at).await;
            let started = Instant::now();
            match self.next_changes(at).await {
                WatchOutcome::Relayed => {}
                WatchOutcome::Suspect => self.suspect = true,
                WatchOutcome::Answered(Ok(changes)) => {
                    self.on_answer();
                    at = changes.at;
                    if !changes.changes.is_empty() {
                        on_update(Update::Changed(changes));
                        if !self.batch_window.is_zero() {
                            timer::sleep(self.batch_window).await;
                        }
                    } else if started.elapsed() < MIN_WATCH {
                        timer::sleep(MIN_PAUSE).await;
                    }
                }
                WatchOutcome::Answered(Err(StoreError::HistoryGone)) => return,
                WatchOutcome::Answered(Err(error)) => self.on_failure(&error).await,
            }
        }
    }

    /// Watches for changes after `at` until the store answers, a relay delivers
    /// updates, or another call shows that the watch may be lost.
    async fn next_changes(&self, at: StoreRevision) -> WatchOutcome<T> {
        let unsure = self.lost || self.suspect;
        let wait = if unsure { PROBE_WATCH } else { self.wait };
        let watching = self.collection.changes(at, wait);
        if unsure {
            return WatchOutcome::Answered(watching.await);
        }
        let failure = pin!(self.health.next_failure());
        let relayed = pin!(self.until_has_relay());
        match select(watching, select(failure, relayed)).await {
            Either::Left((answer, _)) => WatchOutcome::Answered(answer),
            Either::Right((Either::Left(_), _)) => WatchOutcome::Suspect,
            Either::Right((Either::Right(_), _)) => WatchOutcome::Relayed,
        }
    }

    async fn until_has_relay(&self) {
        match &self.relay {
            Some(relay) => relay.sources.until_has_relay().await,
            None => pending().await,
        }
    }

    fn on_answer(&mut self) {
        self.backoff.reset();
        self.suspect = false;
        if std::mem::take(&mut self.lost) {
            self.health.collection_regained();
            emit!(EventId::StoreRegained, collection = self.name);
        }
    }

    /// Records a failed call and waits before the next one.
    async fn on_failure(&mut self, error: &StoreError) {
        let is_answered = matches!(error, StoreError::StuckList { .. });
        if !is_answered {
            self.health.record_failure();
        }
        if !std::mem::replace(&mut self.lost, true) {
            self.health.collection_lost();
            emit!(EventId::StoreLost, collection = self.name, cause = ?error);
        }
        let pause = self.backoff.after_failure();
        if is_answered {
            // That the store answers other calls too says nothing new.
            let _ = timer::timeout(pause, self.until_has_relay()).await;
        } else {
            self.pause_after_failure(pause).await;
        }
    }

    /// Pauses until another call to the store is answered, a relay delivers
    /// updates, or `pause` has passed.
    async fn pause_after_failure(&self, pause: Duration) {
        let success = self.health.next_success();
        let first = self.backoff.first();
        timer::sleep(first).await;
        let more = pause.saturating_sub(first);
        let relayed = pin!(self.until_has_relay());
        // The next call shows which of them happened.
        let _ = timer::timeout(more, select(pin!(success), relayed)).await;
    }
}
