//! Simulated nodes, store and back ends in one virtual time.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use threadledge_coordination::action::{Action, Freshness, ReadResult, WriteResult};
use threadledge_coordination::{
    Coordinator, CoordinatorLease, KeyOwner, NodeIdentity, Order, OrderFault, OrderKind,
    OrderReply, OwnershipRecord, OwnershipView, Settings,
};
use threadledge_types::deployment::{BackEnd, BackEndName, KeyRange, ServiceName, ShardKey};
use threadledge_types::{Incarnation, MachineName, Timestamp, ZoneName};

use super::back_end::ModelBackEnd;
use super::checker::Checker;
use super::store::Object;

pub const SERVICE: &str = "service";
const STORE_DELAY: Duration = Duration::from_millis(4);
const ORDER_DELAY: Duration = Duration::from_millis(2);
const WATCH_DELAY: Duration = Duration::from_millis(6);
const WATCH_RETRY: Duration = Duration::from_millis(300);
const TICK: Duration = Duration::from_millis(5);

/// Result of a call, as received by the node that made it.
enum Answer {
    LeaseRead(Freshness, ReadResult<CoordinatorLease>),
    LeaseWrite(CoordinatorLease, WriteResult<CoordinatorLease>),
    RecordRead(ReadResult<OwnershipRecord>),
    RecordWrite(OwnershipRecord, WriteResult<OwnershipRecord>),
    Order(Order, Result<OrderReply, OrderFault>),
}

/// A scheduled event of the simulation.
enum Event {
    /// A result arrives at one process of a node.
    Answer(usize, u64, Box<Answer>),
    /// A write reaches the store after its caller has timed out.
    LateLease(
        CoordinatorLease,
        threadledge_coordination::action::Condition,
    ),
    LateRecord(OwnershipRecord, threadledge_coordination::action::Condition),
    /// An order reaches its back end before its caller has timed out.
    DelayedOrder(usize, u64, Order, Timestamp),
    /// An order reaches its back end, and its answer reaches nobody.
    UnansweredOrder(Order),
    /// An order reaches its back end after its caller has timed out.
    LateOrder(Order),
    /// The watch of one process of a node reports the record.
    Observed(usize, u64),
}

/// A simulated node with its faults.
pub struct Node {
    pub coordinator: Coordinator,
    pub incarnation: u64,
    /// True if the back ends have changed since the node was last notified.
    pub back_ends_changed: bool,
    pub up: bool,
    pub frozen_until: Timestamp,
    /// Time until which the node cannot reach the store.
    pub unreachable_until: Timestamp,
}

/// Probabilities of faults, in thousandths.
#[derive(Clone, Copy, Debug, Default)]
pub struct FaultChances {
    pub write_lost: u32,
    pub write_late: u32,
    pub order_lost: u32,
    pub order_late: u32,
    /// An order is in transit for some of its timeout.
    pub order_delayed: u32,
    /// An order is executed and its connection ends without the answer.
    pub answer_lost: u32,
    /// The connection to the node that forwards an order ends, while that node
    /// sends it on until its deadline.
    pub forwarder_lost: u32,
    /// A back end begins to work on a request, in each tick.
    pub work: u32,
}

/// The simulated deployment and its virtual clock.
pub struct World {
    pub now: Timestamp,
    pub settings: Settings,
    pub nodes: Vec<Node>,
    pub back_ends: BTreeMap<BackEndName, ModelBackEnd>,
    /// The back ends registered at the store.
    pub registered: BTreeMap<BackEndName, BackEnd>,
    pub chances: FaultChances,
    pub store_down_until: Timestamp,
    random: ChaCha8Rng,
    lease: Object<CoordinatorLease>,
    record: Object<OwnershipRecord>,
    revision: u64,
    queue: BTreeMap<(Timestamp, u64), Event>,
    next: u64,
    registrations: u64,
    /// True if the names of back ends include their start times, so that they
    /// can restart under their ids.
    restartable: bool,
    /// True if nodes and back ends are spread over two regions.
    pub two_regions: bool,
    checker: Checker,
    /// Number of assignments reported by coordinators.
    pub moves: u64,
    watched_revision: u64,
    /// Notices of coordinators, for messages of failed checks.
    pub notices: Vec<String>,
}

