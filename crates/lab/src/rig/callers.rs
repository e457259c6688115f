//! Settings of the callers' processes.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use threadledge_types::{ServiceId, Timestamp};

use super::plan::Plan;
use crate::experiment::Experiment;
use crate::load::{CallerSettings, DirectSettings};

/// Distance between the first request numbers of two callers' processes.
const REQUESTS_OF_A_CALLER: u64 = 1_000_000_000;
/// Distance between the seeds of two callers' processes.
const SEED_STRIDE: u64 = 1 << 32;

/// Settings of one process for each load of the experiment.
pub(super) fn caller_settings(
    experiment: &Experiment,
    plan: &Plan,
    seed: u64,
    begin: Timestamp,
) -> Vec<CallerSettings> {
    let routers = plan.routers.iter();
    let routers: Vec<SocketAddr> = routers.map(|router| router.caller_address).collect();
    let loads = experiment.loads.iter().enumerate();
    loads
        .map(|(number, load)| CallerSettings {
            routers: routers.clone(),
            traffic: load.traffic.clone(),
            direct: plan.directs.get(&number).map(|direct| DirectSettings {
                service: direct.service.clone(),
                address: direct.back_end.address,
                control_address: direct.back_end.control_address,
                back_end: direct.back_end.id.clone(),
                per_second: direct.per_second,
            }),
            begin,
            end: begin + experiment.duration,
            seed: seed.wrapping_add(number as u64 * SEED_STRIDE),
            surges: experiment.surges.clone(),
            first_request: (number as u64 + 1) * REQUESTS_OF_A_CALLER,
        })
        .collect()
}

/// Which service each direct service imitates.
pub(super) fn imitated(plan: &Plan) -> BTreeMap<ServiceId, ServiceId> {
    let directs = plan.directs.values();
    directs
        .map(|direct| (direct.service.clone(), direct.imitates.clone()))
        .collect()
}
