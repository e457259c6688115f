//! How long keys and requests had no server to reach.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use threadledge_types::{Point, ServiceId, Timestamp};

use super::LAB_NAMESPACE;
use crate::history::{AttemptOutcome, Belief, History, RequestId};

/// Longest unavailable times of one run, in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Unavailable {
    /// Longest time that a key which had an owner had none.
    pub keys_ms: f64,
    /// Longest time that a request, or one failing request after the other to
    /// the same key, had no server that carried it out. Waiting for a slot
    /// counts.
    pub requests_ms: f64,
}

impl Unavailable {
    /// The longer of both.
    pub fn longest_ms(&self) -> f64 {
        self.keys_ms.max(self.requests_ms)
    }
}

/// Measures the time between `from` and `until`.
pub fn unavailable(history: &History, from: Timestamp, until: Timestamp) -> Unavailable {
    Unavailable {
        keys_ms: millis(longest_ownerless(history, from, until)),
        requests_ms: millis(longest_without_server(history)),
    }
}

fn longest_ownerless(history: &History, from: Timestamp, until: Timestamp) -> Duration {
    let own = |belief: &&Belief| belief.grant.service.namespace != LAB_NAMESPACE;
    let beliefs: Vec<&Belief> = history.beliefs.iter().filter(own).collect();
    let mut line: BTreeMap<(&ServiceId, Point), (Point, Timestamp)> = BTreeMap::new();
    let mut longest = Duration::ZERO;
    for belief in beliefs {
        let key = (&belief.grant.service, belief.grant.slice.first);
        let last = (&belief.grant.service, belief.grant.slice.last);
        let covered: Vec<_> = line
            .range(..=last)
            .rev()
            .take_while(|((service, _), (end, _))| {
                *service == key.0 && *end >= belief.grant.slice.first
            })
            .map(|(key, value)| (*key, *value))
            .collect();
        let mut owned_until = belief.end;
        for ((service, first), (end, owned)) in covered {
            if owned < belief.begin && belief.begin >= from {
                longest = longest.max(belief.begin.since(owned.max(from)));
            }
            line.remove(&(service, first));
            if first < belief.grant.slice.first {
                let before = Point(belief.grant.slice.first.0 - 1);
                line.insert((service, first), (before, owned));
            }
            if end > belief.grant.slice.last {
                let after = Point(belief.grant.slice.last.0 + 1);
                line.insert((service, after), (end, owned));
            }
            owned_until = owned_until.max(owned);
        }
        line.insert(key, (belief.grant.slice.last, owned_until));
    }
    let never_again = line
        .values()
        .filter(|(_, owned)| *owned < until)
        .map(|(_, owned)| until.since((*owned).max(from)))
        .max();
    longest.max(never_again.unwrap_or_default())
}

/// Every request counts from its intended time until it reached the server
/// that carried it out, or until its caller gave up. Requests to one key that
/// fail one after the other count as one stretch.
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

/// When the work began that took effect, for each request.
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
