//! Tests of single exchanges, step by step.

mod common;

use common::*;
use threadledge_routing::{
    AttemptEvent, AttemptFailure, AttemptNumber, SendDecision, Settings, Step,
};
use threadledge_types::objects::RouteRule;
use threadledge_types::records::RecordChange;
use threadledge_types::session::Refusal;
use threadledge_types::{NotRunReason, Outcome, Slice, UnknownReason};

const FIRST: AttemptNumber = AttemptNumber(1);
const SECOND: AttemptNumber = AttemptNumber(2);

fn move_to_two(from: u64) -> Vec<RecordChange> {
    vec![
        back_end("a/two", 2, 10),
        session("a/two", 1, false),
        slice("a/s", Slice::ALL, Some(("a/two", 1)), from + 1),
    ]
}

#[test]
fn a_response_is_delivered_once_and_ends_the_exchange() {
    let mut dispatcher = dispatcher_with_slots(1);
    let id = begin(&mut dispatcher, 0, "POST", "/");
    let attempt = expect_send(&mut dispatcher, 0, id);
    assert_eq!(attempt.epoch, epoch(1));
    let decision = dispatcher.start_sending(at(5), id, FIRST);
    let deadline_left = millis(1_995);
    assert_eq!(decision, SendDecision::Proceed { deadline_left });
    expect_wait(&mut dispatcher, 5, id);
    let head = AttemptEvent::ResponseHead { status: 200 };
    dispatcher.on_event(at(9), id, FIRST, head);
    assert_eq!(dispatcher.next(at(9), id), Step::Deliver(FIRST));
    assert_eq!(expect_wait(&mut dispatcher, 9, id), at(2_000));
    dispatcher.on_event(at(10), id, FIRST, AttemptEvent::Completed);
    let finish = expect_finish(&mut dispatcher, 10, id);
    assert_eq!(finish.outcome, Outcome::Answered);
    assert_eq!(dispatcher.next(at(10), id), Step::Gone);
    assert_eq!(dispatcher.counters().ended(), 1);
}

#[test]
fn a_lost_connection_after_sending_is_unknown_for_a_non_repeatable_request() {
    let mut dispatcher = dispatcher_with_slots(1);
    let id = begin(&mut dispatcher, 0, "POST", "/");
    expect_send(&mut dispatcher, 0, id);
    dispatcher.start_sending(at(1), id, FIRST);
    let lost = AttemptEvent::Failed(AttemptFailure::ConnectionLost);
    dispatcher.on_event(at(2), id, FIRST, lost);
    let finish = expect_finish(&mut dispatcher, 2, id);
    let unknown = Outcome::Unknown(UnknownReason::ConnectionLost);
    assert_eq!(finish.outcome, unknown);
}

#[test]
fn a_lost_connection_is_retried_for_a_repeatable_request() {
    let mut dispatcher = dispatcher_with_slots(1);
    let id = begin(&mut dispatcher, 0, "GET", "/");
    let first = expect_send(&mut dispatcher, 0, id);
    dispatcher.start_sending(at(1), id, FIRST);
    let lost = AttemptEvent::Failed(AttemptFailure::ConnectionLost);
    dispatcher.on_event(at(2), id, FIRST, lost);
    let until = expect_wait(&mut dispatcher, 2, id);
    assert!(until > at(2) && until <= at(7));
    let second = expect_send(&mut dispatcher, 8, id);
    assert_eq!(second.request_id, first.request_id);
    dispatcher.start_sending(at(8), id, SECOND);
    let refused = AttemptEvent::Refused(Refusal::Malformed);
    dispatcher.on_event(at(9), id, SECOND, refused);
    let finish = expect_finish(&mut dispatcher, 9, id);
    let unknown = Outcome::Unknown(UnknownReason::ConnectionLost);
    assert_eq!(finish.outcome, unknown, "the first attempt may have run");
}

#[test]
fn a_deadline_before_permission_to_send_is_not_run_and_forbids_sending() {
    let mut dispatcher = dispatcher_with_slots(1);
    let id = begin(&mut dispatcher, 0, "POST", "/");
    expect_send(&mut dispatcher, 0, id);
    let decision = dispatcher.start_sending(at(2_000), id, FIRST);
    assert_eq!(decision, SendDecision::Abandon);
    let finish = expect_finish(&mut dispatcher, 2_000, id);
    let not_run = Outcome::NotRun(NotRunReason::DeadlinePassed);
    assert_eq!(finish.outcome, not_run);
}

