//! Carries out the faults of an experiment at their times.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use async_std::task;
use parking_lot::Mutex;
use rustix::process::Signal;
use threadledge_types::{BackEndId, ServiceId, Timestamp, ZoneName};

use super::operator;
use super::processes::Processes;
use super::watch::Watch;
use crate::clock;
use crate::experiment::{Fault, FaultAction, RouterTarget};
use crate::history::Event;
use crate::stand_in::object_api::FaultCommand;

/// What is still to be done.
#[derive(Clone, Debug)]
enum Step {
    Cause(FaultAction),
    ResumeHost(usize),
    ResumeRouter(usize),
    StoreUp,
}

/// The steps of a run in the order of their times.
pub(super) struct Timeline {
    steps: BTreeMap<(Timestamp, usize), Step>,
    added: usize,
    object_api: SocketAddr,
    /// Events of actions that end later than they begin.
    later: Arc<Mutex<Vec<Event>>>,
}

impl Timeline {
    /// Times count from `begin`.
    pub fn new(faults: &[Fault], begin: Timestamp, object_api: SocketAddr) -> Timeline {
        let mut timeline = Timeline {
            steps: BTreeMap::new(),
            added: 0,
            object_api,
            later: Arc::default(),
        };
        for fault in faults {
            let at = begin + std::time::Duration::from_millis(fault.at_ms);
            timeline.add(at, Step::Cause(fault.action.clone()));
        }
        timeline
    }

    /// Carries out every step that is due.
    pub fn advance(&mut self, processes: &mut Processes, watch: &Watch) {
        while let Some(entry) = self.steps.first_entry() {
            if entry.key().0 > clock::now() {
                return;
            }
            let step = entry.remove();
            if let Err(error) = self.carry_out(step, processes, watch) {
                let what = format!("not carried out: {error}");
                processes.record(Event::Fault {
                    at: clock::now(),
                    what,
                });
            }
        }
    }

    /// Events of actions that ended since they were caused.
    pub fn finish(self) -> Vec<Event> {
        std::mem::take(&mut self.later.lock())
    }

    fn add(&mut self, at: Timestamp, step: Step) {
        self.added += 1;
        self.steps.insert((at, self.added), step);
    }

    fn add_after(&mut self, for_ms: u64, step: Step) {
        let at = clock::now() + std::time::Duration::from_millis(for_ms);
        self.add(at, step);
    }

    fn carry_out(
        &mut self,
        step: Step,
        processes: &mut Processes,
        watch: &Watch,
    ) -> http_types::Result<()> {
        match step {
            Step::Cause(action) => {
                processes.record(Event::Fault {
                    at: clock::now(),
                    what: action.to_string(),
                });
                self.cause(action, processes, watch)
            }
            Step::ResumeHost(number) => {
                if let Some(child) = &mut processes.hosts[number].child {
                    child.signal(Signal::CONT)?;
                }
                Ok(())
            }
            Step::ResumeRouter(number) => {
                processes.routers[number].child.signal(Signal::CONT)?;
                Ok(())
            }
            Step::StoreUp => {
                let up = FaultCommand::Down(false);
                task::block_on(operator::fault(self.object_api, &up))
            }
        }
    }

