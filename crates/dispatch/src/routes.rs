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
        let routes = self.by_host.get(&normal_host(host))?;
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
pub fn normal_host(host: &str) -> String {
    let name = match host.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|byte| byte.is_ascii_digit()) => name,
        _ => host,
    };
    name.to_ascii_lowercase()
}

/// Deals the requests of a route to its destinations by weight, as evenly as
/// whole requests allow.
#[derive(Clone, Debug, Default)]
pub struct Dealer {
    /// What each destination is owed, in units of weight.
    owed: Vec<i64>,
}

impl Dealer {
    /// The index of the destination of the next request.
    pub fn next(&mut self, destinations: &[Destination]) -> usize {
        self.owed.resize(destinations.len(), 0);
        let mut total = 0;
        let mut chosen = 0;
        for (index, destination) in destinations.iter().enumerate() {
            let weight = i64::from(destination.weight);
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
