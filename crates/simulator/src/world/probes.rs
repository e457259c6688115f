//! Looking regularly at whether keys can be served.

use std::time::Duration;

use threadledge_types::Epoch;

use super::{RouterIndex, World};
use crate::invariants::Violation;

/// Accepted configuration must be in force within this time.
const CONFIGURATION_BOUND: Duration = Duration::from_secs(5);

impl World {
    /// Looks at every probed key, each by the table of another router.
    pub(super) fn run_probes(&mut self) {
        self.probe_round += 1;
        let ready = self.ready_routers();
        for number in 0..self.probes.len() {
            let served = match ready.len() {
                0 => None,
                count => self.look_up(ready[(self.probe_round + number) % count], number),
            };
            let probe = &self.probes[number];
            self.measures
                .probe(self.now, &probe.service, probe.point, served.is_some());
            if let Some(epoch) = served {
                let (service, point) = (probe.service.clone(), probe.point);
                self.invariants.saw_epoch(self.now, &service, point, epoch);
            }
        }
        self.check_configuration(&ready);
    }

    /// Routers that take requests and that callers can reach.
    pub fn ready_routers(&self) -> Vec<RouterIndex> {
        let bound = self.scenario.timing.confirm_bound();
        let all = self.routers.iter().enumerate();
        all.filter(|(number, router)| {
            if self.network.is_isolated(*number) {
                return false;
            }
            let Some(process) = router.process.as_ref().filter(|process| !process.paused) else {
                return false;
            };
            let now = process.clock.read(self.now);
            let confirmed = process.node.confirmed_as_of();
            confirmed.is_some_and(|confirmed| now.since(confirmed) <= bound)
        })
        .map(|(number, _)| RouterIndex(number))
        .collect()
    }

    /// Epoch under which the key could be served through the router now.
    fn look_up(&self, router: RouterIndex, probe: usize) -> Option<Epoch> {
        let probe = &self.probes[probe];
        let table = self.tables.get(&router)?;
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

    /// Kept everywhere: *accepted configuration is in force on every router
    /// that takes requests within the bound, and never reverts*.
    fn check_configuration(&mut self, ready: &[RouterIndex]) {
        let mut missing = Vec::new();
        for (object, acceptance) in self.store.acceptances() {
            if self.now.since(acceptance.at) < CONFIGURATION_BOUND {
                continue;
            }
            for index in ready {
                let Some(node) = self.router(*index) else {
                    continue;
                };
                if node.replica().revision() < acceptance.revision {
                    missing.push(Violation::ConfigurationMissing {
                        at: self.now,
                        router: node.identity().id,
                        object: object.describe(),
                    });
                }
            }
        }
        for violation in missing {
            self.invariants.report(violation);
        }
    }
}
