//! Gateways, the store that elects a ledger among them, and a network that
//! delays, loses and repeats what they tell each other.

use std::collections::BTreeMap;
use std::time::Duration;

use threadledge_coordination::Term;
use threadledge_limits::ledger::LedgerElection;
use threadledge_limits::{
    Admission, QuotaResponse, QuotaRequest, HolderRecord, Ledger, Predecessor, Settings, RateLimiter,
};
use threadledge_types::deployment::{RateLimit, TenantName};
use threadledge_types::{Incarnation, MachineName, Timestamp};

pub const TICK_US: u64 = 5_000;
const ASK_TIMEOUT_US: u64 = 300_000;
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
    pub spender: RateLimiter,
    pub ledger: Option<Ledger>,
    incarnation: u64,
    confirmed_us: u64,
    pub down_until: u64,
    pub frozen_until: u64,
    /// Neither the store nor other gateways reach it.
    pub cut: bool,
    /// The store turns it away.
    pub turned_away: bool,
    told: Option<(usize, Term)>,
    asked: Option<(u64, u64)>,
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
struct Held {
    node: usize,
    term: Term,
    renewed: u64,
}

pub struct World {
    pub now: u64,
    pub nodes: Vec<Node>,
    pub limits: BTreeMap<TenantName, RateLimit>,
    pub store_away: bool,
    /// Parts in a thousand of messages that are lost, late or repeated.
    pub trouble: u64,
    pub runs: BTreeMap<TenantName, Vec<u64>>,
    pub refused: BTreeMap<TenantName, u64>,
    pub asks: u64,
    office: Option<Held>,
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
            store_away: false,
            trouble: 0,
            runs: BTreeMap::new(),
            refused: BTreeMap::new(),
            asks: 0,
            office: None,
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
        let mut spender = RateLimiter::new(machine, Incarnation(incarnation), settings());
        spender.set_limits(self.limits.clone());
        Node {
            spender,
            ledger: None,
            incarnation,
            confirmed_us: 0,
            down_until: 0,
            frozen_until: 0,
            cut: false,
            turned_away: false,
            told: None,
            asked: None,
            waiting: Vec::new(),
            offset_us: 10 * SECOND_US + self.random(100 * SECOND_US),
            drift: 0.995 + self.random(10) as f64 / 1_000.0,
        }
    }

    fn local(&self, node: usize) -> Timestamp {
        let node = &self.nodes[node];
        Timestamp::from_micros(node.offset_us + (self.now as f64 * node.drift) as u64)
    }

    /// Ends a process; another life of it begins after so long.
    pub fn kill(&mut self, node: usize, for_us: u64) {
        self.nodes[node] = self.start(node);
        self.nodes[node].down_until = self.now + for_us;
    }

    pub fn ledger(&self) -> Option<usize> {
        self.office.as_ref().map(|office| office.node)
    }

    fn runs_now(&self, node: usize) -> bool {
        let node = &self.nodes[node];
        node.down_until <= self.now && node.frozen_until <= self.now
    }

    fn reaches_store(&self, node: usize) -> bool {
        let one = &self.nodes[node];
        self.runs_now(node) && !self.store_away && !one.cut && !one.turned_away
    }

    /// A request arrives.
    pub fn request(&mut self, node: usize, tenant: &str) {
        if !self.runs_now(node) {
            return;
        }
        let tenant = TenantName::from(tenant);
        let now = self.local(node);
        let admission = self.nodes[node].spender.admit_new(now, &tenant);
        self.decide(node, tenant, now, admission);
    }

    fn decide(&mut self, node: usize, tenant: TenantName, since: Timestamp, admission: Admission) {
        match admission {
            Admission::Unlimited => unreachable!("every tenant has a limit"),
            Admission::Admitted => {
                // One in sixteen is refused by back ends without having run.
                if self.random(16) == 0 && self.trouble > 0 {
                    let now = self.local(node);
                    self.nodes[node].spender.refund(now, &tenant, now);
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
        node.spender.set_limits(limits.clone());
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
            let Some(office) = self.office.clone() else {
                break;
            };
            let term = self.nodes[node].ledger.as_ref().map(Ledger::term);
            if term != Some(office.term) || !self.reaches_store(node) {
                continue;
            }
            if self.now >= office.renewed + RENEWAL_US {
                let renewed = self.now;
                self.office = Some(Held { renewed, ..office });
                self.nodes[node].confirmed_us = renewed;
            }
        }
        let vacant = self
            .office
            .as_ref()
            .is_none_or(|office| self.now >= office.renewed + TAKEOVER_US);
        if !vacant {
            return;
        }
        let candidate = self.random(self.nodes.len() as u64) as usize;
        if self.reaches_store(candidate) {
            self.take_office(candidate);
        }
    }

    fn take_office(&mut self, node: usize) {
        let now = self.local(node);
        let term = Term(self.office.as_ref().map_or(1, |office| office.term.0 + 1));
        let predecessor = self.office.as_ref().map(|_| Predecessor {
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
        let office = LedgerElection {
            term,
            predecessor,
            found,
            written,
            machine,
        };
        let mut ledger = Ledger::new(now, settings(), office);
        ledger.set_limits(now, self.limits.clone());
        self.nodes[node].ledger = Some(ledger);
        self.nodes[node].confirmed_us = self.now;
        let renewed = self.now;
        self.office = Some(Held {
            node,
            term,
            renewed,
        });
    }

    fn step(&mut self, node: usize) {
        self.look_at_store(node);
        let asked = self.nodes[node].asked;
        let late = asked.filter(|(_, at)| self.now >= at + ASK_TIMEOUT_US);
        if let Some((number, _)) = late {
            self.nodes[node].asked = None;
            let now = self.local(node);
            self.nodes[node].spender.on_timeout(now, number);
            self.wake(node);
        }
        let now = self.local(node);
        if let Some(ask) = self.nodes[node].spender.poll(now) {
            self.asks += 1;
            self.nodes[node].asked = Some((ask.number, self.now));
            if let Some((to, _)) = self.nodes[node].told {
                self.send(node, to, Message::QuotaRequest(ask));
            }
        }
        // Whoever waits looks again when its time is over.
        if self.random(8) == 0 {
            self.wake(node);
        }
    }

    fn look_at_store(&mut self, node: usize) {
        if !self.reaches_store(node) {
            return;
        }
        if let Some(office) = self.office.clone().filter(|_| self.random(20) == 0) {
            let now = self.local(node);
            let one = &mut self.nodes[node];
            one.told = Some((office.node, office.term));
            one.spender.observe_term(now, office.term);
            let held = one.ledger.as_ref().map(Ledger::term);
            if held.is_some_and(|held| held < office.term) {
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
            let admission = self.nodes[node].spender.admit(now, &tenant, since);
            self.decide(node, tenant, since, admission);
        }
    }

    fn send(&mut self, from: usize, to: usize, message: Message) {
        let mut due = self.now + self.random(10_000);
        let mut copies = 1;
        if self.random(1_000) < self.trouble {
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
                Message::QuotaRequest(ask) => Message::QuotaRequest(ask.clone()),
                Message::QuotaResponse(number, answer) => Message::QuotaResponse(*number, answer.clone()),
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
            let cut = self.nodes[sent.to].cut || self.nodes[sent.from].cut;
            if cut && sent.to != sent.from {
                // What the network holds back arrives when it is whole again.
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
            Message::QuotaRequest(ask) => {
                let answer = self.answer(sent.to, now, &ask);
                self.send(sent.to, sent.from, Message::QuotaResponse(ask.number, answer));
            }
            Message::QuotaResponse(number, answer) => {
                if self.nodes[sent.to].incarnation != sent.incarnation {
                    return;
                }
                let one = &mut self.nodes[sent.to];
                // The shell waits for one answer, and no longer than it says.
                if one.asked.is_some_and(|(asked, _)| asked == number) {
                    one.asked = None;
                    one.spender.on_response(now, number, answer);
                    self.wake(sent.to);
                }
            }
        }
    }

    fn answer(&mut self, node: usize, now: Timestamp, ask: &QuotaRequest) -> QuotaResponse {
        let office_us = settings().lease.as_micros() as u64;
        let time = self.now;
        let one = &mut self.nodes[node];
        let acts = time < one.confirmed_us + office_us;
        match &mut one.ledger {
            Some(ledger) if acts => ledger.answer(now, ask),
            _ => QuotaResponse::NotLeader,
        }
    }

    /// Most requests that ran in any window, after `from`.
    pub fn busiest(&self, tenant: &str, from: u64) -> usize {
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
