//! Settings of one router's data path.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Limits and timeouts. The defaults suit the current deployment sizes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct Settings {
    /// Maximum number of concurrent exchanges, running and waiting, over all
    /// namespaces.
    pub max_exchanges: u32,
    /// Share of `max_exchanges` that a namespace may hold when others compete
    /// for it, in percent. With more active namespaces each gets an equal part,
    /// if that is less.
    pub namespace_share_percent: u32,
    /// Share of `max_exchanges` reserved for namespaces below their share, in
    /// percent.
    pub namespace_reserve_percent: u32,
    /// Maximum number of requests queued for one back end.
    pub queue_per_back_end: u32,
    /// One of this many requests taken from a queue is the first one of the
    /// lowest priority that waits, so that none starves.
    pub low_priority_turn: u32,
    /// Maximum wait for a slot for requests that may not queue, in
    /// milliseconds.
    pub short_wait_ms: u64,
    /// Maximum wait for a slice to get an owner, in milliseconds.
    pub owner_wait_ms: u64,
    /// Maximum number of attempts of one exchange.
    pub max_attempts: u32,
    /// Retries allowed per hundred first attempts to a back end.
    pub retry_percent: u32,
    /// Capacity and initial level of the retry budget.
    pub retry_reserve: u32,
    /// Retries allowed per second at a back end regardless of its traffic, over
    /// all routers.
    pub retry_refill_per_second: u32,
    /// Hedges allowed per hundred first attempts to a back end.
    pub hedge_percent: u32,
    /// Capacity and initial level of the hedge budget.
    pub hedge_reserve: u32,
    /// Quantile, in percent, of the back end's recent response times after
    /// which an attempt is hedged.
    pub hedge_quantile_percent: u32,
    /// Minimum time until a hedge, in milliseconds.
    pub hedge_min_ms: u64,
    /// Initial backoff between attempts, in milliseconds; it doubles.
    pub backoff_min_ms: u64,
    /// Maximum backoff between attempts, in milliseconds.
    pub backoff_max_ms: u64,
    /// Consecutive failures after which a back end is ejected.
    pub ejection_failures: u32,
    /// Duration of the first ejection, in milliseconds; it doubles.
    pub ejection_min_ms: u64,
    /// Maximum duration of an ejection, in milliseconds.
    pub ejection_max_ms: u64,
    /// Successful probes, one at a time, after which an ejected back end is
    /// readmitted.
    pub return_successes: u32,
    /// An attempt without a response by its deadline counts as a failure of the
    /// back end if it ran at least this long, in milliseconds.
    pub timeout_evidence_ms: u64,
    /// Time over which a new back-end process is ramped up, in milliseconds.
    pub ramp_ms: u64,
    /// How long a draining back end still gets requests for slices it owns, in
    /// milliseconds from when this router learned of the drain.
    pub drain_grace_ms: u64,
    /// Maximum number of concurrent requests at a back end, in percent of its
    /// slots. Above 100, the next request is already queued at the back end
    /// when a slot becomes free.
    pub slot_overcommit_percent: u32,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            max_exchanges: 10_000,
            namespace_share_percent: 50,
            namespace_reserve_percent: 10,
            queue_per_back_end: 256,
            low_priority_turn: 16,
            short_wait_ms: 100,
            owner_wait_ms: 3_000,
            max_attempts: 16,
            retry_percent: 10,
            retry_reserve: 10,
            retry_refill_per_second: 2,
            hedge_percent: 5,
            hedge_reserve: 5,
            hedge_quantile_percent: 95,
            hedge_min_ms: 10,
            backoff_min_ms: 5,
            backoff_max_ms: 200,
            ejection_failures: 5,
            ejection_min_ms: 100,
            ejection_max_ms: 2_000,
            return_successes: 3,
            timeout_evidence_ms: 100,
            ramp_ms: 5_000,
            drain_grace_ms: 1_000,
            slot_overcommit_percent: 200,
        }
    }
}

impl Settings {
    /// Maximum wait for a slot for requests that may not queue.
    pub fn short_wait(&self) -> Duration {
        Duration::from_millis(self.short_wait_ms)
    }

    /// Maximum wait for a slice to get an owner.
    pub fn owner_wait(&self) -> Duration {
        Duration::from_millis(self.owner_wait_ms)
    }

    /// Minimum time until a hedge.
    pub fn hedge_min(&self) -> Duration {
        Duration::from_millis(self.hedge_min_ms)
    }

    /// Interval at which one of `routers` routers gains one retry at a back
    /// end, regardless of its traffic; zero means never.
    pub fn retry_refill(&self, routers: u32) -> Duration {
        let routers = routers.max(1);
        let second = Duration::from_secs(1) * routers;
        second
            .checked_div(self.retry_refill_per_second)
            .unwrap_or(Duration::ZERO)
    }

    /// Initial backoff between attempts.
    pub fn backoff_min(&self) -> Duration {
        Duration::from_millis(self.backoff_min_ms)
    }

    /// Maximum backoff between attempts.
    pub fn backoff_max(&self) -> Duration {
        Duration::from_millis(self.backoff_max_ms)
    }

    /// Duration of the first ejection.
    pub fn ejection_min(&self) -> Duration {
        Duration::from_millis(self.ejection_min_ms)
    }

    /// Maximum duration of an ejection.
    pub fn ejection_max(&self) -> Duration {
        Duration::from_millis(self.ejection_max_ms)
    }

    /// Minimum duration after which an attempt without a response counts as a
    /// failure of its back end.
    pub fn timeout_evidence(&self) -> Duration {
        Duration::from_millis(self.timeout_evidence_ms)
    }

    /// Time over which a new back-end process is ramped up.
    pub fn ramp(&self) -> Duration {
        Duration::from_millis(self.ramp_ms)
    }

    /// How long a draining back end still gets requests.
    pub fn drain_grace(&self) -> Duration {
        Duration::from_millis(self.drain_grace_ms)
    }
}
