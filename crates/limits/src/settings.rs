//! What the deployment promises, and the durations that follow from it.

use std::time::Duration;

use threadledge_types::Timestamp;
use threadledge_types::deployment::RateLimit;

/// How closely limits are held.
///
/// Requests of a tenant in any window stay below (rate x window + burst) x
/// (1 + overage) + slack. Of what is allowed beyond the limit, the life of
/// tokens uses [`LIFE_PART`] of the overage, the depth of buckets
/// [`DEPTH_PART`] of the slack and whole tokens of small shares
/// [`ROUNDING_PART`]; the rest is for clocks that run at different rates.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Window in which the requests of a tenant are counted.
    pub window: Duration,
    /// Requests beyond the limit of a window that are borne, as a part of it.
    pub overage: f64,
    /// Requests beyond the limit of a window that are borne besides.
    pub slack: f64,
    /// How long the office of the ledger may be held without confirmation.
    pub lease: Duration,
}

/// Part of the overage that tokens use up by living on after they were
/// handed out.
const LIFE_PART: f64 = 0.8;
/// Part of the slack that deepens buckets: callers within their limit do not
/// come as evenly as its wording assumes.
const DEPTH_PART: f64 = 0.5;
/// Part of the slack by which gateways with small shares may exceed these,
/// since each of them has room for a whole token.
const ROUNDING_PART: f64 = 0.25;
/// Shortest life of a token. With a smaller overage the bound cannot be kept
/// by tokens that outlive the round trip for which they are asked.
const SHORTEST_LIFE: Duration = Duration::from_millis(20);
/// For how long after its last answer a gateway can hand its shares in to
/// another ledger.
const HAND_IN_TIME: Duration = Duration::from_secs(8);
/// How much faster one gateway's clock may run than another's, in percent.
const CLOCK_RATE_PERCENT: u32 = 2;

impl Settings {
    /// How long a token may be used, from when the gateway asked for it.
    pub fn token_life(&self) -> Duration {
        let lifetime = self.window.mul_f64(self.overage * LIFE_PART);
        lifetime.max(SHORTEST_LIFE)
    }

    /// Tokens that a tenant's bucket holds at the most.
    pub fn depth(&self, limit: RateLimit) -> f64 {
        limit.burst + self.slack * DEPTH_PART
    }

    /// Tokens by which all shares of a tenant together may exceed its depth.
    pub(crate) fn rounding(&self) -> f64 {
        self.slack * ROUNDING_PART
    }

    /// How long a share lasts, from the last ask that was answered. A gateway
    /// that asks another ledger hands it in only while the office of the one
    /// before ends first.
    pub(crate) fn share_life(&self) -> Duration {
        slowest(self.lease) + HAND_IN_TIME
    }

    /// When a share that was last renewed at `heard` has surely ended.
    pub(crate) fn share_end(&self, heard: Timestamp) -> Timestamp {
        heard + slowest(self.share_life())
    }

    /// How long an office lasts by the slowest clock.
    pub(crate) fn lease_end(&self, from: Timestamp) -> Timestamp {
        from + slowest(self.lease)
    }
}

/// A duration by the slowest clock.
fn slowest(duration: Duration) -> Duration {
    duration + duration * CLOCK_RATE_PERCENT / 100
}

/// Silence after which a gateway uses its shares.
pub const FALLBACK_AFTER: Duration = Duration::from_millis(470);
/// Silence after which the ledger keeps a gateway's shares free for it;
/// shorter than [`FALLBACK_AFTER`] by any clock.
pub(crate) const RESERVED_AFTER: Duration = Duration::from_millis(400);
/// Time between two asks of a gateway that has tokens to renew.
pub const QUOTA_REQUEST_INTERVAL: Duration = Duration::from_millis(250);
/// Time between two asks for requests that wait: those of one moment are
/// asked for together.
pub const URGENT_REQUEST_INTERVAL: Duration = Duration::from_millis(20);
/// Longest wait for an answer.
pub const QUOTA_REQUEST_TIMEOUT: Duration = Duration::from_millis(300);
/// Longest wait of a request for the ledger: a quarter of the shortest target
/// that the users state; a refusal is not late by then.
pub const MAX_WAIT: Duration = Duration::from_millis(250);
/// Longest wait of a request for the first ledger that a gateway that has just
/// started finds. After a restart of all a ledger was elected 0.3 s after the
/// first requests; those that were refused came back a second later.
pub(crate) const STARTING_WAIT: Duration = Duration::from_millis(500);
/// How long a gateway counts as just started, from its first ask.
pub(crate) const STARTING: Duration = Duration::from_millis(1_500);
/// Shortest time for which a tenant that finds no token is refused without
/// another ask.
pub(crate) const SHORTEST_PAUSE: Duration = Duration::from_millis(100);
/// Longest such time, so that a limit that rises is found.
pub(crate) const LONGEST_PAUSE: Duration = Duration::from_secs(1);
/// Time after which a tenant that sends nothing has no tokens at a gateway.
pub(crate) const FORGOTTEN_AFTER: Duration = Duration::from_secs(5);
