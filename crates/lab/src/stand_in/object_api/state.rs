//! State shared by all connections of the object API.

use std::collections::BTreeMap;
use std::time::Duration;

use async_channel::{Receiver, Sender};
use parking_lot::Mutex;
use serde_json::Value;

use super::auth::Authorization;
use super::error::ApiError;
use super::faults::{FaultCommand, Faults, WriteOutcome};
use super::history::{HistoryEntry, HistoryOperation};
use super::operation::{Write, WriteTarget};
use super::store::ObjectStore;
use crate::clock;

/// Initial settings of the object API.
#[derive(Clone, Debug)]
pub struct ObjectApiSettings {
    /// Initial objects.
    pub store: ObjectStore,
    /// Tokens and permissions.
    pub authorization: Authorization,
    /// Interval between two bookmarks of an idle watch.
    pub bookmark_interval: Duration,
}

impl Default for ObjectApiSettings {
    fn default() -> Self {
        ObjectApiSettings {
            store: ObjectStore::new(),
            authorization: Authorization::default(),
            bookmark_interval: Duration::from_secs(1),
        }
    }
}

/// State shared between connections; every method holds the lock for one
/// step.
pub(super) struct Shared {
    pub(super) bookmark_interval: Duration,
    inner: Mutex<Inner>,
}

/// State protected by the lock.
pub(super) struct Inner {
    pub(super) store: ObjectStore,
    pub(super) faults: Faults,
    pub(super) authorization: Authorization,
    pub(super) history: Vec<HistoryEntry>,
    pub(super) cuts: WatchCuts,
    watchers: BTreeMap<u64, Sender<()>>,
    next_watcher: u64,
}

/// Number of times that all watches were ended by a fault, and the manner of
/// the last time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct WatchCuts {
    pub(super) count: u64,
    pub(super) abruptly: bool,
}

/// Registration of a running watch, removed on drop.
pub(super) struct WatchRegistration<'a> {
    shared: &'a Shared,
    number: u64,
    /// Receives a message after every change.
    pub(super) signal: Receiver<()>,
}

impl Drop for WatchRegistration<'_> {
    fn drop(&mut self) {
        self.shared.inner.lock().watchers.remove(&self.number);
    }
}

impl Shared {
    pub(super) fn new(settings: ObjectApiSettings) -> Self {
        Shared {
            bookmark_interval: settings.bookmark_interval,
            inner: Mutex::new(Inner {
                store: settings.store,
                faults: Faults::default(),
                authorization: settings.authorization,
                history: Vec::new(),
                cuts: WatchCuts::default(),
                watchers: BTreeMap::new(),
                next_watcher: 0,
            }),
        }
    }

    /// Runs one step under the lock.
    pub(super) fn with<T>(&self, step: impl FnOnce(&mut Inner) -> T) -> T {
        step(&mut self.inner.lock())
    }

    /// Registers a watch.
    ///
    /// # Errors
    ///
    /// 429 if the limit of concurrent watches is reached.
    pub(super) fn register_watch(&self) -> Result<WatchRegistration<'_>, ApiError> {
        let mut inner = self.inner.lock();
        let running = inner.watchers.len();
        let most = inner.faults.max_watches;
        if most.is_some_and(|most| running >= most as usize) {
            return Err(ApiError::too_many_requests());
        }
        // One pending message is enough to wake the watch.
        let (sender, signal) = async_channel::bounded(1);
        let number = inner.next_watcher;
        inner.next_watcher += 1;
        inner.watchers.insert(number, sender);
        Ok(WatchRegistration {
            shared: self,
            number,
            signal,
        })
    }
}

impl Inner {
    /// Returns the number of running watches.
    pub(super) fn watch_count(&self) -> usize {
        self.watchers.len()
    }

    /// Applies a write and records it.
    pub(super) fn write(
        &mut self,
        write: &Write,
        principal: Option<String>,
        outcome: WriteOutcome,
    ) -> Result<Value, ApiError> {
        let version_before = self.store.version();
        let result = match outcome {
            WriteOutcome::Lost => Err(ApiError::bad_request("lost")),
            _ => self.store.write(write),
        };
        let status = match (&result, write.target) {
            (Ok(_), WriteTarget::Create) => 201,
            (Ok(_), _) => 200,
            (Err(error), _) => error.code,
        };
        self.history.push(HistoryEntry {
            at: clock::now(),
            operation: operation_of(write.target),
            object: Some(write.path.to_string()),
            principal,
            expected_version: write.expected_version(),
            version_before,
            version_after: self.store.version(),
            status,
            answered: outcome == WriteOutcome::Answered,
        });
        self.signal();
        result
    }

    /// Injects or clears a fault.
    ///
    /// # Errors
    ///
    /// Fails if the store cannot restore the given version.
    pub(super) fn run_command(&mut self, command: &FaultCommand) -> Result<(), ApiError> {
        let version_before = self.store.version();
        match command {
            FaultCommand::Down(true) => self.cut(true),
            FaultCommand::CutWatches { abruptly } => self.cut(*abruptly),
            FaultCommand::Compact => {
                self.store.compact(version_before);
                self.record(HistoryOperation::Compact, version_before);
            }
            FaultCommand::Restore { version, bump } => {
                self.store.restore(*version, *bump)?;
                self.record(HistoryOperation::Restore, version_before);
                self.cut(true);
            }
            _ => {}
        }
        self.faults.apply(command);
        self.signal();
        Ok(())
    }

    fn record(&mut self, operation: HistoryOperation, version_before: u64) {
        self.history.push(HistoryEntry {
            at: clock::now(),
            operation,
            object: None,
            principal: None,
            expected_version: None,
            version_before,
            version_after: self.store.version(),
            status: 200,
            answered: true,
        });
    }

    fn cut(&mut self, abruptly: bool) {
        self.cuts.count += 1;
        self.cuts.abruptly = abruptly;
    }

    fn signal(&self) {
        for watcher in self.watchers.values() {
            // If the channel is full, a pending message already wakes the watch.
            let _ = watcher.try_send(());
        }
    }
}

fn operation_of(target: WriteTarget) -> HistoryOperation {
    match target {
        WriteTarget::Create => HistoryOperation::Create,
        WriteTarget::Spec => HistoryOperation::Replace,
        WriteTarget::Status => HistoryOperation::ReplaceStatus,
        WriteTarget::Delete => HistoryOperation::Delete,
    }
}
