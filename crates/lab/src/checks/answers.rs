//! Checks that every caller receives the complete response to its own request.
//!
//! The response of a stand-in back end contains the request id and carries the
//! length and checksum of its body; the caller verifies them. An answered
//! request must also have been executed before the response arrived.

use std::collections::BTreeMap;

use threadledge_types::Timestamp;

use super::{Guarantee, Violation};
use crate::history::{AttemptOutcome, History, RequestId};

/// Returns a violation for each wrong or incomplete response, and for each
/// response that no execution precedes.
pub fn check(history: &History) -> Vec<Violation> {
    let first_effect = first_effects(history);
    let mut violations = Vec::new();
    for record in &history.requests {
        let Some(last) = record.attempts.last() else {
            continue;
        };
        if last.outcome != AttemptOutcome::Answered {
            continue;
        }
        let violation = |detail: String| Violation::new(Guarantee::OwnAnswer, last.end, detail);
        if record.answer_matches != Some(true) {
            violations.push(violation(format!(
                "request {} got an answer that is not whole or not its own",
                record.request
            )));
        }
        match first_effect.get(&record.request) {
            Some(effect) if *effect <= last.end => {}
            _ => violations.push(violation(format!(
                "request {} was answered though no back end had carried it out",
                record.request
            ))),
        }
    }
    violations
}

/// Returns the time at which each request first took effect.
fn first_effects(history: &History) -> BTreeMap<RequestId, Timestamp> {
    let mut effects: BTreeMap<RequestId, Timestamp> = BTreeMap::new();
    for execution in &history.executions {
        let Some(end) = execution.end.filter(|_| execution.completed) else {
            continue;
        };
        let first = effects.entry(execution.request).or_insert(end);
        *first = (*first).min(end);
    }
    effects
}
