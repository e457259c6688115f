//! Measures how long keys had no owner and requests reached no server.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use threadledge_types::{Point, ServiceId, Timestamp};

use super::LAB_NAMESPACE;
use crate::history::{AttemptOutcome, History, OwnershipClaim, RequestId};

/// Longest unavailable times of one run, in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Unavailable {
    /// Longest time that a key had no owner after it had had one.
    pub keys_ms: f64,
    /// Longest time that a request, or a series of consecutive failing requests
    /// to the same key, was not executed by any server. Time spent waiting for
    /// a slot counts.
    pub requests_ms: f64,
}

impl Unavailable {
    /// Returns the longer of both times.
    pub fn longest_ms(&self) -> f64 {
        self.keys_ms.max(self.requests_ms)
    }
}

/// Measures the unavailable times of `history`; `from` and `until` bound the
/// times without an owner.
pub fn unavailable(history: &History, from: Timestamp, until: Timestamp) -> Unavailable {
    Unavailable {
        keys_ms: millis(longest_without_owner(history, from, until)),
        requests_ms: millis(longest_without_server(history)),
    }
}

/// Returns the longest time between `from` and `until` that points had no owner
/// after they had had one.
fn longest_without_owner(history: &History, from: Timestamp, until: Timestamp) -> Duration {
    let is_measured = |claim: &&OwnershipClaim| claim.grant.service.namespace != LAB_NAMESPACE;
    let claims: Vec<&OwnershipClaim> = history.claims.iter().filter(is_measured).collect();
    let mut owned_until_by_point: BTreeMap<(&ServiceId, Point), (Point, Timestamp)> =
        BTreeMap::new();
    let mut longest = Duration::ZERO;
    for claim in claims {
        let key = (&claim.grant.service, claim.grant.slice.first);
        let last = (&claim.grant.service, claim.grant.slice.last);
        let covered: Vec<_> = owned_until_by_point
            .range(..=last)
            .rev()
            .take_while(|((service, _), (end, _))| {
                *service == key.0 && *end >= claim.grant.slice.first
            })
            .map(|(key, value)| (*key, *value))
            .collect();
        let mut owned_until = claim.end;
        for ((service, first), (end, owned)) in covered {
            if owned < claim.begin && claim.begin >= from {
                longest = longest.max(claim.begin.since(owned.max(from)));
            }
            owned_until_by_point.remove(&(service, first));
            if first < claim.grant.slice.first {
                let before = Point(claim.grant.slice.first.0 - 1);
                owned_until_by_point.insert((service, first), (before, owned));
            }
            if end > claim.grant.slice.last {
                let after = Point(claim.grant.slice.last.0 + 1);
                owned_until_by_point.insert((service, after), (end, owned));
            }
            owned_until = owned_until.max(owned);
        }
        owned_until_by_point.insert(key, (claim.grant.slice.last, owned_until));
    }
    let still_without_owner = owned_until_by_point
        .values()
        .filter(|(_, owned)| *owned < until)
        .map(|(_, owned)| until.since((*owned).max(from)))
        .max();
    longest.max(still_without_owner.unwrap_or_default())
}

/// Returns the longest time without a server. A request counts from its
/// intended send time until its execution started or its caller gave up.
/// Consecutive failing requests to one key count as one interval.
fn longest_without_server(history: &History) -> Duration {
    let reached = first_effective_begin(history);
    let mut failing: BTreeMap<(&ServiceId, Point), Timestamp> = BTreeMap::new();
    let mut longest = Duration::ZERO;
    for record in &history.requests {
        let Some(last) = record.attempts.last() else {
            continue;
        };
        if record.service.namespace == LAB_NAMESPACE {
            continue;
        }
        let key = (&record.service, record.point);
        if last.outcome == AttemptOutcome::Answered {
            failing.remove(&key);
            let begin = reached.get(&record.request).copied().unwrap_or(last.end);
            longest = longest.max(begin.since(record.intended));
        } else {
            let since = *failing.entry(key).or_insert(record.intended);
            longest = longest.max(last.end.since(since));
        }
    }
    longest
}

/// Returns the start of the first execution that took effect, for each request.
fn first_effective_begin(history: &History) -> BTreeMap<RequestId, Timestamp> {
    let mut begins = BTreeMap::new();
    for execution in history.executions.iter().filter(|run| run.completed) {
        begins.entry(execution.request).or_insert(execution.begin);
    }
    begins
}

fn millis(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1_000.0
}
