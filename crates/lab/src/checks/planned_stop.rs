//! Checks that a planned stop of a machine interrupts no request in flight.
//!
//! Once a router is asked to stop, every attempt that is in flight at it or
//! reaches it later must end with a response or with a correct `not-run`; a
//! refused connection counts as not sent.

use std::collections::BTreeMap;

use threadledge_types::Timestamp;

use super::{Guarantee, Violation};
use crate::history::{Attempt, AttemptOutcome, History};

/// Returns a violation for each attempt that a planned stop interrupted.
pub fn check(history: &History) -> Vec<Violation> {
    let stops: BTreeMap<usize, Timestamp> = history
        .planned_stops
        .iter()
        .map(|(at, router)| (*router, *at))
        .collect();
    let mut violations = Vec::new();
    for record in &history.requests {
        for attempt in &record.attempts {
            let Some(stop) = stops.get(&attempt.router) else {
                continue;
            };
            if attempt.end >= *stop && was_interrupted(attempt) {
                violations.push(Violation::new(
                    Guarantee::PlannedStop,
                    attempt.end,
                    format!(
                        "request {} was cut off at router {} by its planned stop ({})",
                        record.request,
                        attempt.router,
                        attempt.reason.as_deref().unwrap_or("no reason")
                    ),
                ));
            }
        }
    }
    violations
}

/// Returns whether the connection ended or the caller timed out.
fn was_interrupted(attempt: &Attempt) -> bool {
    matches!(
        attempt.outcome,
        AttemptOutcome::Cut | AttemptOutcome::TimedOut
    )
}
