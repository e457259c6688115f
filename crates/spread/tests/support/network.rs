//! Simulated network of many spread nodes in virtual time.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use threadledge_spread::{Replica, Settings, SpreadInput, SpreadMessage, SpreadNode, SpreadOutput};
use threadledge_types::records::RecordChange;
use threadledge_types::{Revision, RouterIdentity, Timestamp};

use super::{GROUP, router};

/// Interval at which the leader confirms itself.
const ROOT_CONFIRM_INTERVAL: Duration = Duration::from_millis(100);

/// Returns the origin of a node's clock. Origins differ because readings of two
/// clocks are not comparable.
fn clock_offset(node: usize) -> Duration {
    Duration::from_millis(10_000 + 37 * node as u64)
}

pub struct Host {
    pub node: SpreadNode,
    pub replica: Replica,
    pub identity: RouterIdentity,
    pub alive: bool,
    wake_scheduled: Option<Timestamp>,
}

enum Event {
    Wake(usize),
    Root,
    Deliver {
        from: usize,
        to: usize,
        message: Box<SpreadMessage>,
    },
}

pub struct Network {
    pub now: Timestamp,
    pub hosts: Vec<Host>,
    pub leader: Option<usize>,
    /// Partition of each node; messages between partitions are lost.
    pub partitions: BTreeMap<usize, u8>,
    pub loss_percent: u32,
    pub max_delay: Duration,
    pub largest_message: usize,
    pub sent_bytes: usize,
    pub measure_bytes: bool,
    /// Commit time of each revision.
    commits: BTreeMap<Timestamp, Revision>,
    events: BTreeMap<(Timestamp, u64), Event>,
    event_number: u64,
    random: ChaCha8Rng,
}

impl Network {
    /// Creates a network of `count` nodes, the first of which is the leader.
    pub fn new(count: usize, settings: &Settings, seed: u64) -> Self {
        let hosts = (0..count).map(|number| new_host(number, settings, Timestamp::ZERO));
        let mut network = Network {
            now: Timestamp::ZERO,
            hosts: hosts.collect(),
            leader: Some(0),
            partitions: BTreeMap::new(),
            loss_percent: 0,
            max_delay: Duration::from_millis(3),
            largest_message: 0,
            sent_bytes: 0,
            measure_bytes: false,
            commits: BTreeMap::from([(Timestamp::ZERO, Revision::NONE)]),
            events: BTreeMap::new(),
            event_number: 0,
            random: super::random(seed),
        };
        network.schedule(Timestamp::ZERO, Event::Root);
        network
    }

    /// Sets the parents of every node for a tree of `fanout` below the leader.
    pub fn set_tree(&mut self, fanout: usize) {
        for node in 0..self.hosts.len() {
            let mut parents = Vec::new();
            let mut at = node;
            while at > 0 {
                at = (at - 1) / fanout;
                parents.push(at);
            }
            let siblings = (1..=fanout).filter(|sibling| *sibling < node);
            parents.extend(siblings);
            self.set_parents(node, &parents);
        }
    }

    pub fn set_parents(&mut self, node: usize, parents: &[usize]) {
        let unique: BTreeSet<usize> = BTreeSet::new();
        let mut seen = unique;
        let identities = parents
            .iter()
            .filter(|parent| seen.insert(**parent))
            .map(|parent| self.hosts[*parent].identity.clone())
            .collect();
        self.input(node, SpreadInput::Parents(identities));
    }

    pub fn commit(&mut self, revision: Revision, changes: &[RecordChange]) {
        let leader = self.leader.expect("a leader");
        self.hosts[leader].replica.commit(revision, changes);
        self.commits.insert(self.now, revision);
        self.input(leader, SpreadInput::ReplicaAdvanced);
    }

    pub fn run_for(&mut self, duration: Duration) {
        self.run_until(self.now + duration, |_| false);
    }

    /// Runs until `done` or until `end`; returns whether it was done.
    pub fn run_until(&mut self, end: Timestamp, done: impl Fn(&Network) -> bool) -> bool {
        while !done(self) {
            match self.events.first_key_value() {
                Some(((at, _), _)) if *at <= end => {}
                _ => {
                    self.now = end;
                    return false;
                }
            }
            let Some(((at, _), event)) = self.events.pop_first() else {
                return false;
            };
            self.now = at;
            self.handle(event);
        }
        true
    }

