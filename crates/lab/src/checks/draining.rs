//! A back end that is leaving receives no new work after a few seconds.
//!
//! The notice binds the life of the back end that got it. One that was started
//! again is not leaving.

use std::collections::BTreeMap;
use std::time::Duration;

use threadledge_types::{SessionId, Timestamp};

use super::{Guarantee, Violation};
use crate::history::History;

/// Time from the drain notice to the last new request.
pub const DRAIN_BOUND: Duration = Duration::from_secs(3);

/// Runs the check.
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
