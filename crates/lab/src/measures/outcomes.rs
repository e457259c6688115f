//! Counts requests by outcome.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::LAB_NAMESPACE;
use crate::history::{Attempt, AttemptOutcome, History};

/// Numbers of requests by the final outcome at their callers.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Outcomes {
    /// Requests answered completely.
    pub answered: u64,
    /// Requests not executed, as reported by the router or implied by a failed
    /// connection.
    pub not_run: u64,
    /// Requests that may have been executed.
    pub unknown: u64,
    /// Numbers of unanswered requests by reason.
    pub reasons: BTreeMap<String, u64>,
}

impl Outcomes {
    /// Returns the number of all requests.
    pub fn total(&self) -> u64 {
        self.answered + self.not_run + self.unknown
    }

    /// Returns the share of requests that were not answered, between 0 and 1.
    pub fn unanswered_share(&self) -> f64 {
        if self.total() == 0 {
            return 0.0;
        }
        1.0 - self.answered as f64 / self.total() as f64
    }
}

/// Counts the requests of `history`, except direct calls.
pub fn outcomes(history: &History) -> Outcomes {
    let mut outcomes = Outcomes::default();
    let records = history.requests.iter();
    for record in records.filter(|record| record.service.namespace != LAB_NAMESPACE) {
        let Some(last) = record.attempts.last() else {
            continue;
        };
        match last.outcome {
            AttemptOutcome::Answered => {
                outcomes.answered += 1;
                continue;
            }
            outcome if outcome.guarantees_not_run() => outcomes.not_run += 1,
            _ => outcomes.unknown += 1,
        }
        *outcomes.reasons.entry(describe(last)).or_default() += 1;
    }
    outcomes
}

/// Returns the reason under which an unanswered request is counted.
fn describe(attempt: &Attempt) -> String {
    match attempt.outcome {
        AttemptOutcome::Answered => "answered".to_owned(),
        AttemptOutcome::NotRun => format!("not-run: {}", reason(attempt)),
        AttemptOutcome::Unknown => format!("unknown: {}", reason(attempt)),
        AttemptOutcome::NotSent => "not-run: no connection to a router".to_owned(),
        AttemptOutcome::Cut => "unknown: connection to the router ended".to_owned(),
        AttemptOutcome::TimedOut => "unknown: the caller's patience ended".to_owned(),
    }
}

fn reason(attempt: &Attempt) -> &str {
    attempt.reason.as_deref().unwrap_or("no reason")
}