impl World {
    pub fn new(seed: u64, nodes: usize, back_ends: usize) -> Self {
        World::with_settings(seed, nodes, back_ends, Settings::default(), false)
    }

    /// Like [`World::new`], with back ends that can restart under their ids if
    /// `restartable` is true.
    pub fn with_settings(
        seed: u64,
        nodes: usize,
        back_ends: usize,
        settings: Settings,
        restartable: bool,
    ) -> Self {
        let mut world = World::without_back_ends(seed);
        world.restartable = restartable;
        world.settings = settings;
        world.start(nodes, back_ends);
        world
    }

    /// Like [`World::new`], with nodes and back ends spread over two regions.
    pub fn in_two_regions(seed: u64, nodes: usize, back_ends: usize) -> Self {
        let mut world = World::without_back_ends(seed);
        world.two_regions = true;
        world.start(nodes, back_ends);
        world
    }

    /// Like [`World::settled`], with back ends that can restart under their
    /// ids.
    pub fn settled_with_restarts(seed: u64) -> Self {
        let mut world = World::with_settings(seed, 3, 6, Settings::default(), true);
        let took = world.until_served(Duration::from_secs(5));
        assert!(took.is_some(), "not served after a start from nothing");
        world
    }

    fn without_back_ends(seed: u64) -> Self {
        World {
            now: Timestamp::from_millis(1_000),
            settings: Settings::default(),
            nodes: Vec::new(),
            back_ends: BTreeMap::new(),
            registered: BTreeMap::new(),
            chances: FaultChances::default(),
            store_down_until: Timestamp::ZERO,
            random: ChaCha8Rng::seed_from_u64(seed),
            lease: Object::default(),
            record: Object::default(),
            revision: 1,
            queue: BTreeMap::new(),
            next: 0,
            registrations: 0,
            restartable: false,
            two_regions: false,
            checker: Checker::default(),
            moves: 0,
            watched_revision: 0,
            notices: Vec::new(),
        }
    }

    fn start(&mut self, nodes: usize, back_ends: usize) {
        for index in 0..back_ends {
            self.add_back_end(u16::try_from(index).expect("back end index fits into u16"));
        }
        for index in 0..nodes {
            self.start_node(index);
        }
    }

    /// Creates three nodes and six back ends and runs until every key is
    /// served.
    pub fn settled(seed: u64) -> Self {
        let mut world = World::new(seed, 3, 6);
        let took = world.until_served(Duration::from_secs(5));
        assert!(took.is_some(), "not served after a start from nothing");
        world
    }

    pub fn random(&mut self, below: u32) -> u32 {
        self.random.random_range(0..below)
    }

    fn chance(&mut self, thousandths: u32) -> bool {
        self.random(1_000) < thousandths
    }

    /// Like [`World::chance`], without a random draw if the probability is zero.
    fn chance_if_set(&mut self, thousandths: u32) -> bool {
        thousandths > 0 && self.chance(thousandths)
    }

    pub fn start_node(&mut self, index: usize) {
        let incarnation = self.nodes.get(index).map_or(1, |node| node.incarnation + 1);
        let me = NodeIdentity {
            node: MachineName(format!("node-{index}")),
            incarnation: Incarnation(incarnation),
            address: None,
        };
        let patience = Duration::from_millis(u64::from(self.random(300)));
        let service = ServiceName::from(SERVICE);
        let mut settings = self.settings.clone();
        if self.two_regions {
            settings.near_zones = Some([zone(index)].into());
        }
        let mut coordinator = Coordinator::new(me, service, settings, patience);
        coordinator.set_candidate(true);
        let node = Node {
            coordinator,
            incarnation,
            back_ends_changed: true,
            up: true,
            frozen_until: Timestamp::ZERO,
            unreachable_until: Timestamp::ZERO,
        };
        if index < self.nodes.len() {
            self.nodes[index] = node;
        } else {
            self.nodes.push(node);
        }
    }

