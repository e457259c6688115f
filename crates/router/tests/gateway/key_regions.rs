//! The regions in which a service's keys may be held.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use threadledge::gateway::key_regions::{drain_outside_regions, key_regions};
use threadledge_types::RegionName;
use threadledge_types::deployment::{
    BackEnd, CallerLimits, Configuration, ConfigurationVersion, Destination, Route, Service,
    Topology,
};

use super::samples::back_end;

fn regions(names: &[&str]) -> BTreeSet<RegionName> {
    names.iter().map(|name| (*name).into()).collect()
}

fn route(service: &str, allowed: Option<&[&str]>) -> Arc<Route> {
    Arc::new(Route {
        name: "route".into(),
        host: "host.example".to_owned(),
        path_prefix: "/".to_owned(),
        repeatable: true,
        timeout: Duration::from_secs(1),
        target_latency: Duration::from_secs(1),
        priority: 0,
        max_attempts: 1,
        destinations: vec![Destination {
            service: service.into(),
            weight: 1,
        }],
        public: false,
        allowed_regions: allowed.map(regions),
    })
}

/// A configuration with the services `keyed` and `free` and the given routes.
fn configuration(routes: Vec<Arc<Route>>) -> Configuration {
    let service = |keyed| Service {
        health_path: "/health".to_owned(),
        max_connections: 100,
        keyed,
        cold_start: Duration::ZERO,
        cold_rate: None,
    };
    Configuration {
        version: ConfigurationVersion(1),
        routes,
        services: BTreeMap::from([
            ("keyed".into(), service(true)),
            ("free".into(), service(false)),
        ]),
        limits: CallerLimits {
            max_header_bytes: 1,
            max_body_bytes: 1,
            header_timeout: Duration::from_secs(1),
            idle_timeout: Duration::from_secs(1),
        },
        tenants: BTreeMap::new(),
    }
}

#[test]
fn keys_are_held_where_all_routes_allow_it() {
    let routes = vec![
        route("keyed", None),
        route("keyed", Some(&["home", "away"])),
        route("keyed", Some(&["home", "elsewhere"])),
        route("free", Some(&["away"])),
    ];
    let expected = BTreeMap::from([("keyed".into(), regions(&["home"]))]);
    assert_eq!(key_regions(&configuration(routes)), expected);
}

#[test]
fn routes_without_a_common_region_do_not_restrict_keys() {
    let routes = vec![
        route("keyed", Some(&["home"])),
        route("keyed", Some(&["away"])),
    ];
    assert!(key_regions(&configuration(routes)).is_empty());
    assert!(key_regions(&configuration(vec![route("keyed", None)])).is_empty());
}

#[test]
fn back_ends_outside_the_regions_get_no_keys() {
    let zones = [("a", "home"), ("b", "away")];
    let zones = zones.map(|(zone, region)| (zone.into(), region.into()));
    let topology = Topology::new("a".into(), None, BTreeMap::from(zones));
    let in_zone = |name, zone: &str| BackEnd {
        zone: zone.into(),
        ..back_end(name, false)
    };
    let all: Arc<[BackEnd]> = [
        in_zone("inside", "a"),
        in_zone("outside", "b"),
        in_zone("nowhere", "c"),
    ]
    .into();
    let home = regions(&["home"]);
    let restricted = drain_outside_regions(&all, Some(&home), &topology);
    let draining: Vec<bool> = restricted.iter().map(|each| each.draining).collect();
    assert_eq!(draining, [false, true, true]);
    assert_eq!(drain_outside_regions(&all, None, &topology), all);
}
