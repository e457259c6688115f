//! Follows a collection of the platform's store: lists it, watches it, and
//! lists again when the history is gone. What is known stays known meanwhile.

use std::future::pending;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use futures::future::{Either, select};
use threadledge_coordination::action::{Freshness, StoreRevision};
use threadledge_net::Instant;
use threadledge_net::timer;
use threadledge_ports::{Changes, Collection, Listing, StoreError};

use super::backoff::Backoff;
use super::sources::Sources;
use super::store_health::StoreHealth;
use crate::events::{EventId, emit};

/// Pause after the first failed call, and the shortest after later ones.
const MIN_PAUSE: Duration = Duration::from_millis(100);
/// How much longer each pause may be than the one before.
const PAUSE_GROWTH: u32 = 5;
/// Longest pause after failed calls. Each gateway has cheaper calls that show
/// sooner that the store answers again.
const MAX_PAUSE: Duration = Duration::from_secs(3);
/// Wait of the first watch after a failure: a store that was silent may still
/// be so behind a connection that stands, and a long watch would not tell.
const PROBE_WATCH: Duration = Duration::from_millis(200);
/// A watch that ends sooner without a change is followed by a pause.
const MIN_WATCH: Duration = Duration::from_millis(20);

/// What a follower tells.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Update<T> {
    /// Every object.
    Listed(Listing<T>),
    /// Changes since the last update.
    Changed(Changes<T>),
}

impl<T> Update<T> {
    /// The revision up to which it goes.
    pub fn at(&self) -> StoreRevision {
        match self {
            Update::Listed(listing) => listing.at,
            Update::Changed(changes) => changes.at,
        }
    }
}

/// A collection to follow.
pub struct CollectionWatcher<T> {
    name: &'static str,
    collection: Arc<dyn Collection<T>>,
    health: Arc<StoreHealth>,
    wait: Duration,
    /// Pause after changes, so that those that come together cost one call.
    batch_window: Duration,
    relay: Option<Relayed>,
    backoff: Backoff,
    /// The last call failed.
    lost: bool,
    /// The store may have forgotten a watch: the next one is short.
    suspect: bool,
}

/// A collection that a relay tells of as well.
struct Relayed {
    sources: Arc<Sources>,
    /// Up to which revision the collection is known.
    revision: Box<dyn Fn() -> StoreRevision + Send + Sync>,
}

/// How following begins.
enum InitialState<T> {
    /// The store listed everything, or failed.
    Listed(Result<Listing<T>, StoreError>),
    /// A relay tells; everything is known up to this revision.
    FromRelay(StoreRevision),
}

/// How a watch ended.
enum WatchOutcome<T> {
    /// A relay tells what is new.
    Relayed,
    Answered(Result<Changes<T>, StoreError>),
    /// Another call to the store failed meanwhile.
    Suspect,
}

impl<T: Send + 'static> CollectionWatcher<T> {
    /// A follower whose watches wait up to `wait`.
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

    /// Lets changes that come together gather for so long before the next
    /// watch. The first of them is told at once.
    pub fn batch_changes(mut self, batch_window: Duration) -> Self {
        self.batch_window = batch_window;
        self
    }

    /// Pauses after failed calls as `backoff` says.
    pub fn with_backoff(mut self, backoff: Backoff) -> Self {
        self.backoff = backoff;
        self
    }

    /// Lets the watch rest while a relay tells what is new. `revision` says up
    /// to which revision the collection is known.
    pub fn with_relay(
        mut self,
        sources: Arc<Sources>,
        revision: impl Fn() -> StoreRevision + Send + Sync + 'static,
    ) -> Self {
        let revision = Box::new(revision);
        self.relay = Some(Relayed { sources, revision });
        self
    }

    /// Follows for ever, telling every update to `on_update`.
    pub async fn run(mut self, mut on_update: impl FnMut(Update<T>) + Send) {
        // A first list may be seconds old and costs little then: the watch
        // goes on from its revision.
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

    /// Lists the collection, unless a relay tells of it before the list is
    /// here. Over a full link to another region lists of many gateways held
    /// each other up for 17 s after all had started again.
    async fn list_or_relay(&self, freshness: Freshness) -> InitialState<T> {
        let listing = pin!(self.list(freshness));
        let synced = pin!(self.until_relay_synced());
        match select(listing, synced).await {
            Either::Left((listed, _)) => InitialState::Listed(listed),
            Either::Right((at, _)) => InitialState::FromRelay(at),
        }
    }

    /// Lists the collection. What takes many pages is first left to a relay: all
    /// gateways that start together would ask for each page of 10,000 back
    /// ends, and fill the store's link for longer than they may take.
    async fn list(&self, freshness: Freshness) -> Result<Listing<T>, StoreError> {
        let mut listing = Listing::default();
        let mut next = Some(String::new());
        while let Some(after) = next {
            next = listing.add(self.collection.page(&after, freshness).await?);
            if next.is_some()
                && freshness == Freshness::Stale
                && let Some(relay) = &self.relay
            {
                relay.sources.until_store().await;
            }
        }
        Ok(listing)
    }

    /// Resolves when a relay tells of the collection; the revision up to which
    /// it is known then.
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
            // Nobody tells when the relay itself has learned.
            timer::sleep(MIN_PAUSE).await;
        }
    }

    /// Waits until the store has to be watched; the revision from which.
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

    /// Watches until the history is gone.
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

    async fn on_failure(&mut self, error: &StoreError) {
        self.health.record_failure();
        if !std::mem::replace(&mut self.lost, true) {
            self.health.collection_lost();
            emit!(EventId::StoreLost, collection = self.name, cause = ?error);
        }
        let pause = self.backoff.after_failure();
        self.pause_after_failure(pause).await;
    }

    /// Pauses until another call to the store is answered, or a relay tells
    /// what is new, or the pause is over.
    async fn pause_after_failure(&self, pause: Duration) {
        let success = self.health.next_success();
        let first = self.backoff.first();
        timer::sleep(first).await;
        let more = pause.saturating_sub(first);
        let relayed = pin!(self.until_has_relay());
        // Which of them it was shows in the next call.
        let _ = timer::timeout(more, select(pin!(success), relayed)).await;
    }
}
