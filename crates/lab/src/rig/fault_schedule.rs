//! Applies the faults of an experiment at their scheduled times.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use async_std::task;
use parking_lot::Mutex;
use rustix::process::Signal;
use threadledge_types::{BackEndId, ServiceId, Timestamp};

use super::control;
use super::plan::Plan;
use super::poller::RouterPoller;
use super::product_processes::ProductProcesses;
use super::systems::Systems;
use super::targets::{control_address, kill_zone, live_machine, process_number_of, select_router};
use crate::clock;
use crate::experiment::{Fault, FaultAction};
use crate::history::Event;
use crate::load::send_hostile_callers;
use crate::stand_in::back_end::Degradation;
use crate::stand_in::machine_list::MachineCommand;
use crate::stand_in::object_api::FaultCommand;

/// A scheduled step.
#[derive(Clone, Debug)]
enum Step {
    /// Applies a fault or operator action.
    Apply(FaultAction),
    /// Resumes the back end process with this number.
    ResumeHost(usize),
    /// Resumes the router with this number.
    ResumeRouter(usize),
    /// Clears the degradation of a back end.
    Recover(BackEndId),
    /// Ends the outage of the object API.
    StoreUp,
}

/// The remaining steps of a run, ordered by time.
pub(super) struct FaultSchedule {
    steps: BTreeMap<(Timestamp, usize), Step>,
    added: usize,
    object_api: SocketAddr,
    machine_list: SocketAddr,
    /// Events of actions that complete in the background.
    background_events: Arc<Mutex<Vec<Event>>>,
}

impl FaultSchedule {
    /// Schedules `faults`, with times relative to `begin`.
    pub fn new(faults: &[Fault], begin: Timestamp, plan: &Plan) -> FaultSchedule {
        let mut schedule = FaultSchedule {
            steps: BTreeMap::new(),
            added: 0,
            object_api: plan.object_api,
            machine_list: plan.machine_list,
            background_events: Arc::default(),
        };
        for fault in faults {
            let at = begin + std::time::Duration::from_millis(fault.at_ms);
            schedule.add(at, Step::Apply(fault.action.clone()));
        }
        schedule
    }

    /// Executes every step that is due, on all systems.
    pub fn advance(&mut self, systems: &mut Systems, poller: &RouterPoller) {
        while let Some(entry) = self.steps.first_entry() {
            if entry.key().0 > clock::now() {
                return;
            }
            let step = entry.remove();
            if let Err(error) = self.execute(step, systems, poller) {
                let what = format!("not carried out: {error}");
                systems.product.record(Event::Fault {
                    at: clock::now(),
                    what,
                });
            }
        }
    }

    /// Returns the events of actions that completed in the background.
    pub fn finish(self) -> Vec<Event> {
        std::mem::take(&mut self.background_events.lock())
    }

    fn add(&mut self, at: Timestamp, step: Step) {
        self.added += 1;
        self.steps.insert((at, self.added), step);
    }

    fn add_after(&mut self, for_ms: u64, step: Step) {
        let at = clock::now() + std::time::Duration::from_millis(for_ms);
        self.add(at, step);
    }

    /// Executes one step on all systems.
    fn execute(
        &mut self,
        step: Step,
        systems: &mut Systems,
        poller: &RouterPoller,
    ) -> http_types::Result<()> {
        match step {
            Step::Apply(action) => {
                systems.product.record(Event::Fault {
                    at: clock::now(),
                    what: action.to_string(),
                });
                let router = select_router(&action, &mut systems.product, poller)?;
                self.apply_fault(&action, router, &mut systems.product)?;
                self.schedule_end(&action, router, &systems.product);
                for baseline in &mut systems.baselines {
                    baseline.apply_fault(&action, router)?;
                }
                if let FaultAction::HostileCallers {
                    connections,
                    for_ms,
                } = action
                {
                    self.send_hostile_callers(systems, connections, for_ms);
                }
            }
            Step::ResumeHost(number) => {
                systems.product.hosts.signal(number, Signal::CONT)?;
                for baseline in &mut systems.baselines {
                    baseline.resume_host(number)?;
                }
            }
            Step::ResumeRouter(number) => {
                systems.product.routers[number].child.signal(Signal::CONT)?;
                for baseline in &mut systems.baselines {
                    baseline.resume_router(number)?;
                }
            }
            Step::Recover(back_end) => {
                systems.set_degradation(&back_end, Degradation::default())?
            }
            Step::StoreUp => {
                let up = FaultCommand::Down(false);
                task::block_on(control::set_object_api_fault(self.object_api, &up))?;
            }
        }
        Ok(())
    }

