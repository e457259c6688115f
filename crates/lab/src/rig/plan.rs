//! Plans a run: the addresses and settings of every child process.

use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::net::SocketAddr;

use serde_json::Value;
use threadledge::settings::{Limits, LogFormat, LogLevel, LogSettings, Settings};
use threadledge_membership::{Machine, MachineState};
use threadledge_types::{BackEndId, MachineName, ServiceId, Timing, ZoneName};

use super::deployment::Deployment;
use super::ports::free_addresses;
use crate::experiment::{Experiment, ServiceLoad};
use crate::measures::LAB_NAMESPACE;
use crate::stand_in::back_end::BackEndSettings;

/// Addresses of a back end: for requests and for control.
const ADDRESSES_PER_BACK_END: usize = 2;
/// Addresses of a router: for callers, peers and operators.
const ADDRESSES_PER_ROUTER: usize = 3;
/// Addresses of the platform: object API and machine list.
const PLATFORM_ADDRESSES: usize = 2;
/// Connections of a direct back end, which has only one client.
const DIRECT_CONNECTIONS: u32 = 256;
/// Slots of a direct back end, enough that its calls never wait.
const DIRECT_SLOTS: u32 = 64;

/// Plan of one back end process.
#[derive(Clone, Debug)]
pub(super) struct HostPlan {
    /// Name in the run.
    pub name: String,
    /// Zone of its back ends; `None` for direct back ends.
    pub zone: Option<ZoneName>,
    /// Settings of its back ends.
    pub back_ends: Vec<BackEndSettings>,
}

/// Plan of a back end that is called without a router.
#[derive(Clone, Debug)]
pub(super) struct DirectPlan {
    /// Service under which its calls are recorded.
    pub service: ServiceId,
    /// Service whose back ends it imitates.
    pub imitates: ServiceId,
    /// Requests per second.
    pub per_second: f64,
    /// Settings of the back end.
    pub back_end: BackEndSettings,
}

/// Plan of everything that a run starts.
#[derive(Clone, Debug)]
pub(super) struct Plan {
    pub object_api: SocketAddr,
    pub machine_list: SocketAddr,
    /// The deployment, with the addresses of this run.
    pub deployment: Deployment,
    pub routers: Vec<Settings>,
    pub hosts: Vec<HostPlan>,
    /// Direct back ends, by the number of their load.
    pub directs: BTreeMap<usize, DirectPlan>,
}

impl Plan {
    /// Plans a run on free loopback addresses.
    pub fn new(experiment: &Experiment, deployment: Deployment, seed: u64) -> io::Result<Plan> {
        let loads = experiment.loads.iter();
        let direct_count = loads.filter(|load| load.direct.is_some()).count();
        let count = PLATFORM_ADDRESSES
            + deployment.routers.len() * ADDRESSES_PER_ROUTER
            + (deployment.back_ends.len() + direct_count) * ADDRESSES_PER_BACK_END;
        let mut addresses = free_addresses(count)?.into_iter();
        let mut next = || addresses.next().ok_or(io::ErrorKind::AddrNotAvailable);
        let object_api = next()?;
        let machine_list = next()?;
        let mut routers = Vec::new();
        for (number, location) in deployment.routers.iter().enumerate() {
            let own = [next()?, next()?, next()?];
            let platform = [object_api, machine_list];
            let machine = format!("machine-{}", number + 1);
            routers.push(router(&deployment, &location.zone, machine, own, platform));
        }
        let mut plan = Plan {
            object_api,
            machine_list,
            deployment,
            routers,
            hosts: Vec::new(),
            directs: BTreeMap::new(),
        };
        for object in plan.deployment.back_ends.values_mut() {
            object.spec.address = next()?;
            object.spec.control_address = next()?;
        }
        plan.directs = direct_plans(experiment, &mut next, seed)?;
        plan.hosts = plan.assign_hosts(experiment, seed);
        Ok(plan)
    }

    /// Returns the initial objects of the object API.
    pub fn objects(&self) -> Result<Vec<Value>, serde_json::Error> {
        let back_ends = self.deployment.back_ends.values();
        let services = self.deployment.services.values();
        back_ends
            .map(serde_json::to_value)
            .chain(services.map(serde_json::to_value))
            .collect()
    }

    /// Returns the initial machines of the machine list.
    pub fn machines(&self) -> Vec<Machine> {
        let routers = self.routers.iter();
        routers
            .map(|settings| Machine {
                name: settings.machine.clone(),
                region: settings.region.clone(),
                zone: settings.zone.clone(),
                peer_address: settings.peer_address,
                state: MachineState::Live,
            })
            .collect()
    }

