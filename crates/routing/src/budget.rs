//! Token bucket that bounds retries and hedges by the number of first
//! attempts, so that they cannot amplify an overload.

use std::time::Duration;

use threadledge_types::Timestamp;

/// Hundredths of a token, so that deposits stay whole numbers.
const TOKEN: u64 = 100;

/// Token bucket for extra attempts. Over any run the number of extra attempts
/// is at most `reserve + percent/100 × first attempts`, plus one for each
/// `refill` interval that has passed if the bucket refills by time.
#[derive(Clone, Debug)]
pub struct Budget {
    /// Current level.
    hundredths: u64,
    /// Hundredths gained with each first attempt.
    deposit: u64,
    capacity: u64,
    refill: Option<Refill>,
}

/// Refill by time. Without it, a back end that gets no other requests would
/// never be granted a retry again once its bucket is empty.
#[derive(Clone, Copy, Debug)]
struct Refill {
    interval: Duration,
    refilled_at: Timestamp,
}

impl Budget {
    /// Creates a bucket that starts with `reserve` tokens, holds no more than
    /// that, and gains `percent` hundredths of a token with each first attempt.
    pub fn new(percent: u32, reserve: u32) -> Self {
        let capacity = u64::from(reserve) * TOKEN;
        Budget {
            hundredths: capacity,
            deposit: u64::from(percent),
            capacity,
            refill: None,
        }
    }

    /// Sets the interval at which the bucket gains one token; zero turns
    /// refilling by time off.
    pub fn set_refill(&mut self, interval: Duration) {
        let refilled_at = self
            .refill
            .map_or(Timestamp::ZERO, |refill| refill.refilled_at);
        let refill = Refill {
            interval,
            refilled_at,
        };
        self.refill = (!interval.is_zero()).then_some(refill);
    }

    /// Adds the share of a token that a first attempt earns.
    pub fn deposit(&mut self) {
        self.gain(self.deposit);
    }

    /// Adds the tokens earned by time. Call this before `withdraw`.
    pub fn refill(&mut self, now: Timestamp) {
        let Some(refill) = &mut self.refill else {
            return;
        };
        let part = refill.interval / TOKEN as u32;
        let passed = now.since(refill.refilled_at).as_micros();
        let parts = passed / part.as_micros().max(1);
        let parts = u64::try_from(parts).unwrap_or(u64::MAX);
        if parts >= self.capacity {
            refill.refilled_at = now;
        } else {
            // The remainder below one part is carried over to the next refill.
            refill.refilled_at = refill.refilled_at + part * parts as u32;
        }
        self.gain(parts);
    }

    /// Takes a token for one extra attempt. Returns whether there was one.
    pub fn withdraw(&mut self) -> bool {
        if self.hundredths < TOKEN {
            return false;
        }
        self.hundredths -= TOKEN;
        true
    }

    /// Number of whole tokens left.
    pub fn available(&self) -> u64 {
        self.hundredths / TOKEN
    }

    fn gain(&mut self, hundredths: u64) {
        let gained = self.hundredths.saturating_add(hundredths);
        self.hundredths = gained.min(self.capacity);
    }
}
