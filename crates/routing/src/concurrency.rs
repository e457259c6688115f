//! Adaptive limit of requests at one back end at once: additive increase,
//! multiplicative decrease on refusals and growing answer times.
//!
//! The back end's slots are shared by all routers. Each begins at its share,
//! `slots / routers`. A fixed share would waste slots when callers are
//! unevenly spread, so a router may go above it while the back end keeps up,
//! and comes back down when the back end refuses or slows down.

use std::time::Duration;

use threadledge_types::Timestamp;

use crate::latency::LatencyEstimate;

/// Factor on a refusal for overload.
const REFUSAL_FACTOR: f64 = 0.7;
/// Factor when answer times grow.
const LATENCY_FACTOR: f64 = 0.9;
/// Ratio of recent to usual answer times above which the limit shrinks.
const INFLATION_SHRINK: f64 = 2.0;
/// Ratio below which it may grow.
const INFLATION_GROW: f64 = 1.5;
/// Growth of answer times that says something about the back end. Less than
/// this comes from whoever else runs on the two machines: answers of 100 µs
/// take twice as long by chance all the time.
const MIN_LATENCY_GROWTH: Duration = Duration::from_millis(2);
/// Answers at the limit, for each request of it, that raise it by one before
/// the first decrease, and on the way back to the share.
const INITIAL_RESPONSES_PER_STEP: f64 = 8.0;
/// The same above the share afterwards. Slots are few, so one request more is a large step: it
/// is tried seldom, lest each router provoke refusals with every other one.
const RESPONSES_PER_STEP: f64 = 128.0;
/// Time between two decreases while there is no answer time to go by.
const DEFAULT_DECREASE_INTERVAL: Duration = Duration::from_millis(10);

/// Limits that hold whatever the back end seems to sustain.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// This router's share of the slots, at least 1.
    pub share: u32,
    /// Most requests at once, at least `share`.
    pub ceiling: u32,
}

impl Bounds {
    /// Bounds of one router of `routers`.
    ///
    /// The ceiling is the lower of the connections share and of the slots
    /// raised by `overcommit_percent`. Each router may hold one connection
    /// even when there are more routers than connections: a router that
    /// cannot connect at all could not serve its callers, and it holds that
    /// connection only while a request needs it.
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

/// The limit for one back end.
#[derive(Clone, Debug)]
pub struct ConcurrencyLimit {
    bounds: Bounds,
    limit: f64,
    decreased_at: Option<Timestamp>,
}

impl ConcurrencyLimit {
    /// Begins at the share.
    pub fn new(bounds: Bounds) -> Self {
        ConcurrencyLimit {
            bounds,
            limit: f64::from(bounds.share),
            decreased_at: None,
        }
    }

    /// Requests allowed at once, at least 1.
    pub fn allowed(&self) -> u32 {
        self.limit as u32
    }

    /// Slots, connections or the number of routers changed. Another share is
    /// another beginning: what was sustained among fewer routers is not.
    pub fn set_bounds(&mut self, bounds: Bounds) {
        let share_changed = bounds.share != self.bounds.share;
        self.bounds = bounds;
        if share_changed {
            self.restart();
        }
        self.clamp();
    }

    /// Goes back to the share, for a new life of the back end's process.
    pub fn restart(&mut self) {
        *self = ConcurrencyLimit::new(self.bounds);
    }

    /// An answer came while `in_flight` requests, itself included, were out.
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
        // A limit that is not used up says nothing about what is sustained.
        let is_saturated = in_flight >= self.allowed();
        if is_saturated && inflation < INFLATION_GROW {
            self.limit += 1.0 / (self.responses_per_step() * self.limit);
            self.clamp();
        }
    }

    /// The back end refused for overload.
    pub fn on_overload(&mut self, now: Timestamp, latency: &LatencyEstimate) {
        self.decrease(now, REFUSAL_FACTOR, latency);
    }

    /// Refusals that arrive together tell of one overload, so the limit
    /// shrinks once in an answer time.
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
