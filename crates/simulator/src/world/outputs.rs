//! Carrying out what routers ask for.

use std::time::Duration;

use threadledge_control::{Input, Output, PeerMessage};
use threadledge_types::{RouterId, Timestamp};

use super::{RouterIndex, World};
use crate::event::Event;
use crate::measures::MessageKind;

/// Time from a request to the store to its answer.
pub const STORE_DELAY: Duration = Duration::from_millis(10);
/// Time after which a request to a store that is down is given up.
const STORE_TIMEOUT: Duration = Duration::from_secs(2);
/// Time after which a lease exchange is given up.
const LEASE_TIMEOUT: Duration = Duration::from_millis(500);
/// Bytes of the HTTP heads of a request and its answer.
const HTTP_OVERHEAD: u64 = 320;

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
        let role = process.node.role();
        let revision = process.node.replica().revision();
        if let (Some(stopwatch), Some(started)) = (self.stopwatch, started) {
            let busy = self
                .measures
                .busy_nanos
                .entry(role.to_string())
                .or_default();
            *busy += stopwatch() - started;
        }
        self.invariants.saw_revision(now, id, revision);
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
                let state = self.store.read_group(&crate::scenario::region());
                let delay = self.store_delay();
                self.answer(from, process, delay, Input::GroupObject(state));
            }
            Output::FoundGroup {
                generation,
                expected,
            } => {
                let region = crate::scenario::region();
                let result =
                    self.store
                        .found_group(&region, process, generation, expected.as_ref());
                let delay = self.store_delay();
                self.answer(from, process, delay, Input::Founded { generation, result });
            }
            Output::WatchConfiguration(_) => self.set_watch(from, process, true),
            Output::StopWatching => self.set_watch(from, process, false),
            Output::WriteStatus(write) => {
                let at = self.now + STORE_DELAY;
                self.store.write_status(at, write);
            }
            Output::Observe(_) => {}
        }
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
        let kind = match &*message {
            PeerMessage::Consensus { .. } => MessageKind::Consensus,
            PeerMessage::Membership(_) => MessageKind::Membership,
            PeerMessage::Spread { .. } => MessageKind::Spread,
        };
        self.count(kind, &*message);
        let Some(receiver) = self.router_addresses.get(&to).copied() else {
            return;
        };
        let Some(identity) = self.router(from).map(|node| node.identity().clone()) else {
            return;
        };
        for delay in self.router_deliveries(from, receiver) {
            let event = Event::Peer {
                to: receiver,
                to_id,
                from: identity.clone(),
                message: message.clone(),
            };
            self.queue.schedule(self.now + delay, event);
        }
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
        self.count(MessageKind::Lease, &*request);
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

    pub(super) fn count<T: serde::Serialize>(&mut self, kind: MessageKind, message: &T) {
        let mut bytes = HTTP_OVERHEAD;
        if self.scenario.count_bytes {
            let text = serde_json::to_vec(message).unwrap_or_default();
            bytes += text.len() as u64;
        }
        self.measures.count(kind, bytes);
    }

    pub(super) fn reschedule_tick(&mut self, index: RouterIndex) {
        let next: Timestamp = self.now + Duration::from_millis(self.scenario.tick_ms);
        self.queue.schedule(next, Event::RouterTick(index));
    }
}
