//! Who owned how much when.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use threadledge_types::{BackEndId, ServiceId, Timestamp};

use super::LAB_NAMESPACE;
use crate::history::History;

/// A stretch of time in which a back end owned the same share of a service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct OwnershipStretch {
    /// The service.
    pub service: String,
    /// The back end.
    pub back_end: String,
    /// First moment, in milliseconds since the load began.
    pub from_ms: u64,
    /// End, in milliseconds since the load began.
    pub until_ms: u64,
    /// Share of the service's points.
    pub share: f64,
}

/// Shares below this are rounding.
const SMALLEST_SHARE: f64 = 1e-9;

/// Ownership between `from` and `until`.
pub fn ownership(history: &History, from: Timestamp, until: Timestamp) -> Vec<OwnershipStretch> {
    let mut changes: BTreeMap<(&ServiceId, &BackEndId), BTreeMap<Timestamp, f64>> = BTreeMap::new();
    for belief in &history.beliefs {
        let service = &belief.grant.service;
        if service.namespace == LAB_NAMESPACE || belief.end <= from || belief.begin >= until {
            continue;
        }
        let share = belief.grant.slice.share();
        let line = changes
            .entry((service, &belief.session.back_end))
            .or_default();
        *line.entry(belief.begin.max(from)).or_default() += share;
        *line.entry(belief.end.min(until)).or_default() -= share;
    }
    let stretches = changes.into_iter().flat_map(|((service, back_end), line)| {
        stretches_of(&line, from)
            .into_iter()
            .map(move |(from_ms, until_ms, share)| OwnershipStretch {
                service: service.to_string(),
                back_end: back_end.to_string(),
                from_ms,
                until_ms,
                share,
            })
    });
    stretches.collect()
}

fn stretches_of(line: &BTreeMap<Timestamp, f64>, origin: Timestamp) -> Vec<(u64, u64, f64)> {
    let mut stretches = Vec::new();
    let mut share = 0.0;
    let mut since = origin;
    for (at, change) in line {
        if share > SMALLEST_SHARE && *at > since {
            stretches.push((millis(since, origin), millis(*at, origin), share));
        }
        share += change;
        since = *at;
    }
    stretches
}

fn millis(at: Timestamp, origin: Timestamp) -> u64 {
    u64::try_from(at.since(origin).as_millis()).unwrap_or(u64::MAX)
}
