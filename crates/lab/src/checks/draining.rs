//! Checks that a draining back end receives no new work after a time limit.
//!
//! The drain notice applies to the incarnation that received it. A back end
//! that was restarted is not draining.

use std::collections::BTreeMap;
use std::time::Duration;

use threadledge_types::{SessionId, Timestamp};

use super::{Guarantee, Violation};
use crate::history::History;

/// Maximum time from the drain notice to the last new request.
pub const DRAIN_BOUND: Duration = Duration::from_secs(3);

/// Returns a violation for each execution that started too late.
pub fn check(history: &History) -> Vec<Violation> {
    let mut drains: BTreeMap<&SessionId, Timestamp> = BTreeMap::new();
    for (at, session) in &history.drains {
        drains.entry(session).or_insert(*at);
    }
    history
        .executions
        .iter()
        .filter_map(|execution| {
            let noticed = drains.get(&execution.session)?;
            let late = execution.begin > *noticed + DRAIN_BOUND;
            late.then(|| {
                Violation::new(
                    Guarantee::Draining,
                    execution.begin,
                    format!(
                        "{} took request {} {} ms after its drain notice",
                        execution.session,
                        execution.request,
                        execution.begin.since(*noticed).as_millis()
                    ),
                )
            })
        })
        .collect()
}
