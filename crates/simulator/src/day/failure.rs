//! What happens on a day, and how often.

use std::time::Duration;

use rand::RngExt;
use serde::{Deserialize, Serialize};

use super::DaySimulation;
use crate::world::{BackEndIndex, RouterIndex};

/// Seconds of a day.
const DAY_SECONDS: f64 = 86_400.0;
/// Pause before a process that was restarted runs again.
const RESTART: Duration = Duration::from_millis(300);
/// Edits a second in each region while configuration changes.
const EDITS_PER_SECOND: f64 = 2.0;
/// One machine in so many of a zone shares a rack, at least two.
const RACKS_PER_ZONE: usize = 24;

/// One kind of thing that happens.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Failure {
    /// Nothing.
    None,
    /// Operators change services.
    ConfigurationChanges,
    /// A day's machines fail: routers and back ends.
    MachineLosses,
    /// A day's restarts and replacements of routers and back ends.
    Replacements,
    /// The leader of each region is lost.
    LeaderLoss,
    /// A rack is lost with its routers and back ends.
    RackLoss,
    /// A zone is lost with its routers and back ends.
    ZoneLoss,
    /// The first region loses all others.
    RegionCut,
}

impl Failure {
    /// Everything, in the order in which a day is run.
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

/// How often things happen on a day, over all nodes of all regions.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct FailureRates {
    /// Nodes that the other rates are meant for.
    pub nodes: f64,
    /// Regions that the changes of configuration are divided over.
    pub regions: f64,
    /// Machines that fail.
    pub machine_losses: f64,
    /// Machines that are restarted or replaced.
    pub replacements: f64,
    /// Changes of configuration.
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
    /// How many times faster than on a day configuration changes are made.
    pub fn configuration_speed(&self) -> f64 {
        let each_region = self.configuration_changes / self.regions / DAY_SECONDS;
        EDITS_PER_SECOND / each_region
    }

    /// The share of a day's events that `count` nodes have, at least one.
    fn share(&self, events: f64, count: usize) -> usize {
        (events * count as f64 / self.nodes).ceil().max(1.0) as usize
    }
}

impl DaySimulation {
    /// Causes the failure and runs on. Returns the share of keys, summed over
    /// services, that cannot stay where they are.
    pub(super) fn cause(&mut self, failure: Failure, duration: Duration) -> f64 {
        match failure {
            Failure::None => self.quiet(duration),
            Failure::ConfigurationChanges => self.change_configuration(duration),
            Failure::MachineLosses => self.lose_machines(duration),
            Failure::Replacements => self.replace(duration),
            Failure::LeaderLoss => self.lose_leaders(duration),
            Failure::RackLoss => self.lose_part_of_zone(RACKS_PER_ZONE, duration),
            Failure::ZoneLoss => self.lose_part_of_zone(1, duration),
            Failure::RegionCut => self.cut_first_region(duration),
        }
    }

    fn quiet(&mut self, duration: Duration) -> f64 {
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
        let mut least = 0.0;
        let router_losses = self.rates.share(self.rates.machine_losses, routers);
        for _ in 0..router_losses {
            let router = RouterIndex(self.random.random_range(0..routers));
            self.lose_router(router);
        }
        let back_end_losses = self.rates.share(self.rates.machine_losses, back_ends);
        for _ in 0..back_end_losses {
            let back_end = BackEndIndex(self.random.random_range(0..back_ends));
            least += self.lose_back_end(back_end);
        }
        self.world.run_for(duration);
        least
    }

    /// Restarts one after the other. A back end that is back at once keeps its
    /// keys, so none has to move.
    fn replace(&mut self, duration: Duration) -> f64 {
        let routers = self.world.router_count();
        let back_ends = self.world.back_end_count();
        let router_count = self.rates.share(self.rates.replacements, routers);
        let back_end_count = self.rates.share(self.rates.replacements, back_ends);
        let count = router_count + back_end_count;
        let pause = duration / count as u32;
        for number in 0..count {
            let wait = RESTART.min(pause);
            // The two kinds alternate as long as both are left.
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

    /// Loses one part in `parts` of the first region's first zone.
    fn lose_part_of_zone(&mut self, parts: usize, duration: Duration) -> f64 {
        let in_zone = |place: &crate::network::Place| place.region == 0 && place.zone == 0;
        let routers = self.world.routers_of(0);
        let routers: Vec<RouterIndex> = routers
            .filter(|index| in_zone(self.world.router_place(*index)))
            .collect();
        let back_ends = (0..self.world.back_end_count()).map(BackEndIndex);
        let back_ends: Vec<BackEndIndex> = back_ends
            .filter(|index| in_zone(&self.world.back_end(*index).place))
            .collect();
        let part = |count: usize| count.div_ceil(parts).max(2).min(count);
        for router in &routers[..part(routers.len())] {
            self.lose_router(*router);
        }
        let mut least = 0.0;
        for back_end in &back_ends[..part(back_ends.len())] {
            least += self.lose_back_end(*back_end);
        }
        self.world.run_for(duration);
        least
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

    /// Returns the share of keys that it had.
    fn lose_back_end(&mut self, back_end: BackEndIndex) -> f64 {
        if !self.world.back_end(back_end).is_running() {
            return 0.0;
        }
        let id = self.world.back_end(back_end).id.clone();
        self.world.kill_back_end(back_end);
        self.lost_back_ends.push(back_end);
        self.world.measures().share_of(&id)
    }
}