    /// Distributes back ends over processes. Back ends that a fault kills,
    /// starts or freezes get a process of their own; the others share one per
    /// zone, and direct ones share another.
    fn assign_hosts(&self, experiment: &Experiment, seed: u64) -> Vec<HostPlan> {
        let alone: BTreeSet<&BackEndId> = experiment
            .faults
            .iter()
            .filter_map(|fault| fault.action.back_end_to_isolate())
            .collect();
        let mut hosts: BTreeMap<String, HostPlan> = BTreeMap::new();
        for (number, (id, object)) in self.deployment.back_ends.iter().enumerate() {
            let zone = object.spec.zone.clone();
            let name = match alone.contains(id) {
                true => format!("back-end-{}-{}", id.namespace, id.name),
                false => format!("back-ends-{zone}"),
            };
            let Some(load) = self.back_end_load(experiment, id) else {
                continue;
            };
            let host = hosts.entry(name.clone()).or_insert(HostPlan {
                name,
                zone: Some(zone),
                back_ends: Vec::new(),
            });
            let spec = &object.spec;
            host.back_ends.push(BackEndSettings {
                slots: spec.slots,
                connections: spec.connections,
                ..back_end(
                    id.clone(),
                    [spec.address, spec.control_address],
                    load,
                    seed.wrapping_add(number as u64),
                )
            });
        }
        let mut hosts: Vec<HostPlan> = hosts.into_values().collect();
        let direct = self.directs.values();
        hosts.push(HostPlan {
            name: "back-ends-direct".to_owned(),
            zone: None,
            back_ends: direct.map(|direct| direct.back_end.clone()).collect(),
        });
        hosts
    }

    /// Returns the load settings of the service that a back end belongs to.
    fn back_end_load<'a>(
        &self,
        experiment: &'a Experiment,
        back_end: &BackEndId,
    ) -> Option<&'a ServiceLoad> {
        let object = self.deployment.back_ends.get(back_end)?;
        let service = self.deployment.service_of(object)?;
        service_settings(experiment, service)
    }
}

/// Returns the settings of the back ends of a service, from any of the loads.
pub(super) fn service_settings<'a>(
    experiment: &'a Experiment,
    service: &ServiceId,
) -> Option<&'a ServiceLoad> {
    let loads = experiment.loads.iter();
    loads
        .flat_map(|load| &load.service)
        .find(|load| load.service == *service)
}

/// Plans a direct back end for each load that has direct calls.
fn direct_plans(
    experiment: &Experiment,
    next: &mut impl FnMut() -> Result<SocketAddr, io::ErrorKind>,
    seed: u64,
) -> io::Result<BTreeMap<usize, DirectPlan>> {
    let mut directs = BTreeMap::new();
    for (number, load) in experiment.loads.iter().enumerate() {
        let Some(direct) = &load.direct else {
            continue;
        };
        let Some(behaviour) = service_settings(experiment, &direct.imitates) else {
            continue;
        };
        let name = format!("direct-{}", direct.imitates.name);
        let settings = back_end(
            BackEndId::new(LAB_NAMESPACE, name.clone()),
            [next()?, next()?],
            behaviour,
            seed.wrapping_sub(number as u64 + 1),
        );
        directs.insert(
            number,
            DirectPlan {
                service: ServiceId::new(LAB_NAMESPACE, name),
                imitates: direct.imitates.clone(),
                per_second: direct.per_second,
                back_end: settings,
            },
        );
    }
    Ok(directs)
}

/// Returns back end settings with the slots and connections of a direct back
/// end.
fn back_end(
    id: BackEndId,
    [address, control_address]: [SocketAddr; 2],
    load: &ServiceLoad,
    seed: u64,
) -> BackEndSettings {
    BackEndSettings {
        id,
        address,
        control_address,
        slots: DIRECT_SLOTS,
        connections: DIRECT_CONNECTIONS,
        queue: load.queue,
        service_time: load.service_time,
        cold_start: load.cold_start,
        connect_ms: load.connect_ms,
        probe_ms: load.probe_ms,
        report_lag_ms: load.report_lag_ms,
        prepare_ms: load.prepare_ms,
        seed,
    }
}

fn router(
    deployment: &Deployment,
    zone: &ZoneName,
    machine: String,
    [caller_address, peer_address, operator_address]: [SocketAddr; 3],
    [platform_address, machine_list_address]: [SocketAddr; 2],
) -> Settings {
    Settings {
        machine: MachineName(machine),
        region: deployment.region.clone(),
        zone: zone.clone(),
        caller_address,
        peer_address,
        operator_address,
        platform_address,
        machine_list_address,
        platform_token_file: None,
        group_size: threadledge::settings::DEFAULT_GROUP_SIZE,
        timing: Timing::default(),
        limits: Limits::default(),
        log: LogSettings {
            format: LogFormat::Json,
            level: LogLevel::Info,
        },
    }
}
