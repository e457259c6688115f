//! Nodes, a store and back ends in one virtual time.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use threadledge_coordination::action::{Action, Freshness, ReadResult, WriteResult};
use threadledge_coordination::{
    Coordinator, CoordinatorLease, KeyOwner, NodeIdentity, Order, OrderFault, OrderReply,
    OwnershipRecord, OwnershipView, Settings,
};
use threadledge_types::deployment::{BackEnd, BackEndName, KeyRange, ServiceName, ShardKey};
use threadledge_types::{Incarnation, MachineName, Timestamp};

use super::back_end::ModelBackEnd;
use super::checker::Checker;
use super::store::Object;

pub const SERVICE: &str = "service";
const STORE_DELAY: Duration = Duration::from_millis(4);
const ORDER_DELAY: Duration = Duration::from_millis(2);
const WATCH_DELAY: Duration = Duration::from_millis(6);
const WATCH_RETRY: Duration = Duration::from_millis(300);
const TICK: Duration = Duration::from_millis(5);

/// How a call ended at the node that made it.
enum Answer {
    LeaseRead(Freshness, ReadResult<CoordinatorLease>),
    LeaseWrite(CoordinatorLease, WriteResult<CoordinatorLease>),
    RecordRead(ReadResult<OwnershipRecord>),
    RecordWrite(OwnershipRecord, WriteResult<OwnershipRecord>),
    Order(Order, Result<OrderReply, OrderFault>),
}

enum Happening {
    /// An answer arrives at one life of a node.
    Answer(usize, u64, Box<Answer>),
    /// A write reaches the store after its caller gave up.
    LateLease(
        CoordinatorLease,
        threadledge_coordination::action::Condition,
    ),
    LateRecord(OwnershipRecord, threadledge_coordination::action::Condition),
    /// An order reaches its back end after its caller gave up.
    LateOrder(Order),
    /// The watches of one life of a node tell the record.
    Observed(usize, u64),
}

pub struct Node {
    pub coordinator: Coordinator,
    pub life: u64,
    /// The back ends changed since it was told of them.
    pub untold: bool,
    pub up: bool,
    pub frozen_until: Timestamp,
    /// The store cannot be reached before then.
    pub cut_until: Timestamp,
}

/// Chances of faults, in thousandths.
#[derive(Clone, Copy, Debug, Default)]
pub struct Chances {
    pub write_lost: u32,
    pub write_late: u32,
    pub order_lost: u32,
    pub order_late: u32,
}

pub struct World {
    pub now: Timestamp,
    pub settings: Settings,
    pub nodes: Vec<Node>,
    pub back_ends: BTreeMap<BackEndName, ModelBackEnd>,
    /// What is registered at the store.
    pub registered: BTreeMap<BackEndName, BackEnd>,
    pub chances: Chances,
    pub store_down_until: Timestamp,
    random: ChaCha8Rng,
    lease: Object<CoordinatorLease>,
    record: Object<OwnershipRecord>,
    revision: u64,
    queue: BTreeMap<(Timestamp, u64), Happening>,
    next: u64,
    registrations: u64,
    /// Back ends say when they started, and may start again under their ids.
    lives: bool,
    checker: Checker,
    pub moves: u64,
    told_revision: u64,
    /// What coordinators told, for messages of failed checks.
    pub told: Vec<String>,
}

impl World {
    pub fn new(seed: u64, nodes: usize, back_ends: usize) -> Self {
        let mut world = World::without_back_ends(seed);
        world.start(nodes, back_ends);
        world
    }

