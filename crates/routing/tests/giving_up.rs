//! Requests that back ends refuse again and again: how often they ask, and
//! when their callers are told.

mod common;

use common::*;
use threadledge_routing::{AttemptEvent, Dispatcher, Finish, Settings, Step};
use threadledge_types::session::Refusal;
use threadledge_types::{NotRunReason, Outcome};

#[test]
fn an_owner_that_refuses_again_and_again_is_asked_rarely() {
    let mut dispatcher = simple(1);
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

/// Refuses every attempt of a request that may queue; answers its outcome and
/// the time that it took.
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
fn an_overloaded_request_without_budget_is_told_at_once_when_to_come_back() {
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
        // The backoff after the first refusal, and not the deadline of 20 s.
        assert!(took <= 5, "{took} ms");
        assert_eq!(finish.attempts, 1);
    }
}

#[test]
fn a_budget_that_was_used_up_allows_retries_again_after_a_while() {
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
fn an_overloaded_request_that_could_only_wait_for_its_end_is_told_before() {
    let mut dispatcher = simple(4);
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
