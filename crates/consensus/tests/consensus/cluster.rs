//! Nodes on a simulated network with virtual time: messages are dropped,
//! delayed, repeated and reordered, links cut, processes paused and lost, and
//! each clock runs at its own rate. A seed fixes the whole run.

use std::collections::{BTreeMap, BTreeSet};

use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{Rng, SeedableRng};
use threadledge_consensus::{MemberChange, Message, Payload, Ready, Role, Settings};
use threadledge_types::{
    Generation, Incarnation, MachineName, RegionName, RouterId, RouterIdentity, Timestamp, Timing,
    ZoneName,
};

use crate::checker::{Checker, Digest, TestNode};

pub type TestMessage = Message<u64, Digest>;

/// One second of virtual time, in microseconds.
pub const SECOND: u64 = 1_000_000;
/// One millisecond of virtual time, in microseconds.
pub const MILLISECOND: u64 = 1_000;

pub fn identity(id: u64) -> RouterIdentity {
    RouterIdentity {
        id: RouterId(id),
        machine: MachineName(format!("m{id}")),
        incarnation: Incarnation(id),
        region: RegionName::from("r"),
        zone: ZoneName(format!("z{}", id % 3)),
        peer_address: ([127, 0, 0, 1], 1).into(),
        caller_address: ([127, 0, 0, 1], 2).into(),
    }
}

/// One process.
pub struct Process {
    pub node: TestNode,
    pub state: Digest,
    /// Clock rate in parts of a thousand.
    rate: u64,
    offset: u64,
    paused_until: u64,
    wake_at: u64,
}

impl Process {
    pub fn clock(&self, now: u64) -> Timestamp {
        Timestamp::from_micros(self.offset + now * self.rate / 1_000)
    }

    fn plan_wakeup(&mut self, now: u64) {
        let local = self.node.next_wakeup(self.clock(now)).as_micros();
        let real = local.saturating_sub(self.offset).saturating_mul(1_000) / self.rate;
        self.wake_at = real.max(now) + 1;
    }
}

/// A message that was taken off the network.
#[derive(Clone)]
pub struct Delayed((RouterId, TestMessage));

impl Delayed {
    pub fn sender(&self) -> RouterId {
        self.0.1.sender.id
    }
}

/// How the network treats messages, in parts of a thousand and microseconds.
#[derive(Clone, Copy)]
pub struct Faults {
    pub drop: u64,
    pub duplicate: u64,
    pub longest_delay: u64,
    /// Inputs after which the owner does not ask for what to carry out, but
    /// only after a later one.
    pub late_ready: u64,
}

const RELIABLE: Faults = Faults {
    drop: 0,
    duplicate: 0,
    longest_delay: 2 * MILLISECOND,
    late_ready: 0,
};
const SHORTEST_DELAY: u64 = 500;

pub struct Cluster {
    pub now: u64,
    pub settings: Settings,
    pub processes: BTreeMap<RouterId, Process>,
    pub checkers: BTreeMap<Generation, Checker>,
    pub faults: Faults,
    /// Links that are cut, by sender and receiver.
    pub cut: BTreeSet<(RouterId, RouterId)>,
    /// Messages on their way, by time of arrival and a serial number.
    pub in_flight: BTreeMap<(u64, u64), (RouterId, TestMessage)>,
    /// Messages of these kinds are lost while the test says so.
    pub lose: Option<fn(&TestMessage) -> bool>,
    pub messages_sent: u64,
    generator: ChaCha8Rng,
    serial: u64,
    next_id: u64,
}

impl Cluster {
    pub fn new(seed: u64) -> Self {
        let settings = Settings {
            compaction_threshold: 40,
            retained_entries: 10,
            max_batch_entries: 8,
            max_in_flight_batches: 4,
            max_uncommitted_entries: 64,
            timing: Timing::default(),
            ..Settings::default()
        };
        Cluster {
            now: 0,
            settings,
            processes: BTreeMap::new(),
            checkers: BTreeMap::new(),
            faults: RELIABLE,
            cut: BTreeSet::new(),
            in_flight: BTreeMap::new(),
            lose: None,
            messages_sent: 0,
            generator: ChaCha8Rng::seed_from_u64(seed),
            serial: 0,
            next_id: 1,
        }
    }

    /// A founded group that has grown to `voters` voters.
    pub fn with_voters(seed: u64, voters: usize) -> Self {
        let mut cluster = Cluster::new(seed);
        cluster.found(Generation(1), None);
        while cluster.leader().members().voters.len() < voters {
            let id = cluster.add_learner();
            cluster.promote(id);
        }
        cluster.run(SECOND / 2);
        cluster
    }

