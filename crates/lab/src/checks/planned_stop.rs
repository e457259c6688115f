//! A planned stop of any machine cuts off no request in flight.
//!
//! From the moment a router is asked to stop, every attempt that is under way
//! at it, or reaches it later, must end with an answer or with a truthful
//! `not-run`; a connection that is refused counts as not sent.

use std::collections::BTreeMap;

use threadledge_types::Timestamp;

use super::{Guarantee, Violation};
use crate::history::{Attempt, AttemptOutcome, History};

/// Runs the check.
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
            if attempt.end >= *stop && was_cut(attempt) {
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

fn was_cut(attempt: &Attempt) -> bool {
    matches!(
        attempt.outcome,
        AttemptOutcome::Cut | AttemptOutcome::TimedOut
    )
}
