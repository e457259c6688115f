//! The back end processes of one system under test: the product or a baseline.

use std::io;
use std::path::{Path, PathBuf};
use std::time::{SystemTime, UNIX_EPOCH};

use parking_lot::Mutex;
use rustix::process::Signal;
use serde::Serialize;
use threadledge_types::{BackEndId, Incarnation, SessionId, ZoneName};

use super::child::{ChildPlan, ChildProcess};
use super::plan::HostPlan;
use crate::clock;
use crate::history::Event;
use crate::stand_in::back_end::BackEndSettings;

/// Settings that a back end process reads from standard input.
#[derive(Clone, Debug, Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct BackEndHost {
    /// Incarnation of all its back ends.
    pub incarnation: Incarnation,
    /// Settings of its back ends.
    pub back_ends: Vec<BackEndSettings>,
}

/// Kinds of back end processes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum HostKind {
    /// The back ends execute requests only under a grant.
    GrantRequired,
    /// The back ends execute every request.
    Unchecked,
}

impl HostKind {
    /// Returns the command-line argument that selects this kind of stand-in.
    const fn argument(self) -> &'static str {
        match self {
            HostKind::GrantRequired => "back-ends",
            HostKind::Unchecked => "ungranted-back-ends",
        }
    }
}

/// One back end process; `child` is `None` while it is killed.
struct Host {
    plan: HostPlan,
    incarnation: Incarnation,
    child: Option<ChildProcess>,
}

/// The back end processes, identified by number.
pub(super) struct Hosts {
    directory: PathBuf,
    kind: HostKind,
    hosts: Vec<Host>,
    ended: Vec<ChildProcess>,
    events: Mutex<Vec<Event>>,
}

impl Hosts {
    /// Starts one process for each plan, with logs in `directory`.
    pub fn start(kind: HostKind, plans: &[HostPlan], directory: &Path) -> io::Result<Hosts> {
        let mut hosts = Hosts {
            directory: directory.to_owned(),
            kind,
            hosts: Vec::with_capacity(plans.len()),
            ended: Vec::new(),
            events: Mutex::default(),
        };
        for plan in plans {
            let incarnation = new_incarnation();
            let child = hosts.start_one(plan, incarnation)?;
            hosts.hosts.push(Host {
                plan: plan.clone(),
                incarnation,
                child: Some(child),
            });
        }
        Ok(hosts)
    }

    /// Returns the number of the process that hosts `back_end`.
    pub fn process_number(&self, back_end: &BackEndId) -> Option<usize> {
        let hosts = |host: &Host| host.plan.back_ends.iter().any(|one| one.id == *back_end);
        self.hosts.iter().position(hosts)
    }

    /// Returns the numbers of the processes whose back ends are in `zone`.
    pub fn numbers_in_zone(&self, zone: &ZoneName) -> Vec<usize> {
        let hosts = self.hosts.iter().enumerate();
        hosts
            .filter(|(_, host)| host.plan.zone.as_ref() == Some(zone))
            .map(|(number, _)| number)
            .collect()
    }

    /// Returns the settings of one back end.
    pub fn back_end(&self, id: &BackEndId) -> Option<&BackEndSettings> {
        let mut all = self.hosts.iter().flat_map(|host| &host.plan.back_ends);
        all.find(|one| one.id == *id)
    }

    /// Returns the running processes.
    pub fn children(&mut self) -> impl Iterator<Item = &mut ChildProcess> {
        self.hosts.iter_mut().filter_map(|host| host.child.as_mut())
    }

    /// Sends a signal to one process, unless it was killed.
    pub fn signal(&mut self, number: usize, signal: Signal) -> io::Result<()> {
        match &mut self.hosts[number].child {
            Some(child) => child.signal(signal),
            None => Ok(()),
        }
    }

    /// Kills a process and records its end.
    pub fn kill(&mut self, number: usize) {
        let host = &mut self.hosts[number];
        let Some(mut child) = host.child.take() else {
            return;
        };
        child.kill();
        let sessions = host.plan.back_ends.iter().map(|back_end| SessionId {
            back_end: back_end.id.clone(),
            incarnation: host.incarnation,
        });
        self.events.lock().push(Event::ProcessEnded {
            at: clock::now(),
            process: host.plan.name.clone(),
            sessions: sessions.collect(),
            planned: false,
        });
        self.ended.push(child);
    }

    /// Restarts a killed process with a new incarnation.
    pub fn restart(&mut self, number: usize) -> io::Result<()> {
        if self.hosts[number].child.is_some() {
            return Ok(());
        }
        let incarnation = new_incarnation();
        let child = self.start_one(&self.hosts[number].plan, incarnation)?;
        self.hosts[number].incarnation = incarnation;
        self.hosts[number].child = Some(child);
        Ok(())
    }

    /// Returns all processes, including those that ended, and the events
    /// recorded about them.
    pub fn into_parts(self) -> (Vec<ChildProcess>, Vec<Event>) {
        let mut children: Vec<ChildProcess> = self
            .hosts
            .into_iter()
            .filter_map(|host| host.child)
            .collect();
        children.extend(self.ended);
        (children, self.events.into_inner())
    }

    fn start_one(&self, plan: &HostPlan, incarnation: Incarnation) -> io::Result<ChildProcess> {
        let host = BackEndHost {
            incarnation,
            back_ends: plan.back_ends.clone(),
        };
        // Each incarnation writes a log of its own.
        let name = format!("{}-{}", plan.name, incarnation.0);
        start_stand_in(&self.directory, &name, self.kind.argument(), &host)
    }
}

/// Starts a stand-in process from this program's executable.
pub(super) fn start_stand_in(
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

/// Returns a new incarnation: the wall-clock time in milliseconds, as in all
/// processes of the system.
fn new_incarnation() -> Incarnation {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    let millis = since.unwrap_or_default().as_millis();
    Incarnation(u64::try_from(millis).unwrap_or(u64::MAX))
}
