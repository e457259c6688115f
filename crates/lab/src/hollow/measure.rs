//! Runs a day over hollow nodes and measures what it did and cost.

use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};
use threadledge_simulator::MessageKind;
use threadledge_simulator::day::{
    DaySimulation, Failure, FailureRates, PhaseReport, RoleName, StartReport,
};

use super::layout::HollowPlan;
use super::memory::{processor_nanos, resident_bytes};

/// Version of the form of a report.
const FORM_VERSION: u32 = 2;

/// What a day did to hollow nodes, and what control cost.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HollowReport {
    /// Version of this form.
    pub version: u32,
    /// Seed of the run.
    pub seed: u64,
    /// Routers of all regions.
    pub nodes: usize,
    /// Regions that ran.
    pub regions_running: usize,
    /// Regions that were only on the machine list.
    pub regions_listed: usize,
    /// Routers of each region.
    pub routers: usize,
    /// Back ends of all regions that ran.
    pub back_ends: usize,
    /// Slices of the first region when the day began.
    pub slices: usize,
    /// Breaches of the guarantees over the whole run.
    pub violations: u64,
    /// The first few breaches.
    pub violation_details: Vec<String>,
    /// How the nodes came up.
    pub start: StartReport,
    /// Each failure, in the order of the run.
    pub phases: Vec<PhaseReport>,
    /// Failures that this size cannot show, such as the loss of regions when
    /// one region runs.
    pub not_run: Vec<Failure>,
    /// How many times faster than on a day configuration was changed.
    pub configuration_speed: f64,
    /// Resident bytes for each router that ran, the model around it included,
    /// when the day began.
    pub memory_bytes_per_router: Option<f64>,
    /// Bytes of the machine list, as one reading carries it.
    pub machine_list_bytes: u64,
    /// Virtual time of the whole run, in milliseconds.
    pub virtual_ms: u64,
    /// Real time of the whole run, in milliseconds.
    pub wall_ms: u64,
}

impl HollowReport {
    /// Whether no guarantee was breached and every failure was survived.
    pub fn passed(&self) -> bool {
        self.violations == 0
            && self.start.first_assignment_ms.is_some()
            && self.phases.iter().all(|phase| phase.settled)
    }

    /// The quiet phase's cost of one role.
    pub fn quiet_cost(&self, role: RoleName) -> Option<&threadledge_simulator::day::RoleCost> {
        let quiet = |phase: &&PhaseReport| phase.failure == Failure::None;
        self.phases.iter().find(quiet)?.roles.get(&role)
    }
}

/// Runs a day. `progress` is told what comes next.
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
        version: FORM_VERSION,
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

/// Kinds of messages, for tables.
pub(super) const KINDS: [MessageKind; 5] = MessageKind::ALL;
