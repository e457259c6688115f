//! Determines the regions in which the keys of a service may be held.
//!
//! A route may name the regions that it allows, and the state that its requests
//! create is kept by the back end that owns the key. Keys are therefore held
//! only where every route to their service allows it: elsewhere the requests of
//! some routes could not be served at all.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use threadledge_types::RegionName;
use threadledge_types::deployment::{BackEnd, Configuration, Route, ServiceName, Topology};

/// The only regions in which keys may be held, for each keyed service that has
/// such a restriction.
///
/// If routes have no region in common, the service is not restricted: each
/// route is then served where it may be, as far as there are owners.
pub fn key_regions(configuration: &Configuration) -> BTreeMap<ServiceName, BTreeSet<RegionName>> {
    let mut regions = BTreeMap::new();
    for (name, service) in &configuration.services {
        if !service.keyed {
            continue;
        }
        let routes = configuration.routes.iter();
        let routes = routes.filter(|route| routes_to(route, name));
        let allowed = routes.filter_map(|route| route.allowed_regions.clone());
        let common = allowed.reduce(|left, right| &left & &right);
        if let Some(common) = common.filter(|common| !common.is_empty()) {
            regions.insert(name.clone(), common);
        }
    }
    regions
}

fn routes_to(route: &Route, service: &ServiceName) -> bool {
    let mut destinations = route.destinations.iter();
    destinations.any(|destination| destination.service == *service && destination.weight > 0)
}

/// The back ends as the coordinator of a service has to see them: back ends
/// outside the regions count as draining, so that they get no keys and the keys
/// that they hold move.
pub fn drain_outside_regions(
    back_ends: &Arc<[BackEnd]>,
    regions: Option<&BTreeSet<RegionName>>,
    topology: &Topology,
) -> Arc<[BackEnd]> {
    let Some(regions) = regions else {
        return back_ends.clone();
    };
    let restricted = back_ends.iter().map(|back_end| BackEnd {
        draining: back_end.draining || !topology.is_within(&back_end.zone, regions),
        ..back_end.clone()
    });
    restricted.collect()
}
