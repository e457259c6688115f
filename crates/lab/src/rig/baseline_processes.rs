//! The processes of one baseline: its own routers, back ends and callers,
//! beside the product's.

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
use super::hosts::{HostKind, Hosts, stand_in};
use super::operator;
use super::plan::{HostPlan, Plan};
use super::ports::free_addresses;
use super::processes::{END_LIMIT, wait_until_ready};
use super::run::RunError;
use crate::baseline::{
    BaselineBackEnd, BaselineKind, BaselineRoute, BaselineRouterSettings, BaselineService,
    CpuMeter, RouterEnd, release_views,
};
use crate::clock;
use crate::experiment::{Experiment, FaultAction};
use crate::history::Event;
use crate::load::CallerSettings;
use crate::stand_in::back_end::Sickness;

const ADDRESSES_OF_A_BACK_END: usize = 2;

/// One baseline's processes.
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
    /// Starts back ends and routers like those of `plan`, and waits until
    /// they serve.
    pub fn start(
        kind: BaselineKind,
        experiment: &Experiment,
        plan: &Plan,
        directory: &Path,
    ) -> Result<BaselineProcesses, RunError> {
        let directory = directory.join(kind.as_str());
        fs::create_dir_all(&directory)?;
        let hosts = hosts_like(plan)?;
        let routers = free_addresses(plan.routers.len())?;
        let settings = router_settings(kind, experiment, plan, &hosts, &routers);
        let mut baseline = BaselineProcesses {
            kind,
            settings,
            zones: plan.routers.iter().map(|one| one.zone.clone()).collect(),
            hosts: Hosts::start(HostKind::Ungranted, &hosts, &directory)?,
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

    /// Starts callers like those of the product.
    pub fn start_callers(&mut self, name: &str, product: &CallerSettings) -> io::Result<()> {
        let settings = CallerSettings {
            routers: self.settings.iter().map(|one| one.address).collect(),
            direct: None,
            ..product.clone()
        };
        let child = stand_in(&self.directory, name, "callers", &settings)?;
        self.callers.push(child);
        Ok(())
    }

    /// Whether all callers are done.
    pub fn is_done(&mut self) -> bool {
        self.callers.iter_mut().all(ChildProcess::has_ended)
    }

    /// Reads the processor time of the routers, and notes those that ended.
    pub fn observe(&mut self) {
        self.cpu.read(self.routers.iter().map(ChildProcess::id));
        self.note_router_ends();
    }

    /// Causes what the product suffers too. `router` is the number of the
    /// router that was chosen there. What concerns the platform has no
    /// counterpart here.
    pub fn cause(&mut self, action: &FaultAction, router: Option<usize>) -> http_types::Result<()> {
        match action {
            FaultAction::KillBackEnd { back_end } => {
                if let Some(number) = self.hosts.number_of(back_end) {
                    self.hosts.kill(number);
                }
            }
            FaultAction::StartBackEnd { back_end } => {
                if let Some(number) = self.hosts.number_of(back_end) {
                    self.hosts.restart(number)?;
                }
            }
            FaultAction::FreezeBackEnd { back_end, .. } => {
                if let Some(number) = self.hosts.number_of(back_end) {
                    self.hosts.signal(number, Signal::STOP)?;
                }
            }
            FaultAction::DrainBackEnd { back_end } => {
                if let Some(one) = self.hosts.back_end(back_end) {
                    task::block_on(operator::drain(one.control_address))?;
                }
            }
            FaultAction::SickenBackEnd {
                back_end,
                slow_factor,
                error_share,
                ..
            } => {
                let sickness = Sickness {
                    slow_factor: *slow_factor,
                    error_share: *error_share,
                };
                self.set_sickness(back_end, sickness)?;
            }
            FaultAction::KillZone { zone } => self.kill_zone(*zone),
            FaultAction::KillRouter { .. }
            | FaultAction::StopRouter { .. }
            | FaultAction::FreezeRouter { .. }
            | FaultAction::ReplaceRouter { .. } => {
                if let Some(number) = router {
                    self.cause_at_router(action, number)?;
                }
            }
            FaultAction::HostileCallers { .. }
            | FaultAction::StoreDown { .. }
            | FaultAction::StoreDropsAnswers { .. }
            | FaultAction::ChangeService { .. } => {}
        }
        Ok(())
    }

    /// Addresses on which callers come.
    pub fn caller_addresses(&self) -> Vec<SocketAddr> {
        self.settings.iter().map(|one| one.address).collect()
    }

    /// Makes a back end sick or well.
    pub fn set_sickness(&self, back_end: &BackEndId, sickness: Sickness) -> http_types::Result<()> {
        match self.hosts.back_end(back_end) {
            Some(one) => task::block_on(operator::sicken(one.control_address, sickness)),
            None => Ok(()),
        }
    }

    /// Lets a frozen process with back ends go on.
    pub fn resume_host(&mut self, number: usize) -> io::Result<()> {
        self.hosts.signal(number, Signal::CONT)
    }

    /// Lets a frozen router go on.
    pub fn resume_router(&mut self, number: usize) -> io::Result<()> {
        self.routers[number].signal(Signal::CONT)
    }

    /// Ends everything; gives back what was recorded and the processor time of
    /// the routers in seconds.
    pub fn finish(self) -> (BaselineKind, Vec<Event>, f64) {
        let mut events = self.events.into_inner();
        let (hosts, of_hosts) = self.hosts.into_parts();
        events.extend(of_hosts);
        let all = self.callers.into_iter().chain(self.routers);
        for child in all.chain(hosts).chain(self.ended) {
            events.extend(child.finish(END_LIMIT));
        }
        release_views(&mut events, &self.router_ends);
        (self.kind, events, self.cpu.seconds())
    }

    fn note_router_ends(&mut self) {
        for (number, router) in self.routers.iter_mut().enumerate() {
            let epoch = self.settings[number].epoch();
            let noted = self.router_ends.iter().any(|end| end.epoch == epoch);
            if router.has_ended() && !noted {
                let at = clock::now();
                self.router_ends.push(RouterEnd { epoch, at });
            }
        }
    }

    fn cause_at_router(&mut self, action: &FaultAction, number: usize) -> io::Result<()> {
        match action {
            FaultAction::KillRouter { .. } => {
                self.routers[number].kill();
                self.note_router_ends();
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
                self.routers[number].wait(END_LIMIT);
                self.note_router_ends();
                self.settings[number].life += 1;
                let child = self.start_router(number)?;
                let former = std::mem::replace(&mut self.routers[number], child);
                self.ended.push(former);
            }
            _ => {}
        }
        Ok(())
    }

    fn kill_zone(&mut self, zone: usize) {
        let Some(name) = self.zones.get(zone).cloned() else {
            return;
        };
        self.routers[zone].kill();
        self.note_router_ends();
        for number in self.hosts.of_zone(&name) {
            self.hosts.kill(number);
        }
    }

    fn start_router(&self, number: usize) -> io::Result<ChildProcess> {
        let settings = &self.settings[number];
        let name = format!("router-{}-{}", number + 1, settings.life);
        stand_in(&self.directory, &name, "baseline-router", settings)
    }
}

/// The product's back ends, direct ones left out, on other addresses.
fn hosts_like(plan: &Plan) -> io::Result<Vec<HostPlan>> {
    let mut hosts = plan.hosts.clone();
    hosts.retain(|host| host.zone.is_some());
    let back_ends = hosts.iter().map(|host| host.back_ends.len()).sum::<usize>();
    let mut addresses = free_addresses(back_ends * ADDRESSES_OF_A_BACK_END)?.into_iter();
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
            life: 1,
            address: *address,
            routes: routes.clone(),
            services: services.clone(),
        })
        .collect()
}

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
