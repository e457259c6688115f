//! Reports of a simulated day.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use threadledge_consensus::Role;

use super::Failure;
use crate::costs::RouterCost;
use crate::metrics::MessageKind;
use crate::world::{RouterIndex, World};

const NANOS_PER_SECOND: f64 = 1e9;
const NANOS_PER_MILLI: f64 = 1e6;

/// Results of the start of a world without any earlier state.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StartReport {
    /// Milliseconds until every probed key was served for the first time.
    pub first_assignment_ms: Option<u64>,
    /// Milliseconds until every router accepted requests.
    pub all_ready_ms: Option<u64>,
    /// Number of invariant violations.
    pub violations: u64,
}

/// Summary of a set of durations, in milliseconds.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct DurationSummary {
    /// Number of values.
    pub count: usize,
    /// Median.
    pub median_ms: u64,
    /// 99th percentile.
    pub p99_ms: u64,
    /// Maximum.
    pub worst_ms: u64,
}

impl DurationSummary {
    fn from_durations(values: impl Iterator<Item = Duration>) -> Self {
        let mut sorted: Vec<u64> = values.map(super::millis).collect();
        sorted.sort_unstable();
        let quantile_ms = |quantile: f64| {
            let rank = (sorted.len() as f64 * quantile).ceil() as usize;
            sorted.get(rank.max(1) - 1).copied().unwrap_or_default()
        };
        DurationSummary {
            count: sorted.len(),
            median_ms: quantile_ms(0.5),
            p99_ms: quantile_ms(0.99),
            worst_ms: quantile_ms(1.0),
        }
    }
}

/// Role of a router in the control plane.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RoleName {
    /// Leader of its region's group.
    Leader,
    /// Other member of a group.
    Follower,
    /// Not a member, but other routers pull records from it.
    Parent,
    /// No router pulls records from it.
    Leaf,
}

/// Mean cost of the control plane for a router of one role.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RoleCost {
    /// Number of routers with the role.
    pub routers: usize,
    /// Messages per second, sent and received.
    pub messages_per_second: f64,
    /// Bytes per second, sent and received, without the machine list.
    pub bytes_per_second: f64,
    /// Bytes per second of the router with the highest value.
    pub most_bytes_per_second: f64,
    /// Bytes per second by kind of message.
    pub bytes_by_kind: BTreeMap<String, f64>,
    /// Processor time of the control core, in percent of one processor core; 0
    /// without a stopwatch.
    pub core_percent: f64,
    /// Processor time of the router with the highest value.
    pub most_core_percent: f64,
    /// Longest step of a control core, in milliseconds.
    pub longest_step_ms: f64,
}

/// Results of one failure.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PhaseReport {
    /// Kind of failure.
    pub failure: Failure,
    /// Duration of the failure in milliseconds.
    pub duration_ms: u64,
    /// Outages of probed keys; a key counts once for each of its outages.
    pub unavailable: DurationSummary,
    /// Outages that had not ended when the failure was repaired.
    pub unavailable_at_end: usize,
    /// Share of keys that moved before the repair, summed over services.
    pub moved: f64,
    /// Share of keys that had to move.
    pub moved_at_least: f64,
    /// Time from an operator's edit until it was in force on every ready
    /// router.
    pub configuration_in_force: DurationSummary,
    /// Edits that were not in force everywhere when the world had settled.
    pub configuration_open: usize,
    /// Costs by role, up to the repair.
    pub roles: BTreeMap<RoleName, RoleCost>,
    /// True if the world settled again after the repair.
    pub settled: bool,
    /// Number of invariant violations, including those during the repair.
    pub violations: u64,
}

impl PhaseReport {
    pub(super) fn before_repair(world: &World, failure: Failure, duration: Duration) -> Self {
        let metrics = world.metrics();
        PhaseReport {
            failure,
            duration_ms: super::millis(duration),
            unavailable: DurationSummary::default(),
            unavailable_at_end: metrics.failing_probes(),
            moved: metrics.total_moved_share(),
            moved_at_least: 0.0,
            configuration_in_force: DurationSummary::default(),
            configuration_open: 0,
            roles: costs_by_role(world, duration),
            settled: false,
            violations: 0,
        }
    }

    /// Adds the results that are only known once the world has settled.
    pub(super) fn finish(&mut self, world: &World, violations_before: u64) {
        let metrics = world.metrics();
        let outages = metrics.outages().iter();
        self.unavailable =
            DurationSummary::from_durations(outages.map(|outage| outage.duration(world.now())));
        self.configuration_in_force =
            DurationSummary::from_durations(metrics.times_in_force().iter().copied());
        self.configuration_open = world.pending_edits();
        self.violations = world.invariants().count() - violations_before;
    }
}

fn costs_by_role(world: &World, duration: Duration) -> BTreeMap<RoleName, RoleCost> {
    let seconds = duration.as_secs_f64();
    let mut roles: BTreeMap<RoleName, RoleCost> = BTreeMap::new();
    for number in 0..world.router_count() {
        let index = RouterIndex(number);
        let cost = world.cost(index);
        let Some(role) = router_role(world, index, cost) else {
            continue;
        };
        roles.entry(role).or_default().add_router(cost, seconds);
    }
    for cost in roles.values_mut() {
        cost.turn_sums_into_means();
    }
    roles
}

fn router_role(world: &World, index: RouterIndex, cost: &RouterCost) -> Option<RoleName> {
    let node = world.router(index)?;
    Some(match node.role() {
        Role::Leader => RoleName::Leader,
        Role::Follower | Role::Learner => RoleName::Follower,
        _ if cost.pulls_answered > 0 => RoleName::Parent,
        _ => RoleName::Leaf,
    })
}

impl RoleCost {
    fn add_router(&mut self, cost: &RouterCost, seconds: f64) {
        let machines = cost.bytes_of(MessageKind::Machines);
        let bytes = (cost.bytes() - machines) as f64 / seconds;
        let core = cost.busy_nanos as f64 / seconds / NANOS_PER_SECOND * 100.0;
        self.routers += 1;
        self.messages_per_second += cost.messages() as f64 / seconds;
        self.bytes_per_second += bytes;
        self.most_bytes_per_second = self.most_bytes_per_second.max(bytes);
        self.core_percent += core;
        self.most_core_percent = self.most_core_percent.max(core);
        let longest = cost.longest_step_nanos as f64 / NANOS_PER_MILLI;
        self.longest_step_ms = self.longest_step_ms.max(longest);
        for kind in MessageKind::ALL {
            let sum = self.bytes_by_kind.entry(kind.to_string()).or_default();
            *sum += cost.bytes_of(kind) as f64 / seconds;
        }
    }

    /// Divides the sums by the number of routers.
    fn turn_sums_into_means(&mut self) {
        let routers = self.routers.max(1) as f64;
        self.messages_per_second /= routers;
        self.bytes_per_second /= routers;
        self.core_percent /= routers;
        for sum in self.bytes_by_kind.values_mut() {
            *sum /= routers;
        }
    }
}
