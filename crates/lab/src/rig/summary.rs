//! Builds the report of a run from its events.

use std::collections::BTreeMap;

use threadledge_types::{ServiceId, Timestamp};

use super::systems::SystemData;
use crate::baseline::{BaselineKind, BaselineReport, MeasuredSpan, SystemMeasures};
use crate::checks::check_all;
use crate::experiment::Experiment;
use crate::history::{Event, History};
use crate::measures;
use crate::report::{FaultMark, REPORT_VERSION, Report};

/// Maximum number of violations in the report; all of them are counted.
const MAX_VIOLATION_DETAILS: usize = 50;

/// Data of a run that the report needs besides the events.
pub(super) struct RunData {
    pub deployments: Vec<String>,
    pub seed: u64,
    pub begin: Timestamp,
    pub ready_ms: u64,
    pub members: BTreeMap<ServiceId, usize>,
    pub imitated: BTreeMap<ServiceId, ServiceId>,
    /// Processor time of the routers under load, in seconds.
    pub cpu_seconds: f64,
}

/// Runs the checks and measures and returns the report.
pub(super) fn summarise(
    experiment: &Experiment,
    run_data: RunData,
    events: Vec<Event>,
    baselines: BTreeMap<BaselineKind, SystemData>,
) -> Report {
    let history = History::assemble(events);
    let end = run_data.begin + experiment.duration;
    let violations = check_all(&history);
    let span = MeasuredSpan {
        begin: run_data.begin,
        end,
        surges: &experiment.surges,
    };
    let baselines = measure_baselines(&history, span, &run_data, baselines);
    let imbalance = measures::imbalance(&history, &run_data.members);
    let churn = measures::churn(&history, run_data.begin);
    let unavailable = measures::unavailable(&history, run_data.begin, end);
    let mut report = Report {
        version: REPORT_VERSION,
        experiment: experiment.name.clone(),
        deployments: run_data.deployments,
        seed: run_data.seed,
        duration_ms: u64::try_from(experiment.duration.as_millis()).unwrap_or(u64::MAX),
        violations: violations.len(),
        violation_details: violations.into_iter().take(MAX_VIOLATION_DETAILS).collect(),
        breached_bounds: Vec::new(),
        outcomes: measures::outcomes(&history),
        latency_ms: measures::latencies(&history, &run_data.imitated),
        imbalance: imbalance.values().map(|one| one.load).fold(1.0, f64::max),
        imbalance_by_service: imbalance,
        churn: churn.key_share,
        churn_details: churn,
        unavailable_ms: unavailable.longest_ms(),
        unavailable_details: unavailable,
        configuration_in_force_ms: measures::configuration_in_force_ms(&history),
        faults: faults(&history, run_data.begin),
        timeline: measures::timeline(&history, run_data.begin),
        back_end_requests: measures::back_end_requests(&history),
        ownership: measures::ownership(&history, run_data.begin, end),
        ready_ms: run_data.ready_ms,
        goodput: measures::goodput(
            &history,
            run_data.begin,
            experiment.duration,
            &experiment.surges,
        ),
        baselines,
    };
    report.breached_bounds = experiment.bounds.breached(&report);
    report
}

fn measure_baselines(
    product: &History,
    span: MeasuredSpan<'_>,
    run_data: &RunData,
    baselines: BTreeMap<BaselineKind, SystemData>,
) -> Option<BaselineReport> {
    if baselines.is_empty() {
        return None;
    }
    let measure = |history: &History, cpu_seconds| {
        SystemMeasures::new(history, span, &run_data.members, Some(cpu_seconds))
    };
    let measured = baselines.into_iter().map(|(kind, data)| {
        let history = History::assemble(data.events);
        (kind, measure(&history, data.cpu_seconds))
    });
    let measured = measured.collect();
    let product = measure(product, run_data.cpu_seconds);
    Some(BaselineReport::new(product, measured))
}

fn faults(history: &History, begin: Timestamp) -> Vec<FaultMark> {
    let marks = history.faults.iter();
    marks
        .map(|(at, what)| FaultMark {
            at_ms: u64::try_from(at.since(begin).as_millis()).unwrap_or(u64::MAX),
            what: what.clone(),
        })
        .collect()
}
