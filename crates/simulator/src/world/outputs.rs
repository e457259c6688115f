//! Execution of the outputs of routers.

use std::time::Duration;

use threadledge_control::{Input, Output, PeerMessage};
use threadledge_types::{RouterId, Timestamp};

use super::{RouterIndex, World};
use crate::costs::{HTTP_HEAD_BYTES, is_pull_answer, json_length, message_kind};
use crate::event::Event;
use crate::metrics::MessageKind;

/// Time from a request to the store until its response.
pub const STORE_DELAY: Duration = Duration::from_millis(10);
/// Time after which a request to an unavailable store fails.
const STORE_TIMEOUT: Duration = Duration::from_secs(2);
/// Timeout of a lease exchange.
const LEASE_TIMEOUT: Duration = Duration::from_millis(500);

impl World {
    /// Steps a router that is not paused and applies the outputs.
    pub(super) fn step_router(&mut self, index: RouterIndex, input: Input) {
        let now = self.now;
        let started = self.stopwatch.map(|stopwatch| stopwatch());
        let Some(process) = self.routers[index.0].running_process() else {
            return;
        };
        let id = process.node.identity().id;
        let outputs = process.step(now, input);
        let revision = process.node.replica().revision();
        let before = std::mem::replace(&mut process.revision, revision);
        if let (Some(stopwatch), Some(started)) = (self.stopwatch, started) {
            self.costs[index.0].record_step(stopwatch() - started);
        }
        self.invariants.check_revision(now, id, before, revision);
        self.batched_receivers.clear();
        for output in outputs {
            self.apply_output(index, id, output);
        }
    }

    fn apply_output(&mut self, from: RouterIndex, process: RouterId, output: Output) {
        match output {
            Output::SendPeer { to, to_id, message } => {
                self.send_peer(from, to, to_id, message);
            }
            Output::SendLease { to, request } => self.send_lease(from, process, to, request),
            Output::Records(delta) => {
                self.metrics.record_owners(&delta);
                if let Some(table) = self.routing_tables.get_mut(&from) {
                    // A table that missed a delta is repaired by the next full
                    // copy; until then the probes show the gap.
                    let _ = table.apply(&delta);
                }
            }
            Output::ReadGroupObject => {
                let state = self.store.read_group(&self.region_of(from));
                let delay = self.store_delay();
                self.schedule_input(from, process, delay, Input::GroupObject(state));
            }
            Output::WriteGroupObject {
                generation,
                expected,
            } => {
                let region = self.region_of(from);
                let result =
                    self.store
                        .found_group(&region, process, generation, expected.as_ref());
                let delay = self.store_delay();
                self.schedule_input(
                    from,
                    process,
                    delay,
                    Input::GroupObjectWritten { generation, result },
                );
            }
            Output::WatchConfiguration(_) => self.set_watch(from, process, true),
            Output::StopWatching => self.set_watch(from, process, false),
            Output::WriteStatus(write) => {
                let at = self.now + STORE_DELAY;
                let region = self.routers[from.0].place.region;
                self.store.write_status(at, region, write);
            }
            Output::Observe(_) => {}
        }
    }

    fn region_of(&self, router: RouterIndex) -> threadledge_types::RegionName {
        crate::scenario::region_name(self.routers[router.0].place.region)
    }

    fn store_delay(&self) -> Duration {
        if self.store.is_down() {
            STORE_TIMEOUT
        } else {
            STORE_DELAY
        }
    }

    fn schedule_input(
        &mut self,
        to: RouterIndex,
        process: RouterId,
        delay: Duration,
        input: Input,
    ) {
        let event = Event::RouterInput {
            to,
            process,
            input: Box::new(input),
        };
        self.queue.schedule(self.now + delay, event);
    }

    fn set_watch(&mut self, index: RouterIndex, process: RouterId, watch: bool) {
        if let Some(running) = &mut self.routers[index.0].process {
            running.watching = false;
        }
        if watch {
            let router = index;
            let event = Event::WatchStore { router, process };
            self.queue.schedule(self.now + STORE_DELAY, event);
        }
    }

