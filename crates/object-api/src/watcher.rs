//! Follows a scope of the store: list, watch, and list again.

use std::time::{Duration, Instant};

use async_channel::Sender;
use async_std::future::timeout;
use async_std::task::sleep;

use crate::backoff::{Backoff, BackoffSettings};
use crate::client::ObjectClient;
use crate::error::{PlatformError, PlatformErrorKind};
use crate::resource::{ApiObject, ObjectKey, Scope, StoredObject};
use crate::tracker::{Change, EventOutcome, ListOutcome, ObjectTracker, Withheld};
use crate::watch::EventStream;

/// What a watcher tells.
#[derive(Clone, Debug)]
pub enum WatchUpdate<K> {
    /// The whole scope. What is neither in `objects` nor in `withheld` was
    /// deleted, whoever delivered it before.
    Snapshot {
        /// Objects as they are.
        objects: Vec<StoredObject<K>>,
        /// Objects this watcher delivered before that are gone.
        removed: Vec<ObjectKey>,
        /// Objects that keep the form delivered before.
        withheld: Vec<Withheld>,
        /// Version of the store.
        resource_version: u64,
    },
    /// One difference.
    Change(Change<K>),
    /// Everything up to this version was delivered.
    Confirmed(u64),
    /// The store shows an older state than it did before. Nothing of it is
    /// delivered; what was delivered stays in force.
    OlderStore {
        /// Highest version seen.
        seen: u64,
        /// Version shown now.
        shown: u64,
    },
    /// The store could not be read; the watcher tries again after the wait.
    Interrupted {
        /// Why.
        error: PlatformError,
        /// Wait before the next attempt.
        retry_in: Duration,
    },
}

/// Bounds of a watcher.
#[derive(Clone, Debug)]
pub struct WatcherSettings {
    /// Namespaces to follow.
    pub scope: Scope,
    /// Waits after failures.
    pub backoff: BackoffSettings,
    /// Shortest time between two requests of this watcher, so that a store
    /// that ends every watch at once is not flooded.
    pub min_request_interval: Duration,
    /// Longest time without event or bookmark before the connection is given
    /// up as dead.
    pub idle_timeout: Duration,
    /// Seed of the spread of the waits; differs between routers.
    pub seed: u64,
}

impl Default for WatcherSettings {
    fn default() -> Self {
        WatcherSettings {
            scope: Scope::All,
            backoff: BackoffSettings::default(),
            min_request_interval: Duration::from_millis(200),
            idle_timeout: Duration::from_secs(90),
            seed: 0,
        }
    }
}

/// Follows a scope until nobody listens.
pub struct Watcher<K> {
    client: ObjectClient,
    settings: WatcherSettings,
    tracker: ObjectTracker,
    backoff: Backoff,
    updates: Sender<WatchUpdate<K>>,
    last_request: Option<Instant>,
}

/// Nobody listens any more.
struct ReceiverClosed;

/// Why one watch connection ended.
enum WatchEnd {
    /// The store or the connection ended it; continue at the version reached.
    Ended,
    /// List again.
    Relist,
}

impl<K: ApiObject> Watcher<K> {
    /// A watcher that delivers to `updates`. A full channel slows the watcher
    /// down rather than taking memory without bound. `tracker` holds what was
    /// delivered before, if anything.
    pub fn new(
        client: ObjectClient,
        settings: WatcherSettings,
        tracker: ObjectTracker,
        updates: Sender<WatchUpdate<K>>,
    ) -> Self {
        let backoff = Backoff::new(settings.backoff.clone(), settings.seed);
        Watcher {
            client,
            settings,
            tracker,
            backoff,
            updates,
            last_request: None,
        }
    }

    /// Runs until the receiving end of the channel is dropped.
    pub async fn run(mut self) {
        while self.list_and_watch().await.is_ok() {}
    }

    /// One list, then watches from its version until it takes another list.
    async fn list_and_watch(&mut self) -> Result<(), ReceiverClosed> {
        if !self.list().await? {
            return Ok(());
        }
        loop {
            match self.watch().await? {
                WatchEnd::Ended => {}
                WatchEnd::Relist => return Ok(()),
            }
        }
    }

