//! Regular probes that check whether keys can be served.

use threadledge_types::Epoch;

use super::{RouterIndex, World};

impl World {
    /// Probes every key, each through the table of a different router of its
    /// region.
    pub(super) fn run_probes(&mut self) {
        self.probe_round += 1;
        let ready = self.ready_by_region();
        for number in 0..self.probes.len() {
            let probe = &self.probes[number];
            let tables = &ready[probe.region].with_table;
            let served = match tables.len() {
                0 => None,
                count => self.served_epoch(tables[(self.probe_round + number) % count], number),
            };
            let key = (number, &probe.service, probe.point);
            self.metrics.record_probe(self.now, key, served.is_some());
            if let Some(epoch) = served {
                self.invariants.check_epoch(self.now, key, epoch);
            }
        }
        self.check_configuration(&ready);
    }

    /// Returns the routers that accept requests and that callers can reach.
    pub fn ready_routers(&self) -> Vec<RouterIndex> {
        let all = (0..self.routers.len()).map(RouterIndex);
        all.filter(|index| self.is_ready(*index)).collect()
    }

    fn is_ready(&self, index: RouterIndex) -> bool {
        if self.network.is_isolated(index.0) {
            return false;
        }
        let process = self.routers[index.0].process.as_ref();
        let Some(process) = process.filter(|process| !process.paused) else {
            return false;
        };
        let now = process.clock.read(self.now);
        let bound = self.scenario.timing.confirm_bound();
        let confirmed = process.node.confirmed_as_of();
        confirmed.is_some_and(|confirmed| now.since(confirmed) <= bound)
    }

    fn ready_by_region(&self) -> Vec<ReadyRouters> {
        let mut regions = vec![ReadyRouters::default(); self.scenario.regions];
        for index in self.ready_routers() {
            let region = &mut regions[self.routers[index.0].place.region];
            region.all.push(index);
            if self.routing_tables.contains_key(&index) {
                region.with_table.push(index);
            }
        }
        regions
    }

    /// Returns the epoch under which the key could be served through the router
    /// now.
    fn served_epoch(&self, router: RouterIndex, probe: usize) -> Option<Epoch> {
        let probe = &self.probes[probe];
        let table = self.routing_tables.get(&router)?;
        let owner = table.owner(&probe.service, probe.point)?;
        let index = self.back_end_ids.get(&*owner.back_end)?;
        let place = &self.routers[router.0].place;
        let back_end = &self.back_ends[index.0];
        let machine = self.routers.len() + index.0;
        let reachable = self
            .network
            .connected((router.0, place), (machine, &back_end.place));
        let process = back_end
            .process
            .as_ref()
            .filter(|process| !process.frozen)?;
        let holds = process.holds(self.now, &probe.service, probe.point, Some(owner.epoch));
        (reachable && holds).then_some(owner.epoch)
    }
}

/// Routers of one region that accept requests.
#[derive(Clone, Debug, Default)]
pub(super) struct ReadyRouters {
    pub all: Vec<RouterIndex>,
    /// Those of them that keep a routing table.
    pub with_table: Vec<RouterIndex>,
}