    fn send_peer(
        &mut self,
        from: RouterIndex,
        to: std::net::SocketAddr,
        to_id: Option<RouterId>,
        message: Box<PeerMessage>,
    ) {
        let receiver = self.router_addresses.get(&to).copied();
        self.count_peer(from, receiver, &message);
        let Some(receiver) = receiver else {
            return;
        };
        let Some(identity) = self.router(from).map(|node| node.identity().clone()) else {
            return;
        };
        let mut deliveries = self.router_deliveries(from, receiver);
        // Messages are large, so only duplicates are copied.
        let Some(last) = deliveries.pop() else {
            return;
        };
        let arrival = |message| Event::Peer {
            to: receiver,
            to_id,
            from: identity.clone(),
            message,
        };
        for delay in deliveries {
            let event = arrival(message.clone());
            self.queue.schedule(self.now + delay, event);
        }
        self.queue.schedule(self.now + last, arrival(message));
    }

    fn router_deliveries(&mut self, from: RouterIndex, to: RouterIndex) -> Vec<Duration> {
        let (one, other) = (&self.routers[from.0].place, &self.routers[to.0].place);
        self.network
            .deliveries(&mut self.random, (from.0, one), (to.0, other))
    }

    fn send_lease(
        &mut self,
        from: RouterIndex,
        process: RouterId,
        to: std::net::SocketAddr,
        request: Box<threadledge_types::session::LeaseRequest>,
    ) {
        let bytes = HTTP_HEAD_BYTES + self.bytes_of(&*request);
        self.metrics.count_message(MessageKind::Lease, bytes);
        self.costs[from.0].record_sent(MessageKind::Lease, bytes);
        let exchange = self.next_exchange;
        self.next_exchange += 1;
        self.lease_sequences.insert(exchange, request.order);
        self.lease_back_ends
            .insert(exchange, request.back_end.clone());
        let timeout = Event::LeaseTimeout {
            to: from,
            process,
            exchange,
        };
        self.queue.schedule(self.now + LEASE_TIMEOUT, timeout);
        let Some(receiver) = self.back_end_addresses.get(&to).copied() else {
            return;
        };
        let machine = self.routers.len() + receiver.0;
        let (one, other) = (
            &self.routers[from.0].place,
            &self.back_ends[receiver.0].place,
        );
        let deliveries = self
            .network
            .deliveries(&mut self.random, (from.0, one), (machine, other));
        for delay in deliveries {
            let event = Event::LeaseRequest {
                to: receiver,
                from,
                process,
                exchange,
                request: request.clone(),
            };
            self.queue.schedule(self.now + delay, event);
        }
    }

    /// Counts a message between routers as the shell sends it: the messages of
    /// one step to one receiver share a request, its HTTP heads and the
    /// sender's identity.
    fn count_peer(&mut self, from: RouterIndex, to: Option<RouterIndex>, message: &PeerMessage) {
        let kind = message_kind(message);
        let mut bytes = self.bytes_of(message);
        if self.scenario.count_bytes && !self.batched_receivers.contains(&to) {
            self.batched_receivers.push(to);
            let process = self.routers[from.0].process.as_ref();
            let envelope = process.map_or(0, |process| process.envelope_bytes);
            // The response to the request is a batch without messages.
            bytes += HTTP_HEAD_BYTES + 2 * envelope;
        }
        self.metrics.count_message(kind, bytes);
        let cost = &mut self.costs[from.0];
        cost.record_sent(kind, bytes);
        cost.pulls_answered += u64::from(is_pull_answer(message));
        if let Some(to) = to {
            self.costs[to.0].record_received(kind, bytes);
        }
    }

    /// Returns the length as JSON, or 0 if the scenario does not count bytes.
    pub(super) fn bytes_of<T: serde::Serialize>(&self, message: &T) -> u64 {
        match self.scenario.count_bytes {
            true => json_length(message),
            false => 0,
        }
    }

    pub(super) fn reschedule_tick(&mut self, index: RouterIndex) {
        let next: Timestamp = self.now + Duration::from_millis(self.scenario.tick_ms);
        self.queue.schedule(next, Event::RouterTick(index));
    }
}
