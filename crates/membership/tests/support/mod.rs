//! Simulated network of many [`Membership`] instances in virtual time.
#![allow(dead_code)]

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use threadledge_membership::{
    DownReason, Input, Machine, MachineList, MachineState, MemberState, Membership, Message,
    Output, Settings,
};
use threadledge_types::{Incarnation, RouterId, RouterIdentity, Timestamp};

pub const ZONES: usize = 3;

pub fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

pub fn seconds(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

pub fn address(host: usize) -> SocketAddr {
    let ip = Ipv4Addr::from(0x0a00_0000 + host as u32);
    SocketAddr::from((ip, 7000))
}

/// Returns the identity of a router process on machine `host`.
pub fn identity(host: usize, incarnation: u64) -> RouterIdentity {
    let zone = ["a", "b", "c"][host % ZONES];
    RouterIdentity {
        id: RouterId((incarnation << 32) + host as u64 + 1),
        machine: format!("machine-{host}").as_str().into(),
        incarnation: Incarnation(incarnation),
        region: "luzon".into(),
        zone: zone.into(),
        peer_address: address(host),
        caller_address: address(host),
    }
}

pub fn machine(host: usize) -> Machine {
    let identity = identity(host, 1);
    Machine {
        name: identity.machine,
        region: identity.region,
        zone: identity.zone,
        peer_address: identity.peer_address,
        state: MachineState::Live,
    }
}

/// Returns a machine list with the machines of `hosts`.
pub fn list(version: u64, hosts: impl IntoIterator<Item = usize>) -> MachineList {
    MachineList {
        version,
        machines: hosts.into_iter().map(machine).collect(),
    }
}

/// Simulated router process.
pub struct Host {
    pub core: Membership,
    pub running: bool,
    /// Messages that wait until the process resumes, if it is paused.
    paused: Option<Vec<Message>>,
    /// Every `MemberDown` output, with the time at which it was returned.
    pub downs: Vec<(Timestamp, RouterId, DownReason)>,
    /// Number of `MemberSuspect` outputs.
    pub suspects: usize,
    wake_scheduled: Option<Timestamp>,
}

enum Event {
    Wake(usize),
    Deliver { to: usize, message: Box<Message> },
}

/// Simulated network with its hosts and pending events.
pub struct Network {
    pub now: Timestamp,
    pub hosts: Vec<Host>,
    pub settings: Settings,
    /// Partition of each host; hosts without an entry form one partition.
    /// Messages between partitions are lost.
    pub partitions: BTreeMap<usize, u8>,
    pub loss_percent: u32,
    pub max_delay: Duration,
    pub measure_bytes: bool,
    pub largest_message: usize,
    pub sent_bytes: usize,
    pub sent_messages: usize,
    events: BTreeMap<(Timestamp, u64), Event>,
    event_number: u64,
    rng: ChaCha8Rng,
}

impl Network {
    pub fn new(count: usize, settings: Settings, seed: u64) -> Self {
        let settings = Settings { seed, ..settings };
        let mut network = Network {
            now: Timestamp::from_millis(5_000),
            hosts: Vec::new(),
            settings,
            partitions: BTreeMap::new(),
            loss_percent: 0,
            max_delay: millis(3),
            measure_bytes: false,
            largest_message: 0,
            sent_bytes: 0,
            sent_messages: 0,
            events: BTreeMap::new(),
            event_number: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
        };
        for host in 0..count {
            let created = network.new_host(host, 1);
            network.hosts.push(created);
        }
        network
    }

    fn new_host(&self, host: usize, incarnation: u64) -> Host {
        let identity = identity(host, incarnation);
        Host {
            core: Membership::new(self.settings.clone(), identity, self.now),
            running: true,
            paused: None,
            downs: Vec::new(),
            suspects: 0,
            wake_scheduled: None,
        }
    }

    pub fn apply_list(&mut self, list: &MachineList) {
        for host in 0..self.hosts.len() {
            self.input(host, Input::MachineList(list.clone()));
        }
    }

    /// Runs until every router knows all others and the network is quiet.
    pub fn join_all(&mut self) {
        self.apply_list(&list(1, 0..self.hosts.len()));
        let count = self.hosts.len();
        let joined = self.run_until(seconds(20), |network| network.all_see(count));
        assert!(joined.is_some(), "joining takes longer than expected");
        self.run_for(seconds(4));
    }

    pub fn crash(&mut self, host: usize) {
        self.hosts[host].running = false;
    }

    pub fn restart(&mut self, host: usize, incarnation: u64) {
        self.hosts[host] = self.new_host(host, incarnation);
        self.input(host, Input::Tick);
    }

    pub fn pause(&mut self, host: usize) {
        self.hosts[host].paused = Some(Vec::new());
    }

    /// Resumes a paused process, which then handles the messages that arrived
    /// in the meantime.
    pub fn resume(&mut self, host: usize) {
        let messages = self.hosts[host].paused.take().unwrap_or_default();
        self.input(host, Input::Tick);
        for message in messages {
            let message = Box::new(message);
            self.input(host, Input::Message { message });
        }
    }

    pub fn run_for(&mut self, duration: Duration) {
        self.run_until(duration, |_| false);
    }

    /// Runs until `done` is true and returns the time that it took, or `None`
    /// after `limit`.
    pub fn run_until(
        &mut self,
        limit: Duration,
        done: impl Fn(&Network) -> bool,
    ) -> Option<Duration> {
        let began = self.now;
        let end = began + limit;
        let mut next_check = began;
        loop {
            if self.now >= next_check {
                if done(self) {
                    return Some(self.now.since(began));
                }
                next_check = self.now + millis(20);
            }
            match self.events.first_key_value() {
                Some(((at, _), _)) if *at <= end => {}
                _ => {
                    self.now = end;
                    return done(self).then(|| end.since(began));
                }
            }
            if let Some(((at, _), event)) = self.events.pop_first() {
                self.now = at;
                self.handle(event);
            }
        }
    }

    /// Returns whether every running host sees exactly `count` living members.
    pub fn all_see(&self, count: usize) -> bool {
        let mut running = self.hosts.iter().filter(|host| host.running);
        running.all(|host| host.core.alive().count() == count)
    }

    pub fn state_at(&self, observer: usize, subject: RouterId) -> Option<MemberState> {
        let member = self.hosts[observer].core.member(subject);
        member.map(|member| member.state)
    }

    /// Returns whether every running host except `subject` itself sees
    /// `subject` in `state`.
    pub fn all_have(&self, subject: RouterId, state: MemberState) -> bool {
        (0..self.hosts.len())
            .filter(|host| self.hosts[*host].running)
            .filter(|host| self.hosts[*host].core.identity().id != subject)
            .all(|host| self.state_at(host, subject) == Some(state))
    }

    pub fn down_count(&self) -> usize {
        self.hosts.iter().map(|host| host.downs.len()).sum()
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Wake(host) => {
                self.hosts[host].wake_scheduled = None;
                self.input(host, Input::Tick);
            }
            Event::Deliver { to, message } => {
                let from = message.from.peer_address;
                if self.partitions.get(&to) != self.partitions.get(&host_at(from)) {
                    return;
                }
                match &mut self.hosts[to].paused {
                    Some(waiting) => waiting.push(*message),
                    None => self.input(to, Input::Message { message }),
                }
            }
        }
    }

    pub fn input(&mut self, host: usize, input: Input) {
        let now = self.now;
        let state = &mut self.hosts[host];
        if !state.running || state.paused.is_some() {
            return;
        }
        let outputs = state.core.step(now, input);
        let wakeup = state.core.next_wakeup().max(now + Duration::from_micros(1));
        if state.wake_scheduled.is_none_or(|at| wakeup < at) {
            state.wake_scheduled = Some(wakeup);
            self.schedule(wakeup, Event::Wake(host));
        }
        for output in outputs {
            self.handle_output(host, output);
        }
    }

    fn handle_output(&mut self, host: usize, output: Output) {
        match output {
            Output::Send { to, message, .. } => self.send(host_at(to), message),
            Output::MemberDown(id, reason) => {
                let down = (self.now, id, reason);
                self.hosts[host].downs.push(down);
            }
            Output::MemberSuspect(_) => self.hosts[host].suspects += 1,
            Output::MemberUp(_) | Output::MemberLeaving(_) => {}
        }
    }

    fn send(&mut self, to: usize, message: Box<Message>) {
        if self.measure_bytes {
            let bytes = serde_json::to_vec(&message).expect("JSON").len();
            self.largest_message = self.largest_message.max(bytes);
            self.sent_bytes += bytes;
            self.sent_messages += 1;
        }
        if self.rng.random_range(0..100) < self.loss_percent || to >= self.hosts.len() {
            return;
        }
        let copies = if self.rng.random_range(0..100) == 0 {
            2
        } else {
            1
        };
        for _ in 0..copies {
            let max = self.max_delay.as_micros() as u64;
            let delay = Duration::from_micros(self.rng.random_range(max / 10..=max));
            let message = message.clone();
            self.schedule(self.now + delay, Event::Deliver { to, message });
        }
    }

    fn schedule(&mut self, at: Timestamp, event: Event) {
        self.event_number += 1;
        self.events.insert((at, self.event_number), event);
    }
}

fn host_at(address: SocketAddr) -> usize {
    match address {
        SocketAddr::V4(address) => (u32::from(*address.ip()) - 0x0a00_0000) as usize,
        SocketAddr::V6(_) => usize::MAX,
    }
}
