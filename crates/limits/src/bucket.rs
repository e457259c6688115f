//! Token bucket whose rate and depth may change.

use std::time::Duration;

use threadledge_types::Timestamp;

/// Token bucket that refills at a rate, up to a depth. It starts empty: a
/// ledger that takes over must not grant tokens that its predecessor granted
/// already.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Bucket {
    level: f64,
    refilled_at: Timestamp,
}

/// Refill rate in tokens per second and depth in tokens.
#[derive(Clone, Copy, Debug)]
pub(crate) struct BucketLimits {
    pub(crate) rate: f64,
    pub(crate) depth: f64,
}

impl Bucket {
    pub(crate) fn empty(now: Timestamp) -> Self {
        Bucket {
            level: 0.0,
            refilled_at: now,
        }
    }

    /// Adds the tokens that accrued up to `now`.
    pub(crate) fn refill(&mut self, now: Timestamp, limits: BucketLimits) {
        let passed = now.since(self.refilled_at).as_secs_f64();
        self.refilled_at = self.refilled_at.max(now);
        self.level = (self.level + passed * limits.rate).min(limits.depth);
    }

    /// Takes up to `wanted` whole tokens and returns how many it took.
    pub(crate) fn take(&mut self, wanted: u32) -> u32 {
        let taken = wanted.min(self.available());
        self.level -= f64::from(taken);
        taken
    }

    /// Puts back unused tokens. The next refill caps the level at the depth.
    pub(crate) fn put_back(&mut self, tokens: u32) {
        self.level += f64::from(tokens);
    }

    /// Returns the number of whole tokens in the bucket.
    pub(crate) fn available(&self) -> u32 {
        // Rounding errors of many small refills must not withhold a token
        // forever.
        (self.level + 1e-9).clamp(0.0, f64::from(u32::MAX)) as u32
    }

    pub(crate) fn level(&self) -> f64 {
        self.level
    }

    /// Returns the time until the bucket holds `tokens`, or `None` if it never
    /// will.
    pub(crate) fn time_until(&self, tokens: f64, limits: BucketLimits) -> Option<Duration> {
        let missing = tokens - self.level;
        if missing <= 0.0 {
            return Some(Duration::ZERO);
        }
        if limits.depth < tokens || limits.rate <= 0.0 {
            return None;
        }
        Duration::try_from_secs_f64(missing / limits.rate).ok()
    }
}
