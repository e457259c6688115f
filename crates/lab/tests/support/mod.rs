//! Builders of small histories, and an in-memory output for recorders.

#![allow(dead_code)]

use std::sync::Arc;

use threadledge_lab::history::{Attempt, AttemptOutcome, ChildLine, Event, History, RequestId};
use threadledge_types::session::Grant;
use threadledge_types::{
    BackEndId, Epoch, Generation, Incarnation, Point, Revision, ServiceId, SessionId, Slice,
    Timestamp,
};

pub fn millis(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

pub fn service() -> ServiceId {
    ServiceId::new("kasamahan", "gallery")
}

pub fn session(name: &str) -> SessionId {
    SessionId {
        back_end: BackEndId::new("kasamahan", name),
        incarnation: Incarnation(1),
    }
}

pub fn revision(index: u64) -> Revision {
    Revision::new(Generation(1), index)
}

pub fn grant(epoch: u64) -> Grant {
    Grant {
        service: service(),
        slice: Slice::ALL,
        epoch: Epoch(revision(epoch)),
    }
}

/// Returns the events of a back end that owns all points from `begin` to `end`
/// under `epoch`.
pub fn ownership(name: &str, epoch: u64, begin: u64, end: u64) -> Vec<Event> {
    vec![
        Event::LeaseExtended {
            at: millis(begin),
            session: session(name),
            until: millis(end),
        },
        Event::GrantTaken {
            at: millis(begin),
            session: session(name),
            grant: grant(epoch),
        },
        Event::GrantReleased {
            at: millis(end),
            session: session(name),
            grant: grant(epoch),
        },
    ]
}

/// Returns the events of an execution from `begin` to `end`.
pub fn execution(name: &str, epoch: u64, request: u64, begin: u64, end: u64) -> Vec<Event> {
    vec![
        Event::ExecutionBegan {
            at: millis(begin),
            session: session(name),
            request: RequestId(request),
            service: service(),
            point: Point(7),
            epoch: Epoch(revision(epoch)),
        },
        Event::ExecutionEnded {
            at: millis(end),
            session: session(name),
            request: RequestId(request),
            completed: true,
        },
    ]
}

pub fn attempt(router: usize, begin: u64, end: u64, outcome: AttemptOutcome) -> Attempt {
    Attempt {
        router,
        begin: millis(begin),
        end: millis(end),
        outcome,
        reason: None,
        status: None,
    }
}

/// Returns the event of a request that must not be repeated.
pub fn request(number: u64, attempts: Vec<Attempt>) -> Event {
    let answered = attempts
        .last()
        .is_some_and(|last| last.outcome == AttemptOutcome::Answered);
    Event::RequestEnded {
        intended: attempts[0].begin,
        request: RequestId(number),
        service: service(),
        point: Point(7),
        repeatable: false,
        attempts,
        answer_matches: answered.then_some(true),
    }
}

pub fn assemble(parts: Vec<Vec<Event>>) -> History {
    History::assemble(parts.into_iter().flatten().collect())
}

/// Returns a correct run in which a slice moves from `a` to `b` and three
/// requests are executed.
pub fn correct_run() -> Vec<Vec<Event>> {
    vec![
        ownership("a", 1, 0, 1_000),
        ownership("b", 2, 1_010, 3_000),
        execution("a", 1, 1, 100, 110),
        execution("a", 1, 2, 900, 990),
        execution("b", 2, 3, 1_050, 1_060),
        vec![
            request(1, vec![attempt(0, 95, 115, AttemptOutcome::Answered)]),
            request(2, vec![attempt(1, 890, 995, AttemptOutcome::Answered)]),
            request(
                3,
                vec![
                    attempt(0, 1_000, 1_005, AttemptOutcome::NotRun),
                    attempt(1, 1_045, 1_065, AttemptOutcome::Answered),
                ],
            ),
        ],
    ]
}

/// An output whose lines the test can read.
#[derive(Clone, Default)]
pub struct OutputLines(Arc<std::sync::Mutex<Vec<u8>>>);

impl std::io::Write for OutputLines {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        self.0.lock().expect("the lines").extend(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

impl OutputLines {
    pub fn events(&self) -> Vec<Event> {
        let bytes = self.0.lock().expect("the lines").clone();
        String::from_utf8(bytes)
            .expect("text")
            .lines()
            .filter_map(|line| match serde_json::from_str(line).expect("a line") {
                ChildLine::Event(event) => Some(event),
                ChildLine::Ready => None,
            })
            .collect()
    }
}
