//! Hedges of slow attempts, and ejection of back ends that fail repeatedly.

mod common;

use common::*;
use threadledge_routing::{AttemptEvent, AttemptNumber, Dispatcher, Notice, Step};
use threadledge_types::Outcome;

const FIRST: AttemptNumber = AttemptNumber(1);
const SECOND: AttemptNumber = AttemptNumber(2);

/// Answers 60 reads in 5 ms each, so that the typical response time is known.
fn warm_up(dispatcher: &mut Dispatcher) {
    for round in 0..60 {
        let id = begin(dispatcher, round * 10, "GET", "/");
        expect_send(dispatcher, round * 10, id);
        dispatcher.start_sending(at(round * 10), id, FIRST);
        dispatcher.on_event(at(round * 10 + 5), id, FIRST, AttemptEvent::Completed);
        dispatcher.next(at(round * 10 + 5), id);
        expect_finish(dispatcher, round * 10 + 5, id);
    }
}

#[test]
fn a_slow_read_is_hedged_and_the_first_response_wins() {
    let mut dispatcher = dispatcher_with_slots(2);
    warm_up(&mut dispatcher);
    let id = begin(&mut dispatcher, 1_000, "GET", "/");
    expect_send(&mut dispatcher, 1_000, id);
    dispatcher.start_sending(at(1_000), id, FIRST);
    let hedge_at = expect_wait(&mut dispatcher, 1_000, id);
    assert_eq!(hedge_at, at(1_010));
    let hedge = expect_send(&mut dispatcher, 1_010, id);
    assert!(hedge.hedge);
    dispatcher.start_sending(at(1_010), id, SECOND);
    dispatcher.on_event(at(1_015), id, SECOND, AttemptEvent::Completed);
    assert_eq!(dispatcher.next(at(1_015), id), Step::Cancel(FIRST));
    assert_eq!(dispatcher.next(at(1_015), id), Step::Deliver(SECOND));
    dispatcher.on_event(at(1_016), id, FIRST, AttemptEvent::Completed);
    let finish = expect_finish(&mut dispatcher, 1_016, id);
    assert_eq!(finish.outcome, Outcome::Answered);
    assert_eq!(dispatcher.counters().hedges_won, 1);
}

#[test]
fn hedges_are_limited_by_their_budget() {
    let mut dispatcher = dispatcher_with_slots(2);
    warm_up(&mut dispatcher);
    for round in 0..100 {
        let now = 1_000 + round * 20;
        let id = begin(&mut dispatcher, now, "GET", "/");
        expect_send(&mut dispatcher, now, id);
        dispatcher.start_sending(at(now), id, FIRST);
        dispatcher.next(at(now + 15), id);
        dispatcher.on_caller_disconnected(at(now + 15), id);
    }
    // The reserve of 5, and a twentieth for each of the 99 first attempts after
    // the one that found the budget full.
    assert_eq!(dispatcher.counters().hedges, 9);
}

#[test]
fn a_hedge_never_takes_the_last_slot_from_a_waiting_request() {
    let mut dispatcher = dispatcher_with_slots(2);
    warm_up(&mut dispatcher);
    let slow = begin(&mut dispatcher, 1_000, "GET", "/");
    expect_send(&mut dispatcher, 1_000, slow);
    dispatcher.start_sending(at(1_000), slow, FIRST);
    let other = begin(&mut dispatcher, 1_000, "POST", "/");
    expect_send(&mut dispatcher, 1_000, other);
    expect_wait(&mut dispatcher, 1_010, slow);
    assert_eq!(dispatcher.counters().hedges, 0);
}

#[test]
fn an_ejected_back_end_is_probed_by_one_request_at_a_time() {
    let mut dispatcher = dispatcher_with_slots(2);
    let mut refused = 0;
    for round in 0..5 {
        let id = begin(&mut dispatcher, round, "POST", "/");
        let attempt = expect_send(&mut dispatcher, round, id);
        dispatcher.on_event(at(round), id, attempt.number, AttemptEvent::ConnectFailed);
        dispatcher.on_caller_disconnected(at(round), id);
        refused += 1;
    }
    assert_eq!(refused, 5);
    assert_eq!(dispatcher.counters().ejections, 1);
    assert_eq!(dispatcher.take_notices().len(), 1);
    let first = begin(&mut dispatcher, 10, "GET", "/");
    let second = begin(&mut dispatcher, 10, "GET", "/");
    assert_eq!(expect_wait(&mut dispatcher, 10, first), at(104));
    expect_wait(&mut dispatcher, 10, second);
    let probe = expect_send(&mut dispatcher, 104, first);
    expect_wait(&mut dispatcher, 104, second);
    dispatcher.start_sending(at(104), first, probe.number);
    dispatcher.on_event(at(105), first, probe.number, AttemptEvent::Completed);
    expect_send(&mut dispatcher, 105, second);
}

#[test]
fn a_prolonged_ejection_is_reported_once() {
    let mut dispatcher = dispatcher_with_slots(2);
    for round in 0..100 {
        let now = round * 3_000;
        let id = begin(&mut dispatcher, now, "POST", "/");
        let attempt = expect_send(&mut dispatcher, now, id);
        dispatcher.on_event(at(now), id, attempt.number, AttemptEvent::ConnectFailed);
        dispatcher.on_caller_disconnected(at(now), id);
    }
    // Five failures eject, and each of the 95 that follow prolongs the
    // ejection.
    assert_eq!(dispatcher.counters().ejections, 96);
    let notices = dispatcher.take_notices();
    assert!(
        matches!(notices[..], [Notice::Ejected { .. }]),
        "{notices:?}"
    );
}
