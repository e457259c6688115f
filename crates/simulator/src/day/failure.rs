//! Failures of a simulated day and their rates.

use std::time::Duration;

use rand::RngExt;
use serde::{Deserialize, Serialize};

use super::DaySimulation;
use crate::world::{BackEndIndex, RouterIndex};

/// Seconds in a day.
const DAY_SECONDS: f64 = 86_400.0;
/// Time from the kill of a process until its restart.
const RESTART_DELAY: Duration = Duration::from_millis(300);
/// Edits per second in each region during configuration changes.
const EDITS_PER_SECOND: f64 = 2.0;
/// A rack holds one in this many machines of a zone, but at least two.
const RACKS_PER_ZONE: usize = 24;

/// Kind of failure.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Failure {
    /// No failure.
    None,
    /// Operators edit services.
    ConfigurationChanges,
    /// Routers and back ends fail at the rate of a day.
    MachineLosses,
    /// Routers and back ends are restarted or replaced at the rate of a day.
    Replacements,
    /// The leader of each region is lost.
    LeaderLoss,
    /// A rack is lost with its routers and back ends.
    RackLoss,
    /// A zone is lost with its routers and back ends.
    ZoneLoss,
    /// The first region is partitioned from all others.
    RegionCut,
}

impl Failure {
    /// All failures, in the order in which a day injects them.
    pub const ALL: [Failure; 8] = [
        Failure::None,
        Failure::ConfigurationChanges,
        Failure::MachineLosses,
        Failure::Replacements,
        Failure::LeaderLoss,
        Failure::RackLoss,
        Failure::ZoneLoss,
        Failure::RegionCut,
    ];
}

/// Events per day, over all nodes of all regions.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct FailureRates {
    /// Number of nodes to which the other rates refer.
    pub nodes: f64,
    /// Number of regions over which the configuration changes are divided.
    pub regions: f64,
    /// Machines that fail.
    pub machine_losses: f64,
    /// Machines that are restarted or replaced.
    pub replacements: f64,
    /// Configuration changes.
    pub configuration_changes: f64,
}

impl Default for FailureRates {
    fn default() -> Self {
        FailureRates {
            nodes: 13_000.0,
            regions: 6.0,
            machine_losses: 17.0,
            replacements: 990.0,
            configuration_changes: 7_200.0,
        }
    }
}

impl FailureRates {
    /// Returns how many times faster than on a real day the configuration is
    /// changed.
    pub fn configuration_speed(&self) -> f64 {
        let each_region = self.configuration_changes / self.regions / DAY_SECONDS;
        EDITS_PER_SECOND / each_region
    }

    /// Scales the events of a day from all nodes to `count` nodes; the result
    /// is at least one.
    fn scaled_count(&self, events: f64, count: usize) -> usize {
        (events * count as f64 / self.nodes).ceil().max(1.0) as usize
    }
}

impl DaySimulation {
    /// Injects the failure and runs for `duration`. Returns the share of keys,
    /// summed over services, that must move.
    pub(super) fn inject(&mut self, failure: Failure, duration: Duration) -> f64 {
        match failure {
            Failure::None => self.run_without_failure(duration),
            Failure::ConfigurationChanges => self.change_configuration(duration),
            Failure::MachineLosses => self.lose_machines(duration),
            Failure::Replacements => self.replace(duration),
            Failure::LeaderLoss => self.lose_leaders(duration),
            Failure::RackLoss => self.lose_part_of_zone(RACKS_PER_ZONE, duration),
            Failure::ZoneLoss => self.lose_part_of_zone(1, duration),
            Failure::RegionCut => self.cut_first_region(duration),
        }
    }

    fn run_without_failure(&mut self, duration: Duration) -> f64 {
        self.world.run_for(duration);
        0.0
    }

    fn change_configuration(&mut self, duration: Duration) -> f64 {
        let regions = self.world.scenario().regions;
        let rate = EDITS_PER_SECOND * regions as f64;
        let edits = (duration.as_secs_f64() * rate).ceil() as usize;
        let pause = duration / edits.max(1) as u32;
        let services = self.world.scenario().services.clone();
        for number in 0..edits {
            let service = &services[number % services.len()];
            self.world.edit_service(&service.name);
            self.world.run_for(pause);
        }
        0.0
    }

