//! Requests and retries of one service at one router in a sliding window, and
//! the credit for retries that the requests earned.
//!
//! Credit expires before the window ends. So the retries that arrive at back
//! ends in any window were paid for by the requests of that window and the one
//! before, whichever routers these requests came to.

use std::ops::RangeInclusive;
use std::time::Duration;

use threadledge_types::Timestamp;

/// Credit that one retry costs.
pub(crate) const RETRY_COST: u64 = 1_000_000;
/// Number of buckets into which the sliding window is divided.
const BUCKETS_PER_WINDOW: u32 = 20;
/// Number of buckets that are kept: one more than the window has, so that they
/// always cover a whole window, wherever it starts within a bucket.
const BUCKET_COUNT: usize = BUCKETS_PER_WINDOW as usize + 1;
/// Number of buckets whose credit can be spent. The rest of the window is for
/// the time until a retry arrives at its back end.
const CREDIT_BUCKETS: u64 = 16;

#[derive(Clone, Copy, Debug, Default)]
struct Bucket {
    requests: u32,
    retries: u32,
    /// Credit that the requests of this bucket earned and that is not spent, in
    /// the unit of `RETRY_COST`.
    credit: u64,
}

/// Credit for one retry, and where it comes from.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Payment {
    /// At most `RETRY_COST`.
    pub(crate) credit: u64,
    /// Number of the oldest bucket that pays.
    oldest: u64,
}

impl Payment {
    /// The part of the retry that the credit pays for, from 0 to 1.
    pub(crate) fn fraction(&self) -> f64 {
        self.credit as f64 / RETRY_COST as f64
    }
}

/// The sliding window, divided into buckets.
#[derive(Clone, Debug)]
pub(crate) struct CreditWindow {
    /// Credit that each request earns, in the unit of `RETRY_COST`.
    credit_per_request: u64,
    bucket_length: Duration,
    buckets: [Bucket; BUCKET_COUNT],
    /// Number of the newest bucket, counted from the time origin.
    newest: u64,
}

impl CreditWindow {
    /// Creates an empty window in which each request earns a credit of
    /// `ratio` retries.
    pub(crate) fn new(ratio: f64, window: Duration) -> Self {
        CreditWindow {
            credit_per_request: (ratio * RETRY_COST as f64).round() as u64,
            bucket_length: window / BUCKETS_PER_WINDOW,
            buckets: [Bucket::default(); BUCKET_COUNT],
            newest: 0,
        }
    }

    /// Counts a request, which earns credit.
    pub(crate) fn count_request(&mut self, now: Timestamp) {
        let credit = self.credit_per_request;
        let bucket = self.advance(now);
        bucket.requests += 1;
        bucket.credit += credit;
    }

    /// The credit that could pay for a retry now.
    pub(crate) fn price(&mut self, now: Timestamp) -> Payment {
        self.advance(now);
        let mut credit = 0;
        let mut oldest = self.newest;
        for number in self.numbers_with_credit().rev() {
            if self.bucket(number).credit > 0 {
                credit += self.bucket(number).credit;
                oldest = number;
            }
        }
        Payment {
            credit: credit.min(RETRY_COST),
            oldest,
        }
    }

    /// Counts a retry and spends the credit for it, the oldest first.
    pub(crate) fn count_retry(&mut self, now: Timestamp, payment: &Payment) {
        self.advance(now).retries += 1;
        let mut left = payment.credit;
        for number in self.numbers_with_credit() {
            let bucket = self.bucket_mut(number);
            let spent = left.min(bucket.credit);
            bucket.credit -= spent;
            left -= spent;
        }
    }

    /// Undoes the count of a retry. Its credit expires as if it had not been
    /// spent, or earlier if several buckets paid.
    pub(crate) fn undo_retry(&mut self, now: Timestamp, counted_at: Timestamp, payment: &Payment) {
        self.advance(now);
        let counted_in = self.number_of(counted_at);
        if self.is_kept(counted_in) {
            let bucket = self.bucket_mut(counted_in);
            bucket.retries = bucket.retries.saturating_sub(1);
        }
        if self.is_kept(payment.oldest) {
            self.bucket_mut(payment.oldest).credit += payment.credit;
        }
    }

    /// Age of the oldest requests that pay.
    pub(crate) fn age(&self, now: Timestamp, payment: &Payment) -> Duration {
        let start = Timestamp::from_micros(payment.oldest * self.bucket_micros());
        now.since(start)
    }

    /// Number of requests in the window.
    pub(crate) fn requests(&mut self, now: Timestamp) -> u32 {
        self.advance(now);
        self.buckets.iter().map(|bucket| bucket.requests).sum()
    }

    /// Number of retries in the window.
    pub(crate) fn retries(&mut self, now: Timestamp) -> u32 {
        self.advance(now);
        self.buckets.iter().map(|bucket| bucket.retries).sum()
    }

    /// Numbers of the buckets whose credit has not expired, the oldest first.
    fn numbers_with_credit(&self) -> RangeInclusive<u64> {
        let oldest = (self.newest + 1).saturating_sub(CREDIT_BUCKETS);
        oldest..=self.newest
    }

    /// Whether a bucket has not left the window.
    fn is_kept(&self, number: u64) -> bool {
        number <= self.newest && number + BUCKET_COUNT as u64 > self.newest
    }

    fn bucket(&self, number: u64) -> &Bucket {
        &self.buckets[(number % BUCKET_COUNT as u64) as usize]
    }

    fn bucket_mut(&mut self, number: u64) -> &mut Bucket {
        &mut self.buckets[(number % BUCKET_COUNT as u64) as usize]
    }

    /// Moves the window on to `now` and returns its newest bucket.
    fn advance(&mut self, now: Timestamp) -> &mut Bucket {
        let number = self.number_of(now);
        let passed = number.saturating_sub(self.newest).min(BUCKET_COUNT as u64);
        for step in 1..=passed {
            *self.bucket_mut(self.newest + step) = Bucket::default();
        }
        self.newest = self.newest.max(number);
        self.bucket_mut(self.newest)
    }

    /// Number of the bucket of a point in time, counted from the time origin.
    fn number_of(&self, at: Timestamp) -> u64 {
        at.as_micros() / self.bucket_micros()
    }

    /// Length of a bucket in microseconds.
    fn bucket_micros(&self) -> u64 {
        let micros = u64::try_from(self.bucket_length.as_micros());
        micros.unwrap_or(u64::MAX).max(1)
    }
}
