//! Requests that crash back ends, in the request path of one router.

use std::time::Duration;

use threadledge_dispatch::outcome::Rejection;
use threadledge_dispatch::{
    Attempt, AttemptEnd, Fault, Outcome, Refusal, RefusalReason, RequestHead, RequestInfo,
    StartedExchange, Step,
};
use threadledge_suspects::{RequestIdentity, UpdateScope};

use super::support::{HOST, Harness, answered, back_end, fault, identity, not_run};

const BACK_ENDS: u16 = 8;

/// A harness with enough back ends of the service `plain`.
fn harness() -> Harness {
    let mut harness = Harness::with_seed(7);
    for port in 10..10 + BACK_ENDS {
        let name = format!("p-{port}");
        harness
            .back_ends
            .push(back_end(&name, "plain", "near", port));
    }
    harness.publish_back_ends();
    harness
}

fn begin(
    harness: &mut Harness,
    route: &str,
    identity: RequestIdentity,
) -> Result<StartedExchange, Refusal> {
    let path = format!("/{route}/x");
    let info = RequestInfo {
        age: Duration::ZERO,
        method: "GET",
        head: RequestHead {
            host: HOST,
            path: &path,
            api_key: None,
        },
        time_left: Some(Duration::from_secs(5)),
        key: None,
        replayable: true,
        identity,
    };
    harness.dispatcher.begin(harness.now, &info)
}

/// Sends a request whose attempts all break, and reports each process as ended.
/// Returns the number of back ends that it cost.
fn crash_all_attempts(harness: &mut Harness, identity: RequestIdentity) -> usize {
    let Ok(begun) = begin(harness, "safe", identity) else {
        return 0;
    };
    let mut sent = 0;
    loop {
        let step = harness.next(&begun);
        let Step::Send(attempt) = step else {
            assert!(matches!(step, Step::Finish(_)), "{step:?}");
            return sent;
        };
        assert!(
            harness
                .dispatcher
                .may_send(harness.now, begun.id, attempt.id)
        );
        sent += 1;
        harness.advance(20);
        harness.end(&begun, &attempt, fault(Fault::Broken));
        harness.advance(5);
        harness.dispatcher.process_ended(&attempt.back_end);
    }
}

fn is_held(refusal: Result<StartedExchange, Refusal>) -> bool {
    refusal.is_err_and(|refusal| refusal.reason == RefusalReason::CrashesBackEnds)
}

#[test]
fn crashing_request_costs_two_back_ends_then_one_then_none() {
    let mut harness = harness();
    let bad = identity("/safe/x", 1);
    assert_eq!(crash_all_attempts(&mut harness, bad), 2);
    assert_eq!(crash_all_attempts(&mut harness, bad), 1);
    assert_eq!(crash_all_attempts(&mut harness, bad), 0);
    assert!(is_held(begin(&mut harness, "safe", bad)));
    assert!(begin(&mut harness, "safe", identity("/safe/x", 2)).is_ok());
}

/// Reset links and lost responses break attempts as well, but the process goes
/// on, as its later responses show.
#[test]
fn breaks_at_processes_that_keep_running_do_not_count() {
    let mut harness = harness();
    let request = identity("/safe/x", 1);
    for _ in 0..10 {
        let begun = begin(&mut harness, "safe", request).expect("not held");
        while let Step::Send(attempt) = harness.next(&begun) {
            assert!(
                harness
                    .dispatcher
                    .may_send(harness.now, begun.id, attempt.id)
            );
            harness.advance(20);
            harness.end(&begun, &attempt, fault(Fault::Broken));
            let other = harness.begin("safe").expect("admitted");
            let Step::Send(next) = harness.next(&other) else {
                panic!("no back end");
            };
            assert!(harness.dispatcher.may_send(harness.now, other.id, next.id));
            harness.advance(20);
            harness.end(&other, &next, answered());
        }
        harness.advance(11_000);
    }
    assert!(harness.dispatcher.suspects().is_empty());
}

/// An attempt of an unsafe request breaks, and the process is not checked.
fn break_one(harness: &mut Harness, request: RequestIdentity) -> Attempt {
    let begun = begin(harness, "unsafe", request).expect("admitted");
    let attempt = harness.send(&begun);
    harness.advance(20);
    harness.end(&begun, &attempt, fault(Fault::Broken));
    harness.advance(10);
    attempt
}

/// Sends other requests until one reaches the process of `attempt`, and ends it
/// with `end`. The others are answered.
fn reach_again(harness: &mut Harness, attempt: &Attempt, end: &AttemptEnd) {
    loop {
        let other = harness.begin("safe").expect("admitted");
        let next = harness.send(&other);
        harness.advance(5);
        if next.back_end == attempt.back_end {
            harness.end(&other, &next, end.clone());
            return;
        }
        harness.end(&other, &next, answered());
    }
}

