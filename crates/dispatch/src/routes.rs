//! Selects the route and the destination of a request.

use std::collections::BTreeMap;
use std::sync::Arc;

use threadledge_types::deployment::{Configuration, Destination, Route};
use threadledge_types::path_readings;

/// Routes by host. The routes of one host are sorted by prefix length, longest
/// first.
#[derive(Clone, Debug, Default)]
pub struct RouteTable {
    by_host: BTreeMap<String, Vec<Arc<Route>>>,
}

impl RouteTable {
    /// Builds the table of a configuration.
    pub fn of(configuration: &Configuration) -> Self {
        let mut by_host: BTreeMap<String, Vec<Arc<Route>>> = BTreeMap::new();
        for route in &configuration.routes {
            by_host
                .entry(route.host.clone())
                .or_default()
                .push(route.clone());
        }
        for routes in by_host.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.path_prefix.len()));
        }
        RouteTable { by_host }
    }

    /// Finds the route for a host, with or without a port, and a path without
    /// query.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let routes = self.by_host.get(&normalize_host(host))?;
        routes
            .iter()
            .find(|route| path.starts_with(route.path_prefix.as_str()))
    }

    /// Whether a back end may read a path as one of another route than the one
    /// that is found for it.
    pub fn is_ambiguous(&self, host: &str, path: &str) -> bool {
        let readings = path_readings(path);
        if readings.is_empty() {
            return false;
        }
        let name = |path: &str| self.find(host, path).map(|route| &route.name);
        let judged = name(path);
        readings.iter().any(|reading| name(reading) != judged)
    }

    /// Number of routes.
    pub fn len(&self) -> usize {
        self.by_host.values().map(Vec::len).sum()
    }

    /// Whether there are no routes.
    pub fn is_empty(&self) -> bool {
        self.by_host.is_empty()
    }
}

/// Converts a host to lower case and removes its port.
pub fn normalize_host(host: &str) -> String {
    let name = match host.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|byte| byte.is_ascii_digit()) => name,
        _ => host,
    };
    name.to_ascii_lowercase()
}

/// Distributes the requests of a route over its destinations by smooth weighted
/// round robin, that is, as evenly as whole requests allow.
#[derive(Clone, Debug)]
pub struct WeightedRoundRobin {
    /// Weight of each destination.
    weights: Vec<u32>,
    /// Accumulated weight that each destination has not been served for.
    credit: Vec<i64>,
    /// Position in the sequence at which to start.
    offset: u32,
}

/// Longest part of a sequence that is skipped at the start. Longer sequences
/// have positions that differ too little to matter, and skipping takes time.
const MAX_SKIP: u32 = 1_000;

impl WeightedRoundRobin {
    /// Creates a round robin that starts at position `offset` of its sequence.
    /// If routers start at different positions, they keep to the weights
    /// together even if each of them gets few requests.
    pub fn with_offset(offset: u32) -> Self {
        WeightedRoundRobin {
            weights: Vec::new(),
            credit: Vec::new(),
            offset,
        }
    }

    /// Index of the destination for the next request.
    pub fn next(&mut self, destinations: &[Destination]) -> usize {
        let weights = destinations.iter().map(|each| each.weight);
        if !weights.clone().eq(self.weights.iter().copied()) {
            self.reset(weights.collect());
        }
        self.pick()
    }

    /// Restarts the sequence with new weights, at the offset.
    fn reset(&mut self, weights: Vec<u32>) {
        let total = weights.iter().copied().fold(0, u32::saturating_add);
        self.credit = vec![0; weights.len()];
        self.weights = weights;
        for _ in 0..self.offset % total.clamp(1, MAX_SKIP) {
            self.pick();
        }
    }

    /// Picks the destination with the most credit.
    fn pick(&mut self) -> usize {
        let mut total = 0;
        let mut chosen = 0;
        for (index, weight) in self.weights.iter().enumerate() {
            let weight = i64::from(*weight);
            total += weight;
            self.credit[index] += weight;
            if self.credit[index] > self.credit[chosen] {
                chosen = index;
            }
        }
        self.credit[chosen] -= total;
        chosen
    }
}
