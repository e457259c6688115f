//! One tenant's tokens at one gateway.

use std::collections::VecDeque;
use std::time::Duration;

use threadledge_types::Timestamp;
use threadledge_types::deployment::TenantName;

use crate::bucket::{Bucket, Flow};
use crate::messages::{Share, TenantQuotaRequest};
use crate::settings::{QUOTA_REQUEST_INTERVAL, LONGEST_PAUSE};

/// Time over which arrivals are averaged, in seconds.
const AVERAGE_S: f64 = 1.0;
/// Requests expected until the next ask from which on tokens are kept ready.
const LEAST_EXPECTED: f64 = 0.5;
/// Most requests that one ask is for.
const MOST_ASKED: f64 = 10_000.0;

/// Tokens that were handed out together.
#[derive(Clone, Copy, Debug)]
struct Batch {
    tokens: u32,
    ends: Timestamp,
}

/// What a gateway holds of one tenant's limit.
#[derive(Debug, Default)]
pub(super) struct Allowance {
    batches: VecDeque<Batch>,
    /// Requests that wait, since the last ask.
    pub(super) need: u32,
    /// Tokens to be given back with the next ask.
    pub(super) returned: u32,
    pub(super) share: Share,
    /// There is no token to be had before.
    pub(super) none_until: Timestamp,
    /// Its callers send more than the limit.
    pub(super) over_limit: bool,
    /// Its share's tokens, and since when it is used.
    fallback: Option<(Timestamp, Bucket)>,
    /// Requests since the last ask.
    arrivals: u32,
    rate: f64,
    rated: Timestamp,
    seen: Timestamp,
}

impl Allowance {
    pub(super) fn arrived(&mut self, now: Timestamp) {
        self.arrivals += 1;
        self.seen = now;
    }

    pub(super) fn last_seen(&self) -> Timestamp {
        self.seen
    }

    /// Requests a second.
    pub(super) fn rate(&self) -> f64 {
        self.rate
    }

    /// Spends a token, the one that ends first.
    pub(super) fn spend(&mut self, now: Timestamp) -> bool {
        self.end_batches(now);
        let Some(batch) = self.batches.front_mut() else {
            return false;
        };
        batch.tokens -= 1;
        if batch.tokens == 0 {
            self.batches.pop_front();
        }
        true
    }

    /// Spends from this gateway's share, which it uses since `begun`.
    pub(super) fn spend_share(
        &mut self,
        now: Timestamp,
        begun: Timestamp,
        flow: Flow,
    ) -> Result<(), Duration> {
        let (since, bucket) = self.fallback.get_or_insert((begun, Bucket::empty(begun)));
        if *since != begun {
            // Meanwhile an ask may have told the ledger that it is not used.
            (*since, *bucket) = (begun, Bucket::empty(begun));
        }
        bucket.refill(now, flow);
        match bucket.take(1) {
            0 => Err(bucket.until(1.0, flow).unwrap_or(LONGEST_PAUSE)),
            _ => Ok(()),
        }
    }

    /// The ledger answers again: what is left of the share goes back.
    pub(super) fn end_fallback(&mut self) {
        if let Some((_, bucket)) = self.fallback.take() {
            self.returned += bucket.whole();
        }
    }

    pub(super) fn put(&mut self, tokens: u32, ends: Timestamp) {
        if tokens > 0 {
            self.batches.push_back(Batch { tokens, ends });
        }
    }

    pub(super) fn tokens(&self, now: Timestamp) -> u32 {
        let valid = self.batches.iter().filter(|batch| now < batch.ends);
        valid.map(|batch| batch.tokens).sum()
    }

    /// Tokens that end before `at` go back unused.
    fn end_batches(&mut self, at: Timestamp) {
        while let Some(batch) = self.batches.front().copied() {
            if at < batch.ends {
                return;
            }
            self.batches.pop_front();
            self.returned += batch.tokens;
        }
    }

    /// What to ask for now.
    pub(super) fn ask(&mut self, now: Timestamp, name: &TenantName) -> TenantQuotaRequest {
        self.average(now);
        // Those that end before the next ask are exchanged with this one.
        self.end_batches(now + QUOTA_REQUEST_INTERVAL);
        let expected = (self.rate * QUOTA_REQUEST_INTERVAL.as_secs_f64()).min(MOST_ASKED);
        let wanted = match expected < LEAST_EXPECTED {
            true => 0,
            false => expected.ceil() as u32,
        };
        TenantQuotaRequest {
            name: name.clone(),
            need: std::mem::take(&mut self.need),
            prefetch: wanted.saturating_sub(self.tokens(now)),
            returned: std::mem::take(&mut self.returned),
            rate: (self.rate * 1_000.0) as u32,
            share: self.share,
        }
    }

    fn average(&mut self, now: Timestamp) {
        let passed = now.since(self.rated).as_secs_f64();
        if passed <= 0.0 {
            return;
        }
        let latest = f64::from(std::mem::take(&mut self.arrivals)) / passed;
        let weight = passed / (passed + AVERAGE_S);
        self.rate += (latest - self.rate) * weight;
        self.rated = now;
    }
}