#[test]
fn a_deadline_after_permission_to_send_is_unknown() {
    let mut dispatcher = dispatcher_with_slots(1);
    let id = begin(&mut dispatcher, 0, "POST", "/");
    expect_send(&mut dispatcher, 0, id);
    dispatcher.start_sending(at(1), id, FIRST);
    let finish = expect_finish(&mut dispatcher, 2_000, id);
    let unknown = Outcome::Unknown(UnknownReason::DeadlinePassed);
    assert_eq!(finish.outcome, unknown);
}

#[test]
fn a_changed_owner_revokes_the_permission_to_send() {
    let mut dispatcher = dispatcher_with_slots(1);
    let id = begin(&mut dispatcher, 0, "POST", "/");
    expect_send(&mut dispatcher, 0, id);
    let moved = delta(1, move_to_two(1));
    dispatcher.apply(at(1), &moved).expect("fits");
    assert_eq!(dispatcher.take_wakeups(), [id]);
    let decision = dispatcher.start_sending(at(2), id, FIRST);
    assert_eq!(decision, SendDecision::Abandon);
    let attempt = expect_send(&mut dispatcher, 2, id);
    assert_eq!(attempt.back_end.name, "two");
}

#[test]
fn a_refusal_as_wrong_owner_is_resent_to_the_new_owner_at_once() {
    let mut dispatcher = dispatcher_with_slots(1);
    let id = begin(&mut dispatcher, 0, "POST", "/");
    expect_send(&mut dispatcher, 0, id);
    dispatcher.start_sending(at(1), id, FIRST);
    let refused = AttemptEvent::Refused(Refusal::WrongOwner);
    dispatcher.on_event(at(2), id, FIRST, refused);
    expect_wait(&mut dispatcher, 2, id);
    let moved = delta(1, move_to_two(1));
    dispatcher.apply(at(3), &moved).expect("fits");
    assert!(dispatcher.take_wakeups().contains(&id));
    let attempt = expect_send(&mut dispatcher, 3, id);
    assert_eq!(attempt.back_end.name, "two");
    assert_eq!(attempt.epoch, epoch(2));
    assert_eq!(dispatcher.counters().retries, 0);
}

#[test]
fn a_request_for_an_unowned_slice_waits_and_is_then_not_run() {
    let records = full(
        1,
        vec![
            service(
                "a/s",
                "s.test",
                vec![RouteRule {
                    deadline_ms: 60_000,
                    ..route("r", "/")
                }],
            ),
            slice("a/s", Slice::ALL, None, 1),
        ],
    );
    let mut dispatcher = dispatcher(Settings::default(), &records);
    let patient = begin(&mut dispatcher, 0, "POST", "/");
    assert_eq!(expect_wait(&mut dispatcher, 0, patient), at(3_000));
    let late = begin(&mut dispatcher, 2_999, "POST", "/");
    expect_wait(&mut dispatcher, 2_999, late);
    let finish = expect_finish(&mut dispatcher, 3_000, patient);
    let not_run = Outcome::NotRun(NotRunReason::NoOwner);
    assert_eq!(finish.outcome, not_run);
    assert!(finish.retry_after.is_some());
    let moved = delta(1, move_to_two(1));
    dispatcher.apply(at(3_001), &moved).expect("fits");
    assert_eq!(dispatcher.take_wakeups(), [late]);
    expect_send(&mut dispatcher, 3_001, late);
}

#[test]
fn a_draining_back_end_gets_no_new_work_after_the_grace() {
    let mut dispatcher = dispatcher_with_slots(1);
    let draining = delta(1, vec![session("a/one", 1, true)]);
    dispatcher.apply(at(0), &draining).expect("fits");
    let within = begin(&mut dispatcher, 900, "GET", "/");
    expect_send(&mut dispatcher, 900, within);
    let decision = dispatcher.start_sending(at(1_000), within, FIRST);
    assert_eq!(decision, SendDecision::Abandon);
    expect_wait(&mut dispatcher, 1_000, within);
    let after = begin(&mut dispatcher, 1_001, "GET", "/");
    expect_wait(&mut dispatcher, 1_001, after);
    let moved = delta(2, move_to_two(2));
    dispatcher.apply(at(1_010), &moved).expect("fits");
    assert_eq!(dispatcher.take_wakeups(), [within, after]);
    expect_send(&mut dispatcher, 1_010, within);
}

