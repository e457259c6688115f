//! Simulates back ends with queues, and the arrival of requests.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// The parameters of a simulation.
#[derive(Clone, Debug)]
pub struct Fleet {
    pub gateways: usize,
    /// Relative speed of each back end.
    pub speeds: Vec<f64>,
    pub slots: usize,
    /// Number of requests that a back end queues before it resets connections.
    pub queue: usize,
    /// Mean service time at speed 1, in seconds.
    pub work_s: f64,
    pub target_s: f64,
    pub timeout_s: f64,
    pub per_second: f64,
    pub length_s: f64,
}

/// Number of requests by how they ended.
#[derive(Clone, Copy, Debug, Default)]
pub struct Outcome {
    pub asked: u64,
    /// Answered within the target latency.
    pub in_target: u64,
    /// Answered later than that.
    pub late: u64,
    /// Reset, refused or timed out.
    pub unanswered: u64,
}

impl Outcome {
    /// Fraction of the requests that were answered within the target latency.
    pub fn in_target_share(&self) -> f64 {
        self.in_target as f64 / self.asked.max(1) as f64
    }

    /// Fraction of the requests without a response.
    pub fn unanswered_share(&self) -> f64 {
        self.unanswered as f64 / self.asked.max(1) as f64
    }

    pub fn plus(self, other: Outcome) -> Outcome {
        Outcome {
            asked: self.asked + other.asked,
            in_target: self.in_target + other.in_target,
            late: self.late + other.late,
            unanswered: self.unanswered + other.unanswered,
        }
    }
}

/// What a gateway does with a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Choice {
    /// Send it to this back end.
    Send(usize),
    /// Ask again at this time.
    Wait(u64),
    /// Tell the caller that it was not run.
    Refuse,
}

/// How a request ended at its back end.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum End {
    Answered,
    Reset,
    TimedOut,
}

/// The policy by which all gateways choose back ends. Times are in
/// microseconds.
pub trait Gateways {
    /// Decides on a request that has arrived at a gateway or asks again.
    fn choose(&mut self, now: u64, request: u64, gateway: usize, loads: &[Load]) -> Choice;
    /// Reports that a request ended at its back end. Returns the requests that
    /// should ask again.
    fn ended(&mut self, now: u64, request: u64, gateway: usize, end: End) -> Vec<u64>;
}

/// The true state of a back end, which only the oracle may use.
#[derive(Clone, Copy, Debug)]
pub struct Load {
    pub in_flight: usize,
    pub speed: f64,
    pub slots: usize,
    pub queue: usize,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Request(u64),
    Done { back_end: usize, request: u64 },
    Timeout(u64),
}

struct Request {
    gateway: usize,
    arrived_at: u64,
    work_s: f64,
    at: Option<usize>,
    ended: bool,
}

struct BackEnd {
    running: usize,
    waiting: VecDeque<u64>,
}

struct Simulation<'a> {
    fleet: &'a Fleet,
    requests: Vec<Request>,
    back_ends: Vec<BackEnd>,
    events: BinaryHeap<Reverse<(u64, Event)>>,
    outcome: Outcome,
}

pub fn micros(seconds: f64) -> u64 {
    (seconds * 1e6) as u64
}

/// Simulates one fleet with one policy.
pub fn simulate(fleet: &Fleet, gateways: &mut impl Gateways, seed: u64) -> Outcome {
    let mut simulation = Simulation::new(fleet, seed);
    while let Some(Reverse((now, event))) = simulation.events.pop() {
        match event {
            Event::Request(request) => simulation.on_request(now, request, gateways),
            Event::Done { back_end, request } => {
                simulation.on_done(now, back_end, request, gateways);
            }
            Event::Timeout(request) => simulation.on_timeout(now, request, gateways),
        }
    }
    simulation.outcome
}

