//! Tracks from the outcome of each call whether the platform's store answers.
//!
//! A watch waits for a long time. If the store falls silent the connection
//! stays open, but the store no longer knows the call, and the watch waits in
//! vain. A failure of any call therefore makes every waiting watch suspect.

use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::time::Duration;

use parking_lot::Mutex;
use threadledge_net::stop::Stopped;
use threadledge_types::Timestamp;

use super::notifier::Notifier;
use super::outage::OutageTracker;

/// Approximate number of calls over which the mean call time is taken.
const MEAN_WINDOW: u64 = 8;

/// Health of the store, shared by everything that calls it.
#[derive(Debug)]
pub struct StoreHealth {
    failure: Notifier,
    success: Notifier,
    /// Number of collections that cannot be watched now.
    lost_collections: AtomicUsize,
    /// Start of the latest call that was answered, in microseconds.
    last_answered: AtomicU64,
    outage: Mutex<OutageTracker>,
    /// Mean time of a call that does not wait for changes, in microseconds; 0:
    /// unknown.
    call_micros: AtomicU64,
}

impl StoreHealth {
    /// Health of a store in which back ends renew their registrations every
    /// `heartbeat`.
    pub fn new(heartbeat: Duration) -> Self {
        StoreHealth {
            failure: Notifier::default(),
            success: Notifier::default(),
            lost_collections: AtomicUsize::new(0),
            last_answered: AtomicU64::new(0),
            outage: Mutex::new(OutageTracker::new(heartbeat)),
            call_micros: AtomicU64::new(0),
        }
    }

    /// Resolves with the next failure of a call.
    pub fn next_failure(&self) -> Stopped {
        self.failure.next()
    }

    /// Resolves with the next call that is answered while some collection
    /// cannot be watched.
    pub fn next_success(&self) -> Stopped {
        self.success.next()
    }

    /// Records that a collection can no longer be watched.
    pub fn collection_lost(&self) {
        self.lost_collections.fetch_add(1, Ordering::Relaxed);
        self.record_failure();
    }

    /// Records that a collection can be watched again.
    pub fn collection_regained(&self) {
        self.lost_collections.fetch_sub(1, Ordering::Relaxed);
    }

    /// Whether some collection cannot be watched now.
    pub fn has_lost_collections(&self) -> bool {
        self.lost_collections.load(Ordering::Relaxed) > 0
    }

    /// Records that a call was not answered.
    pub fn record_failure(&self) {
        self.failure.notify();
    }

    /// Records that a call that began at `started` was answered.
    pub fn record_answer(&self, started: Timestamp) {
        self.last_answered
            .fetch_max(started.as_micros(), Ordering::Relaxed);
        self.record_contact(started);
        if self.has_lost_collections() {
            self.success.notify();
        }
    }

    /// Records the time of an answered call that does not wait for changes.
    pub fn record_call_time(&self, call: Duration) {
        let call = u64::try_from(call.as_micros()).unwrap_or(u64::MAX).max(1);
        let mean = match self.call_micros.load(Ordering::Relaxed) {
            0 => call,
            known => (known * (MEAN_WINDOW - 1)).saturating_add(call) / MEAN_WINDOW,
        };
        self.call_micros.store(mean, Ordering::Relaxed);
    }

    /// Mean time of calls that do not wait for changes; `None` before the first
    /// answer.
    pub fn mean_call_time(&self) -> Option<Duration> {
        let micros = self.call_micros.load(Ordering::Relaxed);
        (micros > 0).then(|| Duration::from_micros(micros))
    }

    /// Records that the store answered this gateway or its relay at `at`.
    pub fn record_contact(&self, at: Timestamp) {
        self.outage.lock().record_answer(at);
    }

    /// End of the grace period for registrations that lapsed during a store
    /// outage; `None`: registrations that disappear now are gone.
    pub fn grace_until(&self, now: Timestamp) -> Option<Timestamp> {
        self.outage.lock().grace_until(now)
    }

    /// When the store last answered this gateway.
    pub fn last_answered(&self) -> Timestamp {
        Timestamp::from_micros(self.last_answered.load(Ordering::Relaxed))
    }
}
