//! Layout and settings of a simulated world.

use k8s_openapi::apimachinery::pkg::apis::meta::v1::LabelSelector;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use threadledge_types::objects::{
    API_VERSION, BACK_END_KIND, BackEndObject, BackEndSpec, KEYED_SERVICE_KIND, KeySource,
    KeyedServiceObject, KeyedServiceSpec, ObjectMeta, PlacementPolicy, Priority, RouteRule, object,
};
use threadledge_types::{MachineName, RegionName, Timing, ZoneName};

use crate::network::{NetworkSettings, Place};

/// Namespace of every simulated service.
pub const NAMESPACE: &str = "partner-a";
/// Label that assigns back ends to a service.
const SERVICE_LABEL: &str = "service";
/// Port of the back ends' control addresses.
const CONTROL_PORT: u16 = 20_000;

/// A service and its back ends.
#[derive(Clone, Debug)]
pub struct ServicePlan {
    /// Name of the service.
    pub name: String,
    /// Number of the region of the service and its back ends.
    pub region: usize,
    /// Number of back ends.
    pub back_ends: usize,
    /// Requests per second, spread evenly over the keys.
    pub rate: f64,
    /// Trade-off between imbalance and churn.
    pub policy: PlacementPolicy,
}

impl ServicePlan {
    /// Creates a service with the default policy in the first region.
    pub fn new(name: &str, back_ends: usize) -> Self {
        ServicePlan {
            name: name.to_owned(),
            region: 0,
            back_ends,
            rate: 100.0,
            policy: PlacementPolicy::default(),
        }
    }

    /// Moves the service to another region.
    pub fn in_region(mut self, region: usize) -> Self {
        self.region = region;
        self
    }
}

/// Layout and settings of a world.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// Seed of every random choice.
    pub seed: u64,
    /// Number of regions whose routers run.
    pub regions: usize,
    /// Number of further regions of the same size that are only in the machine
    /// list. Regions decide independently, so a large world is simulated one
    /// region at a time.
    pub listed_regions: usize,
    /// Zones in each region.
    pub zones: usize,
    /// Routers in each region, spread evenly over its zones.
    pub routers: usize,
    /// Services and their back ends.
    pub services: Vec<ServicePlan>,
    /// Number of voters of a group.
    pub group_size: usize,
    /// Protocol timing.
    pub timing: Timing,
    /// Network delays and error rates.
    pub network: NetworkSettings,
    /// Largest clock drift in either direction, in parts per million.
    pub drift_ppm: i64,
    /// Number of keys that are probed for each service.
    pub probes_per_service: usize,
    /// True if message sizes are counted, which costs time.
    pub count_bytes: bool,
    /// Milliseconds between the ticks of a router.
    pub tick_ms: u64,
    /// Milliseconds between a router's reads of the machine list.
    pub machines_ms: u64,
    /// Number of routers in each region that keep a routing table, through
    /// which keys are probed; `None` for all. Fewer tables save time and
    /// memory.
    pub tables: Option<usize>,
}

impl Scenario {
    /// Returns the region and zone of a router.
    pub fn router_place(&self, number: usize) -> Place {
        let (region, number) = (number / self.routers.max(1), number % self.routers.max(1));
        let zone = number % self.zones;
        Place { region, zone }
    }

    /// Returns whether a router keeps a routing table.
    pub fn keeps_table(&self, number: usize) -> bool {
        let routers = self.routers.max(1);
        let Some(tables) = self.tables.filter(|tables| *tables < routers) else {
            return true;
        };
        // Spreads the tables evenly: a router keeps one where the running count
        // of tables increases.
        let number = number % routers;
        (number + 1) * tables / routers > number * tables / routers
    }
}

impl Default for Scenario {
    fn default() -> Self {
        Scenario {
            seed: 1,
            regions: 1,
            listed_regions: 0,
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
            machines_ms: 2_000,
            tables: None,
        }
    }
}

/// Name of a region.
pub fn region_name(number: usize) -> RegionName {
    RegionName(format!("region-{number}"))
}

/// Name of a zone; unique across regions.
pub fn zone_name(place: &Place) -> ZoneName {
    match place.region {
        0 => ZoneName(format!("zone-{}", place.zone)),
        region => ZoneName(format!("region-{region}-zone-{}", place.zone)),
    }
}

/// Name of a router machine.
pub fn machine_name(number: usize) -> MachineName {
    MachineName(format!("router-{number}"))
}

/// Address of a simulated router.
pub fn router_address(number: usize) -> SocketAddr {
    address(1, number, 9_000)
}

/// Control address of a simulated back end.
pub fn control_address(number: usize) -> SocketAddr {
    address(2, number, CONTROL_PORT)
}

/// Creates an address that only identifies a machine; nothing is ever sent to
/// it.
fn address(net: u8, number: usize, port: u16) -> SocketAddr {
    let [.., high, middle, low] = (number as u32).to_be_bytes();
    let host = Ipv4Addr::new(127, net.wrapping_mul(64).wrapping_add(high), middle, low);
    SocketAddr::new(IpAddr::V4(host), port)
}

/// Name of a back end.
pub fn back_end_name(service: &str, number: usize) -> String {
    format!("{service}-{number}")
}

/// Creates the object of a back end.
pub fn back_end_object(
    service: &str,
    number: usize,
    machine: usize,
    place: &Place,
) -> BackEndObject {
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
            zone: zone_name(place),
            slots: 2,
            connections: 130,
        },
        status: None,
    }
}

/// Creates the object of a service.
pub fn service_object(plan: &ServicePlan) -> KeyedServiceObject {
    object::Object {
        types: Some(types(KEYED_SERVICE_KIND)),
        metadata: metadata(&plan.name),
        spec: KeyedServiceSpec {
            region: region_name(plan.region),
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
