//! Measures latency from the intended send time, with HDR histograms.

use std::collections::BTreeMap;

use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};
use threadledge_types::ServiceId;

use super::LAB_NAMESPACE;
use crate::history::{AttemptOutcome, History};

/// Upper bound of the histograms, in microseconds.
const MAX_MICROS: u64 = 120_000_000;
/// Number of significant digits of the histograms.
const SIGNIFICANT_DIGITS: u8 = 3;
const MICROS_PER_MILLI: f64 = 1_000.0;

/// Latency percentiles of a set of requests, in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LatencySummary {
    /// Number of answered requests.
    pub count: u64,
    /// Median.
    pub p50: f64,
    /// 90th percentile.
    pub p90: f64,
    /// 99th percentile.
    pub p99: f64,
    /// 99.9th percentile.
    pub p999: f64,
    /// Maximum.
    pub max: f64,
}

/// Latencies of answered requests.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Latencies {
    /// All services together.
    pub all: LatencySummary,
    /// Each service.
    pub services: BTreeMap<String, LatencySummary>,
    /// Direct calls without a router, for each direct service.
    pub direct: BTreeMap<String, LatencySummary>,
    /// Latency added by routers at the median: the median of the service that
    /// the direct calls imitate minus the median of the direct calls. `None`
    /// without direct calls.
    pub added_p50: Option<f64>,
    /// The same at the 99th percentile.
    pub added_p99: Option<f64>,
}

/// Summarises the latencies of `history`. `imitated` maps each direct service
/// to the service that it imitates.
pub fn latencies(history: &History, imitated: &BTreeMap<ServiceId, ServiceId>) -> Latencies {
    let mut all = LatencyHistogram::default();
    let mut services: BTreeMap<&ServiceId, LatencyHistogram> = BTreeMap::new();
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
        .map(|(service, histogram)| (service, histogram.summary()))
        .collect();
    build_latencies(all.summary(), &summaries, imitated)
}

/// Separates direct services from the others and computes the added latency.
fn build_latencies(
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
    // With several partners, the worst value is reported.
    result.added_p50 = added.iter().map(|pair| pair.0).reduce(f64::max);
    result.added_p99 = added.iter().map(|pair| pair.1).reduce(f64::max);
    result
}

/// A latency histogram in microseconds.
struct LatencyHistogram(Histogram<u64>);

impl Default for LatencyHistogram {
    fn default() -> Self {
        let histogram = Histogram::new_with_bounds(1, MAX_MICROS, SIGNIFICANT_DIGITS)
            .expect("constant bounds that the library accepts");
        LatencyHistogram(histogram)
    }
}

impl LatencyHistogram {
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
