//! Runs the failures of a day over hollow nodes, and measures their effects and
//! the cost of the control plane.

use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};
use threadledge_simulator::MessageKind;
use threadledge_simulator::day::{
    DaySimulation, Failure, FailureRates, PhaseReport, RoleName, StartReport,
};

use super::layout::HollowPlan;
use super::memory::{processor_nanos, resident_bytes};

/// Version of the report format.
const REPORT_FORMAT_VERSION: u32 = 2;

/// Report of the failures of a day over hollow nodes and of the control plane's
/// cost.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HollowReport {
    /// Version of the report format.
    pub version: u32,
    /// Seed of the run.
    pub seed: u64,
    /// Number of routers in all regions.
    pub nodes: usize,
    /// Number of regions that ran.
    pub regions_running: usize,
    /// Number of regions that were only on the machine list.
    pub regions_listed: usize,
    /// Number of routers per region.
    pub routers: usize,
    /// Number of back ends in the regions that ran.
    pub back_ends: usize,
    /// Number of slices of the first region after the start.
    pub slices: usize,
    /// Number of violations of the guarantees in the whole run.
    pub violations: u64,
    /// The first violations.
    pub violation_details: Vec<String>,
    /// Measures of the start of the nodes.
    pub start: StartReport,
    /// Measures of each failure, in the order of the run.
    pub phases: Vec<PhaseReport>,
    /// Failures that cannot be run at this size, such as the loss of a region
    /// when only one region runs.
    pub not_run: Vec<Failure>,
    /// Rate of configuration changes, as a multiple of the rate on a normal
    /// day.
    pub configuration_speed: f64,
    /// Resident memory per running router after the start, in bytes, including
    /// the simulation around it.
    pub memory_bytes_per_router: Option<f64>,
    /// Size of the machine list as transferred by one read, in bytes.
    pub machine_list_bytes: u64,
    /// Virtual time of the whole run, in milliseconds.
    pub virtual_ms: u64,
    /// Real time of the whole run, in milliseconds.
    pub wall_ms: u64,
}

impl HollowReport {
    /// Returns whether no guarantee was violated and the system settled after
    /// every failure.
    pub fn passed(&self) -> bool {
        self.violations == 0
            && self.start.first_assignment_ms.is_some()
            && self.phases.iter().all(|phase| phase.settled)
    }

    /// Returns the cost of one role in the phase without a failure.
    pub fn quiet_cost(&self, role: RoleName) -> Option<&threadledge_simulator::day::RoleCost> {
        let quiet = |phase: &&PhaseReport| phase.failure == Failure::None;
        self.phases.iter().find(quiet)?.roles.get(&role)
    }
}

/// Runs all failures and returns the report. Calls `progress` with a message
/// before each step.
pub fn measure(plan: &HollowPlan, progress: impl Fn(&str)) -> HollowReport {
    let started = Instant::now();
    let memory_before = resident_bytes();
    let scenario = plan.scenario();
    let (regions, routers) = (scenario.regions, scenario.routers);
    progress(&format!(
        "{} nodes: starting {regions} of {} regions with {routers} routers each",
        plan.nodes, plan.regions
    ));
    let regions_listed = scenario.listed_regions;
    let rates = FailureRates::default();
    let configuration_speed = rates.configuration_speed();
    let mut day = DaySimulation::new(scenario, rates, Some(processor_nanos));
    let start = day.start();
    let memory = memory_before.zip(resident_bytes());
    let slices = slices(&day);
    let (run, not_run): (Vec<Failure>, Vec<Failure>) = Failure::ALL
        .into_iter()
        .partition(|failure| *failure != Failure::RegionCut || regions > 1);
    let mut phases = Vec::with_capacity(run.len());
    for failure in run {
        let elapsed = started.elapsed().as_secs();
        progress(&format!(
            "{} nodes: {failure:?}, {elapsed} s so far",
            plan.nodes
        ));
        phases.push(day.run(failure, plan.duration));
    }
    let world = day.world();
    let invariants = world.invariants();
    HollowReport {
        version: REPORT_FORMAT_VERSION,
        seed: plan.seed,
        nodes: plan.nodes,
        regions_running: regions,
        regions_listed,
        routers,
        back_ends: world.back_end_count(),
        slices,
        violations: invariants.count(),
        violation_details: invariants
            .violations()
            .iter()
            .map(ToString::to_string)
            .collect(),
        start,
        phases,
        not_run,
        configuration_speed,
        memory_bytes_per_router: memory.map(|(before, after)| {
            after.saturating_sub(before) as f64 / (regions * routers) as f64
        }),
        machine_list_bytes: world.machine_list_bytes(),
        virtual_ms: world.now().as_millis(),
        wall_ms: millis(started.elapsed()),
    }
}

/// Returns the number of slices at the leader of the first region.
fn slices(day: &DaySimulation) -> usize {
    let world = day.world();
    let leader = world
        .region_leader(0)
        .and_then(|leader| world.router(leader));
    leader.map_or(0, |node| node.replica().slice_count())
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

/// Kinds of messages listed in tables.
pub(super) const KINDS: [MessageKind; 5] = MessageKind::ALL;
