//! Measures how long accepted configuration takes to reach every router.

use std::collections::BTreeMap;
use std::time::Duration;

use threadledge_types::{Revision, Timestamp};

use crate::history::{ConfigurationSeen, History};

/// Returns the longest time from acceptance until a router reported the
/// revision, in milliseconds, over all routers that reported it. `None` if
/// nothing was accepted during the run. The resolution is the interval at which
/// routers are polled.
pub fn configuration_in_force_ms(history: &History) -> Option<f64> {
    let mut routers: BTreeMap<&str, Vec<&ConfigurationSeen>> = BTreeMap::new();
    for seen in &history.configurations {
        routers.entry(&seen.router).or_default().push(seen);
    }
    history
        .accepted
        .iter()
        .flat_map(|(at, _, revision)| {
            let times = routers.values();
            times.filter_map(|seen| time_to_revision(seen, *at, *revision))
        })
        .max()
        .map(|longest| longest.as_secs_f64() * 1_000.0)
}

/// Returns the time from `at` until a router first reported `revision` or a
/// later one, or `None` if it never did.
fn time_to_revision(
    seen: &[&ConfigurationSeen],
    at: Timestamp,
    revision: Revision,
) -> Option<Duration> {
    let first = seen.iter().find(|view| view.revision >= revision)?;
    Some(first.at.since(at))
}
