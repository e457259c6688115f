//! Measures how often keys had two owners at once, by ownership claims and by
//! executed requests.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use threadledge_types::{SessionId, Timestamp};

use crate::checks::by_segment;
use crate::history::{Execution, History, OwnershipClaim};
use crate::measures::LAB_NAMESPACE;

const MILLIS_PER_SECOND: f64 = 1_000.0;

/// Violations of single ownership in a run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct DoubleOwner {
    /// Number of intervals in which one segment of points had two owners.
    pub overlaps: u64,
    /// Longest of these intervals, in milliseconds.
    pub longest_ms: f64,
    /// Number of requests that took effect while another back end owned their
    /// key.
    pub runs_beside_another_owner: u64,
}

/// Measures the double ownership in `history`.
pub fn double_owner(history: &History) -> DoubleOwner {
    let is_measured = |claim: &&OwnershipClaim| claim.grant.service.namespace != LAB_NAMESPACE;
    let claims: Vec<&OwnershipClaim> = history.claims.iter().filter(is_measured).collect();
    let segments = by_segment(claims.iter().copied(), |claim| {
        (&claim.grant.service, claim.grant.slice)
    });
    let mut found = DoubleOwner::default();
    for owners in segments.values() {
        let (count, longest) = overlaps(owners);
        found.overlaps += count;
        found.longest_ms = found
            .longest_ms
            .max(longest.as_secs_f64() * MILLIS_PER_SECOND);
    }
    let executions = history.executions.iter();
    found.runs_beside_another_owner = executions
        .filter(|run| run.completed && run.service.namespace != LAB_NAMESPACE)
        .filter(|run| {
            let before = segments.range(..=(&run.service, run.point));
            let segment = before.into_iter().next_back();
            segment.is_some_and(|((service, _), owners)| {
                **service == run.service && has_other_owner(run, owners)
            })
        })
        .count() as u64;
    found
}

/// Counts the claims that start before the claim of another session has ended,
/// and returns the longest overlap.
fn overlaps(owners: &[&OwnershipClaim]) -> (u64, Duration) {
    let mut owners = owners.to_vec();
    owners.sort_by_key(|claim| claim.begin);
    let mut until: BTreeMap<&SessionId, Timestamp> = BTreeMap::new();
    let mut count = 0;
    let mut longest = Duration::ZERO;
    for claim in owners {
        let others = until.iter().filter(|(other, _)| **other != &claim.session);
        let shared = others
            .map(|(_, end)| (*end).min(claim.end).since(claim.begin))
            .max()
            .unwrap_or_default();
        if !shared.is_zero() {
            count += 1;
            longest = longest.max(shared);
        }
        let end = until.entry(&claim.session).or_insert(claim.end);
        *end = (*end).max(claim.end);
    }
    (count, longest)
}

/// Returns whether another session owned the key when `run` took effect, even
/// if the session of `run` owned it too.
fn has_other_owner(run: &Execution, owners: &[&OwnershipClaim]) -> bool {
    let at = run.end.unwrap_or(run.begin);
    owners
        .iter()
        .any(|claim| claim.session != run.session && claim.begin <= at && at < claim.end)
}
