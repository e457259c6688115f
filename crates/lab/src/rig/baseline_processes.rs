//! The processes of one baseline: its own routers, back ends and callers, which
//! run in parallel with those of the product.

use std::collections::BTreeMap;
use std::fs;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use async_std::task;
use parking_lot::Mutex;
use rustix::process::Signal;
use threadledge_types::{BackEndId, ZoneName};

use super::child::ChildProcess;
use super::control;
use super::hosts::{HostKind, Hosts, start_stand_in};
use super::plan::{HostPlan, Plan};
use super::ports::free_addresses;
use super::product_processes::{END_TIMEOUT, wait_until_ready};
use super::run::RunError;
use crate::baseline::{
    BaselineBackEnd, BaselineKind, BaselineRoute, BaselineRouterSettings, BaselineService,
    CpuMeter, RouterEnd, release_grants_of_ended_routers,
};
use crate::clock;
use crate::experiment::{Experiment, FaultAction};
use crate::history::Event;
use crate::load::CallerSettings;
use crate::stand_in::back_end::Degradation;

/// Addresses of a back end: for requests and for control.
const ADDRESSES_PER_BACK_END: usize = 2;

/// The processes of one baseline.
pub(super) struct BaselineProcesses {
    pub kind: BaselineKind,
    directory: PathBuf,
    settings: Vec<BaselineRouterSettings>,
    zones: Vec<ZoneName>,
    hosts: Hosts,
    routers: Vec<ChildProcess>,
    callers: Vec<ChildProcess>,
    ended: Vec<ChildProcess>,
    cpu: CpuMeter,
    router_ends: Vec<RouterEnd>,
    events: Mutex<Vec<Event>>,
}

impl BaselineProcesses {
    /// Starts back ends and routers like those of `plan`, and waits until they
    /// are ready.
    pub fn start(
        kind: BaselineKind,
        experiment: &Experiment,
        plan: &Plan,
        directory: &Path,
    ) -> Result<BaselineProcesses, RunError> {
        let directory = directory.join(kind.as_str());
        fs::create_dir_all(&directory)?;
        let hosts = copy_hosts(plan)?;
        let routers = free_addresses(plan.routers.len())?;
        let settings = router_settings(kind, experiment, plan, &hosts, &routers);
        let mut baseline = BaselineProcesses {
            kind,
            settings,
            zones: plan.routers.iter().map(|one| one.zone.clone()).collect(),
            hosts: Hosts::start(HostKind::Unchecked, &hosts, &directory)?,
            routers: Vec::new(),
            callers: Vec::new(),
            ended: Vec::new(),
            cpu: CpuMeter::default(),
            router_ends: Vec::new(),
            events: Mutex::default(),
            directory,
        };
        for child in baseline.hosts.children() {
            wait_until_ready(child)?;
        }
        for number in 0..baseline.settings.len() {
            let mut child = baseline.start_router(number)?;
            wait_until_ready(&mut child)?;
            baseline.routers.push(child);
        }
        Ok(baseline)
    }

    /// Starts callers with the settings of the product's callers.
    pub fn start_callers(&mut self, name: &str, product: &CallerSettings) -> io::Result<()> {
        let settings = CallerSettings {
            routers: self.settings.iter().map(|one| one.address).collect(),
            direct: None,
            ..product.clone()
        };
        let child = start_stand_in(&self.directory, name, "callers", &settings)?;
        self.callers.push(child);
        Ok(())
    }

    /// Returns whether all callers have ended.
    pub fn callers_ended(&mut self) -> bool {
        self.callers.iter_mut().all(ChildProcess::has_ended)
    }

    /// Reads the processor time of the routers, and records those that ended.
    pub fn observe(&mut self) {
        self.cpu.read(self.routers.iter().map(ChildProcess::id));
        self.record_router_ends();
    }

