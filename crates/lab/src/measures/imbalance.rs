//! Measures how unevenly load and keys are distributed over back ends.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};
use threadledge_types::{BackEndId, Point, ServiceId};

use super::LAB_NAMESPACE;
use crate::history::History;

/// Imbalance of one service: the maximum over back ends divided by the mean.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Imbalance {
    /// Imbalance of executed requests.
    pub load: f64,
    /// Imbalance of distinct requested keys.
    pub keys: f64,
    /// Number of back ends that executed at least one request.
    pub back_ends: usize,
}

/// Requests and keys of one back end.
#[derive(Default)]
struct Share {
    requests: u64,
    keys: BTreeSet<Point>,
}

/// Returns the imbalance of each service. `members` holds the number of back
/// ends of each service, so that idle ones are counted.
pub fn imbalance(
    history: &History,
    members: &BTreeMap<ServiceId, usize>,
) -> BTreeMap<String, Imbalance> {
    let mut shares: BTreeMap<&ServiceId, BTreeMap<&BackEndId, Share>> = BTreeMap::new();
    let executions = history.executions.iter();
    for execution in executions.filter(|run| run.service.namespace != LAB_NAMESPACE) {
        let share = shares
            .entry(&execution.service)
            .or_default()
            .entry(&execution.session.back_end)
            .or_default();
        share.requests += 1;
        share.keys.insert(execution.point);
    }
    shares
        .into_iter()
        .map(|(service, back_ends)| {
            let known = members.get(service).copied().unwrap_or(0);
            (service.to_string(), service_imbalance(&back_ends, known))
        })
        .collect()
}

fn service_imbalance(back_ends: &BTreeMap<&BackEndId, Share>, known: usize) -> Imbalance {
    let count = known.max(back_ends.len());
    let requests = back_ends.values().map(|share| share.requests as f64);
    let keys = back_ends.values().map(|share| share.keys.len() as f64);
    Imbalance {
        load: max_over_mean(requests, count),
        keys: max_over_mean(keys, count),
        back_ends: back_ends.len(),
    }
}

fn max_over_mean(values: impl Iterator<Item = f64> + Clone, count: usize) -> f64 {
    let sum: f64 = values.clone().sum();
    let largest = values.fold(0.0, f64::max);
    if sum == 0.0 {
        return 1.0;
    }
    largest * count as f64 / sum
}
