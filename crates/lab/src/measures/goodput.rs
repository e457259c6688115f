//! Measures the rate of answered requests while the load changes.

use std::collections::BTreeSet;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use threadledge_types::Timestamp;

use super::LAB_NAMESPACE;
use crate::history::{AttemptOutcome, History};
use crate::load::{Surge, load_factor};

const MILLIS_PER_SECOND: f64 = 1_000.0;
const TAIL: f64 = 0.99;

/// Goodput in one interval of constant load.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Goodput {
    /// Start, in milliseconds since the load began.
    pub from_ms: u64,
    /// End, in milliseconds since the load began.
    pub until_ms: u64,
    /// Multiple of the load in the load file.
    pub factor: f64,
    /// Intended requests per second.
    pub offered_per_second: f64,
    /// Answered requests per second.
    pub answered_per_second: f64,
    /// 99th percentile of the latency of answered requests, in milliseconds.
    pub latency_p99_ms: f64,
}

/// Returns the goodput of each interval of constant load, for a load of
/// `duration` from `begin` on.
pub fn goodput(
    history: &History,
    begin: Timestamp,
    duration: Duration,
    surges: &[Surge],
) -> Vec<Goodput> {
    let end_ms = u64::try_from(duration.as_millis()).unwrap_or(u64::MAX);
    let borders = surges
        .iter()
        .flat_map(|surge| [surge.from_ms, surge.until_ms]);
    let borders: BTreeSet<u64> = borders
        .filter(|border| *border < end_ms)
        .chain([0, end_ms])
        .collect();
    let borders: Vec<u64> = borders.into_iter().collect();
    borders
        .windows(2)
        .map(|pair| {
            let factor = load_factor(surges, Duration::from_millis(pair[0]));
            goodput_in(history, begin, (pair[0], pair[1]), factor)
        })
        .collect()
}

/// Measures the goodput of the requests intended within `span`.
fn goodput_in(history: &History, begin: Timestamp, span: (u64, u64), factor: f64) -> Goodput {
    let (from_ms, until_ms) = span;
    let from = begin + Duration::from_millis(from_ms);
    let until = begin + Duration::from_millis(until_ms);
    let within = history.requests.iter().filter(|record| {
        let is_measured = record.service.namespace != LAB_NAMESPACE;
        is_measured && from <= record.intended && record.intended < until
    });
    let mut offered = 0_u32;
    let mut latencies = Vec::new();
    for record in within {
        offered += 1;
        let last = record.attempts.last();
        let answered = last.filter(|attempt| attempt.outcome == AttemptOutcome::Answered);
        if let Some(attempt) = answered {
            let latency = attempt.end.since(record.intended);
            latencies.push(latency.as_secs_f64() * MILLIS_PER_SECOND);
        }
    }
    latencies.sort_by(f64::total_cmp);
    let seconds = (until_ms - from_ms) as f64 / MILLIS_PER_SECOND;
    Goodput {
        from_ms,
        until_ms,
        factor,
        offered_per_second: f64::from(offered) / seconds,
        answered_per_second: latencies.len() as f64 / seconds,
        latency_p99_ms: super::timeline::quantile(&latencies, TAIL),
    }
}

/// Returns the goodput of the last interval relative to its maximum: the lesser
/// of the load offered in it and the best goodput of any interval. `None` with
/// fewer than two intervals, or if that maximum is zero.
pub fn goodput_share(intervals: &[Goodput]) -> Option<f64> {
    let last = intervals.last().filter(|_| intervals.len() >= 2)?;
    let answered = intervals.iter().map(|one| one.answered_per_second);
    let best = answered.fold(0.0, f64::max);
    let possible = best.min(last.offered_per_second);
    (possible > 0.0).then(|| last.answered_per_second / possible)
}
