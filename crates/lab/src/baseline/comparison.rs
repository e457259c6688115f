//! Compares the measures of the product and the baselines.

use std::collections::BTreeMap;
use std::fmt::Write;

use serde::{Deserialize, Serialize};
use threadledge_types::{ServiceId, Timestamp};

use super::assignment::BaselineKind;
use super::double_owner::{DoubleOwner, double_owner};
use crate::checks::{Guarantee, answers, at_most_once, draining, not_run, planned_stop};
use crate::history::History;
use crate::load::Surge;
use crate::measures::{self, Goodput};

const REQUESTS_PER_COST_UNIT: f64 = 1_000.0;
const MILLIS_PER_SECOND: f64 = 1_000.0;

/// Measures that are computed in the same way for the product and each
/// baseline.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct SystemMeasures {
    /// Number of requests.
    pub requests: u64,
    /// Number of answered requests.
    pub answered: u64,
    /// Share of requests that were not executed, between 0 and 1.
    pub not_run_share: f64,
    /// Share of requests that may have been executed, between 0 and 1.
    pub unknown_share: f64,
    /// Median latency of answered requests, in milliseconds.
    pub latency_p50_ms: f64,
    /// 99th percentile of the latency of answered requests, in milliseconds.
    pub latency_p99_ms: f64,
    /// Worst load imbalance of any service.
    pub imbalance: f64,
    /// Share of keys that changed owner, summed over changes and services.
    pub churn: f64,
    /// Longest time that a key had no owner or a request no server, in
    /// milliseconds.
    pub unavailable_ms: f64,
    /// Processor time of all routers per 1,000 requests, in milliseconds; null
    /// if it could not be read.
    pub cpu_ms_per_1000_requests: Option<f64>,
    /// Goodput in each interval of constant load.
    pub goodput: Vec<Goodput>,
    /// Violations of single ownership.
    pub double_owner: DoubleOwner,
    /// Numbers of violations of the guarantees that can be checked without
    /// leases.
    pub breaches: BTreeMap<String, u64>,
}

/// The product compared with the baselines of the same run.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct BaselineReport {
    /// Measures of the product.
    pub product: SystemMeasures,
    /// Measures of each baseline.
    pub measured: BTreeMap<BaselineKind, SystemMeasures>,
    /// Product divided by baseline, by measure. A measure is omitted if either
    /// value is missing or the baseline is 0.
    pub ratios: BTreeMap<BaselineKind, BTreeMap<String, f64>>,
}

/// The part of a run that is measured.
#[derive(Clone, Copy, Debug)]
pub struct MeasuredSpan<'a> {
    /// Start of the load.
    pub begin: Timestamp,
    /// End of the load.
    pub end: Timestamp,
    /// Intervals in which the load is multiplied by a factor.
    pub surges: &'a [Surge],
}

impl SystemMeasures {
    /// Measures one history. `members` holds the number of back ends of each
    /// service.
    pub fn new(
        history: &History,
        span: MeasuredSpan<'_>,
        members: &BTreeMap<ServiceId, usize>,
        cpu_seconds: Option<f64>,
    ) -> Self {
        let outcomes = measures::outcomes(history);
        let latency = measures::latencies(history, &BTreeMap::new()).all;
        let imbalance = measures::imbalance(history, members);
        let total = outcomes.total();
        let share = |count: u64| count as f64 / total.max(1) as f64;
        let per_request = |seconds: f64| seconds * MILLIS_PER_SECOND / total.max(1) as f64;
        SystemMeasures {
            requests: total,
            answered: outcomes.answered,
            not_run_share: share(outcomes.not_run),
            unknown_share: share(outcomes.unknown),
            latency_p50_ms: latency.p50,
            latency_p99_ms: latency.p99,
            imbalance: imbalance.values().map(|one| one.load).fold(1.0, f64::max),
            churn: measures::churn(history, span.begin).key_share,
            unavailable_ms: measures::unavailable(history, span.begin, span.end).longest_ms(),
            cpu_ms_per_1000_requests: cpu_seconds
                .map(|seconds| per_request(seconds) * REQUESTS_PER_COST_UNIT),
            goodput: measures::goodput(
                history,
                span.begin,
                span.end.since(span.begin),
                span.surges,
            ),
            double_owner: double_owner(history),
            breaches: breaches(history),
        }
    }
}

/// Counts the violations that can be checked for a baseline. Single ownership
/// is measured by [`double_owner`]; the other checks need leases, groups or
/// configuration, which baselines lack.
fn breaches(history: &History) -> BTreeMap<String, u64> {
    let mut counts = BTreeMap::new();
    let checked = [
        (Guarantee::OwnAnswer, answers::check(history)),
        (Guarantee::NotRun, not_run::check(history)),
        (Guarantee::AtMostOnce, at_most_once::check(history)),
        (Guarantee::Draining, draining::check(history)),
        (Guarantee::PlannedStop, planned_stop::check(history)),
    ];
    for (guarantee, violations) in checked {
        counts.insert(guarantee.as_str().to_owned(), violations.len() as u64);
    }
    counts
}

