//! One leader, its back ends and a network without surprises, in virtual
//! time; each test adds its own surprise.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use threadledge_ownership::{
    Command, Grantor, GrantorInput, GrantorOutput, GrantorSettings, Holder, LeaderTerm, Observation,
};
use threadledge_types::records::SliceKey;
use threadledge_types::session::{GrantsUpdate, LeaseRequest, LeaseResponse};
use threadledge_types::{BackEndId, Epoch, Incarnation, Point, Timestamp, Timing};

use crate::support::{
    GROUP, Log, address, assign, back_end, back_end_id, put_back_end, put_service, service,
    service_id, term,
};

/// One way between leader and back end, in milliseconds.
pub const LATENCY: u64 = 1;
/// From a proposal to its commit, in milliseconds.
pub const COMMIT: u64 = 2;

enum Message {
    Request(SocketAddr, Box<LeaseRequest>),
    Response(BackEndId, Box<LeaseResponse>),
    Commit(Command),
}

pub struct Bench {
    pub log: Log,
    pub grantor: Grantor,
    pub term: LeaderTerm,
    /// Milliseconds.
    pub now: u64,
    pub lease_valid: bool,
    pub holders: BTreeMap<SocketAddr, Holder>,
    /// Back ends that are frozen or gone: requests to them are lost.
    pub silent: BTreeSet<SocketAddr>,
    /// Back ends whose answers are lost.
    pub muted: BTreeSet<SocketAddr>,
    /// Whether holders say they are ready as soon as asked.
    pub prepares: bool,
    /// Whether nothing that is proposed commits.
    pub loses_proposals: bool,
    /// Whether placement assigns unowned slices to any candidate.
    pub places: bool,
    /// Reports that the back end answers or does not, with their times.
    pub answering: Vec<(u64, bool)>,
    pub observed: Vec<(u64, Observation)>,
    pub sent: Vec<(u64, LeaseRequest)>,
    pub proposed: Vec<(u64, Command)>,
    /// Slices placement has proposed an owner for, by epoch.
    asked: BTreeSet<(SliceKey, Epoch)>,
    messages: BTreeMap<(u64, u64), Message>,
    count: u64,
}

pub fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

fn settings() -> GrantorSettings {
    GrantorSettings::from(Timing::default())
}

impl Bench {
    /// `back_ends` processes and one service with `slices` each.
    pub fn new(back_ends: u16, slices: u32) -> Self {
        let mut log = Log::new();
        let mut holders = BTreeMap::new();
        for number in 0..back_ends {
            let name = name(number);
            log.accept(&put_back_end(back_end(&name, 1, number, "blue")));
            let holder = Holder::new(back_end_id(&name), Incarnation(1));
            holders.insert(address(number), holder);
        }
        log.accept(&put_service(service("s", 1, "blue", slices)));
        let grantor = start(term(1), 0, &log);
        Bench {
            log,
            grantor,
            term: term(1),
            now: 0,
            lease_valid: true,
            holders,
            silent: BTreeSet::new(),
            muted: BTreeSet::new(),
            prepares: true,
            loses_proposals: false,
            places: true,
            answering: Vec::new(),
            observed: Vec::new(),
            sent: Vec::new(),
            proposed: Vec::new(),
            asked: BTreeSet::new(),
            messages: BTreeMap::new(),
            count: 0,
        }
    }

    /// A bench on which every slice is owned and served.
    pub fn settled(back_ends: u16, slices: u32) -> Self {
        let mut bench = Bench::new(back_ends, slices);
        bench.run_until(1_000);
        bench.observed.clear();
        bench.sent.clear();
        bench.proposed.clear();
        bench
    }

    /// Another leader takes over now; messages of the former one are lost.
    pub fn new_leader(&mut self) {
        self.term.term += 1;
        self.messages.clear();
        self.asked.clear();
        self.grantor = start(self.term, self.now, &self.log);
    }

    fn later(&mut self, delay: u64, message: Message) {
        self.count += 1;
        self.messages
            .insert((self.now + delay, self.count), message);
    }

    pub fn run_until(&mut self, end: u64) {
        while self.now < end {
            self.step(GrantorInput::Tick);
            self.now += 1;
            while let Some((&key, _)) = self.messages.first_key_value() {
                if key.0 > self.now {
                    break;
                }
                if let Some(message) = self.messages.remove(&key) {
                    self.deliver(message);
                }
            }
        }
    }

    pub fn run_for(&mut self, millis: u64) {
        self.run_until(self.now + millis);
    }

