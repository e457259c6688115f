//! Whether the platform's store answers, as every call to it shows.
//!
//! A watch waits for long, and a store that fell silent leaves it waiting:
//! the connection stands, but the store no longer knows of the call. So a
//! failure of any call makes every watch that waits suspect.

use std::sync::atomic::{AtomicUsize, Ordering};

use parking_lot::Mutex;
use threadledge_net::StopSignal;
use threadledge_net::stop::Stopped;

/// Shared by everything that calls the store.
#[derive(Debug, Default)]
pub struct StoreHealth {
    /// Given with the next failure.
    next_failure: Mutex<StopSignal>,
    /// Collections that cannot be followed now.
    lost: AtomicUsize,
}

impl StoreHealth {
    /// Resolves with the next failure of a call.
    pub fn next_failure(&self) -> Stopped {
        self.next_failure.lock().stopped()
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
        let given = std::mem::take(&mut *self.next_failure.lock());
        given.stop();
    }
}
