//! Watches a scope of the store: lists it, watches for changes, and lists again
//! when necessary.

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

/// Updates that a watcher delivers.
#[derive(Clone, Debug)]
pub enum WatchUpdate<K> {
    /// The state of the whole scope. An object in neither `objects` nor
    /// `withheld` was deleted, no matter which watcher delivered it.
    Snapshot {
        /// Current objects.
        objects: Vec<StoredObject<K>>,
        /// Objects that this watcher delivered before and that have been
        /// deleted.
        removed: Vec<ObjectKey>,
        /// Objects that keep the state delivered before.
        withheld: Vec<Withheld>,
        /// Version of the store.
        resource_version: u64,
    },
    /// A single change.
    Change(Change<K>),
    /// Everything up to this version has been delivered.
    Confirmed(u64),
    /// The store shows an older state than before. None of it is delivered;
    /// what was delivered stays in force.
    OlderStore {
        /// Highest version seen.
        seen: u64,
        /// Version shown now.
        shown: u64,
    },
    /// The store could not be read; the watcher retries after the delay.
    Interrupted {
        /// Cause of the failure.
        error: PlatformError,
        /// Delay before the next attempt.
        retry_in: Duration,
    },
}

/// Settings of a watcher.
#[derive(Clone, Debug)]
pub struct WatcherSettings {
    /// Namespaces to watch.
    pub scope: Scope,
    /// Delays after failures.
    pub backoff: BackoffSettings,
    /// Shortest time between two requests of this watcher, so that a store that
    /// ends every watch at once is not flooded with requests.
    pub min_request_interval: Duration,
    /// Longest time without an event or bookmark before the connection is
    /// considered dead.
    pub idle_timeout: Duration,
    /// Seed of the backoff jitter; differs between routers.
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

/// Watches a scope until the receiver of its updates is dropped.
pub struct Watcher<K> {
    client: ObjectClient,
    settings: WatcherSettings,
    tracker: ObjectTracker,
    backoff: Backoff,
    updates: Sender<WatchUpdate<K>>,
    last_request: Option<Instant>,
}

/// The receiver of the updates was dropped.
struct ReceiverClosed;

/// Reason why a watch connection ended.
enum WatchEnd {
    /// The store or the connection ended it; continue from the version reached.
    Ended,
    /// List again.
    Relist,
}

impl<K: ApiObject> Watcher<K> {
    /// Creates a watcher that sends to `updates`. A full channel slows the
    /// watcher down, so that memory use stays bounded. `tracker` holds the
    /// versions delivered before, if any.
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

    /// Runs until the receiver of the channel is dropped.
    pub async fn run(mut self) {
        while self.list_and_watch().await.is_ok() {}
    }

    /// Lists once, then watches from that version until another list is
    /// necessary.
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

    /// Lists the scope; returns whether a watch may follow.
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

    /// Delivers the events of one watch connection until it ends.
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

    /// Reports a failed watch and decides how to continue.
    async fn watch_failed(&mut self, error: PlatformError) -> Result<WatchEnd, ReceiverClosed> {
        let resumable = error.kind.is_transient();
        if error.kind != PlatformErrorKind::Gone {
            self.report_and_back_off(error).await?;
        }
        // Anything but a transient failure requires a list to find out the
        // state of the store.
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

    /// Waits until the minimum interval since the last request has passed.
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
