//! Cluster of nodes on a simulated network in virtual time. Messages are
//! dropped, delayed, duplicated and reordered, links are cut, processes are
//! paused and killed, and each clock runs at its own rate. The seed determines
//! the whole run.

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

/// Simulated process with one node.
pub struct Process {
    pub node: TestNode,
    pub state: Digest,
    /// Clock rate in thousandths of the true rate.
    rate: u64,
    offset: u64,
    paused_until: u64,
    wake_at: u64,
}

impl Process {
    pub fn clock(&self, now: u64) -> Timestamp {
        Timestamp::from_micros(self.offset + now * self.rate / 1_000)
    }

    fn schedule_wakeup(&mut self, now: u64) {
        let local = self.node.next_wakeup(self.clock(now)).as_micros();
        let real = local.saturating_sub(self.offset).saturating_mul(1_000) / self.rate;
        self.wake_at = real.max(now) + 1;
    }
}

/// Message that was removed from the network.
#[derive(Clone)]
pub struct Intercepted((RouterId, TestMessage));

impl Intercepted {
    pub fn sender(&self) -> RouterId {
        self.0.1.sender.id
    }
}

/// Fault rates of the network, in thousandths, and its delay in microseconds.
#[derive(Clone, Copy)]
pub struct Faults {
    pub drop: u64,
    pub duplicate: u64,
    pub max_delay: u64,
    /// Share of inputs after which the owner does not call `ready`, but only
    /// after a later input.
    pub delayed_ready: u64,
}

const RELIABLE: Faults = Faults {
    drop: 0,
    duplicate: 0,
    max_delay: 2 * MILLISECOND,
    delayed_ready: 0,
};
const MIN_DELAY: u64 = 500;

