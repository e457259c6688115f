//! Timing of hedged requests.
//!
//! A key has one owner. A hedge therefore goes to the same process over another
//! connection and takes a second slot. It helps against delays of one
//! connection or one slot (a lost packet, a stalled connection, one request
//! stuck behind a pause), not against a busy back end. The dispatcher hedges
//! only a repeatable request, only when a slot is free and the queue is empty,
//! and only within a budget.

use std::time::Duration;

use crate::latency::LatencyEstimate;
use crate::settings::Settings;

/// Number of responses after which the latency quantile is trusted.
const MIN_SAMPLES: u32 = 50;

/// Returns how long after its start an attempt is hedged; `None` while too few
/// response times of the back end are known.
pub fn hedge_delay(latency: &LatencyEstimate, settings: &Settings) -> Option<Duration> {
    if latency.samples() < MIN_SAMPLES {
        return None;
    }
    let quantile = latency.quantile(settings.hedge_quantile_percent)?;
    Some(quantile.max(settings.hedge_min()))
}
