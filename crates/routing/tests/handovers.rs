//! Planned moves of a slice in virtual time: the former owner refuses once it
//! has released the slice, the router learns of the next owner later, and the
//! next owner serves once it has its grant.

mod common;

use std::collections::BTreeMap;

use common::*;
use threadledge_routing::{
    Attempt, AttemptEvent, AttemptNumber, Dispatcher, ExchangeId, RequestHead, SendDecision,
    Settings, Step,
};
use threadledge_types::session::Refusal;
use threadledge_types::{Outcome, Slice, Timestamp};

const NETWORK_MICROS: u64 = 500;
const SERVICE_MICROS: u64 = 2_000;
const REQUESTS: u64 = 300;
const RELEASED_AT: u64 = 100;

#[derive(Debug)]
enum Event {
    Request(u64),
    Poll(ExchangeId),
    Arrive(ExchangeId, Attempt),
    Report(ExchangeId, AttemptNumber, AttemptEvent),
    Table,
}

/// Simulation of one router and the two owners of a slice that moves.
struct HandoverModel {
    router: Dispatcher,
    now: Timestamp,
    events: BTreeMap<(Timestamp, u64), Event>,
    event_count: u64,
    granted_at: Timestamp,
    sent: u64,
    refused_by_next: u64,
    started: BTreeMap<ExchangeId, Timestamp>,
    answered: u64,
    other_outcomes: Vec<Outcome>,
    max_latency_ms: u64,
}

impl HandoverModel {
    fn run(table_at: u64, granted_at: u64) -> HandoverModel {
        let changes = vec![
            service("a/s", "s.test", vec![route("r", "/")]),
            back_end("a/one", 64, 200),
            back_end("a/two", 64, 200),
            session("a/one", 1, false),
            session("a/two", 1, false),
            slice("a/s", Slice::ALL, Some(("a/one", 1)), 1),
        ];
        let mut run = HandoverModel {
            router: dispatcher(Settings::default(), &full(1, changes)),
            now: at(0),
            events: BTreeMap::new(),
            event_count: 0,
            granted_at: at(granted_at),
            sent: 0,
            refused_by_next: 0,
            started: BTreeMap::new(),
            answered: 0,
            other_outcomes: Vec::new(),
            max_latency_ms: 0,
        };
        for number in 0..REQUESTS {
            run.schedule(number * 1_000, Event::Request(number));
        }
        run.schedule(table_at * 1_000, Event::Table);
        while let Some(((now, _), event)) = run.events.pop_first() {
            run.now = now;
            run.handle(event);
            for id in run.router.take_wakeups() {
                run.schedule(0, Event::Poll(id));
            }
        }
        assert!(run.started.is_empty(), "every request has its outcome");
        run
    }

    fn schedule(&mut self, after_micros: u64, event: Event) {
        self.event_count += 1;
        let time = self.now + std::time::Duration::from_micros(after_micros);
        self.events.insert((time, self.event_count), event);
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Request(number) => self.request(number),
            Event::Poll(id) => self.poll(id),
            Event::Arrive(id, attempt) => self.arrive(id, &attempt),
            Event::Report(id, number, event) => {
                self.router.on_event(self.now, id, number, event);
                self.poll(id);
            }
            Event::Table => {
                let moved = vec![slice("a/s", Slice::ALL, Some(("a/two", 1)), 2)];
                self.router.apply(self.now, &delta(1, moved)).expect("fits");
            }
        }
    }

    fn request(&mut self, number: u64) {
        let query = format!("key={number}");
        let method = if number.is_multiple_of(2) {
            "GET"
        } else {
            "POST"
        };
        let head = RequestHead {
            query: Some(&query),
            ..head(method, "/", &NO_HEADERS)
        };
        let id = self.router.begin(self.now, &head).expect("admitted");
        self.started.insert(id, self.now);
        self.poll(id);
    }

    fn poll(&mut self, id: ExchangeId) {
        loop {
            match self.router.next(self.now, id) {
                Step::Send(attempt) => self.send(id, attempt),
                Step::Wait { until } => {
                    assert!(until > self.now, "waits for the past");
                    let micros = until.since(self.now).as_micros() as u64;
                    return self.schedule(micros, Event::Poll(id));
                }
                Step::Finish(finish) => return self.ended(id, finish.outcome),
                Step::Gone => return,
                Step::Deliver(_) | Step::Cancel(_) => {}
            }
        }
    }

    fn send(&mut self, id: ExchangeId, attempt: Attempt) {
        let decision = self.router.start_sending(self.now, id, attempt.number);
        if decision != SendDecision::Abandon {
            self.sent += 1;
            self.schedule(NETWORK_MICROS, Event::Arrive(id, attempt));
        }
    }

    fn arrive(&mut self, id: ExchangeId, attempt: &Attempt) {
        let is_next = attempt.back_end.name == "two";
        let serves = if is_next {
            self.now >= self.granted_at
        } else {
            self.now < at(RELEASED_AT)
        };
        let (micros, event) = if serves {
            (SERVICE_MICROS, AttemptEvent::Completed)
        } else {
            self.refused_by_next += u64::from(is_next);
            (0, AttemptEvent::Refused(Refusal::WrongOwner))
        };
        let report = Event::Report(id, attempt.number, event);
        self.schedule(micros + NETWORK_MICROS, report);
    }

    fn ended(&mut self, id: ExchangeId, outcome: Outcome) {
        let started = self.started.remove(&id).expect("one outcome");
        let took = self.now.since(started).as_millis() as u64;
        self.max_latency_ms = self.max_latency_ms.max(took);
        match outcome {
            Outcome::Answered => self.answered += 1,
            outcome => self.other_outcomes.push(outcome),
        }
    }

    /// Checks that every request is answered within 50 ms and few are sent in
    /// vain.
    #[track_caller]
    fn check(&self) {
        println!(
            "sent {} slowest {} ms refused by the next owner {}",
            self.sent, self.max_latency_ms, self.refused_by_next
        );
        assert_eq!(self.other_outcomes, []);
        assert_eq!(self.answered, REQUESTS);
        assert!(self.max_latency_ms < 50, "{} ms", self.max_latency_ms);
        // One refusal for each request during the gap, and a few probes.
        assert!(self.sent <= REQUESTS + 50, "{} sent", self.sent);
    }
}

#[test]
fn a_router_that_learns_late_of_a_move_resends_at_once() {
    let run = HandoverModel::run(RELEASED_AT + 25, RELEASED_AT + 10);
    run.check();
    assert_eq!(run.refused_by_next, 0);
}

#[test]
fn a_router_that_learns_before_the_next_owner_has_its_grant_probes_rarely() {
    let run = HandoverModel::run(RELEASED_AT + 5, RELEASED_AT + 25);
    run.check();
    assert!(run.refused_by_next <= 30, "{}", run.refused_by_next);
}

#[test]
fn a_move_known_to_router_and_next_owner_at_once_adds_no_latency() {
    let run = HandoverModel::run(RELEASED_AT, RELEASED_AT);
    run.check();
    assert!(run.max_latency_ms < 10, "{} ms", run.max_latency_ms);
}
