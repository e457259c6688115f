//! The processes of a run, by what they are.

use std::fs;
use std::io;
use std::path::{Path, PathBuf};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use parking_lot::Mutex;
use serde::Serialize;
use threadledge::settings::Settings;
use threadledge_types::{Incarnation, SessionId};

use super::child::{ChildPlan, ChildProcess};
use super::hosting::PlatformSettings;
use super::plan::{HostPlan, Plan};
use super::run::RunError;
use crate::clock;
use crate::history::Event;
use crate::load::CallerSettings;
use crate::stand_in::back_end::BackEndSettings;

/// Longest time that a child may take to serve.
const START_LIMIT: Duration = Duration::from_secs(10);
/// Longest time that a child may take to end once asked.
const END_LIMIT: Duration = Duration::from_secs(3);
const POLL: Duration = Duration::from_millis(10);

/// What a process with back ends reads.
#[derive(Clone, Debug, Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct BackEndHost {
    /// Life of all its back ends.
    pub incarnation: Incarnation,
    /// Its back ends.
    pub back_ends: Vec<BackEndSettings>,
}

/// One process with back ends, and how to start it again.
pub(super) struct Host {
    pub plan: HostPlan,
    pub incarnation: Incarnation,
    pub child: Option<ChildProcess>,
}

/// One router's process.
pub(super) struct Router {
    pub name: String,
    pub settings: Settings,
    pub child: ChildProcess,
}

/// All processes of a run.
pub(super) struct Processes {
    directory: PathBuf,
    pub object_api: ChildProcess,
    pub machine_list: ChildProcess,
    pub hosts: Vec<Host>,
    pub routers: Vec<Router>,
    pub callers: Vec<ChildProcess>,
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
            hosts: Vec::new(),
            routers: Vec::new(),
            callers: Vec::new(),
            ended: Vec::new(),
            events: Mutex::new(Vec::new()),
        };
        for host in &plan.hosts {
            let incarnation = new_incarnation();
            let child = processes.start_host(host, incarnation)?;
            processes.hosts.push(Host {
                plan: host.clone(),
                incarnation,
                child: Some(child),
            });
        }
        processes.wait_until_served()?;
        for (number, settings) in plan.routers.iter().enumerate() {
            let name = format!("router-{}", number + 1);
            let child = start_router(directory, &name, settings)?;
            processes.routers.push(Router {
                name,
                settings: settings.clone(),
                child,
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

    /// Ends a process with back ends at once.
    pub fn kill_host(&mut self, number: usize) {
        let host = &mut self.hosts[number];
        let Some(mut child) = host.child.take() else {
            return;
        };
        child.kill();
        let sessions = host.plan.back_ends.iter().map(|back_end| SessionId {
            back_end: back_end.id.clone(),
            incarnation: host.incarnation,
        });
        let event = Event::ProcessEnded {
            at: clock::now(),
            process: host.plan.name.clone(),
            sessions: sessions.collect(),
            planned: false,
        };
        self.ended.push(child);
        self.record(event);
    }

    /// Starts a killed process with back ends again, as a new life.
    pub fn restart_host(&mut self, number: usize) -> io::Result<()> {
        if self.hosts[number].child.is_some() {
            return Ok(());
        }
        let incarnation = new_incarnation();
        let child = self.start_host(&self.hosts[number].plan, incarnation)?;
        self.hosts[number].incarnation = incarnation;
        self.hosts[number].child = Some(child);
        Ok(())
    }

    /// Ends everything and gives back what it recorded.
    pub fn finish(self) -> Vec<Event> {
        let mut events = self.events.into_inner();
        let hosts = self.hosts.into_iter().filter_map(|host| host.child);
        let routers = self.routers.into_iter().map(|router| router.child);
        let platform = [self.object_api, self.machine_list];
        // Callers first: what is left of them waits for nobody.
        let all = self.callers.into_iter().chain(routers).chain(hosts);
        for child in all.chain(platform).chain(self.ended) {
            events.extend(child.finish(END_LIMIT));
        }
        events
    }

    fn start_host(&self, plan: &HostPlan, incarnation: Incarnation) -> io::Result<ChildProcess> {
        let host = BackEndHost {
            incarnation,
            back_ends: plan.back_ends.clone(),
        };
        // A later life writes a log of its own.
        let name = format!("{}-{}", plan.name, incarnation.0);
        stand_in(&self.directory, &name, "back-ends", &host)
    }

    fn wait_until_served(&mut self) -> Result<(), RunError> {
        let hosts = self.hosts.iter_mut().filter_map(|host| host.child.as_mut());
        let platform = [&mut self.object_api, &mut self.machine_list];
        for child in hosts.chain(platform) {
            wait_until_ready(child)?;
        }
        Ok(())
    }
}

fn wait_until_ready(child: &mut ChildProcess) -> Result<(), RunError> {
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

fn stand_in(
    directory: &Path,
    name: &str,
    kind: &str,
    settings: &impl Serialize,
) -> io::Result<ChildProcess> {
    ChildProcess::start(ChildPlan {
        name,
        arguments: vec!["stand-in".to_owned(), kind.to_owned()],
        settings: Some(serde_json::to_string(settings)?),
        log_directory: directory,
    })
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

/// Milliseconds of wall time, as every process of the system draws it.
fn new_incarnation() -> Incarnation {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    let millis = since.unwrap_or_default().as_millis();
    Incarnation(u64::try_from(millis).unwrap_or(u64::MAX))
}