    /// Starts a back end that has not registered yet.
    pub fn add_unregistered_back_end(&mut self, address: u16) -> BackEndName {
        let name = self.add_back_end(address);
        self.registered.remove(&name);
        self.notify_back_ends();
        name
    }

    /// Starts a back end at the address with this number.
    pub fn add_back_end(&mut self, address: u16) -> BackEndName {
        self.registrations += 1;
        let id = format!("b{address}-{}", self.registrations);
        let name = BackEndName::new(&id, self.restartable.then_some(1));
        let entry = BackEnd {
            name: name.clone(),
            service: ServiceName::from(SERVICE),
            address: std::net::SocketAddr::from(([10, 0, 0, 1], 1_000 + address)),
            zone: match self.two_regions {
                true => zone(address.into()),
                false => "zone".into(),
            },
            slots: 2,
            draining: false,
            cold_for: Duration::ZERO,
            registration: self.registrations,
        };
        let slow = self.random(3);
        self.registered.insert(name.clone(), entry.clone());
        self.back_ends
            .insert(name.clone(), ModelBackEnd::new(entry, slow));
        self.notify_back_ends();
        name
    }

    /// Crashes a back end and restarts it under its id at once. Its
    /// registration changes after `registration_delay`.
    pub fn restart_back_end(
        &mut self,
        name: &BackEndName,
        registration_delay: Duration,
    ) -> BackEndName {
        let ended = self.back_ends.get_mut(name).expect("known");
        ended.crash();
        let mut entry = ended.entry.clone();
        let started = name.started_ms().unwrap_or_default() + 1;
        entry.name = BackEndName::new(name.id(), Some(started));
        let restarted = entry.name.clone();
        let slow = self.random(3);
        self.back_ends
            .insert(restarted.clone(), ModelBackEnd::new(entry.clone(), slow));
        self.run(registration_delay);
        self.registered.remove(name);
        self.registered.insert(restarted.clone(), entry);
        self.notify_back_ends();
        restarted
    }

    /// Starts a back end that is cold for a while.
    pub fn add_cold_back_end(&mut self, address: u16, cold_for: Duration) -> BackEndName {
        let name = self.add_back_end(address);
        if let Some(entry) = self.registered.get_mut(&name) {
            entry.cold_for = cold_for;
        }
        self.notify_back_ends();
        name
    }

    /// Applies the registration of a back end once more, whether the back end
    /// is running or not.
    pub fn register_again(&mut self, name: &BackEndName) {
        self.registrations += 1;
        let mut entry = self.back_ends[name].entry.clone();
        entry.registration = self.registrations;
        self.registered.insert(name.clone(), entry);
        self.notify_back_ends();
    }

    /// Registers a back end of another service at the address of `name`.
    pub fn register_elsewhere(&mut self, name: &BackEndName, service: &str) {
        self.registrations += 1;
        let mut entry = self.back_ends[name].entry.clone();
        entry.name = BackEndName::from(format!("{service}-{}", self.registrations));
        entry.service = ServiceName::from(service);
        entry.registration = self.registrations;
        self.registered.insert(entry.name.clone(), entry);
        self.notify_back_ends();
    }

    /// Notifies the nodes that need the registered back ends after a change.
    pub fn notify_back_ends(&mut self) {
        for index in 0..self.nodes.len() {
            self.nodes[index].back_ends_changed = true;
            self.notify_node(index);
        }
    }

    /// Notifies a node of the registered back ends if it needs them.
    fn notify_node(&mut self, index: usize) {
        let node = &mut self.nodes[index];
        if !node.up || !node.back_ends_changed || !node.coordinator.needs_back_ends() {
            return;
        }
        let back_ends: Vec<BackEnd> = self.registered.values().cloned().collect();
        node.coordinator.set_back_ends(self.now, &back_ends);
        node.back_ends_changed = false;
    }

    pub fn coordinator(&self) -> Option<usize> {
        let holder = self.lease.read()?.value.holder?;
        self.nodes.iter().position(|node| {
            let known = node.coordinator.last_seen_holder();
            node.up
                && node.coordinator.leading_term().is_some()
                && known.and_then(|(_, holder)| holder) == Some(&holder)
        })
    }

