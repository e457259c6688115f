//! What the connections of the stand-in share.

use std::collections::BTreeMap;
use std::time::Duration;

use async_channel::{Receiver, Sender};
use parking_lot::Mutex;
use serde_json::Value;

use super::auth::Authorization;
use super::error::ApiError;
use super::faults::{FaultCommand, Faults, WriteFate};
use super::history::{HistoryEntry, HistoryOperation};
use super::operation::{Write, WriteTarget};
use super::store::ObjectStore;
use crate::clock;

/// How the stand-in begins.
#[derive(Clone, Debug)]
pub struct ObjectApiSettings {
    /// First objects.
    pub store: ObjectStore,
    /// Who may do what.
    pub authorization: Authorization,
    /// Interval between the bookmarks of a watch.
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

/// Shared between connections; every method holds the lock for one step.
pub(super) struct Shared {
    pub(super) bookmark_interval: Duration,
    inner: Mutex<Inner>,
}

/// What the lock protects.
pub(super) struct Inner {
    pub(super) store: ObjectStore,
    pub(super) faults: Faults,
    pub(super) authorization: Authorization,
    pub(super) history: Vec<HistoryEntry>,
    pub(super) cuts: Cuts,
    watchers: BTreeMap<u64, Sender<()>>,
    next_watcher: u64,
}

/// How often, and how the last time, all watches were cut.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Cuts {
    pub(super) count: u64,
    pub(super) abruptly: bool,
}

/// A place among the running watches, given up on drop.
pub(super) struct WatchPlace<'a> {
    shared: &'a Shared,
    number: u64,
    /// Gets a message after every change.
    pub(super) signal: Receiver<()>,
}

impl Drop for WatchPlace<'_> {
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
                cuts: Cuts::default(),
                watchers: BTreeMap::new(),
                next_watcher: 0,
            }),
        }
    }

    /// Runs one step under the lock.
    pub(super) fn with<T>(&self, step: impl FnOnce(&mut Inner) -> T) -> T {
        step(&mut self.inner.lock())
    }

    /// Takes a place among the watches.
    ///
    /// # Errors
    ///
    /// 429 if there are as many as allowed.
    pub(super) fn begin_watch(&self) -> Result<WatchPlace<'_>, ApiError> {
        let mut inner = self.inner.lock();
        let running = inner.watchers.len();
        let most = inner.faults.most_watches;
        if most.is_some_and(|most| running >= most as usize) {
            return Err(ApiError::too_many_requests());
        }
        // One message waiting is enough to make a watch look again.
        let (sender, signal) = async_channel::bounded(1);
        let number = inner.next_watcher;
        inner.next_watcher += 1;
        inner.watchers.insert(number, sender);
        Ok(WatchPlace {
            shared: self,
            number,
            signal,
        })
    }
}

impl Inner {
    /// Number of running watches.
    pub(super) fn watch_count(&self) -> usize {
        self.watchers.len()
    }

    /// Carries a write out and records it.
    pub(super) fn write(
        &mut self,
        write: &Write,
        principal: Option<String>,
        fate: WriteFate,
    ) -> Result<Value, ApiError> {
        let version_before = self.store.version();
        let result = match fate {
            WriteFate::Lost => Err(ApiError::bad_request("lost")),
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
            answered: fate == WriteFate::Answered,
        });
        self.signal();
        result
    }

    /// Sets or causes a fault.
    ///
    /// # Errors
    ///
    /// The store cannot go back to the version named.
    pub(super) fn apply(&mut self, command: &FaultCommand) -> Result<(), ApiError> {
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
        self.faults.set(command);
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
            // A full channel already makes the watch look again.
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
