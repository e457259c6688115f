//! Accuracy of the limits and the durations that follow from it.

use std::time::Duration;

use threadledge_types::Timestamp;
use threadledge_types::deployment::RateLimit;

/// Accuracy with which limits are enforced.
///
/// In any window the requests of a tenant stay below (rate x window + burst) x
/// (1 + overage) + slack. Of what is allowed beyond the limit, the lifetime of
/// tokens uses [`TOKEN_LIFETIME_FRACTION`] of the overage, the depth of buckets
/// [`BUCKET_DEPTH_FRACTION`] of the slack, and whole tokens of small shares
/// [`ROUNDING_FRACTION`] of the slack. The rest covers clocks that run at
/// different rates.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Window in which the requests of a tenant are counted.
    pub window: Duration,
    /// Requests tolerated beyond the limit of a window, as a fraction of it.
    pub overage: f64,
    /// Requests tolerated beyond the limit of a window in addition, as a
    /// number.
    pub slack: f64,
    /// How long the ledger may act without confirmation by the store.
    pub lease: Duration,
}

/// Fraction of the overage used by tokens that stay valid after they were
/// granted.
const TOKEN_LIFETIME_FRACTION: f64 = 0.8;
/// Fraction of the slack that is added to the depth of buckets, because the
/// requests of callers within their limit do not arrive as evenly as the limit
/// states.
const BUCKET_DEPTH_FRACTION: f64 = 0.5;
/// Fraction of the slack by which gateways with small shares may exceed them,
/// because each of them can hold at least one whole token.
const ROUNDING_FRACTION: f64 = 0.25;
/// Minimum lifetime of a token. With a smaller overage the bound cannot be kept
/// by tokens that outlive the round trip in which they are requested.
const MIN_TOKEN_LIFETIME: Duration = Duration::from_millis(20);
/// Time after the last response during which a gateway can report its shares to
/// another ledger.
const SHARE_HANDOVER_TIME: Duration = Duration::from_secs(8);
/// Maximum difference between the rates of two gateways' clocks, in percent.
const CLOCK_RATE_PERCENT: u32 = 2;

impl Settings {
    /// Returns how long a token may be used, counted from when it was
    /// requested.
    pub fn token_lifetime(&self) -> Duration {
        let lifetime = self.window.mul_f64(self.overage * TOKEN_LIFETIME_FRACTION);
        lifetime.max(MIN_TOKEN_LIFETIME)
    }

    /// Returns the maximum number of tokens in a tenant's bucket.
    pub fn depth(&self, limit: RateLimit) -> f64 {
        limit.burst + self.slack * BUCKET_DEPTH_FRACTION
    }

    /// Returns by how many tokens all shares of a tenant together may exceed
    /// the depth.
    pub(crate) fn max_rounding_excess(&self) -> f64 {
        self.slack * ROUNDING_FRACTION
    }

    /// Returns how long a share is valid, counted from the last request that
    /// was answered. A gateway reports it to another ledger only if the lease
    /// of the previous one ends before the share does.
    pub(crate) fn share_lifetime(&self) -> Duration {
        by_slowest_clock(self.lease) + SHARE_HANDOVER_TIME
    }

    /// Returns when a share last renewed at `heard` has certainly expired.
    pub(crate) fn share_end(&self, heard: Timestamp) -> Timestamp {
        heard + by_slowest_clock(self.share_lifetime())
    }

    /// Returns when a lease that starts at `from` ends by the slowest clock.
    pub(crate) fn lease_end(&self, from: Timestamp) -> Timestamp {
        from + by_slowest_clock(self.lease)
    }
}

/// Converts a duration to the time that it may take by the slowest clock.
fn by_slowest_clock(duration: Duration) -> Duration {
    duration + duration * CLOCK_RATE_PERCENT / 100
}

/// Time without a response after which a gateway uses its shares.
pub const FALLBACK_AFTER: Duration = Duration::from_millis(470);
/// Time without a request after which the ledger reserves a gateway's shares;
/// shorter than [`FALLBACK_AFTER`] by any clock.
pub(crate) const RESERVE_AFTER: Duration = Duration::from_millis(400);
/// Time between two quota requests of a gateway that has tokens to renew.
pub const QUOTA_REQUEST_INTERVAL: Duration = Duration::from_millis(250);
/// Time between two quota requests for waiting requests, so that those that
/// arrive at the same moment are sent together.
pub const URGENT_REQUEST_INTERVAL: Duration = Duration::from_millis(20);
/// Maximum wait for the response to a quota request.
pub const QUOTA_REQUEST_TIMEOUT: Duration = Duration::from_millis(300);
/// Maximum time that a request waits for the ledger: a quarter of the shortest
/// target latency that users state, so that a refusal is not late by then.
pub const MAX_WAIT: Duration = Duration::from_millis(250);
/// Maximum time that a request waits for the first ledger found by a gateway
/// that has just started. After a restart of all gateways a ledger was elected
/// 0.3 s after the first requests; requests that were refused came back a
/// second later.
pub(crate) const STARTUP_WAIT: Duration = Duration::from_millis(500);
/// How long a gateway counts as just started, from its first quota request.
pub(crate) const STARTUP_PERIOD: Duration = Duration::from_millis(1_500);
/// Minimum time for which a tenant without tokens is refused without another
/// quota request.
pub(crate) const MIN_PAUSE: Duration = Duration::from_millis(100);
/// Maximum such time, so that a raised limit is noticed.
pub(crate) const MAX_PAUSE: Duration = Duration::from_secs(1);
/// Time without requests after which a gateway drops a tenant and its share.
pub(crate) const IDLE_AFTER: Duration = Duration::from_secs(5);
