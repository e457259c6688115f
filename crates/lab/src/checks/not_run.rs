//! What is said not to have run did not run.
//!
//! A request keeps its name over all its attempts, so an execution must be
//! explained by an attempt that was not promised to be not run and that had
//! begun when the execution began.

use std::collections::BTreeMap;

use super::{Guarantee, Violation};
use crate::history::{Execution, History, RequestId, RequestRecord};

/// Runs the check.
pub fn check(history: &History) -> Vec<Violation> {
    let mut records: BTreeMap<RequestId, &RequestRecord> = BTreeMap::new();
    for record in &history.requests {
        records.insert(record.request, record);
    }
    let mut violations = Vec::new();
    for execution in history.executions.iter().filter(|run| run.completed) {
        // A request whose caller recorded no end was promised nothing.
        let Some(record) = records.get(&execution.request) else {
            continue;
        };
        if !explained(record, execution) {
            violations.push(Violation::new(
                Guarantee::NotRun,
                execution.begin,
                format!(
                    "request {} was said not to have run, yet {} carried it out",
                    execution.request, execution.session
                ),
            ));
        }
    }
    violations
}

fn explained(record: &RequestRecord, execution: &Execution) -> bool {
    record
        .attempts
        .iter()
        .any(|attempt| !attempt.outcome.promises_not_run() && attempt.begin <= execution.begin)
}
