//! Token bucket that bounds retries and hedges by the number of first
//! attempts, so that they cannot amplify an overload.

use std::time::Duration;

use threadledge_types::Timestamp;

/// Hundredths of a token, so that deposits stay whole numbers.
const TOKEN: u64 = 100;

/// Tokens for extra attempts. Over any run the extra attempts are at most
/// `reserve + percent/100 × first attempts`, and one more for each `refill`
/// that has passed if the bucket refills by time.
#[derive(Clone, Debug)]
pub struct Budget {
    hundredths: u64,
    deposit: u64,
    capacity: u64,
    refill: Option<Refill>,
}

/// Refill by time: without it a back end that nobody else asks would get no
/// retry any more once the bucket is empty.
#[derive(Clone, Copy, Debug)]
struct Refill {
    interval: Duration,
    refilled_at: Timestamp,
}

impl Budget {
    /// A bucket that holds `reserve` tokens at most and at the start, and
    /// gains `percent` hundredths of a token with each first attempt.
    pub fn new(percent: u32, reserve: u32) -> Self {
        let capacity = u64::from(reserve) * TOKEN;
        Budget {
            hundredths: capacity,
            deposit: u64::from(percent),
            capacity,
            refill: None,
        }
    }

    /// Lets the bucket gain one token each `interval`; none when it is zero.
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

    /// A first attempt was made.
    pub fn deposit(&mut self) {
        self.gain(self.deposit);
    }

    /// Takes in what time has brought. To be called before `withdraw`.
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
            // Less than a part is kept for the next time.
            refill.refilled_at = refill.refilled_at + part * parts as u32;
        }
        self.gain(parts);
    }

    /// Takes a token for one extra attempt, if there is one.
    pub fn withdraw(&mut self) -> bool {
        if self.hundredths < TOKEN {
            return false;
        }
        self.hundredths -= TOKEN;
        true
    }

    /// Whole tokens left.
    pub fn available(&self) -> u64 {
        self.hundredths / TOKEN
    }

    fn gain(&mut self, hundredths: u64) {
        let gained = self.hundredths.saturating_add(hundredths);
        self.hundredths = gained.min(self.capacity);
    }
}