    /// As [`World::settled`], of back ends that may start again under their
    /// ids.
    pub fn settled_with_lives(seed: u64) -> Self {
        let mut world = World::without_back_ends(seed);
        world.lives = true;
        world.start(3, 6);
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
            chances: Chances::default(),
            store_down_until: Timestamp::ZERO,
            random: ChaCha8Rng::seed_from_u64(seed),
            lease: Object::default(),
            record: Object::default(),
            revision: 1,
            queue: BTreeMap::new(),
            next: 0,
            registrations: 0,
            lives: false,
            checker: Checker::default(),
            moves: 0,
            told_revision: 0,
            told: Vec::new(),
        }
    }

    fn start(&mut self, nodes: usize, back_ends: usize) {
        for index in 0..back_ends {
            self.add_back_end(u16::try_from(index).expect("few back ends"));
        }
        for index in 0..nodes {
            self.start_node(index);
        }
    }

    /// Three nodes and six back ends once every key is served.
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

    pub fn start_node(&mut self, index: usize) {
        let life = self.nodes.get(index).map_or(1, |node| node.life + 1);
        let me = NodeIdentity {
            node: MachineName(format!("node-{index}")),
            incarnation: Incarnation(life),
            address: None,
        };
        let patience = Duration::from_millis(u64::from(self.random(300)));
        let service = ServiceName::from(SERVICE);
        let mut coordinator = Coordinator::new(me, service, self.settings.clone(), patience);
        coordinator.set_candidate(true);
        let node = Node {
            coordinator,
            life,
            untold: true,
            up: true,
            frozen_until: Timestamp::ZERO,
            cut_until: Timestamp::ZERO,
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
        self.tell_back_ends();
        name
    }

    /// Starts a back end at the address with this number.
    pub fn add_back_end(&mut self, address: u16) -> BackEndName {
        self.registrations += 1;
        let id = format!("b{address}-{}", self.registrations);
        let name = BackEndName::new(&id, self.lives.then_some(1));
        let entry = BackEnd {
            name: name.clone(),
            service: ServiceName::from(SERVICE),
            address: std::net::SocketAddr::from(([10, 0, 0, 1], 1_000 + address)),
            zone: "zone".into(),
            slots: 2,
            draining: false,
            cold_for: Duration::ZERO,
            registration: self.registrations,
        };
        let slow = self.random(3);
        self.registered.insert(name.clone(), entry.clone());
        self.back_ends
            .insert(name.clone(), ModelBackEnd::new(entry, slow));
        self.tell_back_ends();
        name
    }

    /// A back end crashes and starts again under its id at once. Its
    /// registration tells so after `untold`.
    pub fn restart_back_end(&mut self, name: &BackEndName, untold: Duration) -> BackEndName {
        let ended = self.back_ends.get_mut(name).expect("known");
        ended.crash();
        let mut entry = ended.entry.clone();
        let started = name.started_ms().unwrap_or_default() + 1;
        entry.name = BackEndName::new(name.id(), Some(started));
        let life = entry.name.clone();
        let slow = self.random(3);
        self.back_ends
            .insert(life.clone(), ModelBackEnd::new(entry.clone(), slow));
        self.run(untold);
        self.registered.remove(name);
        self.registered.insert(life.clone(), entry);
        self.tell_back_ends();
        life
    }

    /// Starts a back end that is cold for a while.
    pub fn add_cold_back_end(&mut self, address: u16, cold_for: Duration) -> BackEndName {
        let name = self.add_back_end(address);
        if let Some(entry) = self.registered.get_mut(&name) {
            entry.cold_for = cold_for;
        }
        self.tell_back_ends();
        name
    }

    /// The registration of a back end takes effect once more, whether it runs
    /// or not.
    pub fn register_again(&mut self, name: &BackEndName) {
        self.registrations += 1;
        let mut entry = self.back_ends[name].entry.clone();
        entry.registration = self.registrations;
        self.registered.insert(name.clone(), entry);
        self.tell_back_ends();
    }

    /// A back end of another service is registered at the address of `name`.
    pub fn register_elsewhere(&mut self, name: &BackEndName, service: &str) {
        self.registrations += 1;
        let mut entry = self.back_ends[name].entry.clone();
        entry.name = BackEndName::from(format!("{service}-{}", self.registrations));
        entry.service = ServiceName::from(service);
        entry.registration = self.registrations;
        self.registered.insert(entry.name.clone(), entry);
        self.tell_back_ends();
    }

    /// What is registered changed: nodes that decide by it are told at once.
    pub fn tell_back_ends(&mut self) {
        for index in 0..self.nodes.len() {
            self.nodes[index].untold = true;
            self.tell_node(index);
        }
    }

    /// Tells a node what is registered, once it decides by it.
    fn tell_node(&mut self, index: usize) {
        let node = &mut self.nodes[index];
        if !node.up || !node.untold || !node.coordinator.needs_back_ends() {
            return;
        }
        let back_ends: Vec<BackEnd> = self.registered.values().cloned().collect();
        node.coordinator.set_back_ends(self.now, &back_ends);
        node.untold = false;
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

    /// One tick: deliver, poll, check.
    pub fn step(&mut self) {
        self.now = self.now + TICK;
        while let Some(entry) = self.queue.first_entry() {
            if entry.key().0 > self.now {
                break;
            }
            let happening = entry.remove();
            self.happen(happening);
        }
        for index in 0..self.nodes.len() {
            self.poll(index);
        }
        self.tell_record();
        let now = self.now;
        for back_end in self.back_ends.values_mut() {
            back_end.expire(now);
        }
        if let Err(violation) = Checker::holders(self.back_ends.values()) {
            panic!("at {now:?}: {violation:?}; record {:?}", self.record.read());
        }
    }

    /// Lets the watches of all nodes tell the record when it has changed.
    fn tell_record(&mut self) {
        let revision = self.record.read().map_or(0, |found| found.revision);
        if revision == self.told_revision {
            return;
        }
        self.told_revision = revision;
        for index in 0..self.nodes.len() {
            let life = self.nodes[index].life;
            self.push(self.now + WATCH_DELAY, Happening::Observed(index, life));
        }
    }

    fn observed(&mut self, index: usize, life: u64) {
        let silent = !self.store_answers(index);
        let now = self.now;
        let node = &mut self.nodes[index];
        if !node.up || node.life != life {
            return;
        }
        if silent || now < node.frozen_until {
            let later = now + WATCH_RETRY;
            self.push(later, Happening::Observed(index, life));
            return;
        }
        if let Some(found) = self.record.read() {
            node.coordinator.on_record_observed(now, found);
        }
    }

    fn poll(&mut self, index: usize) {
        self.tell_node(index);
        let now = self.now;
        let node = &mut self.nodes[index];
        if !node.up || now < node.frozen_until {
            return;
        }
        let actions = node.coordinator.poll(now);
        // A shell that waits for the next wake must not spin.
        let again = node.coordinator.poll(now);
        assert!(again.is_empty(), "more to do at once: {again:?}");
        let wake = node.coordinator.next_wake(now);
        assert!(wake > now, "it wakes at {wake:?} and it is {now:?}");
        for notice in node.coordinator.take_notices() {
            self.told.push(format!("{now:?} node {index}: {notice:?}"));
            if matches!(notice, threadledge_coordination::Notice::Assigned { .. }) {
                self.moves += 1;
            }
        }
        for action in actions {
            self.call(index, action);
        }
    }

    fn push(&mut self, at: Timestamp, happening: Happening) {
        self.next += 1;
        self.queue.insert((at, self.next), happening);
    }

    fn answer(&mut self, index: usize, after: Duration, answer: Answer) {
        let life = self.nodes[index].life;
        let at = self.now + after;
        self.push(at, Happening::Answer(index, life, Box::new(answer)));
    }

    fn store_answers(&self, index: usize) -> bool {
        self.now >= self.store_down_until && self.now >= self.nodes[index].cut_until
    }

    fn call(&mut self, index: usize, action: Action) {
        let silent = !self.store_answers(index);
        let long = Duration::from_secs(1);
        match action {
            Action::ReadLease(freshness) if silent => {
                self.answer(
                    index,
                    long,
                    Answer::LeaseRead(freshness, ReadResult::Failed),
                );
            }
            Action::ReadLease(freshness) => {
                let found = ReadResult::Found(self.lease.read());
                self.answer(index, STORE_DELAY, Answer::LeaseRead(freshness, found));
            }
            Action::ReadRecord if silent => {
                self.answer(index, long, Answer::RecordRead(ReadResult::Failed));
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
                    self.answer(index, long, Answer::LeaseWrite(lease, WriteResult::Unknown));
                } else if self.chance(self.chances.write_late) {
                    let at = self.now + self.late();
                    self.push(at, Happening::LateLease(lease.clone(), condition));
                    self.answer(index, long, Answer::LeaseWrite(lease, WriteResult::Unknown));
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
                    self.answer(index, long, unknown);
                } else if self.chance(self.chances.write_late) {
                    let at = self.now + self.late();
                    self.push(at, Happening::LateRecord(record.clone(), condition));
                    let unknown = Answer::RecordWrite(record, WriteResult::Unknown);
                    self.answer(index, long, unknown);
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

    /// One to six seconds.
    fn late(&mut self) -> Duration {
        Duration::from_millis(1_000 + u64::from(self.random(5_000)))
    }

    fn send(&mut self, index: usize, order: Order) {
        let timeout = order.timeout;
        let now = self.now;
        let occupant = self.occupant(&order);
        let reachable = occupant.and_then(|name| self.back_ends.get(&name));
        if !reachable.is_some_and(|back_end| back_end.reachable(now, index)) {
            let failed = Answer::Order(order, Err(OrderFault::NotSent));
            self.answer(index, Duration::from_millis(400), failed);
            return;
        }
        let deaf = reachable.is_some_and(|back_end| now < back_end.deaf_until);
        let lost = !deaf && self.chance(self.chances.order_lost);
        let late = deaf || (!lost && self.chance(self.chances.order_late));
        if late {
            let at = now + self.late() * 2;
            self.push(at, Happening::LateOrder(order.clone()));
        }
        if lost || late {
            let failed = Answer::Order(order, Err(OrderFault::NoAnswer));
            self.answer(index, timeout, failed);
            return;
        }
        let reply = self.carry_out(&order, false);
        self.answer(index, ORDER_DELAY, Answer::Order(order, Ok(reply)));
    }

    /// The process that runs at the address to which an order goes.
    fn occupant(&self, order: &Order) -> Option<BackEndName> {
        let mut up = self.back_ends.values().filter(|back_end| back_end.up);
        let there = up.find(|back_end| back_end.entry.address == order.to.address)?;
        Some(there.entry.name.clone())
    }

    fn carry_out(&mut self, order: &Order, late: bool) -> OrderReply {
        let now = self.now;
        // An order names an id: each life of a back end takes it for its own.
        let taker = match self.occupant(order) {
            Some(name) if name.id() != order.to.name.id() => return OrderReply::OtherProcess,
            Some(name) => name,
            None => order.to.name.clone(),
        };
        let Some(back_end) = self.back_ends.get_mut(&taker) else {
            return OrderReply::Malformed;
        };
        let reply = back_end.take(now, order, late);
        if reply == OrderReply::Granted && !late {
            let checked = self.checker.granted(order);
            assert_eq!(checked, Ok(()), "at {now:?} by {order:?}");
        }
        reply
    }

    fn happen(&mut self, happening: Happening) {
        let now = self.now;
        match happening {
            Happening::Answer(index, life, answer) => {
                let node = &mut self.nodes[index];
                if !node.up || node.life != life {
                    return;
                }
                if now < node.frozen_until {
                    let at = node.frozen_until;
                    self.push(at, Happening::Answer(index, life, answer));
                    return;
                }
                self.deliver(index, *answer);
            }
            Happening::LateLease(lease, condition) => {
                let mut revision = self.revision;
                let _ = self.lease.write(&mut revision, lease, condition);
                self.revision = revision;
            }
            Happening::LateRecord(record, condition) => {
                let mut revision = self.revision;
                let _ = self.record.write(&mut revision, record, condition);
                self.revision = revision;
            }
            Happening::Observed(index, life) => self.observed(index, life),
            Happening::LateOrder(order) => {
                let up = self.back_ends.get(&order.to.name);
                if up.is_some_and(|back_end| back_end.up) {
                    self.carry_out(&order, true);
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

    /// Every key is owned by a back end that is up and holds it.
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

    /// The last that coordinators told, and the keys that are not served.
    pub fn story(&self) -> String {
        let from = self.told.len().saturating_sub(25);
        let mut story = self.told[from..].join("\n");
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
                story.push_str(&format!("\n{key} of {owner:?}: {back_end:?}"));
            }
        }
        format!("at {:?}\n{story}", self.now)
    }

    /// Runs until every key is served; says how long that took.
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