    /// Lists; tells whether a watch may follow.
    async fn list(&mut self) -> Result<bool, ReceiverClosed> {
        self.enforce_min_interval().await;
        let listed = match self.client.list(&self.settings.scope).await {
            Ok(listed) => listed,
            Err(error) => {
                self.report_and_back_off(error).await?;
                return Ok(false);
            }
        };
        let resource_version = listed.resource_version;
        match self.tracker.on_list(listed) {
            ListOutcome::Older { seen, listed } => {
                self.report_older_store(seen, listed).await?;
                Ok(false)
            }
            ListOutcome::Current {
                objects,
                removed,
                withheld,
            } => {
                self.backoff.reset();
                self.send(WatchUpdate::Snapshot {
                    objects,
                    removed,
                    withheld,
                    resource_version,
                })
                .await?;
                Ok(true)
            }
        }
    }

    async fn watch(&mut self) -> Result<WatchEnd, ReceiverClosed> {
        self.enforce_min_interval().await;
        let from = self.tracker.highest_seen();
        match self.client.watch(&self.settings.scope, from).await {
            Ok(stream) => self.read_events(stream).await,
            Err(error) => self.watch_failed(error).await,
        }
    }

    async fn read_events(
        &mut self,
        mut stream: EventStream<K>,
    ) -> Result<WatchEnd, ReceiverClosed> {
        loop {
            let event = match timeout(self.settings.idle_timeout, stream.next()).await {
                Ok(None) => return Ok(WatchEnd::Ended),
                Ok(Some(Ok(event))) => event,
                Ok(Some(Err(error))) => return self.watch_failed(error).await,
                Err(_) => {
                    let kind = PlatformErrorKind::TimedOut(self.settings.idle_timeout);
                    let error = PlatformError::without_effect("watch", kind);
                    return self.watch_failed(error).await;
                }
            };
            self.backoff.reset();
            match self.tracker.on_event(event) {
                EventOutcome::Change(change) => self.send(WatchUpdate::Change(change)).await?,
                EventOutcome::Confirmed(version) => {
                    self.send(WatchUpdate::Confirmed(version)).await?;
                }
                EventOutcome::Duplicate => {}
                EventOutcome::Older { seen, shown } => {
                    self.report_older_store(seen, shown).await?;
                    return Ok(WatchEnd::Relist);
                }
                EventOutcome::Relist => return Ok(WatchEnd::Relist),
            }
        }
    }

    async fn watch_failed(&mut self, error: PlatformError) -> Result<WatchEnd, ReceiverClosed> {
        let resumable = error.kind.is_transient();
        if error.kind != PlatformErrorKind::Gone {
            self.report_and_back_off(error).await?;
        }
        // Anything but a passing failure takes a list to find out where the
        // store stands.
        Ok(if resumable {
            WatchEnd::Ended
        } else {
            WatchEnd::Relist
        })
    }

    async fn report_and_back_off(&mut self, error: PlatformError) -> Result<(), ReceiverClosed> {
        let requested = error.retry_after().unwrap_or(Duration::ZERO);
        let retry_in = self.backoff.next_delay().max(requested);
        self.send(WatchUpdate::Interrupted { error, retry_in })
            .await?;
        sleep(retry_in).await;
        Ok(())
    }

    async fn report_older_store(&mut self, seen: u64, shown: u64) -> Result<(), ReceiverClosed> {
        self.send(WatchUpdate::OlderStore { seen, shown }).await?;
        sleep(self.backoff.next_delay()).await;
        Ok(())
    }

    /// Keeps the shortest time between two requests.
    async fn enforce_min_interval(&mut self) {
        let interval = self.settings.min_request_interval;
        if let Some(last) = self.last_request {
            sleep(interval.saturating_sub(last.elapsed())).await;
        }
        self.last_request = Some(Instant::now());
    }

    async fn send(&self, update: WatchUpdate<K>) -> Result<(), ReceiverClosed> {
        self.updates.send(update).await.map_err(|_| ReceiverClosed)
    }
}