    /// A number below `bound`.
    pub fn draw(&mut self, bound: u64) -> u64 {
        self.generator.next_u64() % bound.max(1)
    }

    pub fn found(&mut self, generation: Generation, state: Option<Digest>) -> RouterId {
        self.start(|settings, identity, now| {
            TestNode::bootstrap(settings, identity, generation, state, now)
        })
    }

    pub fn join(&mut self) -> RouterId {
        self.start(TestNode::join)
    }

    fn start(
        &mut self,
        make: impl FnOnce(Settings, RouterIdentity, Timestamp) -> TestNode,
    ) -> RouterId {
        let id = RouterId(self.next_id);
        self.next_id += 1;
        let drift = self.settings.timing.drift_percent * 10;
        let rate = 1_000 + self.draw(drift + 1);
        let offset = 100 * SECOND + self.draw(100 * SECOND);
        let settings = Settings {
            seed: self.generator.next_u64(),
            ..self.settings.clone()
        };
        let clock = Timestamp::from_micros(offset + self.now * rate / 1_000);
        let process = Process {
            node: make(settings, identity(id.0), clock),
            state: Digest::default(),
            rate,
            offset,
            paused_until: 0,
            wake_at: self.now,
        };
        self.processes.insert(id, process);
        self.settle(id);
        id
    }

    pub fn node(&self, id: RouterId) -> &TestNode {
        &self.processes[&id].node
    }

    /// Calls `act` on a node with its clock, then carries out what it hands
    /// out.
    pub fn with<T>(&mut self, id: RouterId, act: impl FnOnce(&mut TestNode, Timestamp) -> T) -> T {
        let now = self.now;
        let process = self.processes.get_mut(&id).expect("a running process");
        let clock = process.clock(now);
        let result = act(&mut process.node, clock);
        process.plan_wakeup(now);
        if self.draw(1_000) >= self.faults.late_ready {
            self.settle(id);
        }
        result
    }

    /// The leader of the highest term, if any node leads.
    pub fn leader_id(&self) -> Option<RouterId> {
        let leaders = self.processes.values().map(|process| &process.node);
        leaders
            .filter(|node| node.role() == Role::Leader)
            .max_by_key(|node| (node.generation(), node.term()))
            .map(|node| node.identity().id)
    }

    pub fn leader(&self) -> &TestNode {
        self.node(self.leader_id().expect("a leader"))
    }

    pub fn propose(&mut self, command: u64) -> u64 {
        let leader = self.leader_id().expect("a leader");
        self.with(leader, |node, now| node.propose(now, command))
            .expect("proposal is taken")
    }

    pub fn change(&mut self, change: MemberChange) -> u64 {
        let leader = self.leader_id().expect("a leader");
        self.with(leader, |node, now| node.propose_member_change(now, change))
            .expect("member change is taken")
    }

    pub fn add_learner(&mut self) -> RouterId {
        let id = self.join();
        self.change(MemberChange::AddLearner(identity(id.0)));
        self.run(SECOND / 2);
        id
    }

    pub fn promote(&mut self, id: RouterId) {
        self.change(MemberChange::Promote(id));
        self.run(SECOND / 2);
    }

    /// Lets a process's clock run at `rate` thousandths from now on.
    pub fn set_clock_rate(&mut self, id: RouterId, rate: u64) {
        let now = self.now;
        let process = self.processes.get_mut(&id).expect("a running process");
        let reading = process.clock(now).as_micros();
        process.rate = rate;
        process.offset = reading - now * rate / 1_000;
    }

    /// Takes the first message for which `wanted` holds off the network.
    pub fn intercept(&mut self, wanted: impl Fn(RouterId, &TestMessage) -> bool) -> Delayed {
        let mut on_their_way = self.in_flight.iter();
        let found = on_their_way.find(|(_, (to, message))| wanted(*to, message));
        let key = *found.expect("such a message on its way").0;
        Delayed(self.in_flight.remove(&key).expect("the message"))
    }

    /// Puts a message on the network again, to arrive at once.
    pub fn release(&mut self, delayed: Delayed) {
        self.serial += 1;
        self.in_flight.insert((self.now, self.serial), delayed.0);
        self.run(MILLISECOND);
    }

    /// Ends a process for good.
    pub fn kill(&mut self, id: RouterId) {
        self.processes.remove(&id);
    }

    pub fn pause(&mut self, id: RouterId, until: u64) {
        let process = self.processes.get_mut(&id).expect("a running process");
        process.paused_until = until;
    }

    /// Cuts every link between `group` and the others.
    pub fn isolate(&mut self, group: &[RouterId]) {
        let ids: Vec<RouterId> = self.processes.keys().copied().collect();
        for a in &ids {
            for b in &ids {
                if group.contains(a) != group.contains(b) {
                    self.cut.insert((*a, *b));
                }
            }
        }
    }

