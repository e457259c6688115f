//! How a world is laid out.

use k8s_openapi::apimachinery::pkg::apis::meta::v1::LabelSelector;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use threadledge_types::objects::{
    API_VERSION, BACK_END_KIND, BackEndObject, BackEndSpec, KEYED_SERVICE_KIND, KeySource,
    KeyedServiceObject, KeyedServiceSpec, ObjectMeta, PlacementPolicy, Priority, RouteRule, object,
};
use threadledge_types::{RegionName, Timing, ZoneName};

use crate::network::NetworkSettings;

/// Namespace of every simulated service.
pub const NAMESPACE: &str = "partner-a";
/// Label that ties back ends to a service.
const SERVICE_LABEL: &str = "service";
/// First port of the back ends' control addresses.
const CONTROL_PORT: u16 = 20_000;

/// One service and its back ends.
#[derive(Clone, Debug)]
pub struct ServicePlan {
    /// Name of the service.
    pub name: String,
    /// Number of back ends.
    pub back_ends: usize,
    /// Requests a second, spread evenly over the keys.
    pub rate: f64,
    /// Exchange between imbalance and churn.
    pub policy: PlacementPolicy,
}

impl ServicePlan {
    /// A service with default policy.
    pub fn new(name: &str, back_ends: usize) -> Self {
        ServicePlan {
            name: name.to_owned(),
            back_ends,
            rate: 100.0,
            policy: PlacementPolicy::default(),
        }
    }
}

/// Everything that a world is made from.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// Seed of every random choice.
    pub seed: u64,
    /// Zones of the region.
    pub zones: usize,
    /// Routers, spread evenly over the zones.
    pub routers: usize,
    /// Services.
    pub services: Vec<ServicePlan>,
    /// Voters of the group.
    pub group_size: usize,
    /// Durations.
    pub timing: Timing,
    /// Network.
    pub network: NetworkSettings,
    /// Largest drift of a clock, in parts per million, either way.
    pub drift_ppm: i64,
    /// Keys that are probed for each service.
    pub probes_per_service: usize,
    /// Whether message sizes are counted, which costs time.
    pub count_bytes: bool,
    /// Milliseconds between the ticks of a router.
    pub tick_ms: u64,
}

impl Default for Scenario {
    fn default() -> Self {
        Scenario {
            seed: 1,
            zones: 3,
            routers: 3,
            services: vec![ServicePlan::new("gallery", 6)],
            group_size: 3,
            timing: Timing::default(),
            network: NetworkSettings::default(),
            drift_ppm: 10_000,
            probes_per_service: 16,
            count_bytes: false,
            tick_ms: 20,
        }
    }
}

/// Region of the simulated routers.
pub fn region() -> RegionName {
    RegionName::from("region-0")
}

/// Name of a zone.
pub fn zone_name(number: usize) -> ZoneName {
    ZoneName(format!("zone-{number}"))
}

/// Address of a simulated router.
pub fn router_address(number: usize) -> SocketAddr {
    address(1, number, 9_000)
}

/// Control address of a simulated back end.
pub fn control_address(number: usize) -> SocketAddr {
    address(2, number, CONTROL_PORT)
}

/// Addresses only name machines here; nothing is ever sent to them.
fn address(net: u8, number: usize, port: u16) -> SocketAddr {
    let [.., high, middle, low] = (number as u32).to_be_bytes();
    let host = Ipv4Addr::new(127, net.wrapping_mul(64).wrapping_add(high), middle, low);
    SocketAddr::new(IpAddr::V4(host), port)
}

/// Name of a back end.
pub fn back_end_name(service: &str, number: usize) -> String {
    format!("{service}-{number}")
}

/// The object of a back end.
pub fn back_end_object(service: &str, number: usize, machine: usize, zone: usize) -> BackEndObject {
    let control = control_address(machine);
    let name = back_end_name(service, number);
    object::Object {
        types: Some(types(BACK_END_KIND)),
        metadata: ObjectMeta {
            labels: Some([(SERVICE_LABEL.to_owned(), service.to_owned())].into()),
            ..metadata(&name)
        },
        spec: BackEndSpec {
            address: SocketAddr::new(control.ip(), control.port() + 1),
            control_address: control,
            zone: zone_name(zone),
            slots: 2,
            connections: 130,
        },
        status: None,
    }
}

/// The object of a service.
pub fn service_object(plan: &ServicePlan) -> KeyedServiceObject {
    object::Object {
        types: Some(types(KEYED_SERVICE_KIND)),
        metadata: metadata(&plan.name),
        spec: KeyedServiceSpec {
            region: region(),
            hosts: vec![format!("{}.example", plan.name)],
            back_end_selector: LabelSelector {
                match_labels: Some([(SERVICE_LABEL.to_owned(), plan.name.clone())].into()),
                match_expressions: None,
            },
            routes: vec![RouteRule {
                name: "all".to_owned(),
                path_prefix: "/".to_owned(),
                methods: Vec::new(),
                key: KeySource::PathSegment(0),
                repeatable: None,
                priority: Priority::Normal,
                deadline_ms: 2_000,
                may_queue: true,
            }],
            placement: plan.policy.clone(),
        },
        status: None,
    }
}

fn types(kind: &str) -> kube_core::TypeMeta {
    kube_core::TypeMeta {
        api_version: API_VERSION.to_owned(),
        kind: kind.to_owned(),
    }
}

fn metadata(name: &str) -> ObjectMeta {
    ObjectMeta {
        namespace: Some(NAMESPACE.to_owned()),
        name: Some(name.to_owned()),
        uid: Some(format!("uid-{name}")),
        ..Default::default()
    }
}
