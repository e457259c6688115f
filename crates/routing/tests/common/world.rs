//! Simulation of one dispatcher in virtual time, with callers, back ends that
//! fail in every way, and records that change. It drives the dispatcher as a
//! shell does, records what really ran, and checks every guarantee.

mod records;

use std::collections::{BTreeMap, BTreeSet};

use threadledge_routing::backoff::splitmix64;
use threadledge_routing::{
    Attempt, AttemptEvent, AttemptFailure, AttemptNumber, Dispatcher, ExchangeId, Finish,
    RequestHead, SendDecision, Settings, Step,
};
use threadledge_types::objects::Priority;
use threadledge_types::records::RecordChange;
use threadledge_types::session::Refusal;
use threadledge_types::{Outcome, Timestamp};

use super::*;

pub const BACK_ENDS: [&str; 3] = ["a/one", "a/two", "b/one"];
pub const CONNECTIONS: u32 = 4;
const SERVICES: [(&str, &str); 2] = [("a/s", "a.test"), ("b/s", "b.test")];
const SLICES: u32 = 8;

/// Fault rates, in percent.
#[derive(Clone, Copy, Debug)]
pub struct Faults {
    pub attempts: u64,
    pub records: u64,
}

#[derive(Clone, Debug)]
enum Event {
    Poll(ExchangeId),
    Connected(ExchangeId, Box<Attempt>),
    Report(ExchangeId, AttemptNumber, AttemptEvent),
    Records(Vec<RecordChange>),
    Disconnect(ExchangeId),
}

/// What really happened to one exchange.
#[derive(Clone, Debug, Default)]
pub struct ExchangeRecord {
    pub repeatable: bool,
    pub priority: Priority,
    pub started: Timestamp,
    pub runs: u32,
    pub sends: u32,
    pub delivered: Option<AttemptNumber>,
    pub answered: BTreeSet<AttemptNumber>,
    pub finish: Option<(Timestamp, Finish)>,
    pub caller_disconnected: bool,
}

pub struct World {
    pub dispatcher: Dispatcher,
    pub now: Timestamp,
    pub exchanges: BTreeMap<ExchangeId, ExchangeRecord>,
    pub rejected: u32,
    pub faults: Faults,
    /// Response time without queueing, in milliseconds.
    pub answer_ms: u64,
    events: BTreeMap<(Timestamp, u64), Event>,
    event_count: u64,
    seed: u64,
    draws: u64,
    /// The real owners: service and slice number to back end, its incarnation
    /// and the epoch.
    owners: BTreeMap<(usize, u32), (usize, u64, u64)>,
    incarnations: [u64; BACK_ENDS.len()],
    revision: u64,
    open: BTreeMap<(ExchangeId, AttemptNumber), String>,
}

impl World {
    pub fn new(seed: u64, faults: Faults, settings: Settings) -> Self {
        let mut world = World {
            dispatcher: Dispatcher::new(settings, seed, at(0)),
            now: at(0),
            exchanges: BTreeMap::new(),
            rejected: 0,
            faults,
            answer_ms: 6,
            events: BTreeMap::new(),
            event_count: 0,
            seed,
            draws: 0,
            owners: BTreeMap::new(),
            incarnations: [1; BACK_ENDS.len()],
            revision: 1,
            open: BTreeMap::new(),
        };
        let records = full(1, world.first_records());
        world.dispatcher.apply(at(0), &records).expect("first");
        world.dispatcher.set_accepting(true);
        world
    }

    /// Draws a number below `bound`.
    pub fn draw(&mut self, bound: u64) -> u64 {
        self.draws += 1;
        splitmix64(splitmix64(self.seed) ^ self.draws) % bound
    }

    /// Sends a request of a caller.
    pub fn request(&mut self, service: usize, method: &str, path: &str) -> Option<ExchangeId> {
        let key = self.draw(64);
        let query = format!("key={key}");
        let head = RequestHead {
            method,
            host: SERVICES[service].1,
            path,
            query: Some(&query),
            headers: &NO_HEADERS,
            body_replayable: key != 0,
        };
        let matched = self.dispatcher.table().match_request(&head).expect("route");
        let Ok(id) = self.dispatcher.begin(self.now, &head) else {
            self.rejected += 1;
            self.poll_woken();
            return None;
        };
        let record = ExchangeRecord {
            repeatable: matched.repeatable,
            priority: matched.priority,
            started: self.now,
            ..ExchangeRecord::default()
        };
        assert!(
            self.exchanges.insert(id, record).is_none(),
            "a number used twice"
        );
        self.poll(id);
        self.poll_woken();
        Some(id)
    }

