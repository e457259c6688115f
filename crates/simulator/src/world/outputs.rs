//! Carrying out what routers ask for.

use std::time::Duration;

use threadledge_control::{Input, Output, PeerMessage};
use threadledge_types::{RouterId, Timestamp};

use super::{RouterIndex, World};
use crate::costs::{HEAD_BYTES, answers_pull, json_bytes, kind_of};
use crate::event::Event;
use crate::measures::MessageKind;

/// Time from a request to the store to its answer.
pub const STORE_DELAY: Duration = Duration::from_millis(10);
/// Time after which a request to a store that is down is given up.
const STORE_TIMEOUT: Duration = Duration::from_secs(2);
/// Time after which a lease exchange is given up.
const LEASE_TIMEOUT: Duration = Duration::from_millis(500);

impl World {
    /// Steps a router that is awake and carries out what it asks for.
    pub(super) fn input_router(&mut self, index: RouterIndex, input: Input) {
        let now = self.now;
        let started = self.stopwatch.map(|stopwatch| stopwatch());
        let Some(process) = self.routers[index.0].awake() else {
            return;
        };
        let id = process.node.identity().id;
        let outputs = process.step(now, input);
        let revision = process.node.replica().revision();
        let before = std::mem::replace(&mut process.revision, revision);
        if let (Some(stopwatch), Some(started)) = (self.stopwatch, started) {
            self.costs[index.0].step(stopwatch() - started);
        }
        self.invariants.saw_revision(now, id, before, revision);
        self.batched.clear();
        for output in outputs {
            self.carry_out(index, id, output);
        }
    }

    fn carry_out(&mut self, from: RouterIndex, process: RouterId, output: Output) {
        match output {
            Output::SendPeer { to, to_id, message } => {
                self.send_peer(from, to, to_id, message);
            }
            Output::SendLease { to, request } => self.send_lease(from, process, to, request),
            Output::Records(delta) => {
                self.measures.follow(&delta);
                if let Some(table) = self.tables.get_mut(&from) {
                    // A table that lost its place is brought up by the next
                    // full copy; probes then show the gap.
                    let _ = table.apply(&delta);
                }
            }
            Output::ReadGroupObject => {
                let state = self.store.read_group(&self.region_of(from));
                let delay = self.store_delay();
                self.answer(from, process, delay, Input::GroupObject(state));
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
                self.answer(
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

    fn answer(&mut self, to: RouterIndex, process: RouterId, delay: Duration, input: Input) {
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
        // Messages are large: only a duplicate is copied.
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
        let bytes = HEAD_BYTES + self.bytes_of(&*request);
        self.measures.count(MessageKind::Lease, bytes);
        self.costs[from.0].send(MessageKind::Lease, bytes);
        let exchange = self.next_exchange;
        self.next_exchange += 1;
        self.exchanges.insert(exchange, request.order);
        self.lease_back_end
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
            let event = Event::Lease {
                to: receiver,
                from,
                process,
                exchange,
                request: request.clone(),
            };
            self.queue.schedule(self.now + delay, event);
        }
    }

    /// Counts a message between routers as the shell sends it: messages of one
    /// step to one receiver share a request, and the heads and the sender's
    /// identity around it.
    fn count_peer(&mut self, from: RouterIndex, to: Option<RouterIndex>, message: &PeerMessage) {
        let kind = kind_of(message);
        let mut bytes = self.bytes_of(message);
        if self.scenario.count_bytes && !self.batched.contains(&to) {
            self.batched.push(to);
            let process = self.routers[from.0].process.as_ref();
            let envelope = process.map_or(0, |process| process.envelope_bytes);
            // The answer to the request is a batch without messages.
            bytes += HEAD_BYTES + 2 * envelope;
        }
        self.measures.count(kind, bytes);
        let cost = &mut self.costs[from.0];
        cost.send(kind, bytes);
        cost.pulls_answered += u64::from(answers_pull(message));
        if let Some(to) = to {
            self.costs[to.0].receive(kind, bytes);
        }
    }

    /// Length as JSON, where the scenario counts bytes.
    pub(super) fn bytes_of<T: serde::Serialize>(&self, message: &T) -> u64 {
        match self.scenario.count_bytes {
            true => json_bytes(message),
            false => 0,
        }
    }

    pub(super) fn reschedule_tick(&mut self, index: RouterIndex) {
        let next: Timestamp = self.now + Duration::from_millis(self.scenario.tick_ms);
        self.queue.schedule(next, Event::RouterTick(index));
    }
}