    pub fn view(&self) -> Option<OwnershipView> {
        self.record
            .read()
            .map(|found| OwnershipView::of(&found.value))
    }

    pub fn owner(&self, key: u16) -> Option<BackEndName> {
        match self.view()?.owner(ShardKey(key)).0 {
            KeyOwner::Owned(name) => Some(name.clone()),
            KeyOwner::Unowned => None,
        }
    }

    pub fn run(&mut self, duration: Duration) {
        let end = self.now + duration;
        while self.now < end {
            self.step();
        }
    }

    /// Advances by one tick: delivers results, polls the nodes and checks the
    /// invariants.
    pub fn step(&mut self) {
        self.now = self.now + TICK;
        while let Some(entry) = self.queue.first_entry() {
            if entry.key().0 > self.now {
                break;
            }
            let event = entry.remove();
            self.handle_event(event);
        }
        for index in 0..self.nodes.len() {
            self.poll(index);
        }
        self.schedule_watches();
        let now = self.now;
        for back_end in self.back_ends.values_mut() {
            back_end.expire(now);
            if self.chances.work > 0 && back_end.up {
                back_end.begin_work(now, self.chances.work, &mut self.random);
            }
        }
        if let Err(violation) = Checker::holders(self.back_ends.values()) {
            panic!("at {now:?}: {violation:?}; record {:?}", self.record.read());
        }
    }

    /// Schedules the watches of all nodes to report the record after a change.
    fn schedule_watches(&mut self) {
        let revision = self.record.read().map_or(0, |found| found.revision);
        if revision == self.watched_revision {
            return;
        }
        self.watched_revision = revision;
        for index in 0..self.nodes.len() {
            let incarnation = self.nodes[index].incarnation;
            self.push(self.now + WATCH_DELAY, Event::Observed(index, incarnation));
        }
    }

    fn observed(&mut self, index: usize, incarnation: u64) {
        let silent = !self.store_answers(index);
        let now = self.now;
        let node = &mut self.nodes[index];
        if !node.up || node.incarnation != incarnation {
            return;
        }
        if silent || now < node.frozen_until {
            let later = now + WATCH_RETRY;
            self.push(later, Event::Observed(index, incarnation));
            return;
        }
        if let Some(found) = self.record.read() {
            node.coordinator.on_record_observed(now, found);
        }
    }

    fn poll(&mut self, index: usize) {
        self.notify_node(index);
        let now = self.now;
        let node = &mut self.nodes[index];
        if !node.up || now < node.frozen_until {
            return;
        }
        let actions = node.coordinator.poll(now);
        // A caller that waits for the next wake time must not spin.
        let again = node.coordinator.poll(now);
        assert!(again.is_empty(), "more to do at once: {again:?}");
        let wake = node.coordinator.next_wake(now);
        assert!(wake > now, "it wakes at {wake:?} and it is {now:?}");
        for notice in node.coordinator.take_notices() {
            self.notices
                .push(format!("{now:?} node {index}: {notice:?}"));
            if matches!(notice, threadledge_coordination::Notice::Assigned { .. }) {
                self.moves += 1;
            }
        }
        for action in actions {
            self.call(index, action);
        }
    }

    fn push(&mut self, at: Timestamp, event: Event) {
        self.next += 1;
        self.queue.insert((at, self.next), event);
    }

    fn answer(&mut self, index: usize, after: Duration, answer: Answer) {
        let incarnation = self.nodes[index].incarnation;
        let at = self.now + after;
        self.push(at, Event::Answer(index, incarnation, Box::new(answer)));
    }

    fn store_answers(&self, index: usize) -> bool {
        self.now >= self.store_down_until && self.now >= self.nodes[index].unreachable_until
    }

