//! Faults and operator actions: starts, kills, pauses, partitions and edits.

use std::time::Duration;

use rand::RngExt;
use threadledge_control::{ConfigurationEvent, Input};
use threadledge_routing::RoutingTable;

use super::{BackEndIndex, RouterIndex, World};
use crate::event::Event;
use crate::scenario;

impl World {
    /// Starts a router process, replacing any earlier one on the machine. It
    /// has a new identity.
    pub fn start_router(&mut self, index: RouterIndex) {
        let process = self.new_process(index);
        self.routers[index.0].process = Some(process);
        if self.scenario.keeps_table(index.0) {
            self.routing_tables.insert(index, RoutingTable::new());
        }
        let stagger = self.random.random_range(0..self.scenario.tick_ms * 1_000);
        let first = self.now + Duration::from_micros(stagger);
        self.queue.schedule(first, Event::RouterTick(index));
        self.queue.schedule(first, Event::ReadMachines(index));
    }

    /// Kills a router without warning.
    pub fn kill_router(&mut self, index: RouterIndex) {
        self.routers[index.0].process = None;
    }

    /// Asks a router to stop in a planned way.
    pub fn request_router_stop(&mut self, index: RouterIndex) {
        self.step_router(index, Input::Leave);
    }

    /// Pauses a router's process without ending it.
    pub fn pause_router(&mut self, index: RouterIndex) {
        if let Some(process) = &mut self.routers[index.0].process {
            process.paused = true;
        }
    }

    /// Resumes a paused router; it first receives the events that arrived
    /// meanwhile.
    pub fn resume_router(&mut self, index: RouterIndex) {
        let Some(process) = &mut self.routers[index.0].process else {
            return;
        };
        process.paused = false;
        for event in std::mem::take(&mut process.deferred_events) {
            self.queue.schedule(self.now, event);
        }
        self.queue.schedule(self.now, Event::RouterTick(index));
    }

    /// Starts a back-end process, replacing any earlier one.
    pub fn start_back_end(&mut self, index: BackEndIndex) {
        let clock = self.new_clock();
        self.back_ends[index.0].start(clock);
    }

    /// Kills a back end without warning.
    pub fn kill_back_end(&mut self, index: BackEndIndex) {
        self.back_ends[index.0].process = None;
    }

    /// Freezes a back end: it keeps its state and does nothing.
    pub fn freeze_back_end(&mut self, index: BackEndIndex) {
        if let Some(process) = &mut self.back_ends[index.0].process {
            process.frozen = true;
        }
    }

    /// Unfreezes a back end; it first receives the events that arrived
    /// meanwhile.
    pub fn unfreeze_back_end(&mut self, index: BackEndIndex) {
        let Some(process) = &mut self.back_ends[index.0].process else {
            return;
        };
        process.frozen = false;
        for event in std::mem::take(&mut process.deferred_events) {
            self.queue.schedule(self.now, event);
        }
        self.check_owner(index, None);
    }

    /// Makes a back end announce that it is leaving.
    pub fn drain_back_end(&mut self, index: BackEndIndex) {
        if let Some(process) = &mut self.back_ends[index.0].process {
            process.holder.begin_drain();
        }
    }

    /// Adds a back end to a service, as an operator does.
    pub fn add_back_end_to_service(&mut self, service: &str) -> BackEndIndex {
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
        self.notify_watchers(&event);
        index
    }

    /// Deletes the object of a back end, as an operator does.
    pub fn delete_back_end(&mut self, index: BackEndIndex) {
        let name = self.back_ends[index.0].id.name.clone();
        if let Some(event) = self.store.delete_back_end(&name) {
            self.notify_watchers(&event);
        }
    }

    /// Cuts or restores the network between two regions.
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
            self.network.set_zones_cut(&one, &other, cut);
        }
    }

    fn zone_pairs(&self) -> Vec<(usize, usize)> {
        let zones = self.scenario.zones;
        let pairs = (0..zones).flat_map(|from| (0..zones).map(move |to| (from, to)));
        pairs.collect()
    }

    /// Cuts or restores the network between two zones of the first region.
    pub fn cut_zones(&mut self, one: usize, other: usize, cut: bool) {
        let place = |zone| crate::network::Place { region: 0, zone };
        self.network.set_zones_cut(&place(one), &place(other), cut);
    }

    /// Cuts a router off from everything, or restores it.
    pub fn isolate_router(&mut self, index: RouterIndex, isolated: bool) {
        self.network.set_isolated(index.0, isolated);
    }

    /// Notifies every watching router of a change, unless the store is
    /// unavailable.
    pub fn notify_watchers(&mut self, event: &ConfigurationEvent) {
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

    /// Cuts a back end off from everything, or restores it.
    pub fn isolate_back_end(&mut self, index: BackEndIndex, isolated: bool) {
        let machine = self.routers.len() + index.0;
        self.network.set_isolated(machine, isolated);
    }

    pub(super) fn schedule_machine_list_read(&mut self, index: RouterIndex) {
        let next = self.now + Duration::from_millis(self.scenario.machines_ms);
        self.queue.schedule(next, Event::ReadMachines(index));
    }
}
