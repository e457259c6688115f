//! Simulation of the failures of a day, compressed into a short run.
//!
//! A [`DaySimulation`] starts a world and injects one [`Failure`] after the
//! other. After each failure, everything that was lost is replaced and the
//! world settles again, so that the reports are independent of each other.

mod failure;
mod report;

use std::time::Duration;

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

pub use failure::{Failure, FailureRates};
pub use report::{DurationSummary, PhaseReport, RoleCost, RoleName, StartReport};

use threadledge_types::Timestamp;

use crate::scenario::Scenario;
use crate::world::{BackEndIndex, RouterIndex, World};

/// Interval at which a run checks whether the world has settled.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Time limit for a world to settle; after it the report says that the world
/// has not settled.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(60);
/// Time that a settled world keeps running before the next failure.
const SETTLED_RUN_TIME: Duration = Duration::from_secs(2);

/// A world and the failures that are injected into it.
pub struct DaySimulation {
    world: World,
    random: ChaCha8Rng,
    rates: FailureRates,
    lost_routers: Vec<RouterIndex>,
    lost_back_ends: Vec<BackEndIndex>,
    cut_regions: Vec<(usize, usize)>,
}

impl DaySimulation {
    /// Creates a world. `stopwatch` returns nanoseconds of processor time since
    /// any origin.
    pub fn new(scenario: Scenario, rates: FailureRates, stopwatch: Option<fn() -> u64>) -> Self {
        let random = ChaCha8Rng::seed_from_u64(scenario.seed ^ 0xda7);
        let mut world = World::new(scenario);
        if let Some(stopwatch) = stopwatch {
            world.set_stopwatch(stopwatch);
        }
        DaySimulation {
            world,
            random,
            rates,
            lost_routers: Vec::new(),
            lost_back_ends: Vec::new(),
            cut_regions: Vec::new(),
        }
    }

    /// The simulated world.
    pub fn world(&self) -> &World {
        &self.world
    }

    /// Runs until every probed key is served and every router accepts requests.
    pub fn start(&mut self) -> StartReport {
        let assigned = self.run_until(|world| world.all_served());
        let settled = self.run_until(|world| world.all_ready());
        let started = StartReport {
            first_assignment_ms: assigned.then(|| self.first_assignment_ms()),
            all_ready_ms: settled.then(|| millis(self.world.now().since(Timestamp::ZERO))),
            violations: self.world.invariants().count(),
        };
        self.world.run_for(SETTLED_RUN_TIME);
        started
    }

    /// Injects a failure, runs for `duration`, repairs the failure and waits
    /// until the world settles.
    pub fn run(&mut self, failure: Failure, duration: Duration) -> PhaseReport {
        let violations = self.world.invariants().count();
        self.world.reset_metrics();
        let must_move = self.inject(failure, duration);
        let mut report = PhaseReport::before_repair(&self.world, failure, duration);
        report.moved_at_least = must_move;
        self.repair();
        report.settled = self.run_until(|world| world.is_settled());
        report.finish(&self.world, violations);
        self.world.run_for(SETTLED_RUN_TIME);
        report
    }

    fn first_assignment_ms(&self) -> u64 {
        let outages = self.world.metrics().outages();
        let served = outages.iter().filter_map(|outage| outage.until);
        millis(
            served
                .max()
                .unwrap_or(Timestamp::ZERO)
                .since(Timestamp::ZERO),
        )
    }

    fn run_until(&mut self, condition: impl Fn(&World) -> bool) -> bool {
        let limit = self.world.now() + SETTLE_TIMEOUT;
        while !condition(&self.world) {
            if self.world.now() >= limit {
                return false;
            }
            self.world.run_for(POLL_INTERVAL);
        }
        true
    }

    /// Replaces everything that was lost and removes network cuts.
    fn repair(&mut self) {
        for (one, other) in std::mem::take(&mut self.cut_regions) {
            self.world.cut_regions(one, other, false);
        }
        for router in std::mem::take(&mut self.lost_routers) {
            self.world.start_router(router);
        }
        for back_end in std::mem::take(&mut self.lost_back_ends) {
            self.world.start_back_end(back_end);
        }
    }
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
