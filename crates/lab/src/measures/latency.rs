//! Latency from the intended send time, in HDR histograms.

use std::collections::BTreeMap;

use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};
use threadledge_types::ServiceId;

use super::LAB_NAMESPACE;
use crate::history::{AttemptOutcome, History};

/// Largest latency that is told apart, in microseconds.
const LARGEST_MICROS: u64 = 120_000_000;
/// Significant digits kept.
const DIGITS: u8 = 3;
const MICROS_PER_MILLI: f64 = 1_000.0;

/// Percentiles of one kind of request, in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LatencySummary {
    /// Answered requests.
    pub count: u64,
    /// Half of them were at least as fast.
    pub p50: f64,
    /// 90 in 100 of them were at least as fast.
    pub p90: f64,
    /// 99 in 100 of them were at least as fast.
    pub p99: f64,
    /// 999 in 1000 of them were at least as fast.
    pub p999: f64,
    /// The slowest.
    pub max: f64,
}

/// Latencies of answered requests.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Latencies {
    /// All services.
    pub all: LatencySummary,
    /// Each service.
    pub services: BTreeMap<String, LatencySummary>,
    /// Direct calls, without a router, to each of the lab's own back ends.
    pub direct: BTreeMap<String, LatencySummary>,
    /// Median of the service that the direct calls imitate, less the median
    /// of the direct calls. `None` without direct calls.
    pub added_p50: Option<f64>,
    /// The same for 99 in 100.
    pub added_p99: Option<f64>,
}

/// Summarises the latencies of `history`. `imitated` names the service that
/// each direct service imitates.
pub fn latencies(history: &History, imitated: &BTreeMap<ServiceId, ServiceId>) -> Latencies {
    let mut all = Recording::default();
    let mut services: BTreeMap<&ServiceId, Recording> = BTreeMap::new();
    for record in &history.requests {
        let Some(last) = record.attempts.last() else {
            continue;
        };
        if last.outcome != AttemptOutcome::Answered {
            continue;
        }
        let micros = last.end.since(record.intended).as_micros();
        let micros = u64::try_from(micros).unwrap_or(u64::MAX);
        services.entry(&record.service).or_default().record(micros);
        if record.service.namespace != LAB_NAMESPACE {
            all.record(micros);
        }
    }
    let summaries: BTreeMap<&ServiceId, LatencySummary> = services
        .into_iter()
        .map(|(service, recording)| (service, recording.summary()))
        .collect();
    summarise(all.summary(), &summaries, imitated)
}

fn summarise(
    all: LatencySummary,
    summaries: &BTreeMap<&ServiceId, LatencySummary>,
    imitated: &BTreeMap<ServiceId, ServiceId>,
) -> Latencies {
    let mut result = Latencies {
        all,
        ..Latencies::default()
    };
    for (service, summary) in summaries {
        let target = if service.namespace == LAB_NAMESPACE {
            &mut result.direct
        } else {
            &mut result.services
        };
        target.insert(service.to_string(), *summary);
    }
    let mut added: Vec<(f64, f64)> = Vec::new();
    for (direct, service) in imitated {
        if let (Some(direct), Some(routed)) = (summaries.get(direct), summaries.get(service)) {
            added.push((routed.p50 - direct.p50, routed.p99 - direct.p99));
        }
    }
    // With several partners the worse of them is told.
    result.added_p50 = added.iter().map(|pair| pair.0).reduce(f64::max);
    result.added_p99 = added.iter().map(|pair| pair.1).reduce(f64::max);
    result
}

/// One histogram.
struct Recording(Histogram<u64>);

impl Default for Recording {
    fn default() -> Self {
        let histogram = Histogram::new_with_bounds(1, LARGEST_MICROS, DIGITS)
            .expect("constant bounds that the library accepts");
        Recording(histogram)
    }
}

impl Recording {
    fn record(&mut self, micros: u64) {
        self.0.saturating_record(micros.max(1));
    }

    fn summary(&self) -> LatencySummary {
        let at = |quantile: f64| self.0.value_at_quantile(quantile) as f64 / MICROS_PER_MILLI;
        LatencySummary {
            count: self.0.len(),
            p50: at(0.5),
            p90: at(0.9),
            p99: at(0.99),
            p999: at(0.999),
            max: self.0.max() as f64 / MICROS_PER_MILLI,
        }
    }
}