    pub fn heal(&mut self) {
        self.cut.clear();
        self.faults = RELIABLE;
        self.lose = None;
        for process in self.processes.values_mut() {
            process.paused_until = 0;
        }
    }

    /// Runs for `duration` microseconds of virtual time.
    pub fn run(&mut self, duration: u64) {
        let end = self.now + duration;
        while self.step(end) {}
        self.now = end;
        self.check_leases();
    }

    /// Runs until `done` holds; fails after `limit`. Returns the time passed.
    pub fn run_until(&mut self, limit: u64, done: impl Fn(&Cluster) -> bool) -> u64 {
        let start = self.now;
        while !done(self) {
            assert!(self.now < start + limit, "not reached in time");
            self.run(MILLISECOND);
        }
        self.now - start
    }

    /// Carries out the next event before `end`.
    fn step(&mut self, end: u64) -> bool {
        let message = self.in_flight.keys().next().copied();
        let arrival = message.map_or(u64::MAX, |(at, _)| at);
        let wakeup = self
            .processes
            .iter()
            .map(|(id, process)| (process.wake_at.max(process.paused_until), *id))
            .min()
            .unwrap_or((u64::MAX, RouterId(0)));
        if arrival.min(wakeup.0) > end {
            return false;
        }
        if let Some(key) = message.filter(|_| arrival <= wakeup.0) {
            self.now = self.now.max(arrival);
            self.deliver(key);
        } else {
            self.now = self.now.max(wakeup.0);
            self.with(wakeup.1, |node, now| node.tick(now));
        }
        self.check_leases();
        true
    }

    fn deliver(&mut self, key: (u64, u64)) {
        let Some((to, message)) = self.in_flight.remove(&key) else {
            return;
        };
        let Some(process) = self.processes.get(&to) else {
            return;
        };
        if process.paused_until > self.now {
            // Waits in the paused process's receive buffer.
            let resumed = (process.paused_until, key.1);
            self.in_flight.insert(resumed, (to, message));
            return;
        }
        let from = message.sender.id;
        self.with(to, |node, now| node.step(now, from, message));
    }

    /// Carries out what a node hands out, and checks it.
    fn settle(&mut self, id: RouterId) {
        let now = self.now;
        let process = self.processes.get_mut(&id).expect("a running process");
        let ready = process.node.ready();
        self.apply(id, &ready);
        for outgoing in ready.messages {
            self.transmit(id, outgoing.to.id, outgoing.message);
        }
        let process = self.processes.get_mut(&id).expect("a running process");
        process.plan_wakeup(now);
        let checker = self.checkers.entry(process.node.generation()).or_default();
        checker.check_node(&process.node);
        let bound = self.settings.max_log_entries();
        assert!(process.node.log().len() <= bound, "the log is not bounded");
    }

    fn apply(&mut self, id: RouterId, ready: &Ready<u64, Digest>) {
        let process = self.processes.get_mut(&id).expect("a running process");
        let checker = self.checkers.entry(process.node.generation()).or_default();
        if let Some(restored) = &ready.restore {
            process.state = restored.snapshot;
            let index = restored.revision.index;
            checker.check_state(index, process.state);
        }
        for committed in &ready.committed {
            if let Payload::Command(command) = committed.payload {
                process.state.apply(command);
            }
            checker.check_committed(committed, process.state);
        }
        if ready.snapshot_wanted {
            let index = process.node.commit_index();
            process.node.compact(process.state, index);
        }
    }

    fn transmit(&mut self, from: RouterId, to: RouterId, message: TestMessage) {
        self.messages_sent += 1;
        let lost = self.lose.is_some_and(|lose| lose(&message));
        if lost || self.cut.contains(&(from, to)) || self.draw(1_000) < self.faults.drop {
            return;
        }
        let copies = 1 + u64::from(self.draw(1_000) < self.faults.duplicate);
        for _ in 0..copies {
            let delay = SHORTEST_DELAY + self.draw(self.faults.longest_delay);
            self.serial += 1;
            let key = (self.now + delay, self.serial);
            self.in_flight.insert(key, (to, message.clone()));
        }
    }

    /// At most one node of a generation holds the leader lease, by its own
    /// clock, at this instant; a paused one counts.
    fn check_leases(&self) {
        let mut holders = BTreeSet::new();
        for process in self.processes.values() {
            if process.node.has_leader_lease(process.clock(self.now)) {
                let alone = holders.insert(process.node.generation());
                assert!(alone, "two leader leases at {}", self.now);
            }
        }
    }
}
