//! Adaptive concurrency limit for one back end: additive increase,
//! multiplicative decrease on refusals and on growing response times.
//!
//! All routers share the back end's slots. Each starts at its share, which is
//! the number of slots divided by the number of routers. A fixed share would
//! waste slots when callers are unevenly spread, so a router may exceed its
//! share while the back end keeps up, and backs off when the back end refuses
//! or slows down.

use std::time::Duration;

use threadledge_types::Timestamp;

use crate::latency::LatencyEstimate;

/// Factor applied to the limit on a refusal for overload.
const REFUSAL_FACTOR: f64 = 0.7;
/// Factor applied to the limit when response times grow.
const LATENCY_FACTOR: f64 = 0.9;
/// Ratio of recent to long-term response times above which the limit shrinks.
const INFLATION_SHRINK: f64 = 2.0;
/// Ratio of recent to long-term response times below which the limit may grow.
const INFLATION_GROW: f64 = 1.5;
/// Smallest growth of response times that is taken as a sign of load on the
/// back end. Smaller growth comes from other processes on the two machines:
/// responses of 100 µs regularly take twice as long by chance.
const MIN_LATENCY_GROWTH: Duration = Duration::from_millis(2);
/// Responses received at the limit, per unit of the limit, that raise it by
/// one. Applies before the first decrease and while the limit is below the
/// share.
const INITIAL_RESPONSES_PER_STEP: f64 = 8.0;
/// Like [`INITIAL_RESPONSES_PER_STEP`], but above the share after a decrease.
/// Slots are few, so one more request is a large step; it is tried rarely,
/// because otherwise each router would provoke refusals with every other
/// request.
const RESPONSES_PER_STEP: f64 = 128.0;
/// Minimum time between two decreases while no response time is known.
const DEFAULT_DECREASE_INTERVAL: Duration = Duration::from_millis(10);

/// Fixed bounds of the adaptive limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// This router's share of the slots, at least 1.
    pub share: u32,
    /// Maximum number of concurrent requests, at least `share`.
    pub ceiling: u32,
}

impl Bounds {
    /// Computes the bounds for one of `routers` routers.
    ///
    /// The ceiling is the lower of this router's share of the connections and
    /// the slots raised by `overcommit_percent`. Each router may hold one
    /// connection even when there are more routers than connections: a router
    /// that cannot connect at all could not serve its callers, and it holds
    /// that connection only while a request needs it.
    pub fn new(slots: u32, connections: u32, routers: u32, overcommit_percent: u32) -> Self {
        let routers = routers.max(1);
        let connection_share = (connections / routers).max(1);
        let overcommitted = u64::from(slots) * u64::from(overcommit_percent) / 100;
        let overcommitted_slots = u32::try_from(overcommitted).unwrap_or(u32::MAX).max(1);
        let ceiling = overcommitted_slots.min(connection_share);
        let share = slots.div_ceil(routers).clamp(1, ceiling);
        Bounds { share, ceiling }
    }
}

/// The adaptive concurrency limit for one back end.
#[derive(Clone, Debug)]
pub struct ConcurrencyLimit {
    bounds: Bounds,
    /// The current limit; fractions accumulate until they allow one more
    /// request.
    limit: f64,
    /// Time of the last decrease.
    decreased_at: Option<Timestamp>,
}

impl ConcurrencyLimit {
    /// Creates a limit that starts at the share.
    pub fn new(bounds: Bounds) -> Self {
        ConcurrencyLimit {
            bounds,
            limit: f64::from(bounds.share),
            decreased_at: None,
        }
    }

    /// Number of concurrent requests allowed, at least 1.
    pub fn allowed(&self) -> u32 {
        self.limit as u32
    }

    /// Applies bounds that changed with the slots, the connections or the
    /// number of routers. A changed share restarts the limit, because a level
    /// sustained among fewer routers says nothing about the new number.
    pub fn set_bounds(&mut self, bounds: Bounds) {
        let share_changed = bounds.share != self.bounds.share;
        self.bounds = bounds;
        if share_changed {
            self.restart();
        }
        self.clamp();
    }

    /// Resets the limit to the share, for a new incarnation of the back-end
    /// process.
    pub fn restart(&mut self) {
        *self = ConcurrencyLimit::new(self.bounds);
    }

    /// Adjusts the limit after a response. `in_flight` is the number of
    /// concurrent requests, including the one answered.
    pub fn on_response(&mut self, now: Timestamp, in_flight: u32, latency: &LatencyEstimate) {
        let is_significant = latency.growth() >= MIN_LATENCY_GROWTH;
        let inflation = if is_significant {
            latency.inflation()
        } else {
            1.0
        };
        if inflation > INFLATION_SHRINK {
            self.decrease(now, LATENCY_FACTOR, latency);
            return;
        }
        // If the limit was not reached, the response does not show that more
        // can be sustained.
        let is_saturated = in_flight >= self.allowed();
        if is_saturated && inflation < INFLATION_GROW {
            self.limit += 1.0 / (self.responses_per_step() * self.limit);
            self.clamp();
        }
    }

    /// Lowers the limit after a refusal for overload.
    pub fn on_overload(&mut self, now: Timestamp, latency: &LatencyEstimate) {
        self.decrease(now, REFUSAL_FACTOR, latency);
    }

    /// Multiplies the limit by `factor`, at most once per response time,
    /// because refusals that arrive together are signs of the same overload.
    fn decrease(&mut self, now: Timestamp, factor: f64, latency: &LatencyEstimate) {
        let interval = latency.recent().unwrap_or(DEFAULT_DECREASE_INTERVAL);
        if self
            .decreased_at
            .is_some_and(|earlier| now.since(earlier) < interval)
        {
            return;
        }
        self.decreased_at = Some(now);
        self.limit *= factor;
        self.clamp();
    }

    fn responses_per_step(&self) -> f64 {
        let below_share = self.limit < f64::from(self.bounds.share);
        if self.decreased_at.is_none() || below_share {
            INITIAL_RESPONSES_PER_STEP
        } else {
            RESPONSES_PER_STEP
        }
    }

    fn clamp(&mut self) {
        self.limit = self.limit.clamp(1.0, f64::from(self.bounds.ceiling));
    }
}
