//! Product and baselines side by side.

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

const REQUESTS_OF_A_COST: f64 = 1_000.0;
const MILLIS_PER_SECOND: f64 = 1_000.0;

/// What is measured in the same way for the product and each baseline.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct MeasuredSide {
    /// Requests.
    pub requests: u64,
    /// Requests answered.
    pub answered: u64,
    /// Share of requests that were not run, between 0 and 1.
    pub not_run_share: f64,
    /// Share of requests that may have run, between 0 and 1.
    pub unknown_share: f64,
    /// Median latency of answered requests, in milliseconds.
    pub latency_p50_ms: f64,
    /// Latency that 99 in 100 answered requests kept, in milliseconds.
    pub latency_p99_ms: f64,
    /// Worst imbalance by load of any service.
    pub imbalance: f64,
    /// Share of keys that changed owner, summed over changes and services.
    pub churn: f64,
    /// Longest time that a key or its requests had no server, in
    /// milliseconds.
    pub unavailable_ms: f64,
    /// Processor time of all routers for 1,000 requests, in milliseconds;
    /// null when it could not be read.
    pub cpu_ms_per_1000_requests: Option<f64>,
    /// Requests offered and answered in each stretch of constant load.
    pub goodput: Vec<Goodput>,
    /// Keys with two owners at once.
    pub double_owner: DoubleOwner,
    /// Breaches of the guarantees that can be judged without leases.
    pub breaches: BTreeMap<String, u64>,
}

/// The product beside the baselines of the same run.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct BaselineReport {
    /// The product.
    pub product: MeasuredSide,
    /// Each baseline.
    pub measured: BTreeMap<BaselineKind, MeasuredSide>,
    /// Product over baseline, by measure; one without a figure on either
    /// side, or with a baseline of 0, is left out.
    pub ratios: BTreeMap<BaselineKind, BTreeMap<String, f64>>,
}

/// The part of a run that is measured.
#[derive(Clone, Copy, Debug)]
pub struct MeasuredSpan<'a> {
    /// First moment of load.
    pub begin: Timestamp,
    /// Last moment of load.
    pub end: Timestamp,
    /// Stretches with another load.
    pub surges: &'a [Surge],
}