    pub fn restart(&mut self, node: usize, settings: &Settings) {
        self.hosts[node] = new_host(node, settings, self.now);
    }

    /// Returns the age of a node's confirmation, by its own clock.
    pub fn confirmation_age(&self, node: usize) -> Option<Duration> {
        let confirmed = self.hosts[node].node.confirmed_as_of()?;
        Some(self.local_time(node).since(confirmed))
    }

    pub fn all_at(&self, revision: Revision) -> bool {
        let living = self.hosts.iter().filter(|host| host.alive);
        living
            .into_iter()
            .all(|host| host.replica.revision() == revision)
    }

    fn local_time(&self, node: usize) -> Timestamp {
        self.now + clock_offset(node)
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Wake(node) => {
                self.hosts[node].wake_scheduled = None;
                self.input(node, SpreadInput::Tick);
            }
            Event::Root => {
                if let Some(leader) = self.leader {
                    self.input(leader, SpreadInput::RootConfirmed);
                }
                self.schedule(self.now + ROOT_CONFIRM_INTERVAL, Event::Root);
            }
            Event::Deliver { from, to, message } => {
                if self.connected(from, to) {
                    let from = self.hosts[from].identity.clone();
                    self.input(to, SpreadInput::Message { from, message });
                }
            }
        }
    }

    fn connected(&self, from: usize, to: usize) -> bool {
        self.partitions.get(&from) == self.partitions.get(&to)
    }

    pub fn input(&mut self, node: usize, input: SpreadInput) {
        let now = self.local_time(node);
        let host = &mut self.hosts[node];
        if !host.alive {
            return;
        }
        let before = host.replica.revision();
        let outputs = host.node.step(now, input, &mut host.replica);
        assert!(host.replica.revision() >= before, "node {node} went back");
        let wakeup = host.node.next_wakeup().max(now + Duration::from_micros(1));
        let wakeup = wakeup - clock_offset(node);
        if host.wake_scheduled.is_none_or(|at| wakeup < at) {
            host.wake_scheduled = Some(wakeup);
            self.schedule(wakeup, Event::Wake(node));
        }
        self.check_confirmation(node);
        for output in outputs {
            if let SpreadOutput::Send { to, message } = output {
                self.send(node, to.id.0 as usize, message);
            }
        }
    }

    fn send(&mut self, from: usize, to: usize, message: Box<SpreadMessage>) {
        if self.measure_bytes {
            let bytes = serde_json::to_vec(&message).expect("JSON").len();
            self.largest_message = self.largest_message.max(bytes);
            self.sent_bytes += bytes;
        }
        let copies = match self.random.random_range(0..100) {
            roll if roll < self.loss_percent => 0,
            99 => 2,
            _ => 1,
        };
        for _ in 0..copies {
            let max = self.max_delay.as_micros() as u64;
            let delay = Duration::from_micros(self.random.random_range(max / 10..=max));
            let message = message.clone();
            self.schedule(self.now + delay, Event::Deliver { from, to, message });
        }
    }

    /// Checks that a node has everything that was committed at the time as of
    /// which it says it is confirmed.
    fn check_confirmation(&self, node: usize) {
        let host = &self.hosts[node];
        let Some(confirmed) = host.node.confirmed_as_of() else {
            return;
        };
        let offset = clock_offset(node);
        // A time before the start of the run precedes every commit.
        if confirmed.since(Timestamp::ZERO) < offset {
            return;
        }
        let committed = self.commits.range(..confirmed - offset).next_back();
        if let Some((at, committed)) = committed {
            let have = host.replica.revision();
            assert!(
                have >= *committed,
                "node {node} says confirmed at {confirmed:?}, has {have}, lacks {committed} of {at:?}"
            );
        }
    }

    fn schedule(&mut self, at: Timestamp, event: Event) {
        self.event_number += 1;
        self.events.insert((at, self.event_number), event);
    }
}

fn new_host(number: usize, settings: &Settings, now: Timestamp) -> Host {
    let identity = router(number as u64);
    let local = now + clock_offset(number);
    Host {
        node: SpreadNode::new(settings.clone(), identity.clone(), GROUP, local),
        replica: Replica::new(GROUP),
        identity,
        alive: true,
        wake_scheduled: None,
    }
}
