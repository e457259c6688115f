//! Simulated gateways, the store that elects a ledger among them, and a network
//! that delays, loses and duplicates their messages.

use std::collections::BTreeMap;
use std::time::Duration;

use threadledge_coordination::Term;
use threadledge_limits::ledger::LedgerElection;
use threadledge_limits::{
    Admission, HolderRecord, Ledger, Predecessor, QuotaRequest, QuotaResponse, RateLimiter,
    Settings,
};
use threadledge_types::deployment::{RateLimit, TenantName};
use threadledge_types::{Incarnation, MachineName, Timestamp};

pub const TICK_US: u64 = 5_000;
const REQUEST_TIMEOUT_US: u64 = 300_000;
const RENEWAL_US: u64 = 800_000;
const TAKEOVER_US: u64 = 1_600_000;
const SECOND_US: u64 = 1_000_000;

pub fn settings() -> Settings {
    Settings {
        window: Duration::from_secs(5),
        overage: 0.1,
        slack: 20.0,
        lease: Duration::from_secs(10),
    }
}

pub struct Node {
    pub limiter: RateLimiter,
    pub ledger: Option<Ledger>,
    incarnation: u64,
    confirmed_us: u64,
    pub down_until: u64,
    pub frozen_until: u64,
    /// Neither the store nor other gateways can reach the node.
    pub partitioned: bool,
    /// The store rejects calls of the node.
    pub rejected_by_store: bool,
    known_ledger: Option<(usize, Term)>,
    in_flight: Option<(u64, u64)>,
    waiting: Vec<(TenantName, Timestamp)>,
    offset_us: u64,
    drift: f64,
}

enum Message {
    QuotaRequest(QuotaRequest),
    QuotaResponse(u64, QuotaResponse),
}

struct InFlight {
    due: u64,
    from: usize,
    to: usize,
    incarnation: u64,
    message: Message,
}

#[derive(Clone)]
struct Lease {
    node: usize,
    term: Term,
    renewed: u64,
}

pub struct World {
    pub now: u64,
    pub nodes: Vec<Node>,
    pub limits: BTreeMap<TenantName, RateLimit>,
    pub store_down: bool,
    /// Number of messages in a thousand that are lost, delayed or duplicated.
    pub fault_permille: u64,
    pub runs: BTreeMap<TenantName, Vec<u64>>,
    pub refused: BTreeMap<TenantName, u64>,
    pub quota_requests: u64,
    lease: Option<Lease>,
    record: Option<HolderRecord>,
    network: Vec<InFlight>,
    random: u64,
}

impl World {
    pub fn new(seed: u64, nodes: usize, limits: &[(&str, f64, f64)]) -> World {
        let limits = limits.iter().map(|(name, rate, burst)| {
            let (rate, burst) = (*rate, *burst);
            (TenantName::from(*name), RateLimit { rate, burst })
        });
        let mut world = World {
            now: 0,
            nodes: Vec::new(),
            limits: limits.collect(),
            store_down: false,
            fault_permille: 0,
            runs: BTreeMap::new(),
            refused: BTreeMap::new(),
            quota_requests: 0,
            lease: None,
            record: None,
            network: Vec::new(),
            random: seed | 1,
        };
        for index in 0..nodes {
            let node = world.start(index);
            world.nodes.push(node);
        }
        world
    }

    pub fn random(&mut self, below: u64) -> u64 {
        self.random ^= self.random << 13;
        self.random ^= self.random >> 7;
        self.random ^= self.random << 17;
        (self.random >> 11) % below.max(1)
    }

    fn start(&mut self, index: usize) -> Node {
        let incarnation = self.random(u64::MAX);
        let machine = MachineName(format!("m-{index}"));
        let mut limiter = RateLimiter::new(machine, Incarnation(incarnation), settings());
        limiter.set_limits(self.limits.clone());
        Node {
            limiter,
            ledger: None,
            incarnation,
            confirmed_us: 0,
            down_until: 0,
            frozen_until: 0,
            partitioned: false,
            rejected_by_store: false,
            known_ledger: None,
            in_flight: None,
            waiting: Vec::new(),
            offset_us: 10 * SECOND_US + self.random(100 * SECOND_US),
            drift: 0.995 + self.random(10) as f64 / 1_000.0,
        }
    }

    fn local(&self, node: usize) -> Timestamp {
        let node = &self.nodes[node];
        Timestamp::from_micros(node.offset_us + (self.now as f64 * node.drift) as u64)
    }

    /// Ends a process and starts its next incarnation after `for_us`.
    pub fn kill(&mut self, node: usize, for_us: u64) {
        self.nodes[node] = self.start(node);
        self.nodes[node].down_until = self.now + for_us;
    }

    pub fn ledger(&self) -> Option<usize> {
        self.lease.as_ref().map(|lease| lease.node)
    }

    fn runs_now(&self, node: usize) -> bool {
        let node = &self.nodes[node];
        node.down_until <= self.now && node.frozen_until <= self.now
    }