#[test]
fn a_back_end_that_refused_as_draining_gets_no_new_work_at_all() {
    let mut dispatcher = dispatcher_with_slots(2);
    let id = begin(&mut dispatcher, 0, "POST", "/");
    expect_send(&mut dispatcher, 0, id);
    dispatcher.start_sending(at(0), id, FIRST);
    let refused = AttemptEvent::Refused(Refusal::Draining);
    dispatcher.on_event(at(1), id, FIRST, refused);
    expect_wait(&mut dispatcher, 1, id);
    let other = begin(&mut dispatcher, 2, "GET", "/");
    expect_wait(&mut dispatcher, 2, other);
    let restarted = vec![
        session("a/one", 2, false),
        slice("a/s", Slice::ALL, Some(("a/one", 2)), 2),
    ];
    dispatcher.apply(at(3), &delta(1, restarted)).expect("fits");
    expect_send(&mut dispatcher, 3, id);
}

#[test]
fn a_restarted_back_end_is_cold_and_ramped_up() {
    let mut dispatcher = dispatcher_with_slots(3);
    let restarted = vec![
        RecordChange::SessionRemoved(session_id("a/one", 1)),
        session("a/one", 2, false),
        slice("a/s", Slice::ALL, Some(("a/one", 2)), 2),
    ];
    dispatcher.apply(at(0), &delta(1, restarted)).expect("fits");
    let first = begin(&mut dispatcher, 0, "GET", "/queued");
    expect_send(&mut dispatcher, 0, first);
    let second = begin(&mut dispatcher, 1_000, "GET", "/queued");
    assert_eq!(expect_wait(&mut dispatcher, 1_000, second), at(2_500));
    expect_send(&mut dispatcher, 2_500, second);
}

#[test]
fn a_back_end_that_ran_before_the_router_is_not_cold() {
    let mut dispatcher = dispatcher_with_slots(3);
    for _ in 0..3 {
        let id = begin(&mut dispatcher, 0, "GET", "/queued");
        expect_send(&mut dispatcher, 0, id);
    }
}

#[test]
fn more_routers_leave_each_fewer_slots_and_connections() {
    let mut dispatcher = dispatcher_with_slots(3);
    dispatcher.set_router_count(at(0), 40);
    let first = begin(&mut dispatcher, 0, "GET", "/queued");
    let attempt = expect_send(&mut dispatcher, 0, first);
    assert_eq!(attempt.connection_limit, 2);
    let second = begin(&mut dispatcher, 0, "GET", "/queued");
    expect_wait(&mut dispatcher, 0, second);
    dispatcher.set_router_count(at(1), 1);
    assert_eq!(dispatcher.take_wakeups(), [second]);
    expect_send(&mut dispatcher, 1, second);
}

#[test]
fn freed_slots_go_to_queued_requests_in_order() {
    let mut dispatcher = dispatcher_with_slots(1);
    let running = begin(&mut dispatcher, 0, "GET", "/");
    expect_send(&mut dispatcher, 0, running);
    let early = begin(&mut dispatcher, 1, "GET", "/queued");
    let later = begin(&mut dispatcher, 2, "GET", "/queued");
    assert_eq!(expect_wait(&mut dispatcher, 2, later), at(2_002));
    assert_eq!(expect_wait(&mut dispatcher, 2, early), at(2_001));
    dispatcher.on_caller_disconnected(at(3), running);
    assert_eq!(dispatcher.take_wakeups(), [early]);
    expect_send(&mut dispatcher, 3, early);
    expect_wait(&mut dispatcher, 3, later);
    assert_eq!(dispatcher.counters().caller_gone, 1);
}

#[test]
fn a_request_that_may_not_queue_waits_only_shortly() {
    let mut dispatcher = dispatcher_with_slots(1);
    let running = begin(&mut dispatcher, 0, "GET", "/queued");
    expect_send(&mut dispatcher, 0, running);
    let id = begin(&mut dispatcher, 1, "GET", "/");
    assert_eq!(expect_wait(&mut dispatcher, 1, id), at(101));
    let finish = expect_finish(&mut dispatcher, 101, id);
    let overloaded = Outcome::NotRun(NotRunReason::Overloaded);
    assert_eq!(finish.outcome, overloaded);
    assert!(finish.retry_after.is_some());
}

