//! Requests that back ends keep refusing: how many attempts they make, and when
//! their callers get an outcome.

mod common;

use common::*;
use threadledge_routing::{AttemptEvent, Dispatcher, Finish, Settings, Step};
use threadledge_types::session::Refusal;
use threadledge_types::{NotRunReason, Outcome};

#[test]
fn an_owner_that_keeps_refusing_gets_few_attempts() {
    let mut dispatcher = dispatcher_with_slots(1);
    let id = begin(&mut dispatcher, 0, "POST", "/");
    let (mut now, mut attempts) = (0, 0);
    let finish = loop {
        match dispatcher.next(at(now), id) {
            Step::Send(attempt) => {
                attempts += 1;
                dispatcher.start_sending(at(now), id, attempt.number);
                let refused = AttemptEvent::Refused(Refusal::WrongOwner);
                dispatcher.on_event(at(now), id, attempt.number, refused);
            }
            Step::Wait { until } => now = until.as_millis().max(now + 1),
            Step::Finish(finish) => break finish,
            step => panic!("{step:?}"),
        }
    };
    let not_run = Outcome::NotRun(NotRunReason::WrongOwner);
    assert_eq!(finish.outcome, not_run);
    assert!(finish.retry_after.is_some());
    assert!(attempts <= 11, "{attempts} attempts");
}

/// Refuses every attempt of a request that may queue. Returns its outcome and
/// how long it took.
fn refuse_all(dispatcher: &mut Dispatcher, start: u64, refusal: Refusal) -> (Finish, u64) {
    let id = begin(dispatcher, start, "POST", "/queued");
    let mut now = start;
    loop {
        match dispatcher.next(at(now), id) {
            Step::Send(attempt) => {
                dispatcher.start_sending(at(now), id, attempt.number);
                let refused = AttemptEvent::Refused(refusal);
                dispatcher.on_event(at(now), id, attempt.number, refused);
            }
            Step::Wait { until } => now = until.as_millis().max(now + 1),
            Step::Finish(finish) => return (finish, now - start),
            step => panic!("{step:?}"),
        }
    }
}

#[test]
fn an_overloaded_request_without_retry_budget_ends_at_once_with_a_retry_time() {
    let settings = Settings {
        retry_reserve: 2,
        ..Settings::default()
    };
    let mut queued = route("queued", "/queued");
    queued.may_queue = true;
    queued.deadline_ms = 20_000;
    let mut dispatcher = dispatcher(settings, &one_back_end(4, vec![queued]));
    let (spends, took) = refuse_all(&mut dispatcher, 0, Refusal::Overloaded);
    assert_eq!((spends.attempts, took < 50), (3, true), "{took} ms");
    for request in 0..5 {
        let (finish, took) = refuse_all(&mut dispatcher, 100 + request, Refusal::Overloaded);
        let overloaded = Outcome::NotRun(NotRunReason::Overloaded);
        assert_eq!(finish.outcome, overloaded);
        assert!(finish.retry_after.is_some());
        // The time is the backoff after the first refusal, not the deadline of
        // 20 s.
        assert!(took <= 5, "{took} ms");
        assert_eq!(finish.attempts, 1);
    }
}

#[test]
fn an_exhausted_retry_budget_refills_over_time() {
    let settings = Settings {
        retry_reserve: 2,
        ..Settings::default()
    };
    let mut queued = route("queued", "/queued");
    queued.may_queue = true;
    let mut dispatcher = dispatcher(settings, &one_back_end(4, vec![queued]));
    refuse_all(&mut dispatcher, 0, Refusal::Overloaded);
    let (soon, _) = refuse_all(&mut dispatcher, 100, Refusal::Overloaded);
    assert_eq!(soon.attempts, 1);
    let (later, _) = refuse_all(&mut dispatcher, 2_000, Refusal::Overloaded);
    assert_eq!(later.attempts, 3);
}

#[test]
fn an_overloaded_request_that_cannot_be_retried_in_time_ends_early() {
    let mut dispatcher = dispatcher_with_slots(4);
    let id = begin(&mut dispatcher, 0, "POST", "/");
    let mut now = 0;
    let finish = loop {
        match dispatcher.next(at(now), id) {
            Step::Send(attempt) => {
                dispatcher.start_sending(at(now), id, attempt.number);
                let refused = AttemptEvent::Refused(Refusal::Overloaded);
                dispatcher.on_event(at(now), id, attempt.number, refused);
            }
            Step::Wait { until } => {
                now = until.as_millis() + 1;
                assert!(now < 100, "waits for the end of its patience");
            }
            Step::Finish(finish) => break finish,
            step => panic!("{step:?}"),
        }
    };
    let overloaded = Outcome::NotRun(NotRunReason::Overloaded);
    assert_eq!(finish.outcome, overloaded);
}