    fn reaches_store(&self, node: usize) -> bool {
        let one = &self.nodes[node];
        self.runs_now(node) && !self.store_down && !one.partitioned && !one.rejected_by_store
    }

    /// A request arrives at a gateway.
    pub fn request(&mut self, node: usize, tenant: &str) {
        if !self.runs_now(node) {
            return;
        }
        let tenant = TenantName::from(tenant);
        let now = self.local(node);
        let admission = self.nodes[node].limiter.admit_new(now, &tenant);
        self.decide(node, tenant, now, admission);
    }

    fn decide(&mut self, node: usize, tenant: TenantName, since: Timestamp, admission: Admission) {
        match admission {
            Admission::Unlimited => unreachable!("every tenant has a limit"),
            Admission::Admitted => {
                // Back ends refuse one request in sixteen without running it.
                if self.random(16) == 0 && self.fault_permille > 0 {
                    let now = self.local(node);
                    self.nodes[node].limiter.refund(now, &tenant, now);
                    return;
                }
                let now = self.now;
                self.runs.entry(tenant).or_default().push(now);
            }
            Admission::Wait(_) => self.nodes[node].waiting.push((tenant, since)),
            Admission::Refused { .. } => *self.refused.entry(tenant).or_default() += 1,
        }
    }

    pub fn configure(&mut self, node: usize) {
        let limits = self.limits.clone();
        let now = self.local(node);
        let node = &mut self.nodes[node];
        node.limiter.set_limits(limits.clone());
        if let Some(ledger) = &mut node.ledger {
            ledger.set_limits(now, limits);
        }
    }

    pub fn run(&mut self, micros: u64) {
        let end = self.now + micros;
        while self.now < end {
            self.tick();
        }
    }

    pub fn tick(&mut self) {
        self.now += TICK_US;
        self.elect();
        self.deliver();
        for node in 0..self.nodes.len() {
            if self.runs_now(node) {
                self.step(node);
            }
        }
    }

    fn elect(&mut self) {
        for node in 0..self.nodes.len() {
            let Some(lease) = self.lease.clone() else {
                break;
            };
            let term = self.nodes[node].ledger.as_ref().map(Ledger::term);
            if term != Some(lease.term) || !self.reaches_store(node) {
                continue;
            }
            if self.now >= lease.renewed + RENEWAL_US {
                let renewed = self.now;
                self.lease = Some(Lease { renewed, ..lease });
                self.nodes[node].confirmed_us = renewed;
            }
        }
        let vacant = self
            .lease
            .as_ref()
            .is_none_or(|lease| self.now >= lease.renewed + TAKEOVER_US);
        if !vacant {
            return;
        }
        let candidate = self.random(self.nodes.len() as u64) as usize;
        if self.reaches_store(candidate) {
            self.become_ledger(candidate);
        }
    }

    fn become_ledger(&mut self, node: usize) {
        let now = self.local(node);
        let term = Term(self.lease.as_ref().map_or(1, |lease| lease.term.0 + 1));
        let predecessor = self.lease.as_ref().map(|_| Predecessor {
            lease_end: now + settings().lease * 102 / 100,
        });
        let found = self.record.take();
        let mut written = HolderRecord {
            term,
            ..found.clone().unwrap_or_default()
        };
        let machine = MachineName(format!("m-{node}"));
        written.machines.insert(machine.clone());
        written.ledgers.insert(machine.clone());
        self.record = Some(written.clone());
        let lease = LedgerElection {
            term,
            predecessor,
            found,
            written,
            machine,
        };
        let mut ledger = Ledger::new(now, settings(), lease);
        ledger.set_limits(now, self.limits.clone());
        self.nodes[node].ledger = Some(ledger);
        self.nodes[node].confirmed_us = self.now;
        let renewed = self.now;
        self.lease = Some(Lease {
            node,
            term,
            renewed,
        });
    }

    fn step(&mut self, node: usize) {
        self.read_store(node);
        let in_flight = self.nodes[node].in_flight;
        let late = in_flight.filter(|(_, at)| self.now >= at + REQUEST_TIMEOUT_US);
        if let Some((number, _)) = late {
            self.nodes[node].in_flight = None;
            let now = self.local(node);
            self.nodes[node].limiter.on_timeout(now, number);
            self.wake(node);
        }
        let now = self.local(node);
        if let Some(request) = self.nodes[node].limiter.poll(now) {
            self.quota_requests += 1;
            self.nodes[node].in_flight = Some((request.number, self.now));
            if let Some((to, _)) = self.nodes[node].known_ledger {
                self.send(node, to, Message::QuotaRequest(request));
            }
        }
        // Waiting requests are decided again when their time is over.
        if self.random(8) == 0 {
            self.wake(node);
        }
    }