    /// Applies a fault that was also applied to the product. `router` is the
    /// number of the router chosen there. Faults of the platform services are
    /// ignored, because baselines do not use them.
    pub fn apply_fault(
        &mut self,
        action: &FaultAction,
        router: Option<usize>,
    ) -> http_types::Result<()> {
        match action {
            FaultAction::KillBackEnd { back_end } => {
                if let Some(number) = self.hosts.process_number(back_end) {
                    self.hosts.kill(number);
                }
            }
            FaultAction::StartBackEnd { back_end } => {
                if let Some(number) = self.hosts.process_number(back_end) {
                    self.hosts.restart(number)?;
                }
            }
            FaultAction::FreezeBackEnd { back_end, .. } => {
                if let Some(number) = self.hosts.process_number(back_end) {
                    self.hosts.signal(number, Signal::STOP)?;
                }
            }
            FaultAction::DrainBackEnd { back_end } => {
                if let Some(one) = self.hosts.back_end(back_end) {
                    task::block_on(control::drain(one.control_address))?;
                }
            }
            FaultAction::SickenBackEnd {
                back_end,
                slow_factor,
                error_share,
                ..
            } => {
                let degradation = Degradation {
                    slow_factor: *slow_factor,
                    error_share: *error_share,
                };
                self.set_degradation(back_end, degradation)?;
            }
            FaultAction::KillZone { zone } => self.kill_zone(*zone),
            FaultAction::KillRouter { .. }
            | FaultAction::StopRouter { .. }
            | FaultAction::FreezeRouter { .. }
            | FaultAction::ReplaceRouter { .. } => {
                if let Some(number) = router {
                    self.apply_router_fault(action, number)?;
                }
            }
            FaultAction::HostileCallers { .. }
            | FaultAction::StoreDown { .. }
            | FaultAction::StoreDropsAnswers { .. }
            | FaultAction::ChangeService { .. } => {}
        }
        Ok(())
    }

    /// Returns the addresses that callers send requests to.
    pub fn caller_addresses(&self) -> Vec<SocketAddr> {
        self.settings.iter().map(|one| one.address).collect()
    }

    /// Sets or clears the degradation of a back end.
    pub fn set_degradation(
        &self,
        back_end: &BackEndId,
        degradation: Degradation,
    ) -> http_types::Result<()> {
        match self.hosts.back_end(back_end) {
            Some(one) => task::block_on(control::degrade(one.control_address, degradation)),
            None => Ok(()),
        }
    }

    /// Resumes a frozen back end process.
    pub fn resume_host(&mut self, number: usize) -> io::Result<()> {
        self.hosts.signal(number, Signal::CONT)
    }

    /// Resumes a frozen router.
    pub fn resume_router(&mut self, number: usize) -> io::Result<()> {
        self.routers[number].signal(Signal::CONT)
    }

    /// Ends all processes and returns the recorded events and the processor
    /// time of the routers in seconds.
    pub fn finish(self) -> (BaselineKind, Vec<Event>, f64) {
        let mut events = self.events.into_inner();
        let (hosts, host_events) = self.hosts.into_parts();
        events.extend(host_events);
        let all = self.callers.into_iter().chain(self.routers);
        for child in all.chain(hosts).chain(self.ended) {
            events.extend(child.finish(END_TIMEOUT));
        }
        release_grants_of_ended_routers(&mut events, &self.router_ends);
        (self.kind, events, self.cpu.seconds())
    }

    /// Records the end time of routers that have ended since the last call.
    fn record_router_ends(&mut self) {
        for (number, router) in self.routers.iter_mut().enumerate() {
            let epoch = self.settings[number].epoch();
            let recorded = self.router_ends.iter().any(|end| end.epoch == epoch);
            if router.has_ended() && !recorded {
                let at = clock::now();
                self.router_ends.push(RouterEnd { epoch, at });
            }
        }
    }

