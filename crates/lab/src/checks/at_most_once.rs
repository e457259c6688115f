//! Checks that a request which must not be repeated is executed at most once.

use std::collections::{BTreeMap, BTreeSet};

use super::{Guarantee, Violation};
use crate::history::{Execution, History, RequestId};

/// Returns a violation for each such request with several executions.
pub fn check(history: &History) -> Vec<Violation> {
    let must_not_repeat: BTreeSet<RequestId> = history
        .requests
        .iter()
        .filter(|record| !record.repeatable)
        .map(|record| record.request)
        .collect();
    let mut runs: BTreeMap<RequestId, Vec<&Execution>> = BTreeMap::new();
    for execution in history.executions.iter().filter(|run| run.completed) {
        if must_not_repeat.contains(&execution.request) {
            runs.entry(execution.request).or_default().push(execution);
        }
    }
    runs.into_iter()
        .filter(|(_, executions)| executions.len() > 1)
        .map(|(request, executions)| to_violation(request, &executions))
        .collect()
}

fn to_violation(request: RequestId, executions: &[&Execution]) -> Violation {
    let sessions: Vec<String> = executions
        .iter()
        .map(|execution| execution.session.to_string())
        .collect();
    Violation::new(
        Guarantee::AtMostOnce,
        executions[1].begin,
        format!(
            "request {request} was carried out {} times: {}",
            executions.len(),
            sessions.join(", ")
        ),
    )
}
