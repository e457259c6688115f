//! Harness with one leader, its back ends and a reliable network in virtual
//! time. Each test adds its own failures.

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

/// One-way latency between leader and back end, in milliseconds.
pub const LATENCY_MS: u64 = 1;
/// Time from a proposal to its commit, in milliseconds.
pub const COMMIT_DELAY_MS: u64 = 2;

enum Message {
    Request(SocketAddr, Box<LeaseRequest>),
    Response(BackEndId, Box<LeaseResponse>),
    Commit(Command),
}

pub struct Harness {
    pub log: Log,
    pub grantor: Grantor,
    pub term: LeaderTerm,
    /// Virtual time in milliseconds.
    pub now: u64,
    pub lease_valid: bool,
    pub holders: BTreeMap<SocketAddr, Holder>,
    /// Back ends that are frozen or gone, so requests to them are lost.
    pub unreachable: BTreeSet<SocketAddr>,
    /// Back ends whose responses are lost.
    pub responses_lost: BTreeSet<SocketAddr>,
    /// True if holders become ready as soon as they are asked to prepare.
    pub marks_ready: bool,
    /// True if proposals are lost instead of committed.
    pub loses_proposals: bool,
    /// True if unowned slices are assigned to eligible sessions.
    pub assigns: bool,
    /// Reachability reports, with their times.
    pub reachability: Vec<(u64, bool)>,
    pub observed: Vec<(u64, Observation)>,
    pub sent: Vec<(u64, LeaseRequest)>,
    pub proposed: Vec<(u64, Command)>,
    /// Slices for which an owner was proposed, with their epoch.
    proposed_assignments: BTreeSet<(SliceKey, Epoch)>,
    messages: BTreeMap<(u64, u64), Message>,
    message_count: u64,
}

pub fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

fn settings() -> GrantorSettings {
    GrantorSettings::from(Timing::default())
}

impl Harness {
    /// Creates `back_ends` processes and one service with `slices` slices for
    /// each.
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
        Harness {
            log,
            grantor,
            term: term(1),
            now: 0,
            lease_valid: true,
            holders,
            unreachable: BTreeSet::new(),
            responses_lost: BTreeSet::new(),
            marks_ready: true,
            loses_proposals: false,
            assigns: true,
            reachability: Vec::new(),
            observed: Vec::new(),
            sent: Vec::new(),
            proposed: Vec::new(),
            proposed_assignments: BTreeSet::new(),
            messages: BTreeMap::new(),
            message_count: 0,
        }
    }

    /// Creates a harness in which every slice is owned and served.
    pub fn settled(back_ends: u16, slices: u32) -> Self {
        let mut harness = Harness::new(back_ends, slices);
        harness.run_until(1_000);
        harness.observed.clear();
        harness.sent.clear();
        harness.proposed.clear();
        harness
    }

    /// Replaces the leader. Messages of the former one are lost.
    pub fn new_leader(&mut self) {
        self.term.term += 1;
        self.messages.clear();
        self.proposed_assignments.clear();
        self.grantor = start(self.term, self.now, &self.log);
    }

    fn send_later(&mut self, delay: u64, message: Message) {
        self.message_count += 1;
        self.messages
            .insert((self.now + delay, self.message_count), message);
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

    /// Runs until the condition holds and returns the time it took.
    pub fn run_until_condition(&mut self, limit: u64, condition: impl Fn(&Harness) -> bool) -> u64 {
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
                    self.send_later(LATENCY_MS, Message::Request(to, request));
                }
                GrantorOutput::Propose(command) => self.propose(command),
                GrantorOutput::Observed(observation) => {
                    self.observed.push((self.now, observation));
                }
                GrantorOutput::Reachability { reachable, .. } => {
                    self.reachability.push((self.now, reachable));
                }
                GrantorOutput::Load { .. } => {}
            }
        }
    }

    pub fn propose(&mut self, command: Command) {
        self.proposed.push((self.now, command.clone()));
        if !self.loses_proposals {
            self.send_later(COMMIT_DELAY_MS, Message::Commit(command));
        }
    }

    /// Commits a command at once.
    pub fn commit(&mut self, command: &Command) {
        let applied = self.log.apply(command);
        self.step(GrantorInput::Applied(applied.changes));
        if self.assigns {
            self.assign_unowned();
        }
    }

    fn assign_unowned(&mut self) {
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
            let assignment = (record.key(), record.epoch);
            if self.proposed_assignments.insert(assignment) {
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
            Message::Request(to, request) => self.handle_request(to, *request),
            Message::Response(from, response) => {
                self.step(GrantorInput::Response { from, response });
            }
            Message::Commit(command) => self.commit(&command),
        }
    }

    fn handle_request(&mut self, to: SocketAddr, request: LeaseRequest) {
        if self.unreachable.contains(&to) {
            return;
        }
        let from = request.back_end.clone();
        let Some(holder) = self.holders.get_mut(&to) else {
            return;
        };
        let response = Box::new(holder.handle(at(self.now), request));
        if self.marks_ready {
            for grant in holder.slices_to_prepare().cloned().collect::<Vec<_>>() {
                holder.mark_ready(&grant);
            }
        }
        if !self.responses_lost.contains(&to) {
            self.send_later(LATENCY_MS, Message::Response(from, response));
        }
    }

    pub fn holder(&mut self, number: u16) -> &mut Holder {
        let holder = self.holders.get_mut(&address(number));
        holder.expect("a process at that address")
    }

    /// Returns the addresses of the processes that would admit requests for the
    /// key now.
    pub fn addresses_serving(&self, point: Point) -> Vec<SocketAddr> {
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

    /// Returns the requests to a back end that carried grants or a lease.
    pub fn grant_requests(&self, number: u16) -> Vec<&(u64, LeaseRequest)> {
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
