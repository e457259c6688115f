//! Measures the share of each service that each back end owned over time.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use threadledge_types::{BackEndId, ServiceId, Timestamp};

use super::LAB_NAMESPACE;
use crate::history::History;

/// An interval in which a back end owned a constant share of a service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct OwnershipInterval {
    /// The service.
    pub service: String,
    /// The back end.
    pub back_end: String,
    /// Start, in milliseconds since the load began.
    pub from_ms: u64,
    /// End, in milliseconds since the load began.
    pub until_ms: u64,
    /// Share of the service's points, between 0 and 1.
    pub share: f64,
}

/// Shares up to this value are rounding errors.
const MIN_SHARE: f64 = 1e-9;

/// Returns the ownership of all back ends between `from` and `until`.
pub fn ownership(history: &History, from: Timestamp, until: Timestamp) -> Vec<OwnershipInterval> {
    let mut changes: BTreeMap<(&ServiceId, &BackEndId), BTreeMap<Timestamp, f64>> = BTreeMap::new();
    for claim in &history.claims {
        let service = &claim.grant.service;
        if service.namespace == LAB_NAMESPACE || claim.end <= from || claim.begin >= until {
            continue;
        }
        let share = claim.grant.slice.share();
        let share_changes = changes
            .entry((service, &claim.session.back_end))
            .or_default();
        *share_changes.entry(claim.begin.max(from)).or_default() += share;
        *share_changes.entry(claim.end.min(until)).or_default() -= share;
    }
    let intervals = changes
        .into_iter()
        .flat_map(|((service, back_end), share_changes)| {
            to_intervals(&share_changes, from)
                .into_iter()
                .map(move |(from_ms, until_ms, share)| OwnershipInterval {
                    service: service.to_string(),
                    back_end: back_end.to_string(),
                    from_ms,
                    until_ms,
                    share,
                })
        });
    intervals.collect()
}

/// Converts changes of a share to intervals of a constant positive share, with
/// times in milliseconds since `origin`.
fn to_intervals(
    share_changes: &BTreeMap<Timestamp, f64>,
    origin: Timestamp,
) -> Vec<(u64, u64, f64)> {
    let mut intervals = Vec::new();
    let mut share = 0.0;
    let mut since = origin;
    for (at, change) in share_changes {
        if share > MIN_SHARE && *at > since {
            intervals.push((millis(since, origin), millis(*at, origin), share));
        }
        share += change;
        since = *at;
    }
    intervals
}

fn millis(at: Timestamp, origin: Timestamp) -> u64 {
    u64::try_from(at.since(origin).as_millis()).unwrap_or(u64::MAX)
}