    /// Makes a call of a node and schedules its result.
    fn call(&mut self, index: usize, action: Action) {
        let silent = !self.store_answers(index);
        let call_timeout = Duration::from_secs(1);
        match action {
            Action::ReadLease(freshness) if silent => {
                self.answer(
                    index,
                    call_timeout,
                    Answer::LeaseRead(freshness, ReadResult::Failed),
                );
            }
            Action::ReadLease(freshness) => {
                let found = ReadResult::Found(self.lease.read());
                self.answer(index, STORE_DELAY, Answer::LeaseRead(freshness, found));
            }
            Action::ReadRecord if silent => {
                self.answer(index, call_timeout, Answer::RecordRead(ReadResult::Failed));
            }
            Action::ReadRecord => {
                let found = ReadResult::Found(self.record.read());
                self.answer(index, STORE_DELAY, Answer::RecordRead(found));
            }
            Action::WriteLease(lease, condition) => {
                if silent || self.chance(self.chances.write_lost) {
                    if !silent {
                        let mut revision = self.revision;
                        let _ = self.lease.write(&mut revision, lease.clone(), condition);
                        self.revision = revision;
                    }
                    self.answer(
                        index,
                        call_timeout,
                        Answer::LeaseWrite(lease, WriteResult::Unknown),
                    );
                } else if self.chance(self.chances.write_late) {
                    let at = self.now + self.late_delay();
                    self.push(at, Event::LateLease(lease.clone(), condition));
                    self.answer(
                        index,
                        call_timeout,
                        Answer::LeaseWrite(lease, WriteResult::Unknown),
                    );
                } else {
                    let mut revision = self.revision;
                    let result = self.lease.write(&mut revision, lease.clone(), condition);
                    self.revision = revision;
                    self.answer(index, STORE_DELAY, Answer::LeaseWrite(lease, result));
                }
            }
            Action::WriteRecord(record, condition) => {
                assert_eq!(record.check(), Ok(()), "{record:?}");
                if silent || self.chance(self.chances.write_lost) {
                    if !silent {
                        let mut revision = self.revision;
                        let _ = self.record.write(&mut revision, record.clone(), condition);
                        self.revision = revision;
                    }
                    let unknown = Answer::RecordWrite(record, WriteResult::Unknown);
                    self.answer(index, call_timeout, unknown);
                } else if self.chance(self.chances.write_late) {
                    let at = self.now + self.late_delay();
                    self.push(at, Event::LateRecord(record.clone(), condition));
                    let unknown = Answer::RecordWrite(record, WriteResult::Unknown);
                    self.answer(index, call_timeout, unknown);
                } else {
                    let mut revision = self.revision;
                    let result = self.record.write(&mut revision, record.clone(), condition);
                    self.revision = revision;
                    self.answer(index, STORE_DELAY, Answer::RecordWrite(record, result));
                }
            }
            Action::Send(order) => self.send(index, order),
        }
    }

    /// Returns a delay of one to six seconds.
    fn late_delay(&mut self) -> Duration {
        Duration::from_millis(1_000 + u64::from(self.random(5_000)))
    }

    /// Delivers an order, or lets it fail, be lost or arrive late.
    fn send(&mut self, index: usize, order: Order) {
        let timeout = order.timeout;
        let now = self.now;
        if self.is_reset(&order) {
            let failed = Answer::Order(order, Err(OrderFault::NoAnswer));
            self.answer(index, ORDER_DELAY, failed);
            return;
        }
        let process = self.process_at(&order);
        let reachable = process.and_then(|name| self.back_ends.get(&name));
        if !reachable.is_some_and(|back_end| back_end.reachable(now, index)) {
            let failed = Answer::Order(order, Err(OrderFault::NotSent));
            self.answer(index, Duration::from_millis(400), failed);
            return;
        }
        let unresponsive = reachable.is_some_and(|back_end| now < back_end.unresponsive_until);
        let lost = !unresponsive && self.chance(self.chances.order_lost);
        let late = unresponsive || (!lost && self.chance(self.chances.order_late));
        if late {
            let at = now + self.late_delay() * 2;
            self.push(at, Event::LateOrder(order.clone()));
        }
        if lost || late {
            let failed = Answer::Order(order, Err(OrderFault::NoAnswer));
            self.answer(index, timeout, failed);
            return;
        }
        if self.chance_if_set(self.chances.forwarder_lost) {
            self.lose_forwarder(index, order);
            return;
        }
        if self.chance_if_set(self.chances.order_delayed) {
            let delay = timeout * self.random(1_000) / 1_000;
            let incarnation = self.nodes[index].incarnation;
            let end = now + timeout;
            let event = Event::DelayedOrder(index, incarnation, order, end);
            self.push(now + delay, event);
            return;
        }
        self.answer_order(index, order, now + timeout);
    }