pub struct Cluster {
    pub now: u64,
    pub settings: Settings,
    pub processes: BTreeMap<RouterId, Process>,
    pub checkers: BTreeMap<Generation, Checker>,
    pub faults: Faults,
    /// Cut links, by sender and receiver.
    pub cut_links: BTreeSet<(RouterId, RouterId)>,
    /// Messages in transit, by time of arrival and serial number.
    pub in_flight: BTreeMap<(u64, u64), (RouterId, TestMessage)>,
    /// Messages for which the filter returns true are lost.
    pub drop_filter: Option<fn(&TestMessage) -> bool>,
    pub messages_sent: u64,
    rng: ChaCha8Rng,
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
            cut_links: BTreeSet::new(),
            in_flight: BTreeMap::new(),
            drop_filter: None,
            messages_sent: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
            serial: 0,
            next_id: 1,
        }
    }

    /// Founds a group and grows it to `voters` voters.
    pub fn with_voters(seed: u64, voters: usize) -> Self {
        let mut cluster = Cluster::new(seed);
        cluster.bootstrap(Generation(1), None);
        while cluster.leader().members().voters.len() < voters {
            let id = cluster.add_learner();
            cluster.promote(id);
        }
        cluster.run(SECOND / 2);
        cluster
    }

    /// Returns a random number below `bound`.
    pub fn random_below(&mut self, bound: u64) -> u64 {
        self.rng.next_u64() % bound.max(1)
    }

    pub fn bootstrap(&mut self, generation: Generation, state: Option<Digest>) -> RouterId {
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
        let rate = 1_000 + self.random_below(drift + 1);
        let offset = 100 * SECOND + self.random_below(100 * SECOND);
        let settings = Settings {
            seed: self.rng.next_u64(),
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
        self.process_ready(id);
        id
    }

    pub fn node(&self, id: RouterId) -> &TestNode {
        &self.processes[&id].node
    }

    /// Calls `act` on a node with its clock, then processes its `Ready`.
    pub fn with_node<T>(
        &mut self,
        id: RouterId,
        act: impl FnOnce(&mut TestNode, Timestamp) -> T,
    ) -> T {
        let now = self.now;
        let process = self.processes.get_mut(&id).expect("a running process");
        let clock = process.clock(now);
        let result = act(&mut process.node, clock);
        process.schedule_wakeup(now);
        if self.random_below(1_000) >= self.faults.delayed_ready {
            self.process_ready(id);
        }
        result
    }

    /// Returns the leader of the highest term, if any node leads.
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
        self.with_node(leader, |node, now| node.propose(now, command))
            .expect("proposal is accepted")
    }

    pub fn change(&mut self, change: MemberChange) -> u64 {
        let leader = self.leader_id().expect("a leader");
        self.with_node(leader, |node, now| node.propose_member_change(now, change))
            .expect("member change is accepted")
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

    /// Sets the rate of a process's clock, in thousandths, from now on.
    pub fn set_clock_rate(&mut self, id: RouterId, rate: u64) {
        let now = self.now;
        let process = self.processes.get_mut(&id).expect("a running process");
        let reading = process.clock(now).as_micros();
        process.rate = rate;
        process.offset = reading - now * rate / 1_000;
    }

    /// Removes the first message that matches `predicate` from the network.
    pub fn intercept(&mut self, predicate: impl Fn(RouterId, &TestMessage) -> bool) -> Intercepted {
        let mut in_flight = self.in_flight.iter();
        let found = in_flight.find(|(_, (to, message))| predicate(*to, message));
        let key = *found.expect("a matching message in transit").0;
        Intercepted(self.in_flight.remove(&key).expect("the message"))
    }

    /// Puts a message back on the network, to arrive immediately.
    pub fn release(&mut self, delayed: Intercepted) {
        self.serial += 1;
        self.in_flight.insert((self.now, self.serial), delayed.0);
        self.run(MILLISECOND);
    }

    /// Ends a process permanently.
    pub fn kill(&mut self, id: RouterId) {
        self.processes.remove(&id);
    }

    pub fn pause(&mut self, id: RouterId, until: u64) {
        let process = self.processes.get_mut(&id).expect("a running process");
        process.paused_until = until;
    }

    /// Cuts all links between `group` and the other processes.
    pub fn isolate(&mut self, group: &[RouterId]) {
        let ids: Vec<RouterId> = self.processes.keys().copied().collect();
        for a in &ids {
            for b in &ids {
                if group.contains(a) != group.contains(b) {
                    self.cut_links.insert((*a, *b));
                }
            }
        }
    }

    /// Restores all links, the reliable network and paused processes.
    pub fn heal(&mut self) {
        self.cut_links.clear();
        self.faults = RELIABLE;
        self.drop_filter = None;
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

    /// Runs until `condition` is true and returns the time passed. Fails after
    /// `limit`.
    pub fn run_until(&mut self, limit: u64, condition: impl Fn(&Cluster) -> bool) -> u64 {
        let start = self.now;
        while !condition(self) {
            assert!(self.now < start + limit, "not reached in time");
            self.run(MILLISECOND);
        }
        self.now - start
    }

    /// Executes the next event, unless it is after `end`. Returns whether there
    /// was one.
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
            self.with_node(wakeup.1, |node, now| node.tick(now));
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
            // The message waits in the receive buffer of the paused process.
            let resumed = (process.paused_until, key.1);
            self.in_flight.insert(resumed, (to, message));
            return;
        }
        let from = message.sender.id;
        self.with_node(to, |node, now| node.step(now, from, message));
    }

    /// Processes the `Ready` of a node and checks the invariants.
    fn process_ready(&mut self, id: RouterId) {
        let now = self.now;
        let process = self.processes.get_mut(&id).expect("a running process");
        let ready = process.node.ready();
        self.apply(id, &ready);
        for outgoing in ready.messages {
            self.transmit(id, outgoing.to.id, outgoing.message);
        }
        let process = self.processes.get_mut(&id).expect("a running process");
        process.schedule_wakeup(now);
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
        let lost = self.drop_filter.is_some_and(|filter| filter(&message));
        if lost
            || self.cut_links.contains(&(from, to))
            || self.random_below(1_000) < self.faults.drop
        {
            return;
        }
        let copies = 1 + u64::from(self.random_below(1_000) < self.faults.duplicate);
        for _ in 0..copies {
            let delay = MIN_DELAY + self.random_below(self.faults.max_delay);
            self.serial += 1;
            let key = (self.now + delay, self.serial);
            self.in_flight.insert(key, (to, message.clone()));
        }
    }

    /// Checks that at most one node of a generation holds the leader lease now
    /// by its own clock. Paused nodes count.
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
