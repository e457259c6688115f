//! Whether the platform's store answers, as every call to it shows.
//!
//! A watch waits for long, and a store that fell silent leaves it waiting:
//! the connection stands, but the store no longer knows of the call. So a
//! failure of any call makes every watch that waits suspect.

use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};

use threadledge_net::stop::Stopped;
use threadledge_types::Timestamp;

use super::notifier::Notifier;

/// Shared by everything that calls the store.
#[derive(Debug, Default)]
pub struct StoreHealth {
    failure: Notifier,
    success: Notifier,
    /// Collections that cannot be followed now.
    lost: AtomicUsize,
    /// Start of the latest call that was answered, in microseconds.
    answered: AtomicU64,
}

impl StoreHealth {
    /// Resolves with the next failure of a call.
    pub fn next_failure(&self) -> Stopped {
        self.failure.next()
    }

    /// Resolves with the next call that is answered, while some collection
    /// cannot be followed.
    pub fn next_success(&self) -> Stopped {
        self.success.next()
    }

    /// A collection cannot be followed any more.
    pub fn lost(&self) {
        self.lost.fetch_add(1, Ordering::Relaxed);
        self.failed();
    }

    /// A collection can be followed again.
    pub fn regained(&self) {
        self.lost.fetch_sub(1, Ordering::Relaxed);
    }

    /// Whether some collection cannot be followed now.
    pub fn is_lost(&self) -> bool {
        self.lost.load(Ordering::Relaxed) > 0
    }

    /// A call was not answered.
    pub fn failed(&self) {
        self.failure.notify();
    }

    /// A call that began at `started` was answered.
    pub fn answered(&self, started: Timestamp) {
        self.answered
            .fetch_max(started.as_micros(), Ordering::Relaxed);
        if self.is_lost() {
            self.success.notify();
        }
    }

    /// The store surely answered at that time.
    pub fn seen(&self) -> Timestamp {
        Timestamp::from_micros(self.answered.load(Ordering::Relaxed))
    }
}