#[test]
fn response_after_the_break_shows_that_the_process_is_running() {
    let mut harness = harness();
    let attempt = break_one(&mut harness, identity("/unsafe/x", 1));
    reach_again(&mut harness, &attempt, &answered());
    harness.dispatcher.process_ended(&attempt.back_end);
    assert!(harness.dispatcher.suspects().is_empty());
}

#[test]
fn another_process_at_the_address_shows_that_the_previous_one_ended() {
    let mut harness = harness();
    let request = identity("/unsafe/x", 1);
    let attempt = break_one(&mut harness, request);
    reach_again(&mut harness, &attempt, &not_run(Rejection::OtherInstance));
    assert_eq!(harness.dispatcher.suspects().crashes_of(&request), 1);
}

#[test]
fn missing_registration_shows_that_the_process_ended() {
    let mut harness = harness();
    let request = identity("/unsafe/x", 1);
    let attempt = break_one(&mut harness, request);
    harness
        .back_ends
        .retain(|known| known.name != attempt.back_end);
    harness.publish_back_ends();
    assert_eq!(harness.dispatcher.suspects().crashes_of(&request), 1);
}

/// A suspect that waits for another exchange of the same request until its
/// queue deadline is told to retry soon, because nothing is certain yet.
#[test]
fn exchange_that_waited_for_another_in_vain_may_retry_soon() {
    let mut harness = harness();
    let bad = identity("/safe/x", 1);
    assert_eq!(crash_all_attempts(&mut harness, bad), 2);
    let first = begin(&mut harness, "safe", bad).expect("not held yet");
    let _attempt = harness.send(&first);
    let second = begin(&mut harness, "safe", bad).expect("not held yet");
    harness.advance(100);
    let step = harness.next(&second);
    let Step::Finish(Outcome::Refused(refusal)) = step else {
        panic!("{step:?}");
    };
    assert_eq!(refusal.reason, RefusalReason::Overloaded);
    assert!(refusal.retry_after < Some(Duration::from_secs(1)));
}

/// Two processes have certainly ended under the request. While it is unknown
/// whether a third one ended, no other router may send the request.
#[test]
fn third_break_blocks_a_request_until_its_process_answers() {
    let mut harness = harness();
    let bad = identity("/safe/x", 1);
    assert_eq!(crash_all_attempts(&mut harness, bad), 2);
    let begun = begin(&mut harness, "safe", bad).expect("not held yet");
    let attempt = harness.send(&begun);
    harness.advance(20);
    harness.end(&begun, &attempt, fault(Fault::Broken));
    assert!(is_held(begin(&mut harness, "safe", bad)));
    let news = harness.dispatcher.suspects();
    let news = news.updates_since(0, UpdateScope::Repeated, harness.now);
    let mut other = Harness::with_seed(8);
    other.dispatcher.merge_suspects(other.now, &news);
    assert!(other.dispatcher.suspects().is_held(&bad));
    // The crash becomes certain only once, and is logged then.
    let presumed = harness.dispatcher.take_crashes();
    assert!(presumed.iter().any(|crash| crash.presumed));
    harness.dispatcher.process_ended(&attempt.back_end);
    let certain = harness.dispatcher.take_crashes();
    assert!(certain.iter().all(|crash| !crash.presumed));
    assert_eq!(certain.len(), 1);
    assert!(is_held(begin(&mut harness, "safe", bad)));
}

/// Behind a proxy that accepts connections for processes that have ended, every
/// router that saw a break may itself end before the break is certain.
#[test]
fn breaks_at_processes_that_only_close_connections_are_told_to_other_routers() {
    let mut harness = harness();
    let bad = identity("/unsafe/x", 1);
    let attempts: Vec<Attempt> = (0..3).map(|_| break_one(&mut harness, bad)).collect();
    for attempt in &attempts {
        harness.dispatcher.presume_ended(&attempt.back_end);
    }
    assert!(is_held(begin(&mut harness, "unsafe", bad)));
    let news = harness.dispatcher.suspects();
    let news = news.updates_since(0, UpdateScope::All, harness.now);
    let mut other = Harness::with_seed(8);
    other.dispatcher.merge_suspects(other.now, &news);
    assert!(other.dispatcher.suspects().is_held(&bad));
    let presumed = harness.dispatcher.take_crashes();
    assert!(presumed.iter().all(|crash| crash.presumed));
    // One of them answers: it was only full.
    harness.advance(20);
    let alive = &attempts[1].back_end;
    harness.dispatcher.process_answered(harness.now, alive);
    assert!(!is_held(begin(&mut harness, "unsafe", bad)));
}

/// The request broke at a third process before the first two were known to have
/// ended: it is refused as soon as that is known.
#[test]
fn unconfirmed_break_blocks_a_request_once_two_processes_ended() {
    let mut harness = harness();
    let bad = identity("/unsafe/x", 1);
    let attempts: Vec<Attempt> = (0..3).map(|_| break_one(&mut harness, bad)).collect();
    assert!(!is_held(begin(&mut harness, "unsafe", bad)));
    harness.dispatcher.process_ended(&attempts[0].back_end);
    harness.dispatcher.process_ended(&attempts[1].back_end);
    assert!(is_held(begin(&mut harness, "unsafe", bad)));
}