    fn read_store(&mut self, node: usize) {
        if !self.reaches_store(node) {
            return;
        }
        if let Some(lease) = self.lease.clone().filter(|_| self.random(20) == 0) {
            let now = self.local(node);
            let one = &mut self.nodes[node];
            one.known_ledger = Some((lease.node, lease.term));
            one.limiter.observe_term(now, lease.term);
            let held = one.ledger.as_ref().map(Ledger::term);
            if held.is_some_and(|held| held < lease.term) {
                one.ledger = None;
            }
        }
        let written = self.record.as_ref().map(|record| record.term);
        let now = self.local(node);
        if let Some(ledger) = &mut self.nodes[node].ledger {
            if written != Some(ledger.term()) {
                return;
            }
            if let Some(record) = ledger.record_to_write(now) {
                ledger.on_record_written(record.clone());
                self.record = Some(record);
            }
        }
    }

    fn wake(&mut self, node: usize) {
        for (tenant, since) in std::mem::take(&mut self.nodes[node].waiting) {
            let now = self.local(node);
            let admission = self.nodes[node].limiter.admit(now, &tenant, since);
            self.decide(node, tenant, since, admission);
        }
    }

    fn send(&mut self, from: usize, to: usize, message: Message) {
        let mut due = self.now + self.random(10_000);
        let mut copies = 1;
        if self.random(1_000) < self.fault_permille {
            match self.random(4) {
                0 => return,
                1 => copies = 2,
                _ => due += self.random(3 * SECOND_US),
            }
        }
        for copy in 0..copies {
            let incarnation = match &message {
                Message::QuotaRequest(_) => 0,
                Message::QuotaResponse(..) => self.nodes[to].incarnation,
            };
            let message = match &message {
                Message::QuotaRequest(request) => Message::QuotaRequest(request.clone()),
                Message::QuotaResponse(number, answer) => {
                    Message::QuotaResponse(*number, answer.clone())
                }
            };
            let due = due + copy * self.random(SECOND_US);
            self.network.push(InFlight {
                due,
                from,
                to,
                incarnation,
                message,
            });
        }
    }

    fn deliver(&mut self) {
        let mut waiting = Vec::new();
        for sent in std::mem::take(&mut self.network) {
            if sent.due > self.now || self.nodes[sent.to].frozen_until > self.now {
                waiting.push(sent);
                continue;
            }
            let partitioned = self.nodes[sent.to].partitioned || self.nodes[sent.from].partitioned;
            if partitioned && sent.to != sent.from {
                // Messages held back by a partition are delivered after it
                // heals.
                waiting.push(sent);
                continue;
            }
            if !self.runs_now(sent.to) {
                continue;
            }
            self.arrive(sent);
        }
        self.network.extend(waiting);
    }

    fn arrive(&mut self, sent: InFlight) {
        let now = self.local(sent.to);
        match sent.message {
            Message::QuotaRequest(request) => {
                let answer = self.handle_request(sent.to, now, &request);
                self.send(
                    sent.to,
                    sent.from,
                    Message::QuotaResponse(request.number, answer),
                );
            }
            Message::QuotaResponse(number, answer) => {
                if self.nodes[sent.to].incarnation != sent.incarnation {
                    return;
                }
                let one = &mut self.nodes[sent.to];
                // The gateway waits for one response at a time, and no longer
                // than the timeout.
                if one
                    .in_flight
                    .is_some_and(|(in_flight, _)| in_flight == number)
                {
                    one.in_flight = None;
                    one.limiter.on_response(now, number, answer);
                    self.wake(sent.to);
                }
            }
        }
    }

    fn handle_request(
        &mut self,
        node: usize,
        now: Timestamp,
        request: &QuotaRequest,
    ) -> QuotaResponse {
        let office_us = settings().lease.as_micros() as u64;
        let time = self.now;
        let one = &mut self.nodes[node];
        let acts = time < one.confirmed_us + office_us;
        match &mut one.ledger {
            Some(ledger) if acts => ledger.handle_request(now, request),
            _ => QuotaResponse::NotLeader,
        }
    }

    /// Returns the maximum number of requests that ran in any window after
    /// `from`.
    pub fn max_in_window(&self, tenant: &str, from: u64) -> usize {
        let window = settings().window.as_micros() as u64;
        let Some(runs) = self.runs.get(&TenantName::from(tenant)) else {
            return 0;
        };
        let mut most = 0;
        let mut first = 0;
        for (last, at) in runs.iter().enumerate() {
            while runs[first] + window <= *at || runs[first] < from {
                first += 1;
                if first >= last {
                    break;
                }
            }
            if *at >= from {
                most = most.max(last + 1 - first);
            }
        }
        most
    }

    pub fn bound(&self, tenant: &str) -> f64 {
        let limit = self.limits[&TenantName::from(tenant)];
        let promised = settings();
        let allowed = limit.rate * promised.window.as_secs_f64() + limit.burst;
        allowed * (1.0 + promised.overage) + promised.slack
    }
}
