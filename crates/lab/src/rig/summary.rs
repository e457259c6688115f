//! From the events of a run to its report.

use std::collections::BTreeMap;

use threadledge_types::{ServiceId, Timestamp};

use super::sides::Remains;
use crate::baseline::{BaselineKind, BaselineReport, MeasuredSide, MeasuredSpan};
use crate::checks::check_all;
use crate::experiment::Experiment;
use crate::history::{Event, History};
use crate::measures;
use crate::report::{FaultMark, REPORT_VERSION, Report};

/// Violations that are written out; all are counted.
const WRITTEN_VIOLATIONS: usize = 50;

/// What the report needs besides the events.
pub(super) struct RunFacts {
    pub deployments: Vec<String>,
    pub seed: u64,
    pub begin: Timestamp,
    pub ready_ms: u64,
    pub members: BTreeMap<ServiceId, usize>,
    pub imitated: BTreeMap<ServiceId, ServiceId>,
    /// Processor time of the routers under load, in seconds.
    pub cpu_seconds: f64,
}

/// Checks and measures a run.
pub(super) fn summarise(
    experiment: &Experiment,
    facts: RunFacts,
    events: Vec<Event>,
    baselines: BTreeMap<BaselineKind, Remains>,
) -> Report {
    let history = History::assemble(events);
    let end = facts.begin + experiment.duration;
    let violations = check_all(&history);
    let span = MeasuredSpan {
        begin: facts.begin,
        end,
        surges: &experiment.surges,
    };
    let baselines = measure_baselines(&history, span, &facts, baselines);
    let imbalance = measures::imbalance(&history, &facts.members);
    let churn = measures::churn(&history, facts.begin);
    let unavailable = measures::unavailable(&history, facts.begin, end);
    let mut report = Report {
        version: REPORT_VERSION,
        experiment: experiment.name.clone(),
        deployments: facts.deployments,
        seed: facts.seed,
        duration_ms: u64::try_from(experiment.duration.as_millis()).unwrap_or(u64::MAX),
        violations: violations.len(),
        violation_details: violations.into_iter().take(WRITTEN_VIOLATIONS).collect(),
        breached_bounds: Vec::new(),
        outcomes: measures::outcomes(&history),
        latency_ms: measures::latencies(&history, &facts.imitated),
        imbalance: imbalance.values().map(|one| one.load).fold(1.0, f64::max),
        imbalance_by_service: imbalance,
        churn: churn.key_share,
        churn_details: churn,
        unavailable_ms: unavailable.longest_ms(),
        unavailable_details: unavailable,
        configuration_in_force_ms: measures::configuration_in_force_ms(&history),
        faults: faults(&history, facts.begin),
        timeline: measures::timeline(&history, facts.begin),
        back_end_requests: measures::back_end_requests(&history),
        ownership: measures::ownership(&history, facts.begin, end),
        ready_ms: facts.ready_ms,
        goodput: measures::goodput(
            &history,
            facts.begin,
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
    facts: &RunFacts,
    baselines: BTreeMap<BaselineKind, Remains>,
) -> Option<BaselineReport> {
    if baselines.is_empty() {
        return None;
    }
    let measure = |history: &History, cpu_seconds| {
        MeasuredSide::new(history, span, &facts.members, Some(cpu_seconds))
    };
    let measured = baselines.into_iter().map(|(kind, remains)| {
        let history = History::assemble(remains.events);
        (kind, measure(&history, remains.cpu_seconds))
    });
    let measured = measured.collect();
    let product = measure(product, facts.cpu_seconds);
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
