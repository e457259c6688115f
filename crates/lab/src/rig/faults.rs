//! Carries out the faults of an experiment at their times.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use async_std::task;
use parking_lot::Mutex;
use rustix::process::Signal;
use threadledge_types::{BackEndId, ServiceId, Timestamp};

use super::operator;
use super::plan::Plan;
use super::processes::Processes;
use super::sides::Sides;
use super::targets::{chosen_router, control_address, host_of, kill_zone, live_machine};
use super::watch::Watch;
use crate::clock;
use crate::experiment::{Fault, FaultAction};
use crate::history::Event;
use crate::load::send_hostile_callers;
use crate::stand_in::back_end::Sickness;
use crate::stand_in::machine_list::MachineCommand;
use crate::stand_in::object_api::FaultCommand;

/// What is still to be done.
#[derive(Clone, Debug)]
enum Step {
    Cause(FaultAction),
    ResumeHost(usize),
    ResumeRouter(usize),
    Recover(BackEndId),
    StoreUp,
}

/// The steps of a run in the order of their times.
pub(super) struct Timeline {
    steps: BTreeMap<(Timestamp, usize), Step>,
    added: usize,
    object_api: SocketAddr,
    machine_list: SocketAddr,
    /// Events of actions that end later than they begin.
    later: Arc<Mutex<Vec<Event>>>,
}

impl Timeline {
    /// Times count from `begin`.
    pub fn new(faults: &[Fault], begin: Timestamp, plan: &Plan) -> Timeline {
        let mut timeline = Timeline {
            steps: BTreeMap::new(),
            added: 0,
            object_api: plan.object_api,
            machine_list: plan.machine_list,
            later: Arc::default(),
        };
        for fault in faults {
            let at = begin + std::time::Duration::from_millis(fault.at_ms);
            timeline.add(at, Step::Cause(fault.action.clone()));
        }
        timeline
    }

    /// Carries out every step that is due, on all sides.
    pub fn advance(&mut self, sides: &mut Sides, watch: &Watch) {
        while let Some(entry) = self.steps.first_entry() {
            if entry.key().0 > clock::now() {
                return;
            }
            let step = entry.remove();
            if let Err(error) = self.carry_out(step, sides, watch) {
                let what = format!("not carried out: {error}");
                sides.product.record(Event::Fault {
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
        sides: &mut Sides,
        watch: &Watch,
    ) -> http_types::Result<()> {
        match step {
            Step::Cause(action) => {
                sides.product.record(Event::Fault {
                    at: clock::now(),
                    what: action.to_string(),
                });
                let router = chosen_router(&action, &mut sides.product, watch)?;
                self.cause(&action, router, &mut sides.product)?;
                self.cause_later(&action, router, &sides.product);
                for baseline in &mut sides.baselines {
                    baseline.cause(&action, router)?;
                }
                if let FaultAction::HostileCallers {
                    connections,
                    for_ms,
                } = action
                {
                    self.send_hostile_callers(sides, connections, for_ms);
                }
            }
            Step::ResumeHost(number) => {
                sides.product.hosts.signal(number, Signal::CONT)?;
                for baseline in &mut sides.baselines {
                    baseline.resume_host(number)?;
                }
            }
            Step::ResumeRouter(number) => {
                sides.product.routers[number].child.signal(Signal::CONT)?;
                for baseline in &mut sides.baselines {
                    baseline.resume_router(number)?;
                }
            }
            Step::Recover(back_end) => sides.set_sickness(&back_end, Sickness::default())?,
            Step::StoreUp => {
                let up = FaultCommand::Down(false);
                task::block_on(operator::fault(self.object_api, &up))?;
            }
        }
        Ok(())
    }

    /// Causes an action on the product's side.
    fn cause(
        &mut self,
        action: &FaultAction,
        router: Option<usize>,
        processes: &mut Processes,
    ) -> http_types::Result<()> {
        match action {
            FaultAction::KillBackEnd { back_end } => {
                processes.hosts.kill(host_of(processes, back_end)?);
            }
            FaultAction::StartBackEnd { back_end } => {
                processes.hosts.restart(host_of(processes, back_end)?)?;
            }
            FaultAction::FreezeBackEnd { back_end, .. } => {
                let number = host_of(processes, back_end)?;
                processes.hosts.signal(number, Signal::STOP)?;
            }
            FaultAction::DrainBackEnd { back_end } => {
                task::block_on(operator::drain(control_address(processes, back_end)?))?;
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
                let address = control_address(processes, back_end)?;
                task::block_on(operator::sicken(address, sickness))?;
            }
            FaultAction::KillZone { zone } => kill_zone(processes, *zone)?,
            FaultAction::StoreDown { .. } => {
                let down = FaultCommand::Down(true);
                task::block_on(operator::fault(self.object_api, &down))?;
            }
            FaultAction::StoreDropsAnswers { writes } => {
                let drop_answers = FaultCommand::DropAnswers(*writes);
                task::block_on(operator::fault(self.object_api, &drop_answers))?;
            }
            FaultAction::ChangeService { service } => self.change_service(service.clone()),
            // Sent to all sides at once, by the caller of this.
            FaultAction::HostileCallers { .. } => {}
            FaultAction::KillRouter { .. }
            | FaultAction::StopRouter { .. }
            | FaultAction::FreezeRouter { .. }
            | FaultAction::ReplaceRouter {} => {
                let number = router.ok_or_else(|| http_types::format_err!("no router"))?;
                self.cause_at_router(action, number, processes)?;
            }
        }
        Ok(())
    }

    fn cause_at_router(
        &self,
        action: &FaultAction,
        number: usize,
        processes: &mut Processes,
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
                let (former, settings) = processes.replace_router(number)?;
                let commands = [
                    MachineCommand::Remove(former),
                    MachineCommand::Set(Box::new(live_machine(&settings))),
                ];
                for command in &commands {
                    let change = operator::change_machines(self.machine_list, command);
                    task::block_on(change)?;
                }
            }
            _ => {}
        }
        Ok(())
    }

    /// Plans the end of an action that has one.
    fn cause_later(&mut self, action: &FaultAction, router: Option<usize>, product: &Processes) {
        match (action, router) {
            (FaultAction::FreezeBackEnd { back_end, for_ms }, _) => {
                if let Some(number) = product.hosts.number_of(back_end) {
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

    fn send_hostile_callers(&self, sides: &Sides, connections: u32, for_ms: u64) {
        let lasts = std::time::Duration::from_millis(for_ms);
        for (side, addresses) in sides.caller_addresses() {
            let later = self.later.clone();
            task::spawn(async move {
                let counts = send_hostile_callers(&addresses, connections, lasts).await;
                later.lock().push(Event::Fault {
                    at: clock::now(),
                    what: format!("hostile callers of {side} ended: {counts}"),
                });
            });
        }
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