    /// Runs until the condition holds; returns the time it took.
    pub fn run_until_true(&mut self, limit: u64, condition: impl Fn(&Bench) -> bool) -> u64 {
        let start = self.now;
        while !condition(self) {
            assert!(self.now < start + limit, "not within {limit} ms");
            self.run_for(1);
        }
        self.now - start
    }

    pub fn step(&mut self, input: GrantorInput) {
        let machine = &self.log.machine;
        let outputs = self
            .grantor
            .step(at(self.now), input, machine, self.lease_valid);
        for output in outputs {
            match output {
                GrantorOutput::Send { to, request } => {
                    self.sent.push((self.now, (*request).clone()));
                    self.later(LATENCY, Message::Request(to, request));
                }
                GrantorOutput::Propose(command) => self.propose(command),
                GrantorOutput::Observed(observation) => {
                    self.observed.push((self.now, observation));
                }
                GrantorOutput::Reachability { reachable, .. } => {
                    self.answering.push((self.now, reachable));
                }
                GrantorOutput::Load { .. } => {}
            }
        }
    }

    pub fn propose(&mut self, command: Command) {
        self.proposed.push((self.now, command.clone()));
        if !self.loses_proposals {
            self.later(COMMIT, Message::Commit(command));
        }
    }

    /// Commits a command at once.
    pub fn commit(&mut self, command: &Command) {
        let applied = self.log.apply(command);
        self.step(GrantorInput::Applied(applied.changes));
        if self.places {
            self.place();
        }
    }

    fn place(&mut self) {
        let service = service_id("s");
        let candidates: Vec<_> = self
            .log
            .machine
            .eligible_sessions(&service)
            .cloned()
            .collect();
        if candidates.is_empty() {
            return;
        }
        let free = self.log.slices().into_iter();
        let free = free.filter(|record| record.owner.is_none());
        let mut commands = Vec::new();
        for (number, record) in free.enumerate() {
            let asked = (record.key(), record.epoch);
            if self.asked.insert(asked) {
                let to = &candidates[number % candidates.len()];
                commands.push(assign(&record, to));
            }
        }
        if !commands.is_empty() {
            self.propose(Command::Batch(commands));
        }
    }

    fn deliver(&mut self, message: Message) {
        match message {
            Message::Request(to, request) => self.answer(to, *request),
            Message::Response(from, response) => {
                self.step(GrantorInput::Response { from, response });
            }
            Message::Commit(command) => self.commit(&command),
        }
    }

    fn answer(&mut self, to: SocketAddr, request: LeaseRequest) {
        if self.silent.contains(&to) {
            return;
        }
        let from = request.back_end.clone();
        let Some(holder) = self.holders.get_mut(&to) else {
            return;
        };
        let response = Box::new(holder.handle(at(self.now), request));
        if self.prepares {
            for grant in holder.slices_to_prepare().cloned().collect::<Vec<_>>() {
                holder.mark_ready(&grant);
            }
        }
        if !self.muted.contains(&to) {
            self.later(LATENCY, Message::Response(from, response));
        }
    }

    pub fn holder(&mut self, number: u16) -> &mut Holder {
        let holder = self.holders.get_mut(&address(number));
        holder.expect("a process at that address")
    }

    /// Numbers of the processes that would admit work for the key now.
    pub fn servers_of(&self, point: Point) -> Vec<SocketAddr> {
        let service = service_id("s");
        let serving = self.holders.iter().filter(|(_, holder)| {
            holder.has_valid_lease(at(self.now)) && holder.held_epoch(&service, point).is_some()
        });
        serving.map(|(address, _)| *address).collect()
    }

    pub fn observed(&self, wanted: impl Fn(&Observation) -> bool) -> Option<u64> {
        let mut matching = self.observed.iter().filter(|(_, seen)| wanted(seen));
        matching.next().map(|(when, _)| *when)
    }

    pub fn proposed(&self, wanted: impl Fn(&Command) -> bool) -> Option<u64> {
        let mut matching = self.proposed.iter().filter(|(_, seen)| wanted(seen));
        matching.next().map(|(when, _)| *when)
    }

    /// Requests to a back end that gave it grants or a lease.
    pub fn granting(&self, number: u16) -> Vec<&(u64, LeaseRequest)> {
        let id = back_end_id(&name(number));
        let sent = self.sent.iter().filter(|(_, request)| {
            request.back_end == id && request.grants != GrantsUpdate::Inquire
        });
        sent.collect()
    }
}

pub fn start(term: LeaderTerm, now: u64, log: &Log) -> Grantor {
    Grantor::start(settings(), GROUP, term, at(now), at(now), &log.machine)
}

pub fn name(number: u16) -> String {
    format!("server-{number:03}")
}