impl<'a> Simulation<'a> {
    fn new(fleet: &'a Fleet, seed: u64) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut simulation = Simulation {
            fleet,
            requests: Vec::new(),
            back_ends: Vec::new(),
            events: BinaryHeap::new(),
            outcome: Outcome::default(),
        };
        for _ in &fleet.speeds {
            simulation.back_ends.push(BackEnd {
                running: 0,
                waiting: VecDeque::new(),
            });
        }
        let mut at = 1.0;
        while at < 1.0 + fleet.length_s {
            at -= (1.0 - random.random::<f64>()).ln() / fleet.per_second;
            let request = Request {
                gateway: random.random_range(0..fleet.gateways),
                arrived_at: micros(at),
                work_s: fleet.work_s * (0.5 + random.random::<f64>()),
                at: None,
                ended: false,
            };
            let number = simulation.requests.len() as u64;
            simulation.push(request.arrived_at, Event::Request(number));
            simulation.requests.push(request);
        }
        simulation.outcome.asked = simulation.requests.len() as u64;
        simulation
    }

    fn push(&mut self, at: u64, event: Event) {
        self.events.push(Reverse((at, event)));
    }

    fn loads(&self) -> Vec<Load> {
        let load = |(back_end, speed): (&BackEnd, &f64)| Load {
            in_flight: back_end.running + back_end.waiting.len(),
            speed: *speed,
            slots: self.fleet.slots,
            queue: self.fleet.queue,
        };
        self.back_ends
            .iter()
            .zip(&self.fleet.speeds)
            .map(load)
            .collect()
    }

    fn on_request(&mut self, now: u64, number: u64, gateways: &mut impl Gateways) {
        let request = &self.requests[number as usize];
        if request.ended || request.at.is_some() {
            return;
        }
        let gateway = request.gateway;
        let loads = self.loads();
        match gateways.choose(now, number, gateway, &loads) {
            Choice::Wait(until) => self.push(until.max(now + 1), Event::Request(number)),
            Choice::Refuse => self.fail(number),
            Choice::Send(back_end) => self.send(now, number, back_end, gateways),
        }
    }

    fn send(&mut self, now: u64, number: u64, back_end: usize, gateways: &mut impl Gateways) {
        let state = &mut self.back_ends[back_end];
        if state.running < self.fleet.slots {
            state.running += 1;
            self.requests[number as usize].at = Some(back_end);
            self.start(now, back_end, number);
        } else if state.waiting.len() < self.fleet.queue {
            state.waiting.push_back(number);
            self.requests[number as usize].at = Some(back_end);
        } else {
            self.fail(number);
            self.notify_gateway(now, number, End::Reset, gateways);
            return;
        }
        let until = self.requests[number as usize].arrived_at + micros(self.fleet.timeout_s);
        self.push(until, Event::Timeout(number));
    }

    fn start(&mut self, now: u64, back_end: usize, number: u64) {
        let work_s = self.requests[number as usize].work_s / self.fleet.speeds[back_end];
        let done = Event::Done {
            back_end,
            request: number,
        };
        self.push(now + micros(work_s), done);
    }

    fn on_done(&mut self, now: u64, back_end: usize, number: u64, gateways: &mut impl Gateways) {
        self.start_next(now, back_end);
        let request = &mut self.requests[number as usize];
        if std::mem::replace(&mut request.ended, true) {
            return;
        }
        if now - request.arrived_at <= micros(self.fleet.target_s) {
            self.outcome.in_target += 1;
        } else {
            self.outcome.late += 1;
        }
        self.notify_gateway(now, number, End::Answered, gateways);
    }

    fn start_next(&mut self, now: u64, back_end: usize) {
        let state = &mut self.back_ends[back_end];
        state.running -= 1;
        while let Some(next) = self.back_ends[back_end].waiting.pop_front() {
            if self.requests[next as usize].ended {
                continue;
            }
            self.back_ends[back_end].running += 1;
            self.start(now, back_end, next);
            return;
        }
    }

    fn on_timeout(&mut self, now: u64, number: u64, gateways: &mut impl Gateways) {
        if self.requests[number as usize].ended {
            return;
        }
        self.fail(number);
        if let Some(back_end) = self.requests[number as usize].at {
            self.back_ends[back_end]
                .waiting
                .retain(|other| *other != number);
        }
        self.notify_gateway(now, number, End::TimedOut, gateways);
    }

    fn fail(&mut self, number: u64) {
        self.requests[number as usize].ended = true;
        self.outcome.unanswered += 1;
    }

    fn notify_gateway(&mut self, now: u64, number: u64, end: End, gateways: &mut impl Gateways) {
        let gateway = self.requests[number as usize].gateway;
        for woken in gateways.ended(now, number, gateway, end) {
            self.push(now, Event::Request(woken));
        }
    }
}
