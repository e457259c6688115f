//! Tokens for back ends that announce a limit on the requests per second that
//! they take from all routers together.
//!
//! The coordinator of a service keeps a token bucket for each such back end,
//! and routers request a token from it for each request. No node needs to know
//! the number of routers, and a router that requests nothing takes nothing from
//! the others.
//!
//! Invariant: the tokens that can be used within any period are at most what
//! the limit allows in that period plus [`TOKEN_LIFETIME`], plus two full
//! buckets. This holds because tokens expire, a coordinator starts with empty
//! buckets, and two nodes that may both be coordinator grant
//! [`UNCONFIRMED_PART`] each.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use threadledge_types::Timestamp;
use threadledge_types::deployment::BackEndName;

use crate::holders::Candidate;

/// Time for which a token may be used, counted from the request for it.
pub const TOKEN_LIFETIME: Duration = Duration::from_millis(500);
/// Lower bound on limits, in requests per second. A router that sent no
/// requests at all would never learn that a limit has ended.
pub const MIN_RATE: f64 = 0.1;
/// Fraction of a limit that a coordinator grants while another node may also be
/// coordinator.
const UNCONFIRMED_PART: f64 = 0.4;
/// Tokens that a bucket holds in addition to [`BUCKET_SECONDS`]. Requests arrive
/// at random, and those beyond a full bucket's tokens are refused.
const BUCKET_BASE: f64 = 2.0;
/// Seconds of a limit's tokens that a bucket holds.
const BUCKET_SECONDS: f64 = 0.5;
/// Time without a request that names a lower limit before a higher one takes
/// effect. Routers that have not heard of the higher limit yet still name the
/// lower one.
const RAISE_DELAY: Duration = Duration::from_secs(1);
/// Time after the last request for its tokens for which a back end counts as
/// limited.
const LIMIT_EXPIRY: Duration = Duration::from_secs(4);
/// Longest time that a router is told to wait for a token.
const MAX_WAIT: Duration = Duration::from_secs(10);
/// Fraction of its limit for which an owner keeps keys, because requests arrive
/// at random.
const KEPT_LIMIT_PART: f64 = 0.7;
/// Maximum fraction of all requests that limited owners together keep, if there
/// are other owners.
const MAX_KEPT_SHARE: f64 = 0.95;

/// A router's request for tokens of one back end.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct TokenRequest {
    /// The back end.
    pub back_end: BackEndName,
    /// The back end's limit as this router last heard it, in requests per
    /// second.
    pub rate: f64,
    /// Number of tokens needed now.
    pub needed: u32,
}

/// Tokens granted to a router for one back end.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct TokenGrant {
    /// The back end.
    pub back_end: BackEndName,
    /// Number of tokens, usable for [`TOKEN_LIFETIME`] from the request.
    pub tokens: u32,
    /// Time until another token is available, in milliseconds, if fewer were
    /// granted than needed.
    pub wait_ms: u32,
}

/// The token bucket of one back end.
#[derive(Clone, Copy, Debug)]
struct Bucket {
    rate: f64,
    /// Time at which this rate, or a lower one, was last named.
    rate_named_at: Timestamp,
    last_request_at: Timestamp,
    level: f64,
    filled_at: Timestamp,
}

impl Bucket {
    fn new(now: Timestamp, rate: f64) -> Self {
        Bucket {
            rate,
            rate_named_at: now,
            last_request_at: now,
            level: 0.0,
            filled_at: now,
        }
    }

    /// Sets the rate to a lower one at once and to a higher one after
    /// [`RAISE_DELAY`].
    fn set_rate(&mut self, now: Timestamp, rate: f64) {
        let raised = rate > self.rate && now.since(self.rate_named_at) >= RAISE_DELAY;
        if rate <= self.rate || raised {
            self.rate = rate;
            self.rate_named_at = now;
        }
    }