    /// Schedules a disconnect of a caller.
    pub fn disconnect_later(&mut self, id: ExchangeId, after_ms: u64) {
        self.schedule(after_ms * 1_000, Event::Disconnect(id));
    }

    /// Runs all events until `end`.
    pub fn run_until(&mut self, end: Timestamp) {
        while let Some(entry) = self.events.first_entry() {
            let time = entry.key().0;
            if time > end {
                break;
            }
            let event = entry.remove();
            self.now = self.now.max(time);
            self.handle(event);
            self.poll_woken();
        }
        self.now = self.now.max(end);
    }

    /// Checks that every exchange has ended with an outcome that is true.
    pub fn check_outcomes(&self) {
        for (id, record) in &self.exchanges {
            match (&record.finish, record.caller_disconnected) {
                (Some((_, finish)), _) => check_outcome(*id, record, finish),
                (None, true) => {}
                (None, false) => panic!("{id:?} has no outcome: {record:?}"),
            }
            assert!(record.repeatable || record.runs <= 1, "{id:?}: {record:?}");
        }
        let counters = self.dispatcher.counters();
        assert_eq!(counters.admitted, self.exchanges.len() as u64);
        assert_eq!(counters.ended(), counters.admitted);
        let load = self.dispatcher.load(self.now);
        assert_eq!(load.exchanges, 0);
        assert!(load.namespaces.is_empty());
        for back_end in &load.back_ends {
            assert_eq!((back_end.in_flight, back_end.queued), (0, 0));
        }
    }

    pub fn outcomes(&self, wanted: impl Fn(&ExchangeRecord, Outcome) -> bool) -> usize {
        let ended = self.exchanges.values().filter_map(|record| {
            let (_, finish) = record.finish.as_ref()?;
            wanted(record, finish.outcome).then_some(())
        });
        ended.count()
    }