    fn lose_machines(&mut self, duration: Duration) -> f64 {
        let routers = self.world.router_count();
        let back_ends = self.world.back_end_count();
        let mut must_move = 0.0;
        let router_losses = self.rates.scaled_count(self.rates.machine_losses, routers);
        for _ in 0..router_losses {
            let router = RouterIndex(self.random.random_range(0..routers));
            self.lose_router(router);
        }
        let back_end_losses = self
            .rates
            .scaled_count(self.rates.machine_losses, back_ends);
        for _ in 0..back_end_losses {
            let back_end = BackEndIndex(self.random.random_range(0..back_ends));
            must_move += self.lose_back_end(back_end);
        }
        self.world.run_for(duration);
        must_move
    }

    /// Restarts processes one after the other. A back end that is back at once
    /// keeps its keys, so none has to move.
    fn replace(&mut self, duration: Duration) -> f64 {
        let routers = self.world.router_count();
        let back_ends = self.world.back_end_count();
        let router_count = self.rates.scaled_count(self.rates.replacements, routers);
        let back_end_count = self.rates.scaled_count(self.rates.replacements, back_ends);
        let count = router_count + back_end_count;
        let pause = duration / count as u32;
        for number in 0..count {
            let wait = RESTART_DELAY.min(pause);
            // Back ends and routers alternate evenly until both counts are used
            // up.
            if number * back_end_count / count < (number + 1) * back_end_count / count {
                let back_end = BackEndIndex(self.random.random_range(0..back_ends));
                self.world.kill_back_end(back_end);
                self.world.run_for(wait);
                self.world.start_back_end(back_end);
            } else {
                let router = RouterIndex(self.random.random_range(0..routers));
                self.world.kill_router(router);
                self.world.run_for(wait);
                self.world.start_router(router);
            }
            self.world.run_for(pause - wait);
        }
        0.0
    }

    fn lose_leaders(&mut self, duration: Duration) -> f64 {
        for region in 0..self.world.scenario().regions {
            if let Some(leader) = self.world.region_leader(region) {
                self.lose_router(leader);
            }
        }
        self.world.run_for(duration);
        0.0
    }

    /// Loses one part in `parts` of the first zone of the first region.
    fn lose_part_of_zone(&mut self, parts: usize, duration: Duration) -> f64 {
        let in_zone = |place: &crate::network::Place| place.region == 0 && place.zone == 0;
        let routers = self.world.region_routers(0);
        let routers: Vec<RouterIndex> = routers
            .filter(|index| in_zone(self.world.router_place(*index)))
            .collect();
        let back_ends = (0..self.world.back_end_count()).map(BackEndIndex);
        let back_ends: Vec<BackEndIndex> = back_ends
            .filter(|index| in_zone(&self.world.back_end(*index).place))
            .collect();
        let part_size = |count: usize| count.div_ceil(parts).max(2).min(count);
        for router in &routers[..part_size(routers.len())] {
            self.lose_router(*router);
        }
        let mut must_move = 0.0;
        for back_end in &back_ends[..part_size(back_ends.len())] {
            must_move += self.lose_back_end(*back_end);
        }
        self.world.run_for(duration);
        must_move
    }

    fn cut_first_region(&mut self, duration: Duration) -> f64 {
        for other in 1..self.world.scenario().regions {
            self.world.cut_regions(0, other, true);
            self.cut_regions.push((0, other));
        }
        self.world.run_for(duration);
        0.0
    }

    fn lose_router(&mut self, router: RouterIndex) {
        if self.world.router(router).is_some() {
            self.world.kill_router(router);
            self.lost_routers.push(router);
        }
    }

    /// Kills a back end and returns the share of keys that it owned.
    fn lose_back_end(&mut self, back_end: BackEndIndex) -> f64 {
        if !self.world.back_end(back_end).is_running() {
            return 0.0;
        }
        let id = self.world.back_end(back_end).id.clone();
        self.world.kill_back_end(back_end);
        self.lost_back_ends.push(back_end);
        self.world.metrics().share_owned_by(&id)
    }
}
