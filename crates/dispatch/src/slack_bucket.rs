//! One router's share of the slack of the retry budget: the retries that all
//! routers together may send in addition to the ratio of their requests.
//!
//! The share is a token bucket that starts empty and fills with time. A process
//! that restarts has forgotten what it used, and must not get the same retries
//! again: this way, one machine uses no more than its share in any window,
//! however often the process restarts. The share expires unless the number of
//! routers is confirmed: other routers that lost contact with this one divide
//! the slack among fewer.

use std::time::Duration;

use threadledge_types::Timestamp;

/// Fraction of the share that can accumulate. The rest is refilled during a
/// window, so that a window can use at most both together, which is the share.
const BURST_FRACTION: f64 = 0.5;

/// Token bucket of retries.
#[derive(Clone, Debug)]
pub(crate) struct SlackBucket {
    /// Retries allowed in any window.
    per_window: f64,
    /// When the share expires; `None` means never.
    valid_until: Option<Timestamp>,
    window: Duration,
    balance: f64,
    refilled_at: Timestamp,
}

impl SlackBucket {
    /// Creates an empty bucket with a share of zero.
    pub(crate) fn new(now: Timestamp, window: Duration) -> Self {
        SlackBucket {
            per_window: 0.0,
            valid_until: None,
            window,
            balance: 0.0,
            refilled_at: now,
        }
    }

    /// Retries allowed in any window; zero if the share has expired.
    pub(crate) fn per_window(&self, now: Timestamp) -> f64 {
        if self.has_expired(now) {
            0.0
        } else {
            self.per_window
        }
    }

    /// Sets the share, which expires at `valid_until`; `None` means never.
    pub(crate) fn set_rate(
        &mut self,
        now: Timestamp,
        per_window: f64,
        valid_until: Option<Timestamp>,
    ) {
        self.refill(now);
        self.per_window = per_window;
        self.valid_until = valid_until;
        self.balance = self.balance.min(self.capacity());
    }

    /// Takes this many retries from the bucket, if it has enough.
    pub(crate) fn try_take(&mut self, now: Timestamp, retries: f64) -> bool {
        self.refill(now);
        if self.balance < retries {
            return false;
        }
        self.balance -= retries;
        true
    }

    /// Returns retries that were taken at `taken` and not used, minus those
    /// that were refilled since: if the retries had stayed in the bucket, the
    /// refill might have overflowed.
    pub(crate) fn return_unused(&mut self, now: Timestamp, retries: f64, taken: Timestamp) {
        self.refill(now);
        let unearned = (retries - self.earned_during(now.since(taken))).max(0.0);
        self.balance = (self.balance + unearned).min(self.capacity());
    }

    /// Most retries that can accumulate.
    fn capacity(&self) -> f64 {
        self.per_window * BURST_FRACTION
    }

    fn has_expired(&self, now: Timestamp) -> bool {
        self.valid_until.is_some_and(|until| now >= until)
    }

    /// Adds the retries earned since the last refill.
    fn refill(&mut self, now: Timestamp) {
        let earned = self.earned_during(now.since(self.refilled_at));
        self.balance = (self.balance + earned).min(self.capacity());
        if self.has_expired(now) {
            self.balance = 0.0;
        }
        self.refilled_at = self.refilled_at.max(now);
    }

    /// Retries that are earned during `time`.
    fn earned_during(&self, time: Duration) -> f64 {
        let windows = time.as_secs_f64() / self.window.as_secs_f64();
        self.per_window * (1.0 - BURST_FRACTION) * windows
    }
}
