//! Measures how many keys change owner.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use threadledge_types::{BackEndId, Point, ServiceId, Timestamp};

use super::LAB_NAMESPACE;
use crate::history::{History, OwnershipClaim};

/// Changes of ownership in one run.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Churn {
    /// Sum over all changes of the share of a service's keys that changed
    /// owner: 1 means that the number of moved keys equals that of one
    /// service.
    pub key_share: f64,
    /// Number of slices that changed owner.
    pub moves: u64,
    /// Share of keys that changed owner, for each service.
    pub services: BTreeMap<String, f64>,
}

/// Measures the changes of owner after `from`: points whose owning back end
/// differs from the previous one. The first assignment is not a change.
pub fn churn(history: &History, from: Timestamp) -> Churn {
    let mut owners: BTreeMap<&ServiceId, BTreeMap<Point, (Point, &BackEndId)>> = BTreeMap::new();
    let mut churn = Churn::default();
    for claim in &history.claims {
        let service = &claim.grant.service;
        if service.namespace == LAB_NAMESPACE {
            continue;
        }
        let owners_by_point = owners.entry(service).or_default();
        let moved = assign(owners_by_point, claim);
        if moved > 0.0 && claim.begin >= from {
            churn.key_share += moved;
            churn.moves += 1;
            *churn.services.entry(service.to_string()).or_default() += moved;
        }
    }
    churn
}

/// Sets the owner of the points of `claim` and returns the share of points that
/// had another owner before.
fn assign<'a>(
    owners_by_point: &mut BTreeMap<Point, (Point, &'a BackEndId)>,
    claim: &'a OwnershipClaim,
) -> f64 {
    let slice = claim.grant.slice;
    let owner = &claim.session.back_end;
    let covered: Vec<(Point, Point, &BackEndId)> = owners_by_point
        .range(..=slice.last)
        .rev()
        .map(|(first, (last, owner))| (*first, *last, *owner))
        .take_while(|(_, last, _)| *last >= slice.first)
        .collect();
    let mut moved = 0.0;
    for (first, last, earlier) in covered {
        owners_by_point.remove(&first);
        let begin = first.max(slice.first);
        let end = last.min(slice.last);
        if earlier != owner {
            moved += share(begin, end);
        }
        if first < slice.first {
            owners_by_point.insert(first, (Point(slice.first.0 - 1), earlier));
        }
        if last > slice.last {
            owners_by_point.insert(Point(slice.last.0 + 1), (last, earlier));
        }
    }
    owners_by_point.insert(slice.first, (slice.last, owner));
    moved
}

fn share(first: Point, last: Point) -> f64 {
    threadledge_types::Slice { first, last }.share()
}