    fn cause(
        &mut self,
        action: FaultAction,
        processes: &mut Processes,
        watch: &Watch,
    ) -> http_types::Result<()> {
        match action {
            FaultAction::KillBackEnd { back_end } => {
                processes.kill_host(host_of(processes, &back_end)?);
            }
            FaultAction::StartBackEnd { back_end } => {
                processes.restart_host(host_of(processes, &back_end)?)?;
            }
            FaultAction::FreezeBackEnd { back_end, for_ms } => {
                let number = host_of(processes, &back_end)?;
                if let Some(child) = &mut processes.hosts[number].child {
                    child.signal(Signal::STOP)?;
                    self.add_after(for_ms, Step::ResumeHost(number));
                }
            }
            FaultAction::DrainBackEnd { back_end } => {
                task::block_on(operator::drain(control_address(processes, &back_end)?))?;
            }
            FaultAction::KillRouter { router } => {
                let number = chosen(processes, watch, router)?;
                processes.routers[number].child.kill();
            }
            FaultAction::StopRouter { router } => {
                let number = chosen(processes, watch, router)?;
                processes.record(Event::PlannedStopBegan {
                    at: clock::now(),
                    router: number,
                });
                processes.routers[number].child.signal(Signal::TERM)?;
            }
            FaultAction::FreezeRouter { router, for_ms } => {
                let number = chosen(processes, watch, router)?;
                processes.routers[number].child.signal(Signal::STOP)?;
                self.add_after(for_ms, Step::ResumeRouter(number));
            }
            FaultAction::KillZone { zone } => kill_zone(processes, zone)?,
            FaultAction::StoreDown { for_ms } => {
                let down = FaultCommand::Down(true);
                task::block_on(operator::fault(self.object_api, &down))?;
                self.add_after(for_ms, Step::StoreUp);
            }
            FaultAction::StoreDropsAnswers { writes } => {
                let drop_answers = FaultCommand::DropAnswers(writes);
                task::block_on(operator::fault(self.object_api, &drop_answers))?;
            }
            FaultAction::ChangeService { service } => self.change_service(service),
        }
        Ok(())
    }

    /// Acceptance takes a while and must not hold up the other faults.
    fn change_service(&self, service: ServiceId) {
        let later = self.later.clone();
        let object_api = self.object_api;
        task::spawn(async move {
            let event = match operator::change_service(object_api, &service).await {
                Ok(event) => event,
                Err(error) => Event::Fault {
                    at: clock::now(),
                    what: format!("change not accepted: {error}"),
                },
            };
            later.lock().push(event);
        });
    }
}

fn host_of(processes: &Processes, back_end: &BackEndId) -> http_types::Result<usize> {
    let hosts = processes.hosts.iter();
    hosts
        .enumerate()
        .find(|(_, host)| host.plan.back_ends.iter().any(|one| one.id == *back_end))
        .map(|(number, _)| number)
        .ok_or_else(|| http_types::format_err!("no back end {back_end}"))
}

fn control_address(processes: &Processes, back_end: &BackEndId) -> http_types::Result<SocketAddr> {
    let hosts = processes.hosts.iter();
    hosts
        .flat_map(|host| &host.plan.back_ends)
        .find(|one| one.id == *back_end)
        .map(|one| one.control_address)
        .ok_or_else(|| http_types::format_err!("no back end {back_end}"))
}

fn chosen(
    processes: &mut Processes,
    watch: &Watch,
    target: RouterTarget,
) -> http_types::Result<usize> {
    let leader = watch.leader();
    let mut candidates = processes
        .routers
        .iter_mut()
        .enumerate()
        .filter_map(|(number, router)| {
            let alive = !router.child.has_ended();
            let wanted = match target {
                RouterTarget::Leader => Some(number) == leader,
                RouterTarget::Follower => Some(number) != leader,
            };
            (alive && wanted).then_some(number)
        });
    candidates
        .next()
        .ok_or_else(|| http_types::format_err!("no {target} among the routers"))
}

fn kill_zone(processes: &mut Processes, zone: usize) -> http_types::Result<()> {
    let router = processes
        .routers
        .get_mut(zone)
        .ok_or_else(|| http_types::format_err!("no zone {zone}"))?;
    let name: ZoneName = router.settings.zone.clone();
    router.child.kill();
    let hosts: Vec<usize> = (0..processes.hosts.len())
        .filter(|number| processes.hosts[*number].plan.zone.as_ref() == Some(&name))
        .collect();
    for number in hosts {
        processes.kill_host(number);
    }
    Ok(())
}