#[test]
fn a_request_that_cannot_meet_its_deadline_is_shed_at_once() {
    let mut dispatcher = dispatcher_with_slots(1);
    let warm = begin(&mut dispatcher, 0, "GET", "/");
    expect_send(&mut dispatcher, 0, warm);
    dispatcher.start_sending(at(0), warm, FIRST);
    dispatcher.on_event(at(1_500), warm, FIRST, AttemptEvent::Completed);
    let running = begin(&mut dispatcher, 2_000, "GET", "/");
    expect_send(&mut dispatcher, 2_000, running);
    let id = begin(&mut dispatcher, 2_001, "GET", "/queued");
    let finish = expect_finish(&mut dispatcher, 2_001, id);
    let overloaded = Outcome::NotRun(NotRunReason::Overloaded);
    assert_eq!(finish.outcome, overloaded);
    assert_eq!(finish.retry_after, Some(millis(1_500)));
    assert_eq!(dispatcher.counters().shed, 1);
}

#[test]
fn a_read_at_a_lost_back_end_is_also_sent_to_the_new_owner() {
    let mut dispatcher = dispatcher_with_slots(1);
    let read = begin(&mut dispatcher, 0, "GET", "/");
    expect_send(&mut dispatcher, 0, read);
    dispatcher.start_sending(at(0), read, FIRST);
    let mut changes = move_to_two(1);
    changes.push(RecordChange::SessionRemoved(session_id("a/one", 1)));
    dispatcher.apply(at(500), &delta(1, changes)).expect("fits");
    assert_eq!(dispatcher.take_wakeups(), [read]);
    let second = expect_send(&mut dispatcher, 500, read);
    assert_eq!(second.back_end.name, "two");
}

#[test]
fn a_write_at_a_lost_back_end_is_unknown_at_once() {
    let mut dispatcher = dispatcher_with_slots(1);
    let write = begin(&mut dispatcher, 0, "POST", "/");
    expect_send(&mut dispatcher, 0, write);
    dispatcher.start_sending(at(0), write, FIRST);
    expect_wait(&mut dispatcher, 400, write);
    let mut changes = move_to_two(1);
    changes.push(RecordChange::SessionRemoved(session_id("a/one", 1)));
    dispatcher.apply(at(500), &delta(1, changes)).expect("fits");
    assert_eq!(dispatcher.take_wakeups(), [write]);
    let outcome = expect_finish(&mut dispatcher, 500, write).outcome;
    assert_eq!(outcome, Outcome::Unknown(UnknownReason::OwnerLost));
}

#[test]
fn a_router_that_is_not_ready_rejects_new_requests_and_finishes_old_ones() {
    let mut dispatcher = dispatcher_with_slots(1);
    let id = begin(&mut dispatcher, 0, "GET", "/");
    dispatcher.set_accepting(false);
    let refused = dispatcher.begin(at(0), &head("GET", "/", &NO_HEADERS));
    let reason = refused.expect_err("refused").reason;
    assert_eq!(reason, NotRunReason::NotReady);
    expect_send(&mut dispatcher, 0, id);
    assert_eq!(dispatcher.counters().refused(NotRunReason::NotReady), 1);
}

#[test]
fn a_response_streaming_past_its_deadline_is_unknown_and_no_failure() {
    let mut dispatcher = dispatcher_with_slots(1);
    for round in 0..10 {
        let now = round * 3_000;
        let id = begin(&mut dispatcher, now, "POST", "/");
        expect_send(&mut dispatcher, now, id);
        dispatcher.start_sending(at(now), id, FIRST);
        let head = AttemptEvent::ResponseHead { status: 200 };
        dispatcher.on_event(at(now + 1), id, FIRST, head);
        let deliver = dispatcher.next(at(now + 1), id);
        assert_eq!(deliver, Step::Deliver(FIRST));
        let deadline = at(now + 2_000);
        assert_eq!(expect_wait(&mut dispatcher, now + 1, id), deadline);
        let finish = expect_finish(&mut dispatcher, now + 2_000, id);
        let late = Outcome::Unknown(UnknownReason::DeadlinePassed);
        assert_eq!(finish.outcome, late);
        assert_eq!(dispatcher.load(deadline).back_ends[0].in_flight, 0);
    }
    assert_eq!(dispatcher.counters().ejections, 0);
}