    /// Applies an action to the product.
    fn apply_fault(
        &mut self,
        action: &FaultAction,
        router: Option<usize>,
        processes: &mut ProductProcesses,
    ) -> http_types::Result<()> {
        match action {
            FaultAction::KillBackEnd { back_end } => {
                processes
                    .hosts
                    .kill(process_number_of(processes, back_end)?);
            }
            FaultAction::StartBackEnd { back_end } => {
                processes
                    .hosts
                    .restart(process_number_of(processes, back_end)?)?;
            }
            FaultAction::FreezeBackEnd { back_end, .. } => {
                let number = process_number_of(processes, back_end)?;
                processes.hosts.signal(number, Signal::STOP)?;
            }
            FaultAction::DrainBackEnd { back_end } => {
                task::block_on(control::drain(control_address(processes, back_end)?))?;
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
                let address = control_address(processes, back_end)?;
                task::block_on(control::degrade(address, degradation))?;
            }
            FaultAction::KillZone { zone } => kill_zone(processes, *zone)?,
            FaultAction::StoreDown { .. } => {
                let down = FaultCommand::Down(true);
                task::block_on(control::set_object_api_fault(self.object_api, &down))?;
            }
            FaultAction::StoreDropsAnswers { writes } => {
                let drop_answers = FaultCommand::DropAnswers(*writes);
                task::block_on(control::set_object_api_fault(
                    self.object_api,
                    &drop_answers,
                ))?;
            }
            FaultAction::ChangeService { service } => self.change_service(service.clone()),
            // The caller of this function sends them to all systems at once.
            FaultAction::HostileCallers { .. } => {}
            FaultAction::KillRouter { .. }
            | FaultAction::StopRouter { .. }
            | FaultAction::FreezeRouter { .. }
            | FaultAction::ReplaceRouter {} => {
                let number = router.ok_or_else(|| http_types::format_err!("no router"))?;
                self.apply_router_fault(action, number, processes)?;
            }
        }
        Ok(())
    }

    fn apply_router_fault(
        &self,
        action: &FaultAction,
        number: usize,
        processes: &mut ProductProcesses,
    ) -> http_types::Result<()> {
        match action {
            FaultAction::KillRouter { .. } => processes.routers[number].child.kill(),
            FaultAction::StopRouter { .. } => {
                processes.record(Event::PlannedStopBegan {
                    at: clock::now(),
                    router: number,
                });
                processes.routers[number].child.signal(Signal::TERM)?;
            }
            FaultAction::FreezeRouter { .. } => {
                processes.routers[number].child.signal(Signal::STOP)?;
            }
            FaultAction::ReplaceRouter {} => {
                let (previous, settings) = processes.replace_router(number)?;
                let commands = [
                    MachineCommand::Remove(previous),
                    MachineCommand::Set(Box::new(live_machine(&settings))),
                ];
                for command in &commands {
                    let change = control::change_machines(self.machine_list, command);
                    task::block_on(change)?;
                }
            }
            _ => {}
        }
        Ok(())
    }

    /// Schedules the end of an action that has a duration.
    fn schedule_end(
        &mut self,
        action: &FaultAction,
        router: Option<usize>,
        product: &ProductProcesses,
    ) {
        match (action, router) {
            (FaultAction::FreezeBackEnd { back_end, for_ms }, _) => {
                if let Some(number) = product.hosts.process_number(back_end) {
                    self.add_after(*for_ms, Step::ResumeHost(number));
                }
            }
            (
                FaultAction::SickenBackEnd {
                    back_end, for_ms, ..
                },
                _,
            ) => {
                self.add_after(*for_ms, Step::Recover(back_end.clone()));
            }
            (FaultAction::FreezeRouter { for_ms, .. }, Some(number)) => {
                self.add_after(*for_ms, Step::ResumeRouter(number));
            }
            (FaultAction::StoreDown { for_ms }, _) => self.add_after(*for_ms, Step::StoreUp),
            _ => {}
        }
    }

    /// Runs hostile callers against the routers of each system in the
    /// background.
    fn send_hostile_callers(&self, systems: &Systems, connections: u32, for_ms: u64) {
        let duration = std::time::Duration::from_millis(for_ms);
        for (system, addresses) in systems.caller_addresses() {
            let background_events = self.background_events.clone();
            task::spawn(async move {
                let counts = send_hostile_callers(&addresses, connections, duration).await;
                background_events.lock().push(Event::Fault {
                    at: clock::now(),
                    what: format!("hostile callers of {system} ended: {counts}"),
                });
            });
        }
    }

    /// Changes a service in the background, because acceptance takes a while and
    /// must not delay the other faults.
    fn change_service(&self, service: ServiceId) {
        let background_events = self.background_events.clone();
        let object_api = self.object_api;
        task::spawn(async move {
            let event = match control::change_service(object_api, &service).await {
                Ok(event) => event,
                Err(error) => Event::Fault {
                    at: clock::now(),
                    what: format!("change not accepted: {error}"),
                },
            };
            background_events.lock().push(event);
        });
    }
}