/// The link of a process was reset: its next response releases the request.
#[test]
fn request_blocked_for_a_break_is_released_when_the_process_answers() {
    let mut harness = harness();
    let request = identity("/safe/x", 1);
    assert_eq!(crash_all_attempts(&mut harness, request), 2);
    let begun = begin(&mut harness, "safe", request).expect("not held yet");
    let attempt = harness.send(&begun);
    harness.advance(20);
    harness.end(&begun, &attempt, fault(Fault::Broken));
    assert!(is_held(begin(&mut harness, "safe", request)));
    harness.advance(10);
    let now = harness.now;
    harness.dispatcher.process_answered(now, &attempt.back_end);
    assert!(begin(&mut harness, "safe", request).is_ok());
}

/// A popular request: two attempts timed out at back ends that are merely slow,
/// while others are answered all the time. It must not be restricted.
#[test]
fn request_that_is_answered_elsewhere_is_not_sent_one_at_a_time() {
    let mut harness = harness();
    let popular = identity("/safe/x", 1);
    for _ in 0..2 {
        let begun = begin(&mut harness, "safe", popular).expect("admitted");
        harness.send(&begun);
        harness.advance(2_000);
        let step = harness.next(&begun);
        assert!(matches!(step, Step::Finish(_)), "{step:?}");
    }
    let begun = begin(&mut harness, "safe", popular).expect("admitted");
    let attempt = harness.send(&begun);
    harness.advance(20);
    harness.end(&begun, &attempt, answered());
    for _ in 0..3 {
        let begun = begin(&mut harness, "safe", popular).expect("admitted");
        harness.send(&begun);
    }
}

/// A back end that stops responding holds a request until its deadline.
#[test]
fn silent_process_counts_as_crashed_once_it_does_not_accept_connections() {
    let mut harness = harness();
    let bad = identity("/safe/x", 1);
    let begun = begin(&mut harness, "safe", bad).expect("admitted");
    let attempt = harness.send(&begun);
    harness.advance(10_000);
    let step = harness.next(&begun);
    assert!(
        matches!(step, Step::Finish(Outcome::Unknown(_))),
        "{step:?}"
    );
    let looked_at = harness.dispatcher.take_process_checks();
    assert_eq!(looked_at.len(), 1);
    assert_eq!(looked_at[0].process, attempt.back_end);
    harness.dispatcher.process_ended(&attempt.back_end);
    assert_eq!(harness.dispatcher.suspects().crashes_of(&bad), 1);
}

#[test]
fn suspect_is_not_hedged() {
    let mut harness = harness();
    let bad = identity("/safe/x", 1);
    assert_eq!(crash_all_attempts(&mut harness, bad), 2);
    harness.advance(1_000);
    let begun = begin(&mut harness, "safe", bad).expect("not held yet");
    let _first = harness.send(&begun);
    harness.advance(190);
    let step = harness.next(&begun);
    assert!(matches!(step, Step::Wait(_)), "{step:?}");
}

#[test]
fn after_two_crashes_one_exchange_at_a_time_is_in_flight() {
    let mut harness = harness();
    let bad = identity("/safe/x", 1);
    assert_eq!(crash_all_attempts(&mut harness, bad), 2);
    let first = begin(&mut harness, "safe", bad).expect("not held yet");
    let attempt = harness.send(&first);
    let second = begin(&mut harness, "safe", bad).expect("not held yet");
    let step = harness.next(&second);
    assert!(matches!(step, Step::Wait(_)), "{step:?}");
    // A response clears the request, and the other exchange goes on.
    harness.advance(20);
    harness.end(&first, &attempt, answered());
    let step = harness.next(&second);
    assert!(matches!(step, Step::Send(_)), "{step:?}");
}

/// Another router refuses the request while this one opens a connection.
#[test]
fn request_blocked_by_another_router_may_not_be_sent() {
    let mut other = harness();
    let bad = identity("/safe/x", 1);
    assert_eq!(crash_all_attempts(&mut other, bad), 2);
    assert_eq!(crash_all_attempts(&mut other, bad), 1);
    let mut harness = harness();
    let begun = begin(&mut harness, "safe", bad).expect("nothing is known here");
    let Step::Send(attempt) = harness.next(&begun) else {
        panic!("no back end");
    };
    let news = other
        .dispatcher
        .suspects()
        .updates_since(0, UpdateScope::All, other.now);
    assert!(harness.dispatcher.merge_suspects(harness.now, &news));
    assert!(
        !harness
            .dispatcher
            .may_send(harness.now, begun.id, attempt.id)
    );
    harness.end(&begun, &attempt, AttemptEnd::Abandoned);
    let step = harness.next(&begun);
    let Step::Finish(Outcome::Refused(refusal)) = step else {
        panic!("{step:?}");
    };
    assert_eq!(refusal.reason, RefusalReason::CrashesBackEnds);
}
