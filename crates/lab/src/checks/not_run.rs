//! Checks that a request reported as not run was not executed.
//!
//! A request keeps its id over all its attempts. An execution must therefore be
//! explained by an attempt whose outcome does not guarantee that it did not
//! run, and that had started before the execution.

use std::collections::BTreeMap;

use super::{Guarantee, Violation};
use crate::history::{Execution, History, RequestId, RequestRecord};

/// Returns a violation for each execution that no attempt explains.
pub fn check(history: &History) -> Vec<Violation> {
    let mut records: BTreeMap<RequestId, &RequestRecord> = BTreeMap::new();
    for record in &history.requests {
        records.insert(record.request, record);
    }
    let mut violations = Vec::new();
    for execution in history.executions.iter().filter(|run| run.completed) {
        // Without a recorded outcome, the caller was told nothing.
        let Some(record) = records.get(&execution.request) else {
            continue;
        };
        if !has_explaining_attempt(record, execution) {
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

fn has_explaining_attempt(record: &RequestRecord, execution: &Execution) -> bool {
    record
        .attempts
        .iter()
        .any(|attempt| !attempt.outcome.guarantees_not_run() && attempt.begin <= execution.begin)
}