    /// Ends the connection to the node that forwards an order, which does not
    /// learn of it.
    fn lose_forwarder(&mut self, index: usize, order: Order) {
        let timeout = order.timeout;
        let arrival = self.now + timeout * self.random(1_000) / 1_000;
        self.push(arrival, Event::UnansweredOrder(order.clone()));
        // The sender waits until a grant can no longer be sent on.
        let after = match order.kind {
            OrderKind::Grant(_) => timeout,
            OrderKind::Release => timeout * self.random(1_000) / 1_000,
        };
        let failed = Answer::Order(order, Err(OrderFault::NoAnswer));
        self.answer(index, after, failed);
    }

    /// Executes an order that arrives in time and schedules its result. A
    /// release is answered once the work on its keys has ended. The sender
    /// closes the connection at `end`.
    fn answer_order(&mut self, index: usize, order: Order, end: Timestamp) {
        let now = self.now;
        let process = self.process_at(&order);
        let left = end.since(now);
        if process.is_none() {
            let failed = Answer::Order(order, Err(OrderFault::NoAnswer));
            self.answer(index, left, failed);
            return;
        }
        let reply = self.execute_order(&order, false);
        let mut took = ORDER_DELAY;
        if let (Some(name), OrderReply::Released(_)) = (process, &reply) {
            let work = &self.back_ends[&name].work;
            took += work
                .end(order.range)
                .map_or(Duration::ZERO, |end| end.since(now));
        }
        if self.chance_if_set(self.chances.answer_lost) {
            let after = took.min(left) * self.random(1_000) / 1_000;
            let failed = Answer::Order(order, Err(OrderFault::NoAnswer));
            self.answer(index, after, failed);
        } else if took > left {
            let failed = Answer::Order(order, Err(OrderFault::NoAnswer));
            self.answer(index, left, failed);
        } else {
            self.answer(index, took, Answer::Order(order, Ok(reply)));
        }
    }

    /// Returns whether the connection of an order is reset at once.
    fn is_reset(&self, order: &Order) -> bool {
        let reset = |back_end: &ModelBackEnd| {
            back_end.entry.address == order.to.address && self.now < back_end.reset_until
        };
        self.back_ends.values().any(reset)
    }

    /// Returns the process that runs at the address of an order.
    fn process_at(&self, order: &Order) -> Option<BackEndName> {
        let mut up = self.back_ends.values().filter(|back_end| back_end.up);
        let process = up.find(|back_end| back_end.entry.address == order.to.address)?;
        Some(process.entry.name.clone())
    }

    fn execute_order(&mut self, order: &Order, late: bool) -> OrderReply {
        let now = self.now;
        // An order names an id, so every process of the back end accepts it.
        let target = match self.process_at(order) {
            Some(name) if name.id() != order.to.name.id() => return OrderReply::OtherProcess,
            Some(name) => name,
            None => order.to.name.clone(),
        };
        let Some(back_end) = self.back_ends.get_mut(&target) else {
            return OrderReply::Malformed;
        };
        let reply = back_end.execute(now, order, late);
        if reply == OrderReply::Granted && !late {
            let checked = self.checker.granted(order);
            assert_eq!(checked, Ok(()), "at {now:?} by {order:?}");
            let given = Checker::given(now, &target, order.range, self.back_ends.values());
            assert_eq!(
                given,
                Ok(()),
                "at {now:?} by {order:?}: {}",
                self.diagnostics()
            );
        }
        reply
    }

    /// Executes an order whose sender does not wait any more.
    fn execute_unanswered(&mut self, order: &Order) {
        if self.process_at(order).is_some() {
            self.execute_order(order, false);
        }
    }

