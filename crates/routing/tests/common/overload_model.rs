//! Simulation of routers that share back ends with few slots, in virtual time
//! and under open load, for tests of overload, priorities and shares.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use threadledge_routing::backoff::splitmix64;
use threadledge_routing::{
    Attempt, AttemptEvent, AttemptNumber, Dispatcher, ExchangeId, RequestHead, SendDecision,
    Settings, Step,
};
use threadledge_types::records::RecordDelta;
use threadledge_types::session::Refusal;
use threadledge_types::{NotRunReason, Outcome, Timestamp};

use super::*;

/// One-way network delay between router and back end.
const NETWORK_MICROS: u64 = 500;

/// Delay of a response that is stuck on its connection.
const STUCK_RESPONSE_MICROS: u64 = 300_000;

type Request = (usize, ExchangeId, AttemptNumber);

#[derive(Debug)]
enum Event {
    Poll(usize, ExchangeId),
    Unfreeze,
    Connected(Request, Box<Attempt>),
    Arrive(Request, Box<Attempt>),
    Served(String, Request),
    Report(Request, AttemptEvent),
}

/// A back-end process with slots and a queue of its own.
#[derive(Debug, Default)]
struct Server {
    running: u32,
    waiting: VecDeque<Request>,
}

/// Results of the requests of one path.
#[derive(Clone, Debug, Default)]
pub struct PathStats {
    pub offered: u64,
    pub answered: u64,
    pub not_run: BTreeMap<&'static str, u64>,
    pub unknown: u64,
    pub latencies: Vec<Duration>,
}

impl PathStats {
    pub fn answered_share(&self) -> f64 {
        self.answered as f64 / self.offered as f64
    }

    pub fn latency_ms(&self, percent: usize) -> u64 {
        let mut latencies = self.latencies.clone();
        latencies.sort();
        let last = latencies.len().saturating_sub(1);
        let found = latencies.get(last * percent / 100).copied();
        found.unwrap_or_default().as_millis() as u64
    }

    fn refused(&mut self, reason: NotRunReason) {
        *self.not_run.entry(reason.as_str()).or_default() += 1;
    }
}

/// A stream of requests at a constant rate.
#[derive(Clone, Copy, Debug)]
pub struct Stream {
    pub host: &'static str,
    pub path: &'static str,
    pub method: &'static str,
    pub per_second: u64,
}

pub struct OverloadModel {
    pub routers: Vec<Dispatcher>,
    pub stats: BTreeMap<&'static str, PathStats>,
    pub refusals: u64,
    pub max_open_connections: usize,
    /// Number of routers that callers use.
    pub used_routers: usize,
    /// One response in this many is stuck on its connection; 0 for none.
    pub stuck_response_interval: u64,
    frozen: bool,
    deferred_events: Vec<Event>,
    slots: u32,
    server_queue: usize,
    service_micros: u64,
    now: Timestamp,
    events: BTreeMap<(Timestamp, u64), Event>,
    event_count: u64,
    servers: BTreeMap<String, Server>,
    started: BTreeMap<(usize, ExchangeId), (Timestamp, &'static str)>,
    open: BTreeMap<Request, ()>,
}

impl OverloadModel {
    pub fn new(routers: usize, settings: Settings, records: &RecordDelta) -> Self {
        let routers = (0..routers).map(|number| {
            let mut router = Dispatcher::new(settings.clone(), number as u64, at(0));
            router.apply(at(0), records).expect("first");
            router.set_accepting(true);
            router
        });
        let mut routers: Vec<Dispatcher> = routers.collect();
        let count = routers.len() as u32;
        for router in &mut routers {
            router.set_router_count(at(0), count);
        }
        OverloadModel {
            routers,
            stats: BTreeMap::new(),
            refusals: 0,
            max_open_connections: 0,
            used_routers: count as usize,
            stuck_response_interval: 0,
            frozen: false,
            deferred_events: Vec::new(),
            slots: 2,
            server_queue: 4,
            service_micros: 10_000,
            now: at(0),
            events: BTreeMap::new(),
            event_count: 0,
            servers: BTreeMap::new(),
            started: BTreeMap::new(),
            open: BTreeMap::new(),
        }
    }

    /// Offers the streams for `seconds`, with arrivals at random times.
    pub fn offer(&mut self, streams: &[Stream], seconds: u64) {
        let mut arrivals: Vec<(u64, Stream)> = Vec::new();
        for (salt, stream) in (1..).zip(streams) {
            for number in 0..stream.per_second * seconds {
                let micros = splitmix64(salt << 40 | number) % (seconds * 1_000_000);
                arrivals.push((micros, *stream));
            }
        }
        arrivals.sort_by_key(|(micros, _)| *micros);
        let start = self.now;
        for (micros, stream) in arrivals {
            self.run_until(start + Duration::from_micros(micros));
            self.request(stream);
        }
    }

    pub fn run_until(&mut self, end: Timestamp) {
        while let Some(entry) = self.events.first_entry() {
            if entry.key().0 > end {
                break;
            }
            self.now = entry.key().0;
            let event = entry.remove();
            self.handle(event);
        }
        self.now = end;
    }

    /// Stops every server process for a while; nothing is lost.
    pub fn freeze(&mut self, length: Duration) {
        self.frozen = true;
        self.schedule(length.as_micros() as u64, Event::Unfreeze);
    }

    /// Runs until every exchange has ended.
    pub fn finish(&mut self) {
        self.run_until(self.now + Duration::from_secs(60));
        assert!(self.started.is_empty());
    }