    fn schedule(&mut self, after_micros: u64, event: Event) {
        self.event_count += 1;
        let time = self.now + std::time::Duration::from_micros(after_micros);
        self.events.insert((time, self.event_count), event);
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Poll(id) => self.poll(id),
            Event::Connected(id, attempt) => self.connected(id, *attempt),
            Event::Report(id, number, event) => self.report(id, number, event),
            Event::Records(changes) => {
                let records = delta(self.revision, changes);
                self.revision += 1;
                self.dispatcher.apply(self.now, &records).expect("in order");
            }
            Event::Disconnect(id) => {
                self.dispatcher.on_caller_disconnected(self.now, id);
                let record = self.exchanges.get_mut(&id).expect("known");
                record.caller_disconnected = record.finish.is_none();
                self.close_all(id);
            }
        }
    }

    fn poll_woken(&mut self) {
        loop {
            let woken = self.dispatcher.take_wakeups();
            if woken.is_empty() {
                break;
            }
            for id in woken {
                self.poll(id);
            }
        }
    }

    fn poll(&mut self, id: ExchangeId) {
        for _ in 0..100 {
            match self.dispatcher.next(self.now, id) {
                Step::Send(attempt) => self.send(id, attempt),
                Step::Cancel(number) => {
                    self.open.remove(&(id, number));
                }
                Step::Deliver(number) => {
                    let record = self.exchanges.get_mut(&id).expect("known");
                    assert!(record.delivered.is_none(), "two answers");
                    assert!(record.answered.contains(&number), "no answer to deliver");
                    record.delivered = Some(number);
                }
                Step::Wait { until } => {
                    assert!(until > self.now, "waits for the past");
                    let micros = until.since(self.now).as_micros() as u64;
                    return self.schedule(micros, Event::Poll(id));
                }
                Step::Finish(finish) => {
                    let record = self.exchanges.get_mut(&id).expect("known");
                    assert!(record.finish.is_none(), "two outcomes");
                    record.finish = Some((self.now, finish));
                    return self.close_all(id);
                }
                Step::Gone => return,
            }
        }
        panic!("{id:?} spins");
    }

    fn close_all(&mut self, id: ExchangeId) {
        self.open.retain(|(open, _), _| *open != id);
    }

    fn send(&mut self, id: ExchangeId, attempt: Attempt) {
        let record = self.exchanges.get_mut(&id).expect("known");
        record.sends += 1;
        let name = attempt.back_end.to_string();
        self.open.insert((id, attempt.number), name.clone());
        let open = self.open.values().filter(|open| **open == name).count();
        assert!(
            open <= CONNECTIONS as usize,
            "too many connections to {name}"
        );
        assert!(open <= attempt.connection_limit as usize);
        if self.draw(200) < self.faults.attempts {
            let events = [AttemptEvent::ConnectFailed, AttemptEvent::SentNothing];
            let event = events[self.draw(2) as usize];
            let micros = self.draw(3_000);
            return self.schedule(micros, Event::Report(id, attempt.number, event));
        }
        // Sometimes connecting takes so long that the owner has changed
        // meanwhile.
        let slow = self.draw(100) < self.faults.attempts / 4;
        let micros = self.draw(if slow { 3_000_000 } else { 1_000 });
        self.schedule(micros, Event::Connected(id, Box::new(attempt)));
    }

    fn connected(&mut self, id: ExchangeId, attempt: Attempt) {
        let decision = self.dispatcher.start_sending(self.now, id, attempt.number);
        if decision == SendDecision::Abandon {
            self.open.remove(&(id, attempt.number));
            return;
        }
        if self.draw(200) < self.faults.attempts {
            let nothing = AttemptEvent::SentNothing;
            return self.report(id, attempt.number, nothing);
        }
        self.process_on_back_end(id, &attempt);
    }

    /// Handles a request that reached the back end, and decides whether it
    /// runs.
    fn process_on_back_end(&mut self, id: ExchangeId, attempt: &Attempt) {
        let number = attempt.number;
        let micros = 1 + self.answer_ms * 500 + self.draw(self.answer_ms * 1_000);
        let lost = AttemptEvent::Failed(AttemptFailure::ConnectionLost);
        if !self.is_owner(attempt) {
            let refused = AttemptEvent::Refused(Refusal::WrongOwner);
            return self.schedule(1_000, Event::Report(id, number, refused));
        }
        if self.draw(100) >= self.faults.attempts {
            return self.answer(id, number, micros);
        }
        match self.draw(8) {
            // Crashes before running it.
            0 => self.schedule(micros, Event::Report(id, number, lost)),
            // Crashes after running it.
            1 => {
                self.run(id);
                self.schedule(micros, Event::Report(id, number, lost));
            }
            // Hangs, with or without running it.
            2 => {}
            3 => self.run(id),
            // Sends a response head without the rest.
            4 => {
                self.run(id);
                self.answered(id, number);
                let head = AttemptEvent::ResponseHead { status: 200 };
                self.schedule(micros, Event::Report(id, number, head));
                let cut = AttemptEvent::Failed(AttemptFailure::BadAnswer);
                self.schedule(micros + 500, Event::Report(id, number, cut));
            }
            // Responds late, and twice.
            5 => {
                self.answer(id, number, micros + 400_000);
                let again = AttemptEvent::Completed;
                self.schedule(micros + 500_000, Event::Report(id, number, again));
            }
            _ => {
                let refusal = Refusal::ALL[self.draw(6) as usize];
                let refused = AttemptEvent::Refused(refusal);
                self.schedule(micros, Event::Report(id, number, refused));
            }
        }
    }

    fn answer(&mut self, id: ExchangeId, number: AttemptNumber, micros: u64) {
        self.run(id);
        self.answered(id, number);
        let head = AttemptEvent::ResponseHead { status: 200 };
        self.schedule(micros, Event::Report(id, number, head));
        self.schedule(micros, Event::Report(id, number, AttemptEvent::Completed));
    }

    fn run(&mut self, id: ExchangeId) {
        self.exchanges.get_mut(&id).expect("known").runs += 1;
    }

    fn answered(&mut self, id: ExchangeId, number: AttemptNumber) {
        let record = self.exchanges.get_mut(&id).expect("known");
        record.answered.insert(number);
    }

    fn report(&mut self, id: ExchangeId, number: AttemptNumber, event: AttemptEvent) {
        let over = !matches!(event, AttemptEvent::ResponseHead { .. });
        if over {
            self.open.remove(&(id, number));
        }
        self.dispatcher.on_event(self.now, id, number, event);
        self.poll(id);
    }
}

fn check_outcome(id: ExchangeId, record: &ExchangeRecord, finish: &Finish) {
    match finish.outcome {
        Outcome::NotRun(_) => assert_eq!(record.runs, 0, "{id:?} ran: {record:?}"),
        Outcome::Answered => assert!(record.delivered.is_some(), "{id:?}: {record:?}"),
        Outcome::Unknown(_) => {}
    }
}
