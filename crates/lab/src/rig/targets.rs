//! Finds the processes of the product that a fault applies to.

use std::net::SocketAddr;

use threadledge::settings::Settings;
use threadledge_membership::{Machine, MachineState};
use threadledge_types::{BackEndId, ZoneName};

use super::poller::RouterPoller;
use super::product_processes::ProductProcesses;
use crate::experiment::{FaultAction, RouterTarget};

/// Returns the number of the process that hosts a back end.
pub(super) fn process_number_of(
    processes: &ProductProcesses,
    back_end: &BackEndId,
) -> http_types::Result<usize> {
    let number = processes.hosts.process_number(back_end);
    number.ok_or_else(|| http_types::format_err!("no back end {back_end}"))
}

/// Returns the control address of a back end.
pub(super) fn control_address(
    processes: &ProductProcesses,
    back_end: &BackEndId,
) -> http_types::Result<SocketAddr> {
    let settings = processes.hosts.back_end(back_end);
    settings
        .map(|one| one.control_address)
        .ok_or_else(|| http_types::format_err!("no back end {back_end}"))
}

/// Returns the machine list entry of a router.
pub(super) fn live_machine(settings: &Settings) -> Machine {
    Machine {
        name: settings.machine.clone(),
        region: settings.region.clone(),
        zone: settings.zone.clone(),
        peer_address: settings.peer_address,
        state: MachineState::Live,
    }
}

/// Returns the number of the router that an action applies to, or `None` if it
/// applies to no router.
pub(super) fn select_router(
    action: &FaultAction,
    processes: &mut ProductProcesses,
    poller: &RouterPoller,
) -> http_types::Result<Option<usize>> {
    let target = match action {
        FaultAction::KillRouter { router }
        | FaultAction::StopRouter { router }
        | FaultAction::FreezeRouter { router, .. } => *router,
        FaultAction::ReplaceRouter {} => {
            let mut routers = processes.routers.iter_mut();
            let ended = routers.position(|router| router.child.has_ended());
            return match ended {
                Some(number) => Ok(Some(number)),
                None => Err(http_types::format_err!("no router has ended")),
            };
        }
        _ => return Ok(None),
    };
    let leader = poller.leader();
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
    let chosen = candidates.next();
    match chosen {
        Some(number) => Ok(Some(number)),
        None => Err(http_types::format_err!("no {target} among the routers")),
    }
}

/// Kills the router and all back end processes of the zone with this number.
pub(super) fn kill_zone(processes: &mut ProductProcesses, zone: usize) -> http_types::Result<()> {
    let router = processes
        .routers
        .get_mut(zone)
        .ok_or_else(|| http_types::format_err!("no zone {zone}"))?;
    let name: ZoneName = router.settings.zone.clone();
    router.child.kill();
    for number in processes.hosts.numbers_in_zone(&name) {
        processes.hosts.kill(number);
    }
    Ok(())
}