    pub fn stats(&self, path: &str) -> &PathStats {
        &self.stats[path]
    }

    fn request(&mut self, stream: Stream) {
        let draw = splitmix64(self.event_count ^ 0xabc);
        let router = draw as usize % self.used_routers;
        let query = format!("key={}", draw >> 32);
        let head = RequestHead {
            method: stream.method,
            host: stream.host,
            path: stream.path,
            query: Some(&query),
            headers: &NO_HEADERS,
            body_replayable: true,
        };
        let stats = self.stats.entry(stream.path).or_default();
        stats.offered += 1;
        self.event_count += 1;
        match self.routers[router].begin(self.now, &head) {
            Ok(id) => {
                self.started.insert((router, id), (self.now, stream.path));
                self.poll(router, id);
            }
            Err(refused) => stats.refused(refused.reason),
        }
        self.poll_woken(router);
    }

    fn schedule(&mut self, after_micros: u64, event: Event) {
        self.event_count += 1;
        let time = self.now + Duration::from_micros(after_micros);
        self.events.insert((time, self.event_count), event);
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Poll(router, id) => {
                self.poll(router, id);
                self.poll_woken(router);
            }
            Event::Arrive(..) | Event::Served(..) if self.frozen => {
                self.deferred_events.push(event)
            }
            Event::Connected(request, attempt) => self.connected(request, attempt),
            Event::Arrive(request, attempt) => self.arrive(request, &attempt),
            Event::Served(name, request) => self.served(&name, request),
            Event::Unfreeze => {
                self.frozen = false;
                for event in std::mem::take(&mut self.deferred_events) {
                    self.handle(event);
                }
            }
            Event::Report(request, event) => self.report(request, event),
        }
    }

    fn poll_woken(&mut self, router: usize) {
        loop {
            let woken = self.routers[router].take_wakeups();
            if woken.is_empty() {
                break;
            }
            for id in woken {
                self.poll(router, id);
            }
        }
    }

    fn poll(&mut self, router: usize, id: ExchangeId) {
        loop {
            match self.routers[router].next(self.now, id) {
                Step::Send(attempt) => {
                    let request = (router, id, attempt.number);
                    self.open.insert(request, ());
                    self.max_open_connections = self.max_open_connections.max(self.open.len());
                    let connected = Event::Connected(request, Box::new(attempt));
                    self.schedule(NETWORK_MICROS, connected);
                }
                Step::Cancel(number) => {
                    self.open.remove(&(router, id, number));
                }
                Step::Deliver(_) => {}
                Step::Wait { until } => {
                    assert!(until > self.now, "waits for the past");
                    let micros = until.since(self.now).as_micros() as u64;
                    return self.schedule(micros, Event::Poll(router, id));
                }
                Step::Finish(finish) => return self.ended(router, id, finish.outcome),
                Step::Gone => return,
            }
        }
    }

    fn ended(&mut self, router: usize, id: ExchangeId, outcome: Outcome) {
        self.open
            .retain(|(of, open, _), ()| (*of, *open) != (router, id));
        let (start, path) = self.started.remove(&(router, id)).expect("one outcome");
        let stats = self.stats.get_mut(path).expect("offered");
        match outcome {
            Outcome::Answered => {
                stats.answered += 1;
                stats.latencies.push(self.now.since(start));
            }
            Outcome::NotRun(reason) => stats.refused(reason),
            Outcome::Unknown(_) => stats.unknown += 1,
        }
    }

    fn connected(&mut self, request: Request, attempt: Box<Attempt>) {
        let (router, id, number) = request;
        let decision = self.routers[router].start_sending(self.now, id, number);
        if decision == SendDecision::Abandon {
            self.open.remove(&request);
            return self.poll_woken(router);
        }
        self.handle(Event::Arrive(request, attempt));
    }

    fn arrive(&mut self, request: Request, attempt: &Attempt) {
        let name = attempt.back_end.to_string();
        let server = self.servers.entry(name.clone()).or_default();
        if server.running < self.slots {
            server.running += 1;
            self.serve(name, request);
        } else if server.waiting.len() < self.server_queue {
            server.waiting.push_back(request);
        } else {
            self.refusals += 1;
            let refused = AttemptEvent::Refused(Refusal::Overloaded);
            self.schedule(NETWORK_MICROS, Event::Report(request, refused));
        }
    }

    fn serve(&mut self, name: String, request: Request) {
        let draw = splitmix64(self.event_count) % self.service_micros;
        let micros = self.service_micros / 2 + draw;
        self.schedule(micros, Event::Served(name, request));
    }

    fn served(&mut self, name: &str, request: Request) {
        let done = Event::Report(request, AttemptEvent::Completed);
        let draw = splitmix64(self.event_count ^ 0xdef);
        let stuck =
            self.stuck_response_interval > 0 && draw.is_multiple_of(self.stuck_response_interval);
        let micros = if stuck {
            STUCK_RESPONSE_MICROS
        } else {
            NETWORK_MICROS
        };
        self.schedule(micros, done);
        let server = self.servers.get_mut(name).expect("serves");
        match server.waiting.pop_front() {
            Some(next) => self.serve(name.to_owned(), next),
            None => server.running -= 1,
        }
    }

    fn report(&mut self, request: Request, event: AttemptEvent) {
        let (router, id, number) = request;
        if self.open.remove(&request).is_none() {
            return;
        }
        self.routers[router].on_event(self.now, id, number, event);
        self.poll(router, id);
        self.poll_woken(router);
    }
}
