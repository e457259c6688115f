//! Keys with two owners at one moment: by what back ends were given, and by
//! what they carried out.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use threadledge_types::{SessionId, Timestamp};

use crate::checks::by_segment;
use crate::history::{Belief, Execution, History};
use crate::measures::LAB_NAMESPACE;

const MILLIS_PER_SECOND: f64 = 1_000.0;

/// How far a run was from one owner for each key.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct DoubleOwner {
    /// Stretches of one slice that had two owners at once.
    pub overlaps: u64,
    /// Longest of them, in milliseconds.
    pub longest_ms: f64,
    /// Requests that took effect while another back end owned their key.
    pub runs_beside_another_owner: u64,
}

/// Looks for two owners in `history`.
pub fn double_owner(history: &History) -> DoubleOwner {
    let own = |belief: &&Belief| belief.grant.service.namespace != LAB_NAMESPACE;
    let beliefs: Vec<&Belief> = history.beliefs.iter().filter(own).collect();
    let segments = by_segment(beliefs.iter().copied(), |belief| {
        (&belief.grant.service, belief.grant.slice)
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
                **service == run.service && beside_another(run, owners)
            })
        })
        .count() as u64;
    found
}

/// Pairs of different sessions that follow each other before the earlier one
/// ended, and the longest time they share.
fn overlaps(owners: &[&Belief]) -> (u64, Duration) {
    let mut owners = owners.to_vec();
    owners.sort_by_key(|belief| belief.begin);
    let mut until: BTreeMap<&SessionId, Timestamp> = BTreeMap::new();
    let mut count = 0;
    let mut longest = Duration::ZERO;
    for belief in owners {
        let others = until.iter().filter(|(other, _)| **other != &belief.session);
        let shared = others
            .map(|(_, end)| (*end).min(belief.end).since(belief.begin))
            .max()
            .unwrap_or_default();
        if !shared.is_zero() {
            count += 1;
            longest = longest.max(shared);
        }
        let end = until.entry(&belief.session).or_insert(belief.end);
        *end = (*end).max(belief.end);
    }
    (count, longest)
}

/// Whether some other session owned the key when `run` took effect. A run
/// whose own session owned it too is beside another owner all the same.
fn beside_another(run: &Execution, owners: &[&Belief]) -> bool {
    let at = run.end.unwrap_or(run.begin);
    owners
        .iter()
        .any(|belief| belief.session != run.session && belief.begin <= at && at < belief.end)
}
