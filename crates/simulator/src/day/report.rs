//! What a day's run reports.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use threadledge_consensus::Role;

use super::Failure;
use crate::costs::RouterCost;
use crate::measures::MessageKind;
use crate::world::{RouterIndex, World};

const NANOS_PER_SECOND: f64 = 1e9;
const NANOS_PER_MILLI: f64 = 1e6;

/// How a world came up from nothing.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StartReport {
    /// Milliseconds until every probed key was served for the first time.
    pub first_assignment_ms: Option<u64>,
    /// Milliseconds until every router took requests.
    pub all_ready_ms: Option<u64>,
    /// Breaches of the guarantees.
    pub violations: u64,
}

/// Values of one measure, in milliseconds.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct DurationSummary {
    /// Number of values.
    pub count: usize,
    /// Median.
    pub median_ms: u64,
    /// 99th percentile.
    pub p99_ms: u64,
    /// Largest.
    pub worst_ms: u64,
}

impl DurationSummary {
    fn of(values: impl Iterator<Item = Duration>) -> Self {
        let mut sorted: Vec<u64> = values.map(super::millis).collect();
        sorted.sort_unstable();
        let at = |quantile: f64| {
            let rank = (sorted.len() as f64 * quantile).ceil() as usize;
            sorted.get(rank.max(1) - 1).copied().unwrap_or_default()
        };
        DurationSummary {
            count: sorted.len(),
            median_ms: at(0.5),
            p99_ms: at(0.99),
            worst_ms: at(1.0),
        }
    }
}

/// Part that a router has in control.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RoleName {
    /// Leads its region's group.
    Leader,
    /// Another member of a group.
    Follower,
    /// Not a member, but others pull from it.
    Parent,
    /// Nobody pulls from it.
    Leaf,
}

/// What control cost the routers of one role, each.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RoleCost {
    /// Routers that had the role.
    pub routers: usize,
    /// Messages a second, sent and received.
    pub messages_per_second: f64,
    /// Bytes a second, sent and received, without the machine list.
    pub bytes_per_second: f64,
    /// The same for the router that had most.
    pub most_bytes_per_second: f64,
    /// Bytes a second by kind of message.
    pub bytes_by_kind: BTreeMap<String, f64>,
    /// Processor time of the core for each second, in percent of a processor
    /// core; `None` without a stopwatch.
    pub core_percent: f64,
    /// The same for the router that had most.
    pub most_core_percent: f64,
    /// Longest step of a core, in milliseconds.
    pub longest_step_ms: f64,
}

/// What one failure did.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PhaseReport {
    /// The failure.
    pub failure: Failure,
    /// Milliseconds that the failure lasted.
    pub duration_ms: u64,
    /// Outages of probed keys, one for each key and time.
    pub unavailable: DurationSummary,
    /// Outages that had not ended when the failure was healed.
    pub unavailable_at_end: usize,
    /// Share of keys that moved, summed over services, until the heal.
    pub moved: f64,
    /// Share of keys that had to move.
    pub moved_at_least: f64,
    /// Time from an operator's edit until every ready router had it.
    pub configuration_in_force: DurationSummary,
    /// Edits that were not in force everywhere when the world had settled.
    pub configuration_open: usize,
    /// Costs by role, until the heal.
    pub roles: BTreeMap<RoleName, RoleCost>,
    /// The world settled again after the heal.
    pub settled: bool,
    /// Breaches of the guarantees, the heal included.
    pub violations: u64,
}

impl PhaseReport {
    pub(super) fn of(world: &World, failure: Failure, duration: Duration) -> Self {
        let measures = world.measures();
        PhaseReport {
            failure,
            duration_ms: super::millis(duration),
            unavailable: DurationSummary::default(),
            unavailable_at_end: measures.failing(),
            moved: measures.moved_shares(),
            moved_at_least: 0.0,
            configuration_in_force: DurationSummary::default(),
            configuration_open: 0,
            roles: costs_by_role(world, duration),
            settled: false,
            violations: 0,
        }
    }

    /// Adds what ended only when the world had settled.
    pub(super) fn finish(&mut self, world: &World, violations_before: u64) {
        let measures = world.measures();
        let outages = measures.outages().iter();
        self.unavailable = DurationSummary::of(outages.map(|outage| outage.length(world.now())));
        self.configuration_in_force =
            DurationSummary::of(measures.times_in_force().iter().copied());
        self.configuration_open = world.open_edits();
        self.violations = world.invariants().count() - violations_before;
    }
}

fn costs_by_role(world: &World, duration: Duration) -> BTreeMap<RoleName, RoleCost> {
    let seconds = duration.as_secs_f64();
    let mut roles: BTreeMap<RoleName, RoleCost> = BTreeMap::new();
    for number in 0..world.router_count() {
        let index = RouterIndex(number);
        let cost = world.cost(index);
        let Some(role) = role_of(world, index, cost) else {
            continue;
        };
        roles.entry(role).or_default().add(cost, seconds);
    }
    for cost in roles.values_mut() {
        cost.divide();
    }
    roles
}

fn role_of(world: &World, index: RouterIndex, cost: &RouterCost) -> Option<RoleName> {
    let node = world.router(index)?;
    Some(match node.role() {
        Role::Leader => RoleName::Leader,
        Role::Follower | Role::Learner => RoleName::Follower,
        _ if cost.pulls_answered > 0 => RoleName::Parent,
        _ => RoleName::Leaf,
    })
}

impl RoleCost {
    fn add(&mut self, cost: &RouterCost, seconds: f64) {
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

    /// Turns sums into means.
    fn divide(&mut self) {
        let routers = self.routers.max(1) as f64;
        self.messages_per_second /= routers;
        self.bytes_per_second /= routers;
        self.core_percent /= routers;
        for sum in self.bytes_by_kind.values_mut() {
            *sum /= routers;
        }
    }
}