impl MeasuredSide {
    /// Measures one history. `members` counts the back ends of each service.
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
        MeasuredSide {
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
                .map(|seconds| per_request(seconds) * REQUESTS_OF_A_COST),
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

/// Single ownership is judged by [`double_owner`]; the other checks need
/// leases, groups or configuration, which baselines lack.
fn breaches(history: &History) -> BTreeMap<String, u64> {
    let mut counts = BTreeMap::new();
    let judged = [
        (Guarantee::OwnAnswer, answers::check(history)),
        (Guarantee::NotRun, not_run::check(history)),
        (Guarantee::AtMostOnce, at_most_once::check(history)),
        (Guarantee::Draining, draining::check(history)),
        (Guarantee::PlannedStop, planned_stop::check(history)),
    ];
    for (guarantee, violations) in judged {
        counts.insert(guarantee.as_str().to_owned(), violations.len() as u64);
    }
    counts
}

struct Row {
    name: &'static str,
    value: fn(&MeasuredSide) -> Option<f64>,
}

const ROWS: [Row; 17] = [
    Row {
        name: "requests answered",
        value: |side| Some(side.answered as f64),
    },
    Row {
        name: "not-run share",
        value: |side| Some(side.not_run_share),
    },
    Row {
        name: "unknown share",
        value: |side| Some(side.unknown_share),
    },
    Row {
        name: "latency p50 ms",
        value: |side| Some(side.latency_p50_ms),
    },
    Row {
        name: "latency p99 ms",
        value: |side| Some(side.latency_p99_ms),
    },
    Row {
        name: "imbalance",
        value: |side| Some(side.imbalance),
    },
    Row {
        name: "churn",
        value: |side| Some(side.churn),
    },
    Row {
        name: "unavailable ms",
        value: |side| Some(side.unavailable_ms),
    },
    Row {
        name: "cpu ms per 1000 requests",
        value: |side| side.cpu_ms_per_1000_requests,
    },
    Row {
        name: "two owners, times",
        value: |side| Some(side.double_owner.overlaps as f64),
    },
    Row {
        name: "two owners, longest ms",
        value: |side| Some(side.double_owner.longest_ms),
    },
    Row {
        name: "runs beside another owner",
        value: |side| Some(side.double_owner.runs_beside_another_owner as f64),
    },
    Row {
        name: "breaches own-answer",
        value: |side| breach(side, Guarantee::OwnAnswer),
    },
    Row {
        name: "breaches not-run",
        value: |side| breach(side, Guarantee::NotRun),
    },
    Row {
        name: "breaches at-most-once",
        value: |side| breach(side, Guarantee::AtMostOnce),
    },
    Row {
        name: "breaches draining",
        value: |side| breach(side, Guarantee::Draining),
    },
    Row {
        name: "breaches planned-stop",
        value: |side| breach(side, Guarantee::PlannedStop),
    },
];

fn breach(side: &MeasuredSide, guarantee: Guarantee) -> Option<f64> {
    let count = side.breaches.get(guarantee.as_str())?;
    Some(*count as f64)
}

impl BaselineReport {
    /// Puts the product beside the baselines.
    pub fn new(product: MeasuredSide, measured: BTreeMap<BaselineKind, MeasuredSide>) -> Self {
        let ratios = measured
            .iter()
            .map(|(kind, side)| (*kind, ratios(&product, side)))
            .collect();
        BaselineReport {
            product,
            measured,
            ratios,
        }
    }
}

fn ratios(product: &MeasuredSide, baseline: &MeasuredSide) -> BTreeMap<String, f64> {
    let mut ratios = BTreeMap::new();
    for row in &ROWS {
        if let Some(ratio) = ratio((row.value)(product), (row.value)(baseline)) {
            ratios.insert(row.name.to_owned(), ratio);
        }
    }
    ratios
}

fn ratio(product: Option<f64>, baseline: Option<f64>) -> Option<f64> {
    let baseline = baseline.filter(|baseline| *baseline != 0.0)?;
    Some(product? / baseline)
}

/// The comparison as text for people: each ratio is product over baseline.
pub fn baseline_table(report: &BaselineReport) -> String {
    let mut text = format!("{:<26} {:>12}", "product and baselines", "product");
    for kind in report.measured.keys() {
        let _ = write!(text, " {:>14} {:>7}", kind.as_str(), "ratio");
    }
    text.push('\n');
    for row in &ROWS {
        let product = (row.value)(&report.product);
        let _ = write!(text, "{:<26} {:>12}", row.name, figure(product));
        for side in report.measured.values() {
            let baseline = (row.value)(side);
            let ratio = figure(ratio(product, baseline));
            let _ = write!(text, " {:>14} {:>7}", figure(baseline), ratio);
        }
        text.push('\n');
    }
    if report.product.goodput.len() > 1 {
        text.push_str(&goodput_rows(report));
    }
    text
}

/// One row for each stretch of load: requests answered a second.
fn goodput_rows(report: &BaselineReport) -> String {
    let mut text = String::new();
    for (number, stretch) in report.product.goodput.iter().enumerate() {
        let name = format!("goodput/s at load times {}", stretch.factor);
        let product = Some(stretch.answered_per_second);
        let _ = write!(text, "{name:<26} {:>12}", figure(product));
        for side in report.measured.values() {
            let stretch = side.goodput.get(number);
            let baseline = stretch.map(|stretch| stretch.answered_per_second);
            let ratio = figure(ratio(product, baseline));
            let _ = write!(text, " {:>14} {:>7}", figure(baseline), ratio);
        }
        text.push('\n');
    }
    text
}

fn figure(value: Option<f64>) -> String {
    match value {
        None => "-".to_owned(),
        Some(value) if value == value.trunc() && value.abs() < 1e9 => format!("{value:.0}"),
        Some(value) => format!("{value:.3}"),
    }
}
