//! How long keys and requests had no server to reach.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use threadledge_types::{Point, ServiceId, Timestamp};

use super::LAB_NAMESPACE;
use crate::history::{AttemptOutcome, Belief, History};

/// Longest unavailable times of one run, in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Unavailable {
    /// Longest time that a key which had an owner had none.
    pub keys_ms: f64,
    /// Longest time over which every request to one key failed: from the
    /// first to the last intended time. A single failure counts as 0.
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
        requests_ms: millis(longest_failing(history)),
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

fn longest_failing(history: &History) -> Duration {
    let mut failing: BTreeMap<(&ServiceId, Point), (Timestamp, Timestamp)> = BTreeMap::new();
    let mut longest = Duration::ZERO;
    for record in &history.requests {
        if record.service.namespace == LAB_NAMESPACE {
            continue;
        }
        let key = (&record.service, record.point);
        let answered = record
            .attempts
            .last()
            .is_some_and(|last| last.outcome == AttemptOutcome::Answered);
        if answered {
            failing.remove(&key);
            continue;
        }
        let stretch = failing
            .entry(key)
            .or_insert((record.intended, record.intended));
        stretch.1 = record.intended;
        longest = longest.max(stretch.1.since(stretch.0));
    }
    longest
}

fn millis(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1_000.0
}
