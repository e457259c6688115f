//! The processes of the product in a run.

use std::fs;
use std::io;
use std::path::{Path, PathBuf};
use std::time::Duration;

use parking_lot::Mutex;
use threadledge::settings::Settings;
use threadledge_types::MachineName;

use super::child::{ChildPlan, ChildProcess};
use super::child_input::PlatformSettings;
use super::hosts::{HostKind, Hosts, start_stand_in};
use super::plan::Plan;
use super::run::RunError;
use crate::baseline::CpuMeter;
use crate::clock;
use crate::history::Event;
use crate::load::CallerSettings;

/// Maximum time for a child to become ready.
const START_TIMEOUT: Duration = Duration::from_secs(10);
/// Maximum time for a child to end when asked.
pub(super) const END_TIMEOUT: Duration = Duration::from_secs(3);
/// Interval for polling whether a child is ready.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// A router process.
pub(super) struct Router {
    pub name: String,
    pub settings: Settings,
    pub child: ChildProcess,
    /// Number of times that the machine was replaced.
    replaced: u32,
}

/// All processes of the product in a run.
pub(super) struct ProductProcesses {
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

impl ProductProcesses {
    /// Starts all processes but the callers.
    pub fn start(plan: &Plan, directory: &Path) -> Result<ProductProcesses, RunError> {
        let objects = plan.objects().map_err(io::Error::other)?;
        let object_api = PlatformSettings::ObjectApi {
            address: plan.object_api,
            objects,
        };
        let machine_list = PlatformSettings::MachineList {
            address: plan.machine_list,
            machines: plan.machines(),
        };
        let mut processes = ProductProcesses {
            directory: directory.to_owned(),
            object_api: start_stand_in(directory, "object-api", "platform", &object_api)?,
            machine_list: start_stand_in(directory, "machine-list", "platform", &machine_list)?,
            hosts: Hosts::start(HostKind::GrantRequired, &plan.hosts, directory)?,
            routers: Vec::new(),
            callers: Vec::new(),
            cpu: CpuMeter::default(),
            ended: Vec::new(),
            events: Mutex::new(Vec::new()),
        };
        processes.wait_until_stand_ins_ready()?;
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
        let child = start_stand_in(&self.directory, name, "callers", settings)?;
        self.callers.push(child);
        Ok(())
    }

    /// Records an action of the rig.
    pub fn record(&self, event: Event) {
        self.events.lock().push(event);
    }

    /// Restarts an ended router as a new machine with the same addresses.
    /// Returns the name of the old machine and the new settings.
    pub fn replace_router(&mut self, number: usize) -> io::Result<(MachineName, Settings)> {
        let router = &mut self.routers[number];
        if !router.child.wait(END_TIMEOUT) {
            return Err(io::Error::other(format!("{} still runs", router.name)));
        }
        router.replaced += 1;
        let previous = router.settings.machine.clone();
        let name = format!("machine-{}-{}", number + 1, router.replaced + 1);
        router.settings.machine = MachineName(name);
        let log = format!("{}-{}", router.name, router.replaced + 1);
        let child = start_router(&self.directory, &log, &router.settings)?;
        self.ended.push(std::mem::replace(&mut router.child, child));
        Ok((previous, router.settings.clone()))
    }

    /// Reads the processor time of the routers.
    pub fn read_cpu(&mut self) {
        let routers = self.routers.iter();
        self.cpu.read(routers.map(|router| router.child.id()));
    }

    /// Ends all processes and returns their events.
    pub fn finish(self) -> Vec<Event> {
        let mut events = self.events.into_inner();
        let routers = self.routers.into_iter().map(|router| router.child);
        let platform = [self.object_api, self.machine_list];
        let (hosts, host_events) = self.hosts.into_parts();
        events.extend(host_events);
        // Callers end first, because nothing waits for their remaining
        // requests.
        let all = self.callers.into_iter().chain(routers).chain(hosts);
        for child in all.chain(platform).chain(self.ended) {
            events.extend(child.finish(END_TIMEOUT));
        }
        events
    }

    fn wait_until_stand_ins_ready(&mut self) -> Result<(), RunError> {
        let platform = [&mut self.object_api, &mut self.machine_list];
        for child in self.hosts.children().chain(platform) {
            wait_until_ready(child)?;
        }
        Ok(())
    }
}

/// Waits until a child reports that it is ready.
pub(super) fn wait_until_ready(child: &mut ChildProcess) -> Result<(), RunError> {
    let until = clock::now() + START_TIMEOUT;
    while !child.is_ready() {
        if child.has_ended() || clock::now() >= until {
            return Err(RunError::Child {
                name: child.name().to_owned(),
                log: child.log().to_owned(),
            });
        }
        std::thread::sleep(POLL_INTERVAL);
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
