//! When a second attempt beside a slow one pays.
//!
//! A key has one owner. A hedge therefore goes to the same process over
//! another connection, and takes a second slot of it. It pays against delays
//! that belong to one connection or one slot (a lost packet, a stalled
//! connection, one request stuck behind a pause), not against a busy back
//! end. The dispatcher hedges only a repeatable request, only beside a free
//! slot with nobody waiting, and only within a budget.

use std::time::Duration;

use crate::latency::LatencyEstimate;
use crate::settings::Settings;

/// Answers after which the quantile is trusted.
const MIN_SAMPLES: u32 = 50;

/// How long after its start an attempt is hedged; `None` while too little is
/// known of the back end.
pub fn hedge_delay(latency: &LatencyEstimate, settings: &Settings) -> Option<Duration> {
    if latency.samples() < MIN_SAMPLES {
        return None;
    }
    let quantile = latency.quantile(settings.hedge_quantile_percent)?;
    Some(quantile.max(settings.hedge_min()))
}
