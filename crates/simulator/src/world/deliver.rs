//! Delivery of events that are due.

use std::collections::BTreeSet;

use threadledge_control::{Input, PeerBatch};
use threadledge_membership::MachineList;
use threadledge_types::session::{Grant, LeaseRequest, LeaseResponse};
use threadledge_types::{RouterId, ServiceId, Timestamp};

use super::{BackEndIndex, PROBE_INTERVAL, RouterIndex, World};
use crate::back_end::PREPARATION_TIME;
use crate::costs::HTTP_HEAD_BYTES;
use crate::event::Event;
use crate::metrics::MessageKind;

/// Number of events kept for a process that is paused or frozen; further ones
/// are lost, as when a socket buffer is full.
const MAX_DEFERRED_EVENTS: usize = 4_096;

impl World {
    pub(super) fn deliver(&mut self, event: Event) {
        match event {
            Event::RouterTick(index) => self.tick_router(index),
            Event::ReadMachines(index) => self.read_machine_list(index),
            Event::Probe => {
                self.run_probes();
                self.queue.schedule(self.now + PROBE_INTERVAL, Event::Probe);
            }
            Event::Prepared {
                back_end,
                incarnation,
                grant,
            } => self.finish_preparation(back_end, incarnation, &grant),
            Event::WatchStore { router, process } => self.watch_store(router, process),
            event @ Event::LeaseRequest { .. } => self.deliver_lease(event),
            event => self.deliver_to_router(event),
        }
    }

    fn tick_router(&mut self, index: RouterIndex) {
        let Some(process) = &self.routers[index.0].process else {
            return;
        };
        if process.paused {
            return;
        }
        self.step_router(index, Input::Tick);
        self.reschedule_tick(index);
    }

    fn read_machine_list(&mut self, index: RouterIndex) {
        if self.routers[index.0].process.is_none() {
            return;
        }
        if let Some(list) = self.machine_list_for(index) {
            self.step_router(index, Input::Machines(list));
        }
        self.schedule_machine_list_read(index);
    }

    /// Returns the machine list as the router reads it. If the router already
    /// has this version, the core only looks at the version, so the machines
    /// are not copied again; the bytes are still counted.
    fn machine_list_for(&mut self, index: RouterIndex) -> Option<MachineList> {
        let version = self.store.machines_version()?;
        let bytes = match self.scenario.count_bytes {
            true => HTTP_HEAD_BYTES + self.store.machines_bytes(),
            false => 0,
        };
        self.costs[index.0].record_received(MessageKind::Machines, bytes);
        let process = self.routers[index.0].running_process()?;
        if process.machines_version.replace(version) == Some(version) {
            return Some(MachineList {
                version,
                machines: Vec::new(),
            });
        }
        self.store.machines()
    }

    fn watch_store(&mut self, index: RouterIndex, process: RouterId) {
        if self.routers[index.0].id() != Some(process) {
            return;
        }
        if self.store.is_down() {
            let event = Event::WatchStore {
                router: index,
                process,
            };
            self.queue
                .schedule(self.now + std::time::Duration::from_secs(1), event);
            return;
        }
        let is_leader = self
            .router(index)
            .is_some_and(|node| node.planner().is_some());
        if let Some(running) = &mut self.routers[index.0].process {
            running.watching = is_leader;
        }
        if is_leader {
            for listing in self.store.listings() {
                self.step_router(index, Input::Configuration(Box::new(listing)));
            }
        }
    }

    fn deliver_to_router(&mut self, event: Event) {
        let index = match &event {
            Event::Peer { to, .. }
            | Event::RouterInput { to, .. }
            | Event::LeaseResponse { to, .. }
            | Event::LeaseTimeout { to, .. } => *to,
            _ => return,
        };
        let Some(process) = &mut self.routers[index.0].process else {
            return;
        };
        if process.paused {
            if process.deferred_events.len() < MAX_DEFERRED_EVENTS {
                process.deferred_events.push(event);
            }
            return;
        }
        let own = process.node.identity().id;
        match event {
            Event::Peer {
                to_id,
                from,
                message,
                ..
            } => {
                let batch = PeerBatch {
                    from,
                    to: to_id,
                    messages: vec![*message],
                };
                self.step_router(index, Input::Peer(batch));
            }
            Event::RouterInput { process, input, .. } if process == own => {
                self.step_router(index, *input);
            }
            Event::LeaseResponse {
                process,
                exchange,
                response,
                ..
            } if process == own => self.on_lease_response(index, exchange, response),
            Event::LeaseTimeout {
                process, exchange, ..
            } if process == own => self.on_lease_timeout(index, exchange),
            _ => {}
        }
    }