    fn apply_router_fault(&mut self, action: &FaultAction, number: usize) -> io::Result<()> {
        match action {
            FaultAction::KillRouter { .. } => {
                self.routers[number].kill();
                self.record_router_ends();
            }
            FaultAction::FreezeRouter { .. } => self.routers[number].signal(Signal::STOP)?,
            FaultAction::StopRouter { .. } => {
                self.events.lock().push(Event::PlannedStopBegan {
                    at: clock::now(),
                    router: number,
                });
                self.routers[number].signal(Signal::TERM)?;
            }
            FaultAction::ReplaceRouter { .. } => {
                self.routers[number].wait(END_TIMEOUT);
                self.record_router_ends();
                self.settings[number].incarnation += 1;
                let child = self.start_router(number)?;
                let previous = std::mem::replace(&mut self.routers[number], child);
                self.ended.push(previous);
            }
            _ => {}
        }
        Ok(())
    }

    /// Kills the router and all back end processes of a zone.
    fn kill_zone(&mut self, zone: usize) {
        let Some(name) = self.zones.get(zone).cloned() else {
            return;
        };
        self.routers[zone].kill();
        self.record_router_ends();
        for number in self.hosts.numbers_in_zone(&name) {
            self.hosts.kill(number);
        }
    }

    fn start_router(&self, number: usize) -> io::Result<ChildProcess> {
        let settings = &self.settings[number];
        let name = format!("router-{}-{}", number + 1, settings.incarnation);
        start_stand_in(&self.directory, &name, "baseline-router", settings)
    }
}

/// Copies the product's back ends, except direct ones, to other addresses.
fn copy_hosts(plan: &Plan) -> io::Result<Vec<HostPlan>> {
    let mut hosts = plan.hosts.clone();
    hosts.retain(|host| host.zone.is_some());
    let back_ends = hosts.iter().map(|host| host.back_ends.len()).sum::<usize>();
    let mut addresses = free_addresses(back_ends * ADDRESSES_PER_BACK_END)?.into_iter();
    let mut next = || addresses.next().ok_or(io::ErrorKind::AddrNotAvailable);
    for back_end in hosts.iter_mut().flat_map(|host| &mut host.back_ends) {
        back_end.address = next()?;
        back_end.control_address = next()?;
    }
    Ok(hosts)
}

fn router_settings(
    kind: BaselineKind,
    experiment: &Experiment,
    plan: &Plan,
    hosts: &[HostPlan],
    addresses: &[SocketAddr],
) -> Vec<BaselineRouterSettings> {
    let services = services(plan, hosts, addresses.len());
    let routes = routes(experiment);
    let addresses = addresses.iter().enumerate();
    addresses
        .map(|(number, address)| BaselineRouterSettings {
            kind,
            number: number as u64,
            incarnation: 1,
            address: *address,
            routes: routes.clone(),
            services: services.clone(),
        })
        .collect()
}

/// Returns the services with their back ends. The connections of a back end are
/// divided equally between the routers.
fn services(plan: &Plan, hosts: &[HostPlan], routers: usize) -> Vec<BaselineService> {
    let mut services: BTreeMap<_, Vec<BaselineBackEnd>> = BTreeMap::new();
    for one in hosts.iter().flat_map(|host| &host.back_ends) {
        let object = plan.deployment.back_ends.get(&one.id);
        let service = object.and_then(|object| plan.deployment.service_of(object));
        let Some(service) = service else {
            continue;
        };
        services
            .entry(service.clone())
            .or_default()
            .push(BaselineBackEnd {
                id: one.id.clone(),
                address: one.address,
                control_address: one.control_address,
                connections: (one.connections as usize / routers.max(1)).max(1),
            });
    }
    let services = services.into_iter();
    services
        .map(|(service, back_ends)| BaselineService { service, back_ends })
        .collect()
}

fn routes(experiment: &Experiment) -> Vec<BaselineRoute> {
    let traffic = experiment.loads.iter().flat_map(|load| &load.traffic);
    traffic
        .map(|traffic| BaselineRoute {
            service: traffic.service.clone(),
            host: traffic.host.clone(),
            path: traffic.path.clone(),
            key_header: traffic.key_header.clone(),
        })
        .collect()
}
