//! Token bucket of one tenant and the shares of its rate that gateways hold.

use std::time::Duration;

use threadledge_types::Timestamp;
use threadledge_types::deployment::{RateLimit, TenantName};

use super::gateway::{Gateway, Holding};
use super::recovery::MAX_SHARE;
use crate::bucket::{Bucket, BucketLimits};
use crate::messages::Share;
use crate::settings::Settings;

/// Fraction of a rate that is assigned to gateways as shares; the rest stays
/// with the ledger for new gateways.
const ASSIGNABLE_FRACTION: f64 = 0.95;
/// Fraction of the bucket that must remain after tokens are granted for
/// requests that have not arrived yet.
const PREFETCH_MIN_FILL: f64 = 0.75;

/// Ratio of reported requests to the limit above which a tenant counts as over
/// its limit. The average rates of callers within the limit fluctuate too.
const OVER_LIMIT_RATIO: f64 = 1.25;

#[derive(Debug)]
pub(super) struct TenantBucket {
    pub(super) limit: RateLimit,
    depth: f64,
    max_rounding_excess: f64,
    bucket: Bucket,
    /// Shares that gateways reported from the previous ledger, in millionths.
    reclaimed: u64,
    /// Share of the rate that this ledger or its gateways own, in millionths.
    total: u64,
    /// Share held by all gateways.
    held: u64,
    /// Share held by silent gateways, which may be using it.
    reserved: u64,
    /// Rate that all gateways report, in thousandths of a request per second.
    reported_rate_millis: u64,
    /// Tokens by which all shares together exceed the depth, because each
    /// gateway can hold at least one whole token.
    rounding_excess: f64,
}

impl TenantBucket {
    pub(super) fn new(now: Timestamp, limit: RateLimit, settings: &Settings) -> Self {
        TenantBucket {
            limit,
            depth: settings.depth(limit),
            max_rounding_excess: settings.max_rounding_excess(),
            bucket: Bucket::empty(now),
            reclaimed: 0,
            total: 0,
            held: 0,
            reserved: 0,
            reported_rate_millis: 0,
            rounding_excess: 0.0,
        }
    }

    /// Returns the same bucket with another limit. The caller has to add the
    /// holdings again; shares are fractions of the limit and stay valid.
    pub(super) fn with_limit(
        mut self,
        now: Timestamp,
        limit: RateLimit,
        settings: &Settings,
    ) -> Self {
        self.refill(now);
        TenantBucket {
            bucket: self.bucket,
            reclaimed: self.reclaimed,
            total: self.total,
            ..TenantBucket::new(now, limit, settings)
        }
    }

    fn limits(&self) -> BucketLimits {
        let own = self.total.saturating_sub(self.reserved);
        let own = Share(u32::try_from(own).unwrap_or(u32::MAX)).min(Share::WHOLE);
        BucketLimits {
            rate: own.of(self.limit.rate),
            depth: own.of(self.depth),
        }
    }

    pub(super) fn refill(&mut self, now: Timestamp) {
        self.bucket.refill(now, self.limits());
    }

    /// Adds a share that a gateway holds from an earlier ledger.
    pub(super) fn reclaim(&mut self, share: Share, unreserved: Share) {
        self.reclaimed += u64::from(share.0);
        self.set_unreserved(unreserved);
    }

    /// Sets the share that the ledger owns even if no gateway reports any.
    pub(super) fn set_unreserved(&mut self, unreserved: Share) {
        self.total = self
            .reclaimed
            .max(unreserved.0.into())
            .min(Share::WHOLE.0.into());
    }

    /// Puts back unused tokens.
    pub(super) fn put_back(&mut self, tokens: u32) {
        self.bucket.put_back(tokens);
    }

    pub(super) fn take_needed(&mut self, tokens: u32) -> u32 {
        self.bucket.take(tokens)
    }

    /// Takes tokens for requests that have not arrived yet. It takes the full
    /// number while the bucket is well filled and none otherwise, because other
    /// gateways may need them. For a tenant over its limit it takes up to half
    /// of the bucket, since every gateway needs all that it can get.
    pub(super) fn take_prefetch(&mut self, tokens: u32) -> u32 {
        if self.is_over_limit() {
            return self.bucket.take(tokens.min(self.bucket.available() / 2));
        }
        let available = self.bucket.level() - f64::from(tokens);
        match available >= self.limits().depth * PREFETCH_MIN_FILL {
            true => self.bucket.take(tokens),
            false => 0,
        }
    }

    /// Returns the time until the next token, or `None` if the bucket gains
    /// none at present.
    pub(super) fn time_to_token(&self) -> Option<Duration> {
        self.bucket.time_until(1.0, self.limits())
    }

    pub(super) fn add_holding(&mut self, holding: Holding, silent: bool) {
        let share = u64::from(holding.share.0);
        self.held += share;
        self.reported_rate_millis += u64::from(holding.rate);
        self.rounding_excess += self.rounding_excess_of(holding.share);
        if silent {
            self.reserved += share;
        }
    }

    pub(super) fn remove_holding(&mut self, holding: Holding, silent: bool) {
        let share = u64::from(holding.share.0);
        self.held = self.held.saturating_sub(share);
        self.reported_rate_millis = self
            .reported_rate_millis
            .saturating_sub(u64::from(holding.rate));
        self.rounding_excess =
            (self.rounding_excess - self.rounding_excess_of(holding.share)).max(0.0);
        if silent {
            self.reserved = self.reserved.saturating_sub(share);
        }
    }

    fn rounding_excess_of(&self, share: Share) -> f64 {
        match share.is_none() {
            true => 0.0,
            false => (1.0 - share.of(self.depth)).max(0.0),
        }
    }

    /// Assigns a gateway a share in proportion to the requests that it reports,
    /// as far as the shares of other gateways allow. Until the gateway's next
    /// request the larger of its old and its new share is counted.
    pub(super) fn assign_share(&mut self, gateway: &mut Gateway, name: &TenantName) -> Share {
        let Some(held) = gateway.holdings.get(name).copied() else {
            return Share::default();
        };
        let fraction = f64::from(held.rate) / (self.reported_rate_millis.max(1) as f64);
        let shared = (self.total as f64 * ASSIGNABLE_FRACTION) as u64;
        let available = shared.saturating_sub(self.held.saturating_sub(held.share.0.into()));
        let wanted = (shared as f64 * fraction) as u64;
        let offered = u32::try_from(wanted.min(available)).unwrap_or(u32::MAX);
        let mut offered = Share(offered).min(MAX_SHARE);
        let others = self.rounding_excess - self.rounding_excess_of(held.share);
        if others + self.rounding_excess_of(offered) > self.max_rounding_excess {
            offered = Share::default();
        }
        let counted = Holding {
            share: held.share.max(offered),
            rate: held.rate,
        };
        self.remove_holding(held, gateway.silent);
        self.add_holding(counted, gateway.silent);
        gateway.holdings.insert(name.clone(), counted);
        offered
    }

    pub(super) fn level(&self) -> f64 {
        self.bucket.level()
    }

    /// Whether gateways report clearly more requests than the limit allows.
    pub(super) fn is_over_limit(&self) -> bool {
        self.reported_rate() > self.limit.rate * OVER_LIMIT_RATIO
    }

    pub(super) fn reported_rate(&self) -> f64 {
        self.reported_rate_millis as f64 / 1_000.0
    }
}
