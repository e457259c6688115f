//! From a number of nodes to a world.

use std::time::Duration;

use threadledge_simulator::{Scenario, ServicePlan};

/// Routers that run in one process at most, as long as one region fits.
const MAX_RUNNING: usize = 2_200;
/// Back ends of a region at least.
const MIN_BACK_ENDS: usize = 3;
/// Back ends of one service at most.
const BACK_ENDS_PER_SERVICE: usize = 15;
/// Keys that are probed for each service.
const PROBES_PER_SERVICE: usize = 16;
/// Routers of a region that keep a routing table to probe through. The others
/// have all of control but not the tables of the data path.
const TABLES: usize = 24;
/// Milliseconds between a router's readings of the machine list, as the shell
/// makes them.
const MACHINES_MS: u64 = 5_000;

/// What is to be simulated.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HollowPlan {
    /// Routers of all regions.
    pub nodes: usize,
    /// Regions.
    pub regions: usize,
    /// Zones of all regions.
    pub zones: usize,
    /// Routers for each back end.
    pub routers_per_back_end: usize,
    /// Virtual time that each failure lasts before it heals.
    pub duration: Duration,
    /// Seed of every random choice.
    pub seed: u64,
}

impl HollowPlan {
    /// Lays out the regions that run, and lists the others.
    pub fn scenario(&self) -> Scenario {
        let regions = self.regions.max(1);
        let routers = self.nodes.div_ceil(regions).max(1);
        let running = (MAX_RUNNING / routers).clamp(1, regions);
        Scenario {
            seed: self.seed,
            regions: running,
            listed_regions: regions - running,
            zones: (self.zones / regions).max(1),
            routers,
            services: (0..running)
                .flat_map(|region| self.services(region, routers))
                .collect(),
            probes_per_service: PROBES_PER_SERVICE,
            count_bytes: true,
            machines_ms: MACHINES_MS,
            tables: Some(TABLES),
            ..Scenario::default()
        }
    }

    fn services(&self, region: usize, routers: usize) -> Vec<ServicePlan> {
        let back_ends = (routers / self.routers_per_back_end.max(1)).max(MIN_BACK_ENDS);
        let services = back_ends.div_ceil(BACK_ENDS_PER_SERVICE);
        let plans = (0..services).map(|number| {
            let first = number * BACK_ENDS_PER_SERVICE;
            let count = BACK_ENDS_PER_SERVICE.min(back_ends - first);
            ServicePlan::new(&format!("service-{region}-{number}"), count).in_region(region)
        });
        plans.collect()
    }
}
