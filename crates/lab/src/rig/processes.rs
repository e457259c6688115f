//! The processes of a run, by what they are.

use std::fs;
use std::io;
use std::path::{Path, PathBuf};
use std::time::Duration;

use parking_lot::Mutex;
use threadledge::settings::Settings;
use threadledge_types::MachineName;

use super::child::{ChildPlan, ChildProcess};
use super::hosting::PlatformSettings;
use super::hosts::{HostKind, Hosts, stand_in};
use super::plan::Plan;
use super::run::RunError;
use crate::baseline::CpuMeter;
use crate::clock;
use crate::history::Event;
use crate::load::CallerSettings;

/// Longest time that a child may take to serve.
const START_LIMIT: Duration = Duration::from_secs(10);
/// Longest time that a child may take to end once asked.
pub(super) const END_LIMIT: Duration = Duration::from_secs(3);
const POLL: Duration = Duration::from_millis(10);

/// One router's process.
pub(super) struct Router {
    pub name: String,
    pub settings: Settings,
    pub child: ChildProcess,
    /// Machines that were here before.
    replaced: u32,
}

/// All processes of the product's side of a run.
pub(super) struct Processes {
    directory: PathBuf,
    pub object_api: ChildProcess,
    pub machine_list: ChildProcess,
    pub hosts: Hosts,
    pub routers: Vec<Router>,
    pub callers: Vec<ChildProcess>,
    pub cpu: CpuMeter,
    ended: Vec<ChildProcess>,
    events: Mutex<Vec<Event>>,
}

impl Processes {
    /// Starts everything but the callers.
    pub fn start(plan: &Plan, directory: &Path) -> Result<Processes, RunError> {
        let objects = plan.objects().map_err(io::Error::other)?;
        let object_api = PlatformSettings::ObjectApi {
            address: plan.object_api,
            objects,
        };
        let machine_list = PlatformSettings::MachineList {
            address: plan.machine_list,
            machines: plan.machines(),
        };
        let mut processes = Processes {
            directory: directory.to_owned(),
            object_api: stand_in(directory, "object-api", "platform", &object_api)?,
            machine_list: stand_in(directory, "machine-list", "platform", &machine_list)?,
            hosts: Hosts::start(HostKind::Granted, &plan.hosts, directory)?,
            routers: Vec::new(),
            callers: Vec::new(),
            cpu: CpuMeter::default(),
            ended: Vec::new(),
            events: Mutex::new(Vec::new()),
        };
        processes.wait_until_served()?;
        for (number, settings) in plan.routers.iter().enumerate() {
            let name = format!("router-{}", number + 1);
            let child = start_router(directory, &name, settings)?;
            processes.routers.push(Router {
                name,
                settings: settings.clone(),
                child,
                replaced: 0,
            });
        }
        Ok(processes)
    }

    /// Starts the callers of one partner.
    pub fn start_callers(&mut self, name: &str, settings: &CallerSettings) -> io::Result<()> {
        let child = stand_in(&self.directory, name, "callers", settings)?;
        self.callers.push(child);
        Ok(())
    }

    /// Records something that the rig did.
    pub fn record(&self, event: Event) {
        self.events.lock().push(event);
    }

    /// Starts a router that ended again, on a new machine at the same
    /// addresses. Returns the names of the old machine and the new.
    pub fn replace_router(&mut self, number: usize) -> io::Result<(MachineName, Settings)> {
        let router = &mut self.routers[number];
        if !router.child.wait(END_LIMIT) {
            return Err(io::Error::other(format!("{} still runs", router.name)));
        }
        router.replaced += 1;
        let former = router.settings.machine.clone();
        let name = format!("machine-{}-{}", number + 1, router.replaced + 1);
        router.settings.machine = MachineName(name);
        let log = format!("{}-{}", router.name, router.replaced + 1);
        let child = start_router(&self.directory, &log, &router.settings)?;
        self.ended.push(std::mem::replace(&mut router.child, child));
        Ok((former, router.settings.clone()))
    }

    /// Reads the processor time of the routers.
    pub fn read_cpu(&mut self) {
        let routers = self.routers.iter();
        self.cpu.read(routers.map(|router| router.child.id()));
    }

    /// Ends everything and gives back what it recorded.
    pub fn finish(self) -> Vec<Event> {
        let mut events = self.events.into_inner();
        let routers = self.routers.into_iter().map(|router| router.child);
        let platform = [self.object_api, self.machine_list];
        let (hosts, of_hosts) = self.hosts.into_parts();
        events.extend(of_hosts);
        // Callers first: what is left of them waits for nobody.
        let all = self.callers.into_iter().chain(routers).chain(hosts);
        for child in all.chain(platform).chain(self.ended) {
            events.extend(child.finish(END_LIMIT));
        }
        events
    }

    fn wait_until_served(&mut self) -> Result<(), RunError> {
        let platform = [&mut self.object_api, &mut self.machine_list];
        for child in self.hosts.children().chain(platform) {
            wait_until_ready(child)?;
        }
        Ok(())
    }
}

/// Waits until a child serves.
pub(super) fn wait_until_ready(child: &mut ChildProcess) -> Result<(), RunError> {
    let until = clock::now() + START_LIMIT;
    while !child.is_ready() {
        if child.has_ended() || clock::now() >= until {
            return Err(RunError::Child {
                name: child.name().to_owned(),
                log: child.log().to_owned(),
            });
        }
        std::thread::sleep(POLL);
    }
    Ok(())
}

fn start_router(directory: &Path, name: &str, settings: &Settings) -> io::Result<ChildProcess> {
    let file = directory.join(format!("{name}.toml"));
    fs::write(&file, settings.to_toml().map_err(io::Error::other)?)?;
    let file = file.to_string_lossy().into_owned();
    ChildProcess::start(ChildPlan {
        name,
        arguments: vec!["router".to_owned(), "--settings".to_owned(), file],
        settings: None,
        log_directory: directory,
    })
}