    /// Adds the tokens gained since the last call, for `part` of the rate.
    fn fill(&mut self, now: Timestamp, part: f64) {
        let gained = now.since(self.filled_at).as_secs_f64() * self.rate * part;
        self.filled_at = now;
        self.level = (self.level + gained).min(BUCKET_BASE + BUCKET_SECONDS * self.rate);
    }

    /// Removes up to `needed` whole tokens and returns how many.
    fn take(&mut self, needed: u32) -> u32 {
        let taken = needed.min(self.level as u32);
        self.level -= f64::from(taken);
        taken
    }

    /// Returns the time until a whole token is available.
    fn time_to_token(&self, part: f64) -> Duration {
        let missing = (1.0 - self.level).max(0.0);
        let wait = Duration::try_from_secs_f64(missing / (self.rate * part));
        wait.map_or(MAX_WAIT, |wait| wait.min(MAX_WAIT))
    }
}

/// Token buckets of one service, kept by its coordinator.
#[derive(Clone, Debug, Default)]
pub struct TokenBuckets {
    buckets: BTreeMap<BackEndName, Bucket>,
}

impl TokenBuckets {
    /// Removes all buckets when a term begins, so that no saved tokens remain.
    pub fn clear(&mut self) {
        self.buckets.clear();
    }

    /// Grants tokens for a request. `exclusive` states that no other node
    /// grants tokens now.
    pub fn grant(&mut self, now: Timestamp, request: &TokenRequest, exclusive: bool) -> TokenGrant {
        let part = if exclusive { 1.0 } else { UNCONFIRMED_PART };
        self.forget_old(now);
        let rate = request.rate.max(MIN_RATE);
        let bucket = self
            .buckets
            .entry(request.back_end.clone())
            .or_insert_with(|| Bucket::new(now, rate));
        bucket.fill(now, part);
        bucket.set_rate(now, rate);
        bucket.last_request_at = now;
        let tokens = bucket.take(request.needed);
        let wait = match tokens < request.needed {
            true => bucket.time_to_token(part),
            false => Duration::ZERO,
        };
        TokenGrant {
            back_end: request.back_end.clone(),
            tokens,
            wait_ms: u32::try_from(wait.as_millis()).unwrap_or(u32::MAX),
        }
    }

    fn forget_old(&mut self, now: Timestamp) {
        self.buckets
            .retain(|_, bucket| now.since(bucket.last_request_at) < LIMIT_EXPIRY);
    }

    /// Returns the limit of a back end for which tokens were requested
    /// recently.
    fn limit(&self, now: Timestamp, name: &BackEndName) -> Option<f64> {
        let bucket = self.buckets.get(name)?;
        (now.since(bucket.last_request_at) < LIMIT_EXPIRY).then_some(bucket.rate)
    }

    /// Lowers the weights of limited candidates to what their limits allow, if
    /// `requests` per second arrive for all keys together.
    pub fn bound_weights(&self, now: Timestamp, candidates: &mut [Candidate], requests: f64) {
        if self.buckets.is_empty() || requests <= 0.0 {
            return;
        }
        let total: f64 = candidates.iter().map(|candidate| candidate.weight).sum();
        let mut kept = 0.0;
        let mut others = total;
        for candidate in candidates.iter_mut() {
            let Some(limit) = self.limit(now, &candidate.owner.name) else {
                continue;
            };
            let max_share = KEPT_LIMIT_PART * limit / requests;
            if candidate.weight / total <= max_share {
                continue;
            }
            candidate.max_share = Some(max_share);
            kept += max_share;
            others -= candidate.weight;
        }
        let by_others = others > total * f64::EPSILON;
        if by_others && kept > MAX_KEPT_SHARE {
            // Limited owners take nearly everything, so the usual shares are
            // used.
            candidates
                .iter_mut()
                .for_each(|candidate| candidate.max_share = None);
            return;
        }
        let scale = if by_others {
            others / (1.0 - kept)
        } else {
            1.0
        };
        for candidate in candidates {
            if let Some(max_share) = candidate.max_share {
                candidate.weight = max_share * scale;
            }
        }
    }
}
