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
const FIRST_PAUSE: Duration = Duration::from_millis(100);
/// How much longer each pause may be than the one before.
const PAUSE_GROWTH: u32 = 5;
/// Longest pause after failed calls. Each gateway has cheaper calls that show
/// sooner that the store answers again.
const LONGEST_PAUSE: Duration = Duration::from_secs(3);
/// Wait of the first watch after a failure: a store that was silent may still
/// be so behind a connection that stands, and a long watch would not tell.
const TRIAL_WATCH: Duration = Duration::from_millis(200);
/// A watch that ends sooner without a change is followed by a pause.
const SHORTEST_WATCH: Duration = Duration::from_millis(20);

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
    gather: Duration,
    relay: Option<Relayed>,
    backoff: Backoff,
    /// The last call failed.
    lost: bool,
    /// The store may have forgotten a watch: the next one is short.
    doubtful: bool,
}

/// A collection that a relay tells of as well.
struct Relayed {
    sources: Arc<Sources>,
    /// Up to which revision the collection is known.
    reach: Box<dyn Fn() -> StoreRevision + Send + Sync>,
}

/// How following begins.
enum Begun<T> {
    /// The store listed everything, or failed.
    Listed(Result<Listing<T>, StoreError>),
    /// A relay tells; everything is known up to this revision.
    Told(StoreRevision),
}

/// How a watch ended.
enum Watched<T> {
    /// A relay tells what is new.
    Relayed,
    Answered(Result<Changes<T>, StoreError>),
    /// Another call to the store failed meanwhile.
    Doubted,
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
            gather: Duration::ZERO,
            relay: None,
            backoff: Backoff::new(FIRST_PAUSE, LONGEST_PAUSE, PAUSE_GROWTH),
            lost: false,
            doubtful: false,
        }
    }

    /// Lets changes that come together gather for so long before the next
    /// watch. The first of them is told at once.
    pub fn batch_changes(mut self, gather: Duration) -> Self {
        self.gather = gather;
        self
    }

    /// Pauses after failed calls as `backoff` says.
    pub fn with_backoff(mut self, backoff: Backoff) -> Self {
        self.backoff = backoff;
        self
    }

    /// Lets the watch rest while a relay tells what is new. `reach` says up
    /// to which revision the collection is known.
    pub fn with_relay(
        mut self,
        sources: Arc<Sources>,
        reach: impl Fn() -> StoreRevision + Send + Sync + 'static,
    ) -> Self {
        let reach = Box::new(reach);
        self.relay = Some(Relayed { sources, reach });
        self
    }

    /// Follows for ever, telling every update to `tell`.
    pub async fn run(mut self, mut tell: impl FnMut(Update<T>) + Send) {
        // A first list may be seconds old and costs little then: the watch
        // goes on from its revision.
        let mut freshness = match self.relay {
            Some(_) => Freshness::Stale,
            None => Freshness::Linearizable,
        };
        loop {
            match self.list_or_told(freshness).await {
                Begun::Told(at) => {
                    self.answered();
                    freshness = Freshness::Linearizable;
                    self.watch(at, &mut tell).await;
                }
                Begun::Listed(Ok(listing)) => {
                    freshness = Freshness::Linearizable;
                    self.answered();
                    let at = listing.at;
                    tell(Update::Listed(listing));
                    self.watch(at, &mut tell).await;
                }
                Begun::Listed(Err(error)) => self.failed(&error).await,
            }
        }
    }

    /// Lists the collection, unless a relay tells of it before the list is
    /// here. Over a full link to another region lists of many gateways held
    /// each other up for 17 s after all had started again.
    async fn list_or_told(&self, freshness: Freshness) -> Begun<T> {
        let listing = pin!(self.list(freshness));
        let told = pin!(self.until_told());
        match select(listing, told).await {
            Either::Left((listed, _)) => Begun::Listed(listed),
            Either::Right((at, _)) => Begun::Told(at),
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
    async fn until_told(&self) -> StoreRevision {
        let Some(relay) = &self.relay else {
            return pending().await;
        };
        loop {
            relay.sources.until_has_relay().await;
            let at = (relay.reach)();
            if at > 0 {
                return at;
            }
            // Nobody tells when the relay itself has learned.
            timer::sleep(FIRST_PAUSE).await;
        }
    }

    /// Waits until the store has to be watched; the revision from which.
    async fn rest(&mut self, at: StoreRevision) -> StoreRevision {
        let Some(relay) = &self.relay else {
            return at;
        };
        let sources = relay.sources.clone();
        if sources.has_relay() {
            self.answered();
        }
        sources.until_store().await;
        match &self.relay {
            Some(relay) => at.max((relay.reach)()),
            None => at,
        }
    }

    /// Watches until the history is gone.
    async fn watch(&mut self, mut at: StoreRevision, tell: &mut (impl FnMut(Update<T>) + Send)) {
        loop {
            at = self.rest(at).await;
            let asked = Instant::now();
            match self.next_changes(at).await {
                Watched::Relayed => {}
                Watched::Doubted => self.doubtful = true,
                Watched::Answered(Ok(changes)) => {
                    self.answered();
                    at = changes.at;
                    if !changes.changes.is_empty() {
                        tell(Update::Changed(changes));
                        if !self.gather.is_zero() {
                            timer::sleep(self.gather).await;
                        }
                    } else if asked.elapsed() < SHORTEST_WATCH {
                        timer::sleep(FIRST_PAUSE).await;
                    }
                }
                Watched::Answered(Err(StoreError::HistoryGone)) => return,
                Watched::Answered(Err(error)) => self.failed(&error).await,
            }
        }
    }

    async fn next_changes(&self, at: StoreRevision) -> Watched<T> {
        let unsure = self.lost || self.doubtful;
        let wait = if unsure { TRIAL_WATCH } else { self.wait };
        let watching = self.collection.changes(at, wait);
        if unsure {
            return Watched::Answered(watching.await);
        }
        let failure = pin!(self.health.next_failure());
        let relayed = pin!(self.until_has_relay());
        match select(watching, select(failure, relayed)).await {
            Either::Left((answer, _)) => Watched::Answered(answer),
            Either::Right((Either::Left(_), _)) => Watched::Doubted,
            Either::Right((Either::Right(_), _)) => Watched::Relayed,
        }
    }

    async fn until_has_relay(&self) {
        match &self.relay {
            Some(relay) => relay.sources.until_has_relay().await,
            None => pending().await,
        }
    }

    fn answered(&mut self) {
        self.backoff.reset();
        self.doubtful = false;
        if std::mem::take(&mut self.lost) {
            self.health.collection_regained();
            emit!(EventId::StoreRegained, collection = self.name);
        }
    }

    async fn failed(&mut self, error: &StoreError) {
        self.health.record_failure();
        if !std::mem::replace(&mut self.lost, true) {
            self.health.collection_lost();
            emit!(EventId::StoreLost, collection = self.name, cause = ?error);
        }
        let pause = self.backoff.after_failure();
        self.rest_after_failure(pause).await;
    }

    /// Pauses until another call to the store is answered, or a relay tells
    /// what is new, or the pause is over.
    async fn rest_after_failure(&self, pause: Duration) {
        let success = self.health.next_success();
        let first = self.backoff.first();
        timer::sleep(first).await;
        let more = pause.saturating_sub(first);
        let relayed = pin!(self.until_has_relay());
        // Which of them it was shows in the next call.
        let _ = timer::timeout(more, select(pin!(success), relayed)).await;
    }
}
