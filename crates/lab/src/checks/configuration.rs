//! Checks that accepted configuration takes effect on every router within a
//! time limit and never reverts.
//!
//! A router that reports itself not ready may lag: it refuses requests rather
//! than serving them by old configuration.

use std::collections::BTreeMap;
use std::time::Duration;

use threadledge_types::{Revision, Timestamp};

use super::{Guarantee, Violation};
use crate::history::{ConfigurationSeen, History, ObjectRef};

/// Maximum time from acceptance until every ready router has the configuration.
pub const CONFIGURATION_BOUND: Duration = Duration::from_secs(5);

/// Returns a violation for each revert, and one for each router and object
/// with a late update.
pub fn check(history: &History) -> Vec<Violation> {
    let mut by_router: BTreeMap<&str, Vec<&ConfigurationSeen>> = BTreeMap::new();
    for seen in &history.configurations {
        by_router.entry(&seen.router).or_default().push(seen);
    }
    let mut violations = Vec::new();
    for (router, mut seen) in by_router {
        seen.sort_by_key(|view| view.at);
        violations.extend(find_reverts(router, &seen));
        for accepted in &history.accepted {
            violations.extend(find_late(router, &seen, accepted));
        }
    }
    violations
}

/// Finds the times at which a router reported a lower revision than before.
fn find_reverts(router: &str, seen: &[&ConfigurationSeen]) -> Vec<Violation> {
    seen.windows(2)
        .filter(|pair| pair[1].revision < pair[0].revision)
        .map(|pair| {
            Violation::new(
                Guarantee::Configuration,
                pair[1].at,
                format!(
                    "{router} went back from revision {} to {}",
                    pair[0].revision, pair[1].revision
                ),
            )
        })
        .collect()
}

/// Finds the first time at which a ready router lacked a revision after the
/// limit.
fn find_late(
    router: &str,
    seen: &[&ConfigurationSeen],
    accepted: &(Timestamp, ObjectRef, Revision),
) -> Option<Violation> {
    let (at, object, revision) = accepted;
    let stale = seen.iter().find(|view| {
        view.ready && view.at > *at + CONFIGURATION_BOUND && view.revision < *revision
    })?;
    Some(Violation::new(
        Guarantee::Configuration,
        stale.at,
        format!(
            "{router} serves by revision {} {} ms after {} was accepted at {revision}",
            stale.revision,
            stale.at.since(*at).as_millis(),
            object.0
        ),
    ))
}
