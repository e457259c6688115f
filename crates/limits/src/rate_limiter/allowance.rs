//! Tokens and share of one tenant at one gateway.

use std::collections::VecDeque;
use std::time::Duration;

use threadledge_types::Timestamp;
use threadledge_types::deployment::TenantName;

use crate::bucket::{Bucket, BucketLimits};
use crate::messages::{Share, TenantQuotaRequest};
use crate::settings::{MAX_PAUSE, QUOTA_REQUEST_INTERVAL};

/// Time constant of the decaying mean of arrivals, in seconds.
const RATE_TIME_CONSTANT_S: f64 = 1.0;
/// Number of requests expected until the next quota request from which on
/// tokens are prefetched.
const MIN_EXPECTED: f64 = 0.5;
/// Maximum number of tokens prefetched by one quota request.
const MAX_PREFETCH: f64 = 10_000.0;

/// Tokens that were granted together.
#[derive(Clone, Copy, Debug)]
struct Batch {
    tokens: u32,
    expires: Timestamp,
}

/// Tokens, share and request rate of one tenant at a gateway.
#[derive(Debug, Default)]
pub(super) struct Allowance {
    batches: VecDeque<Batch>,
    /// Requests that have started to wait since the last quota request.
    pub(super) need: u32,
    /// Tokens to return with the next quota request.
    pub(super) returned: u32,
    pub(super) share: Share,
    /// When the ledger expects the next token to be available.
    pub(super) denied_until: Timestamp,
    /// Whether the tenant sends more than its limit.
    pub(super) over_limit: bool,
    /// Token bucket of the share and the time since which it is in use.
    fallback: Option<(Timestamp, Bucket)>,
    /// Requests that arrived since the last quota request.
    arrivals: u32,
    rate: f64,
    rate_updated: Timestamp,
    last_arrival: Timestamp,
}

impl Allowance {
    pub(super) fn record_arrival(&mut self, now: Timestamp) {
        self.arrivals += 1;
        self.last_arrival = now;
    }

    pub(super) fn last_arrival(&self) -> Timestamp {
        self.last_arrival
    }

    /// Returns the mean number of requests per second.
    pub(super) fn rate(&self) -> f64 {
        self.rate
    }

    /// Spends the token that expires first. Returns whether there was one.
    pub(super) fn spend(&mut self, now: Timestamp) -> bool {
        self.expire_batches(now);
        let Some(batch) = self.batches.front_mut() else {
            return false;
        };
        batch.tokens -= 1;
        if batch.tokens == 0 {
            self.batches.pop_front();
        }
        true
    }

    /// Spends a token of this gateway's share, which is in use since
    /// `fallback_since`. If there is none, the error is the time until the next
    /// one.
    pub(super) fn spend_share(
        &mut self,
        now: Timestamp,
        fallback_since: Timestamp,
        limits: BucketLimits,
    ) -> Result<(), Duration> {
        let (since, bucket) = self
            .fallback
            .get_or_insert((fallback_since, Bucket::empty(fallback_since)));
        if *since != fallback_since {
            // A quota request in between may have told the ledger that the
            // share is not in use.
            (*since, *bucket) = (fallback_since, Bucket::empty(fallback_since));
        }
        bucket.refill(now, limits);
        match bucket.take(1) {
            0 => Err(bucket.time_until(1.0, limits).unwrap_or(MAX_PAUSE)),
            _ => Ok(()),
        }
    }

    /// Ends the use of the share because the ledger responds again, and returns
    /// the remaining tokens.
    pub(super) fn end_fallback(&mut self) {
        if let Some((_, bucket)) = self.fallback.take() {
            self.returned += bucket.available();
        }
    }

    pub(super) fn add_tokens(&mut self, tokens: u32, expires: Timestamp) {
        if tokens > 0 {
            self.batches.push_back(Batch { tokens, expires });
        }
    }

    pub(super) fn tokens(&self, now: Timestamp) -> u32 {
        let valid = self.batches.iter().filter(|batch| now < batch.expires);
        valid.map(|batch| batch.tokens).sum()
    }

    /// Drops the tokens that expire by `at` and marks them to be returned.
    fn expire_batches(&mut self, at: Timestamp) {
        while let Some(batch) = self.batches.front().copied() {
            if at < batch.expires {
                return;
            }
            self.batches.pop_front();
            self.returned += batch.tokens;
        }
    }

    /// Builds the part of a quota request for this tenant and resets its
    /// counters.
    pub(super) fn build_request(
        &mut self,
        now: Timestamp,
        name: &TenantName,
    ) -> TenantQuotaRequest {
        self.update_rate(now);
        // Tokens that would expire before the next quota request are returned
        // and replaced with this one.
        self.expire_batches(now + QUOTA_REQUEST_INTERVAL);
        let expected = (self.rate * QUOTA_REQUEST_INTERVAL.as_secs_f64()).min(MAX_PREFETCH);
        let expected_tokens = match expected < MIN_EXPECTED {
            true => 0,
            false => expected.ceil() as u32,
        };
        TenantQuotaRequest {
            name: name.clone(),
            need: std::mem::take(&mut self.need),
            prefetch: expected_tokens.saturating_sub(self.tokens(now)),
            returned: std::mem::take(&mut self.returned),
            rate: (self.rate * 1_000.0) as u32,
            share: self.share,
        }
    }

    fn update_rate(&mut self, now: Timestamp) {
        let passed = now.since(self.rate_updated).as_secs_f64();
        if passed <= 0.0 {
            return;
        }
        let latest = f64::from(std::mem::take(&mut self.arrivals)) / passed;
        let weight = passed / (passed + RATE_TIME_CONSTANT_S);
        self.rate += (latest - self.rate) * weight;
        self.rate_updated = now;
    }
}
