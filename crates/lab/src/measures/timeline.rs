//! Counts requests over time.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use threadledge_types::Timestamp;

use super::LAB_NAMESPACE;
use crate::history::{AttemptOutcome, History};

/// Interval covered by one point of the timeline, in milliseconds.
const WIDTH_MS: u64 = 250;

/// Requests whose intended send time lies within one interval.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct TimelinePoint {
    /// Start of the interval, in milliseconds since the load began.
    pub at_ms: u64,
    /// Number of answered requests.
    pub answered: u64,
    /// Number of requests that were not answered.
    pub failed: u64,
    /// Median latency of answered requests, in milliseconds.
    pub p50_ms: f64,
    /// 99th percentile of the latency of answered requests, in milliseconds.
    pub p99_ms: f64,
}

/// Returns the timeline of `history` from `begin` on.
pub fn timeline(history: &History, begin: Timestamp) -> Vec<TimelinePoint> {
    let mut latencies: BTreeMap<u64, (Vec<f64>, u64)> = BTreeMap::new();
    for record in &history.requests {
        let Some(last) = record.attempts.last() else {
            continue;
        };
        if record.service.namespace == LAB_NAMESPACE {
            continue;
        }
        let since = record.intended.since(begin).as_millis();
        let interval = u64::try_from(since).unwrap_or(u64::MAX) / WIDTH_MS;
        let point = latencies.entry(interval).or_default();
        if last.outcome == AttemptOutcome::Answered {
            point
                .0
                .push(last.end.since(record.intended).as_secs_f64() * 1_000.0);
        } else {
            point.1 += 1;
        }
    }
    latencies
        .into_iter()
        .map(|(interval, (mut answered, failed))| {
            answered.sort_by(f64::total_cmp);
            TimelinePoint {
                at_ms: interval * WIDTH_MS,
                answered: answered.len() as u64,
                failed,
                p50_ms: quantile(&answered, 0.5),
                p99_ms: quantile(&answered, 0.99),
            }
        })
        .collect()
}

/// Returns the number of executions at each back end.
pub fn back_end_requests(history: &History) -> BTreeMap<String, u64> {
    let mut counts = BTreeMap::new();
    let executions = history.executions.iter();
    for execution in executions.filter(|run| run.service.namespace != LAB_NAMESPACE) {
        let name = execution.session.back_end.to_string();
        *counts.entry(name).or_default() += 1;
    }
    counts
}

/// Returns a quantile of sorted values by the nearest index, or 0 if there are
/// none.
pub(super) fn quantile(sorted: &[f64], quantile: f64) -> f64 {
    let last = sorted.len().saturating_sub(1);
    let index = (last as f64 * quantile).round() as usize;
    sorted.get(index).copied().unwrap_or(0.0)
}
