//! Creates the settings of the caller processes.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use threadledge_types::{ServiceId, Timestamp};

use super::plan::Plan;
use crate::experiment::Experiment;
use crate::load::{CallerSettings, DirectSettings};

/// Distance between the first request ids of two caller processes.
const REQUEST_IDS_PER_CALLER: u64 = 1_000_000_000;
/// Distance between the seeds of two caller processes.
const SEED_STRIDE: u64 = 1 << 32;

/// Returns the settings of one caller process for each load of the experiment.
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
            first_request: (number as u64 + 1) * REQUEST_IDS_PER_CALLER,
        })
        .collect()
}

/// Maps each direct service to the service that it imitates.
pub(super) fn imitated_services(plan: &Plan) -> BTreeMap<ServiceId, ServiceId> {
    let directs = plan.directs.values();
    directs
        .map(|direct| (direct.service.clone(), direct.imitates.clone()))
        .collect()
}
