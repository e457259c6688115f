//! Derives the simulated scenario from the number of nodes.

use std::time::Duration;

use threadledge_simulator::{Scenario, ServicePlan};

/// Maximum number of routers that run in one process. At least one region
/// always runs, even if it is larger.
const MAX_RUNNING_ROUTERS: usize = 2_200;
/// Minimum number of back ends of a region.
const MIN_BACK_ENDS: usize = 3;
/// Maximum number of back ends of one service.
const BACK_ENDS_PER_SERVICE: usize = 15;
/// Number of keys probed for each service.
const PROBES_PER_SERVICE: usize = 16;
/// Number of routers per region that keep a routing table for probes. The
/// others run the full control plane but no tables of the data path.
const ROUTING_TABLES_PER_REGION: usize = 24;
/// Interval at which a router reads the machine list, in milliseconds, as in
/// the production binary.
const MACHINE_LIST_INTERVAL_MS: u64 = 5_000;

/// Size and duration of a simulation of hollow nodes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HollowPlan {
    /// Number of routers in all regions.
    pub nodes: usize,
    /// Number of regions.
    pub regions: usize,
    /// Number of zones in all regions.
    pub zones: usize,
    /// Number of routers per back end.
    pub routers_per_back_end: usize,
    /// Virtual time that each failure lasts before it heals.
    pub duration: Duration,
    /// Seed of every random choice.
    pub seed: u64,
}

impl HollowPlan {
    /// Returns the scenario. Regions that do not fit into one process do not
    /// run and are only on the machine list.
    pub fn scenario(&self) -> Scenario {
        let regions = self.regions.max(1);
        let routers = self.nodes.div_ceil(regions).max(1);
        let running = (MAX_RUNNING_ROUTERS / routers).clamp(1, regions);
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
            machines_ms: MACHINE_LIST_INTERVAL_MS,
            tables: Some(ROUTING_TABLES_PER_REGION),
            ..Scenario::default()
        }
    }

    /// Divides the back ends of a region between services.
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