/// One row of the comparison table.
struct Row {
    name: &'static str,
    value: fn(&SystemMeasures) -> Option<f64>,
}

const ROWS: [Row; 17] = [
    Row {
        name: "requests answered",
        value: |system| Some(system.answered as f64),
    },
    Row {
        name: "not-run share",
        value: |system| Some(system.not_run_share),
    },
    Row {
        name: "unknown share",
        value: |system| Some(system.unknown_share),
    },
    Row {
        name: "latency p50 ms",
        value: |system| Some(system.latency_p50_ms),
    },
    Row {
        name: "latency p99 ms",
        value: |system| Some(system.latency_p99_ms),
    },
    Row {
        name: "imbalance",
        value: |system| Some(system.imbalance),
    },
    Row {
        name: "churn",
        value: |system| Some(system.churn),
    },
    Row {
        name: "unavailable ms",
        value: |system| Some(system.unavailable_ms),
    },
    Row {
        name: "cpu ms per 1000 requests",
        value: |system| system.cpu_ms_per_1000_requests,
    },
    Row {
        name: "two owners, times",
        value: |system| Some(system.double_owner.overlaps as f64),
    },
    Row {
        name: "two owners, longest ms",
        value: |system| Some(system.double_owner.longest_ms),
    },
    Row {
        name: "runs beside another owner",
        value: |system| Some(system.double_owner.runs_beside_another_owner as f64),
    },
    Row {
        name: "breaches own-answer",
        value: |system| violation_count(system, Guarantee::OwnAnswer),
    },
    Row {
        name: "breaches not-run",
        value: |system| violation_count(system, Guarantee::NotRun),
    },
    Row {
        name: "breaches at-most-once",
        value: |system| violation_count(system, Guarantee::AtMostOnce),
    },
    Row {
        name: "breaches draining",
        value: |system| violation_count(system, Guarantee::Draining),
    },
    Row {
        name: "breaches planned-stop",
        value: |system| violation_count(system, Guarantee::PlannedStop),
    },
];

fn violation_count(system: &SystemMeasures, guarantee: Guarantee) -> Option<f64> {
    let count = system.breaches.get(guarantee.as_str())?;
    Some(*count as f64)
}

impl BaselineReport {
    /// Compares the product with the baselines.
    pub fn new(product: SystemMeasures, measured: BTreeMap<BaselineKind, SystemMeasures>) -> Self {
        let ratios = measured
            .iter()
            .map(|(kind, system)| (*kind, ratios(&product, system)))
            .collect();
        BaselineReport {
            product,
            measured,
            ratios,
        }
    }
}

fn ratios(product: &SystemMeasures, baseline: &SystemMeasures) -> BTreeMap<String, f64> {
    let mut ratios = BTreeMap::new();
    for row in &ROWS {
        if let Some(ratio) = ratio((row.value)(product), (row.value)(baseline)) {
            ratios.insert(row.name.to_owned(), ratio);
        }
    }
    ratios
}

/// Returns product divided by baseline, or `None` if a value is missing or the
/// baseline is 0.
fn ratio(product: Option<f64>, baseline: Option<f64>) -> Option<f64> {
    let baseline = baseline.filter(|baseline| *baseline != 0.0)?;
    Some(product? / baseline)
}

/// Formats the comparison as a text table. Each ratio is product divided by
/// baseline.
pub fn baseline_table(report: &BaselineReport) -> String {
    let mut text = format!("{:<26} {:>12}", "product and baselines", "product");
    for kind in report.measured.keys() {
        let _ = write!(text, " {:>14} {:>7}", kind.as_str(), "ratio");
    }
    text.push('\n');
    for row in &ROWS {
        let product = (row.value)(&report.product);
        let _ = write!(text, "{:<26} {:>12}", row.name, format_value(product));
        for system in report.measured.values() {
            let baseline = (row.value)(system);
            let ratio = format_value(ratio(product, baseline));
            let _ = write!(text, " {:>14} {:>7}", format_value(baseline), ratio);
        }
        text.push('\n');
    }
    if report.product.goodput.len() > 1 {
        text.push_str(&goodput_rows(report));
    }
    text
}

/// Formats one row for each interval of load: answered requests per second.
fn goodput_rows(report: &BaselineReport) -> String {
    let mut text = String::new();
    for (number, interval) in report.product.goodput.iter().enumerate() {
        let name = format!("goodput/s at load times {}", interval.factor);
        let product = Some(interval.answered_per_second);
        let _ = write!(text, "{name:<26} {:>12}", format_value(product));
        for system in report.measured.values() {
            let interval = system.goodput.get(number);
            let baseline = interval.map(|interval| interval.answered_per_second);
            let ratio = format_value(ratio(product, baseline));
            let _ = write!(text, " {:>14} {:>7}", format_value(baseline), ratio);
        }
        text.push('\n');
    }
    text
}

fn format_value(value: Option<f64>) -> String {
    match value {
        None => "-".to_owned(),
        Some(value) if value == value.trunc() && value.abs() < 1e9 => format!("{value:.0}"),
        Some(value) => format!("{value:.3}"),
    }
}
