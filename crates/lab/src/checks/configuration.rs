//! Accepted configuration is in force on every router within seconds and
//! never reverts.
//!
//! A router that says it takes no new work may lag: it refuses rather than
//! serve by old configuration.

use std::collections::BTreeMap;
use std::time::Duration;

use threadledge_types::{Revision, Timestamp};

use super::{Guarantee, Violation};
use crate::history::{ConfigurationSeen, History, ObjectRef};

/// Time from acceptance until every router has the configuration.
pub const CONFIGURATION_BOUND: Duration = Duration::from_secs(5);

/// Runs the check.
pub fn check(history: &History) -> Vec<Violation> {
    let mut by_router: BTreeMap<&str, Vec<&ConfigurationSeen>> = BTreeMap::new();
    for seen in &history.configurations {
        by_router.entry(&seen.router).or_default().push(seen);
    }
    let mut violations = Vec::new();
    for (router, mut seen) in by_router {
        seen.sort_by_key(|view| view.at);
        violations.extend(reverted(router, &seen));
        for accepted in &history.accepted {
            violations.extend(late(router, &seen, accepted));
        }
    }
    violations
}

fn reverted(router: &str, seen: &[&ConfigurationSeen]) -> Vec<Violation> {
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

fn late(
    router: &str,
    seen: &[&ConfigurationSeen],
    accepted: &(Timestamp, ObjectRef, Revision),
) -> Option<Violation> {
    let (at, object, revision) = accepted;
    let behind = seen.iter().find(|view| {
        view.ready && view.at > *at + CONFIGURATION_BOUND && view.revision < *revision
    })?;
    Some(Violation::new(
        Guarantee::Configuration,
        behind.at,
        format!(
            "{router} serves by revision {} {} ms after {} was accepted at {revision}",
            behind.revision,
            behind.at.since(*at).as_millis(),
            object.0
        ),
    ))
}
