//! Which route a request takes.

use std::collections::BTreeMap;
use std::sync::Arc;

use threadledge_types::deployment::{Configuration, Destination, Route};

/// Routes by host; of one host the longest prefix first.
#[derive(Clone, Debug, Default)]
pub struct RouteTable {
    by_host: BTreeMap<String, Vec<Arc<Route>>>,
}

impl RouteTable {
    /// The table of one configuration.
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

    /// The route of a host, with or without a port, and a path without query.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let routes = self.by_host.get(&normalize_host(host))?;
        routes
            .iter()
            .find(|route| path.starts_with(route.path_prefix.as_str()))
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

/// A host in lower case and without its port.
pub fn normalize_host(host: &str) -> String {
    let name = match host.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|byte| byte.is_ascii_digit()) => name,
        _ => host,
    };
    name.to_ascii_lowercase()
}

/// Deals the requests of a route to its destinations by weight, as evenly as
/// whole requests allow.
#[derive(Clone, Debug)]
pub struct WeightedRoundRobin {
    /// The weights by which it deals.
    weights: Vec<u32>,
    /// What each destination is owed, in units of weight.
    owed: Vec<i64>,
    /// Where in the sequence to begin.
    start: u32,
}

/// Longest part of a sequence that is skipped: longer ones differ too little
/// from it to matter, and the skipping costs time.
const LONGEST_SKIP: u32 = 1_000;

impl WeightedRoundRobin {
    /// A dealer that begins at a place of the sequence that `start` chooses.
    /// Routers that begin at different places keep to the weights together
    /// also where each deals few requests.
    pub fn with_offset(start: u32) -> Self {
        WeightedRoundRobin {
            weights: Vec::new(),
            owed: Vec::new(),
            start,
        }
    }

    /// The index of the destination of the next request.
    pub fn next(&mut self, destinations: &[Destination]) -> usize {
        let weights = destinations.iter().map(|each| each.weight);
        if !weights.clone().eq(self.weights.iter().copied()) {
            self.begin(weights.collect());
        }
        self.deal()
    }

    fn begin(&mut self, weights: Vec<u32>) {
        let total = weights.iter().copied().fold(0, u32::saturating_add);
        self.owed = vec![0; weights.len()];
        self.weights = weights;
        for _ in 0..self.start % total.clamp(1, LONGEST_SKIP) {
            self.deal();
        }
    }

    fn deal(&mut self) -> usize {
        let mut total = 0;
        let mut chosen = 0;
        for (index, weight) in self.weights.iter().enumerate() {
            let weight = i64::from(*weight);
            total += weight;
            self.owed[index] += weight;
            if self.owed[index] > self.owed[chosen] {
                chosen = index;
            }
        }
        self.owed[chosen] -= total;
        chosen
    }
}
