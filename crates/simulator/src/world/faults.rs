//! What can be done to a world: starts, losses, pauses, cuts, edits.

use std::time::Duration;

use rand::RngExt;
use threadledge_control::{ConfigurationEvent, Input};
use threadledge_routing::RoutingTable;

use super::{BackEndIndex, RouterIndex, World};
use crate::event::Event;
use crate::scenario;

impl World {
    /// Starts a router process in place of any other on the machine. It is
    /// another router than the one before.
    pub fn start_router(&mut self, index: RouterIndex) {
        let process = self.new_process(index);
        self.routers[index.0].process = Some(process);
        if self.scenario.keeps_table(index.0) {
            self.tables.insert(index, RoutingTable::new());
        }
        let stagger = self.random.random_range(0..self.scenario.tick_ms * 1_000);
        let first = self.now + Duration::from_micros(stagger);
        self.queue.schedule(first, Event::RouterTick(index));
        self.queue.schedule(first, Event::ReadMachines(index));
    }

    /// Ends a router without warning.
    pub fn kill_router(&mut self, index: RouterIndex) {
        self.routers[index.0].process = None;
    }

    /// Asks a router for a planned stop.
    pub fn leave_router(&mut self, index: RouterIndex) {
        self.input_router(index, Input::Leave);
    }

    /// Stops a router's process without ending it.
    pub fn pause_router(&mut self, index: RouterIndex) {
        if let Some(process) = &mut self.routers[index.0].process {
            process.paused = true;
        }
    }

    /// Lets a paused router go on; it first sees what came in meanwhile.
    pub fn resume_router(&mut self, index: RouterIndex) {
        let Some(process) = &mut self.routers[index.0].process else {
            return;
        };
        process.paused = false;
        for event in std::mem::take(&mut process.held_back) {
            self.queue.schedule(self.now, event);
        }
        self.queue.schedule(self.now, Event::RouterTick(index));
    }

    /// Starts a server process in place of any other.
    pub fn start_back_end(&mut self, index: BackEndIndex) {
        let clock = self.new_clock();
        self.back_ends[index.0].start(clock);
    }

    /// Ends a server without warning.
    pub fn kill_back_end(&mut self, index: BackEndIndex) {
        self.back_ends[index.0].process = None;
    }

    /// Freezes a server: it keeps what it believes and does nothing.
    pub fn freeze_back_end(&mut self, index: BackEndIndex) {
        if let Some(process) = &mut self.back_ends[index.0].process {
            process.frozen = true;
        }
    }

    /// Lets a frozen server go on; it first sees what came in meanwhile.
    pub fn thaw_back_end(&mut self, index: BackEndIndex) {
        let Some(process) = &mut self.back_ends[index.0].process else {
            return;
        };
        process.frozen = false;
        for event in std::mem::take(&mut process.held_back) {
            self.queue.schedule(self.now, event);
        }
        self.check_owner(index, None);
    }

    /// A server announces that it is leaving.
    pub fn drain_back_end(&mut self, index: BackEndIndex) {
        if let Some(process) = &mut self.back_ends[index.0].process {
            process.holder.begin_drain();
        }
    }

    /// An operator labels one more server into a service.
    pub fn join_back_end(&mut self, service: &str) -> BackEndIndex {
        let index = BackEndIndex(self.back_ends.len());
        let plans = &self.scenario.services;
        let plan = plans.iter().find(|plan| plan.name == service);
        let place = crate::network::Place {
            region: plan.map_or(0, |plan| plan.region),
            zone: index.0 % self.scenario.zones,
        };
        let object = scenario::back_end_object(service, index.0, index.0, &place);
        self.add_back_end(&scenario::back_end_name(service, index.0), place);
        let event = self.store.put_back_end(object);
        self.announce(&event);
        index
    }

    /// An operator deletes a server's object.
    pub fn delete_back_end(&mut self, index: BackEndIndex) {
        let name = self.back_ends[index.0].id.name.clone();
        if let Some(event) = self.store.delete_back_end(&name) {
            self.announce(&event);
        }
    }

    /// Cuts two regions off from each other, or heals the cut.
    pub fn cut_regions(&mut self, one: usize, other: usize, cut: bool) {
        for (from, to) in self.zone_pairs() {
            let one = crate::network::Place {
                region: one,
                zone: from,
            };
            let other = crate::network::Place {
                region: other,
                zone: to,
            };
            self.network.set_cut(&one, &other, cut);
        }
    }

    fn zone_pairs(&self) -> Vec<(usize, usize)> {
        let zones = self.scenario.zones;
        let pairs = (0..zones).flat_map(|from| (0..zones).map(move |to| (from, to)));
        pairs.collect()
    }

    /// Cuts two zones of the first region off from each other, or heals the
    /// cut.
    pub fn cut_zones(&mut self, one: usize, other: usize, cut: bool) {
        let place = |zone| crate::network::Place { region: 0, zone };
        self.network.set_cut(&place(one), &place(other), cut);
    }

    /// Cuts one router off from everything, or heals the cut.
    pub fn isolate_router(&mut self, index: RouterIndex, isolated: bool) {
        self.network.set_isolated(index.0, isolated);
    }

    /// Tells every watching router of a change, if the store answers.
    pub fn announce(&mut self, event: &ConfigurationEvent) {
        if self.store.is_down() {
            return;
        }
        for index in 0..self.routers.len() {
            let Some(process) = &self.routers[index].process else {
                continue;
            };
            if process.watching {
                let process = process.node.identity().id;
                let input = Box::new(Input::Configuration(Box::new(event.clone())));
                self.queue.schedule(
                    self.now + super::outputs::STORE_DELAY,
                    Event::RouterInput {
                        to: RouterIndex(index),
                        process,
                        input,
                    },
                );
            }
        }
    }

    /// Cuts one server off from everything, or heals the cut.
    pub fn isolate_back_end(&mut self, index: BackEndIndex, isolated: bool) {
        let machine = self.routers.len() + index.0;
        self.network.set_isolated(machine, isolated);
    }

    pub(super) fn schedule_machines(&mut self, index: RouterIndex) {
        let next = self.now + Duration::from_millis(self.scenario.machines_ms);
        self.queue.schedule(next, Event::ReadMachines(index));
    }
}
