//! How many keys change owner.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use threadledge_types::{BackEndId, Point, ServiceId, Timestamp};

use super::LAB_NAMESPACE;
use crate::history::{Belief, History};

/// Changes of owner in one run.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Churn {
    /// Sum over all changes of the share of a service's keys that changed
    /// owner: 1 means that as many keys moved as one service has.
    pub key_share: f64,
    /// Slices that changed owner.
    pub moves: u64,
    /// Share of keys that changed owner, for each service.
    pub services: BTreeMap<String, f64>,
}

/// Counts the changes of owner after `from`: points whose owning back end
/// differs from the one before. The first assignment is no change.
pub fn churn(history: &History, from: Timestamp) -> Churn {
    let mut owners: BTreeMap<&ServiceId, BTreeMap<Point, (Point, &BackEndId)>> = BTreeMap::new();
    let mut churn = Churn::default();
    for belief in &history.beliefs {
        let service = &belief.grant.service;
        if service.namespace == LAB_NAMESPACE {
            continue;
        }
        let line = owners.entry(service).or_default();
        let moved = take(line, belief);
        if moved > 0.0 && belief.begin >= from {
            churn.key_share += moved;
            churn.moves += 1;
            *churn.services.entry(service.to_string()).or_default() += moved;
        }
    }
    churn
}

/// Writes the new owner over the points of `belief`; returns the share of
/// points whose owner was another.
fn take<'a>(line: &mut BTreeMap<Point, (Point, &'a BackEndId)>, belief: &'a Belief) -> f64 {
    let slice = belief.grant.slice;
    let owner = &belief.session.back_end;
    let covered: Vec<(Point, Point, &BackEndId)> = line
        .range(..=slice.last)
        .rev()
        .map(|(first, (last, owner))| (*first, *last, *owner))
        .take_while(|(_, last, _)| *last >= slice.first)
        .collect();
    let mut moved = 0.0;
    for (first, last, earlier) in covered {
        line.remove(&first);
        let begin = first.max(slice.first);
        let end = last.min(slice.last);
        if earlier != owner {
            moved += share(begin, end);
        }
        if first < slice.first {
            line.insert(first, (Point(slice.first.0 - 1), earlier));
        }
        if last > slice.last {
            line.insert(Point(slice.last.0 + 1), (last, earlier));
        }
    }
    line.insert(slice.first, (slice.last, owner));
    moved
}

fn share(first: Point, last: Point) -> f64 {
    threadledge_types::Slice { first, last }.share()
}