    fn on_lease_response(
        &mut self,
        index: RouterIndex,
        exchange: u64,
        response: Box<LeaseResponse>,
    ) {
        let Some(back_end) = self.lease_back_ends.remove(&exchange) else {
            return;
        };
        self.lease_sequences.remove(&exchange);
        self.step_router(index, Input::LeaseAnswered { back_end, response });
    }

    fn on_lease_timeout(&mut self, index: RouterIndex, exchange: u64) {
        let Some(order) = self.lease_sequences.remove(&exchange) else {
            return;
        };
        if let Some(back_end) = self.lease_back_ends.remove(&exchange) {
            self.step_router(index, Input::LeaseFailed { back_end, order });
        }
    }

    fn deliver_lease(&mut self, event: Event) {
        let Event::LeaseRequest { to, .. } = &event else {
            return;
        };
        let index = *to;
        let Some(process) = &mut self.back_ends[index.0].process else {
            return;
        };
        if process.frozen {
            if process.deferred_events.len() < MAX_DEFERRED_EVENTS {
                process.deferred_events.push(event);
            }
            return;
        }
        let Event::LeaseRequest {
            from,
            process,
            exchange,
            request,
            ..
        } = event
        else {
            return;
        };
        let response = self.handle_lease(index, *request);
        let bytes = self.bytes_of(&response);
        self.metrics.count_message(MessageKind::Lease, bytes);
        self.costs[from.0].record_received(MessageKind::Lease, bytes);
        self.send_lease_response(index, from, process, exchange, response);
    }

    fn handle_lease(&mut self, index: BackEndIndex, request: LeaseRequest) -> LeaseResponse {
        let now = self.now;
        let back_end = &mut self.back_ends[index.0];
        let process = back_end.process.as_mut().expect("checked by the caller");
        let before = process.valid_grants(now);
        let response = process.handle(now, request, &self.request_rates);
        let incarnation = response.incarnation.0;
        let preparing: Vec<Grant> = process.holder.slices_to_prepare().cloned().collect();
        for grant in preparing {
            let event = Event::Prepared {
                back_end: index,
                incarnation,
                grant,
            };
            self.queue.schedule(now + PREPARATION_TIME, event);
        }
        self.check_owner(index, Some(before));
        response
    }

    fn send_lease_response(
        &mut self,
        index: BackEndIndex,
        to: RouterIndex,
        process: RouterId,
        exchange: u64,
        response: LeaseResponse,
    ) {
        let machine = self.routers.len() + index.0;
        let (one, other) = (&self.back_ends[index.0].place, &self.routers[to.0].place);
        let deliveries = self
            .network
            .deliveries(&mut self.random, (machine, one), (to.0, other));
        for delay in deliveries {
            let event = Event::LeaseResponse {
                to,
                process,
                exchange,
                response: Box::new(response.clone()),
            };
            self.queue.schedule(self.now + delay, event);
        }
    }

    fn finish_preparation(&mut self, index: BackEndIndex, incarnation: u64, grant: &Grant) {
        let process = self.back_ends[index.0].process.as_mut();
        if let Some(process) = process.filter(|process| !process.frozen)
            && process.holder.incarnation().0 == incarnation
        {
            process.holder.mark_ready(grant);
        }
    }

    /// Checks the grants that a back end may act on against those of all
    /// others. `before` contains the grants that it could already act on, which
    /// were checked earlier.
    pub(super) fn check_owner(&mut self, index: BackEndIndex, before: Option<Vec<Grant>>) {
        let now: Timestamp = self.now;
        let back_end = &self.back_ends[index.0];
        let Some(process) = &back_end.process else {
            return;
        };
        let before = before.unwrap_or_default();
        let mut taken = process.valid_grants(now);
        taken.retain(|grant| before.binary_search(grant).is_err());
        if taken.is_empty() {
            return;
        }
        for grant in &taken {
            let grantees = self.grantees.entry(grant.service.clone()).or_default();
            grantees.insert(index);
        }
        // A back end that was never granted a slice of these services holds
        // none.
        let services: BTreeSet<&ServiceId> = taken.iter().map(|grant| &grant.service).collect();
        let grantees = services
            .iter()
            .filter_map(|service| self.grantees.get(service));
        let grantees: BTreeSet<&BackEndIndex> = grantees.flatten().collect();
        let others = grantees.into_iter().filter(|other| **other != index);
        let others = others.filter_map(|other| {
            let other = &self.back_ends[other.0];
            Some((&other.id, other.process.as_ref()?.valid_grants(now)))
        });
        self.invariants
            .check_single_owner(now, &back_end.id, &taken, others);
    }
}