    fn handle_event(&mut self, event: Event) {
        let now = self.now;
        match event {
            Event::Answer(index, incarnation, answer) => {
                let node = &mut self.nodes[index];
                if !node.up || node.incarnation != incarnation {
                    return;
                }
                if now < node.frozen_until {
                    let at = node.frozen_until;
                    self.push(at, Event::Answer(index, incarnation, answer));
                    return;
                }
                self.deliver(index, *answer);
            }
            Event::LateLease(lease, condition) => {
                let mut revision = self.revision;
                let _ = self.lease.write(&mut revision, lease, condition);
                self.revision = revision;
            }
            Event::LateRecord(record, condition) => {
                let mut revision = self.revision;
                let _ = self.record.write(&mut revision, record, condition);
                self.revision = revision;
            }
            Event::Observed(index, incarnation) => self.observed(index, incarnation),
            Event::DelayedOrder(index, incarnation, order, end) => {
                if self.nodes[index].incarnation == incarnation {
                    self.answer_order(index, order, end);
                } else {
                    self.execute_unanswered(&order);
                }
            }
            Event::UnansweredOrder(order) => self.execute_unanswered(&order),
            Event::LateOrder(order) => {
                let up = self.back_ends.get(&order.to.name);
                if up.is_some_and(|back_end| back_end.up) {
                    self.execute_order(&order, true);
                }
            }
        }
    }

    fn deliver(&mut self, index: usize, answer: Answer) {
        let now = self.now;
        let coordinator = &mut self.nodes[index].coordinator;
        let next = match answer {
            Answer::LeaseRead(freshness, result) => {
                coordinator.on_lease_read(now, freshness, result);
                None
            }
            Answer::LeaseWrite(lease, result) => {
                coordinator.on_lease_write(now, lease, result);
                None
            }
            Answer::RecordRead(result) => coordinator.on_record_read(now, result),
            Answer::RecordWrite(record, result) => {
                coordinator.on_record_write(now, record, result);
                None
            }
            Answer::Order(order, result) => {
                coordinator.on_order(now, &order, result);
                None
            }
        };
        if let Some(action) = next {
            self.call(index, action);
        }
    }

    /// Returns whether every key is owned by a running back end that holds it.
    pub fn all_served(&self) -> bool {
        let Some(view) = self.view() else {
            return false;
        };
        (0..=u16::MAX).step_by(128).all(|key| {
            let KeyOwner::Owned(name) = view.owner(ShardKey(key)).0 else {
                return false;
            };
            let back_end = &self.back_ends[name];
            let holds = |range: KeyRange| range.contains(ShardKey(key));
            back_end.up && back_end.holds.iter().any(|hold| holds(hold.range))
        })
    }

    /// Returns the latest notices of coordinators and the keys that are not
    /// served.
    pub fn diagnostics(&self) -> String {
        let from = self.notices.len().saturating_sub(25);
        let mut diagnostics = self.notices[from..].join("\n");
        for key in (0..=u16::MAX).step_by(1_024) {
            let owner = self.owner(key);
            let back_end = owner.as_ref().map(|name| &self.back_ends[name]);
            let held = back_end.is_some_and(|back_end| {
                let holds = back_end.holds.iter();
                back_end.up
                    && holds
                        .into_iter()
                        .any(|hold| hold.range.contains(ShardKey(key)))
            });
            if !held {
                diagnostics.push_str(&format!("\n{key} of {owner:?}: {back_end:?}"));
            }
        }
        format!("at {:?}\n{diagnostics}", self.now)
    }

    /// Runs until every key is served and returns how call_timeout that took.
    pub fn until_served(&mut self, longest: Duration) -> Option<Duration> {
        let start = self.now;
        while self.now.since(start) < longest {
            if self.all_served() {
                return Some(self.now.since(start));
            }
            self.step();
        }
        None
    }
}

/// Returns the zone of one of two regions, by the number of a node or address.
fn zone(number: usize) -> ZoneName {
    match number % 2 {
        0 => "zone-a".into(),
        _ => "zone-b".into(),
    }
}
