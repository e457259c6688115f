//! Requests that crash back ends, in the request path of one router.

use std::time::Duration;

use threadledge_dispatch::outcome::Rejection;
use threadledge_dispatch::{
    Attempt, AttemptEnd, Fault, Outcome, Refusal, RefusalReason, RequestHead, RequestInfo,
    StartedExchange, Step,
};
use threadledge_suspects::{RequestIdentity, UpdateScope};

use super::support::{HOST, Station, answered, back_end, fault, identity, not_run};

const BACK_ENDS: u16 = 8;

/// A station with back ends enough of the service `plain`.
fn station() -> Station {
    let mut station = Station::with_seed(7);
    for port in 10..10 + BACK_ENDS {
        let name = format!("p-{port}");
        station
            .back_ends
            .push(back_end(&name, "plain", "near", port));
    }
    station.publish();
    station
}

fn begin(
    station: &mut Station,
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
    station.dispatcher.begin(station.now, &info)
}

/// A try that breaks wherever it is sent; each process has ended when
/// somebody looks. The number of back ends that it cost.
fn crash_all(station: &mut Station, identity: RequestIdentity) -> usize {
    let Ok(begun) = begin(station, "safe", identity) else {
        return 0;
    };
    let mut sent = 0;
    loop {
        let step = station.next(&begun);
        let Step::Send(attempt) = step else {
            assert!(matches!(step, Step::Finish(_)), "{step:?}");
            return sent;
        };
        assert!(
            station
                .dispatcher
                .may_send(station.now, begun.id, attempt.id)
        );
        sent += 1;
        station.after(20);
        station.end(&begun, &attempt, fault(Fault::Broken));
        station.after(5);
        station.dispatcher.process_ended(&attempt.back_end);
    }
}

fn is_held(refusal: Result<StartedExchange, Refusal>) -> bool {
    refusal.is_err_and(|refusal| refusal.reason == RefusalReason::CrashesBackEnds)
}

#[test]
fn request_costs_two_back_ends_then_one_then_none() {
    let mut station = station();
    let bad = identity("/safe/x", 1);
    assert_eq!(crash_all(&mut station, bad), 2);
    assert_eq!(crash_all(&mut station, bad), 1);
    assert_eq!(crash_all(&mut station, bad), 0);
    assert!(is_held(begin(&mut station, "safe", bad)));
    assert!(begin(&mut station, "safe", identity("/safe/x", 2)).is_ok());
}

/// Links that are reset and answers that are lost break as well: the process
/// goes on, and what it answers later shows that.
#[test]
fn breaks_at_processes_that_go_on_do_not_count() {
    let mut station = station();
    let request = identity("/safe/x", 1);
    for _ in 0..10 {
        let begun = begin(&mut station, "safe", request).expect("not held");
        while let Step::Send(attempt) = station.next(&begun) {
            assert!(
                station
                    .dispatcher
                    .may_send(station.now, begun.id, attempt.id)
            );
            station.after(20);
            station.end(&begun, &attempt, fault(Fault::Broken));
            let other = station.begin("safe").expect("admitted");
            let Step::Send(next) = station.next(&other) else {
                panic!("no back end");
            };
            assert!(station.dispatcher.may_send(station.now, other.id, next.id));
            station.after(20);
            station.end(&other, &next, answered());
        }
        station.after(11_000);
    }
    assert!(station.dispatcher.suspects().is_empty());
}

/// An attempt of an unsafe request breaks, and the process goes unnoticed.
fn break_one(station: &mut Station, request: RequestIdentity) -> Attempt {
    let begun = begin(station, "unsafe", request).expect("admitted");
    let attempt = station.send(&begun);
    station.after(20);
    station.end(&begun, &attempt, fault(Fault::Broken));
    station.after(10);
    attempt
}

/// Sends other requests until one reaches the process of `attempt`, which ends
/// it so; the others are answered.
fn reach_again(station: &mut Station, attempt: &Attempt, end: &AttemptEnd) {
    loop {
        let other = station.begin("safe").expect("admitted");
        let next = station.send(&other);
        station.after(5);
        if next.back_end == attempt.back_end {
            station.end(&other, &next, end.clone());
            return;
        }
        station.end(&other, &next, answered());
    }
}

#[test]
fn answer_after_the_break_shows_that_the_process_goes_on() {
    let mut station = station();
    let attempt = break_one(&mut station, identity("/unsafe/x", 1));
    reach_again(&mut station, &attempt, &answered());
    station.dispatcher.process_ended(&attempt.back_end);
    assert!(station.dispatcher.suspects().is_empty());
}

#[test]
fn another_process_at_the_address_shows_that_the_one_before_ended() {
    let mut station = station();
    let request = identity("/unsafe/x", 1);
    let attempt = break_one(&mut station, request);
    reach_again(&mut station, &attempt, &not_run(Rejection::OtherInstance));
    assert_eq!(station.dispatcher.suspects().crashes_of(&request), 1);
}

#[test]
fn registration_that_is_gone_shows_that_the_process_ended() {
    let mut station = station();
    let request = identity("/unsafe/x", 1);
    let attempt = break_one(&mut station, request);
    station
        .back_ends
        .retain(|known| known.name != attempt.back_end);
    station.publish();
    assert_eq!(station.dispatcher.suspects().crashes_of(&request), 1);
}

/// It waits for the other one until its queue_timeout_ratio ends. Nothing is certain then:
/// it is told to come back soon.
#[test]
fn exchange_that_waited_for_another_in_vain_may_come_back_soon() {
    let mut station = station();
    let bad = identity("/safe/x", 1);
    assert_eq!(crash_all(&mut station, bad), 2);
    let first = begin(&mut station, "safe", bad).expect("not held yet");
    let _attempt = station.send(&first);
    let second = begin(&mut station, "safe", bad).expect("not held yet");
    station.after(100);
    let step = station.next(&second);
    let Step::Finish(Outcome::Refused(refusal)) = step else {
        panic!("{step:?}");
    };
    assert_eq!(refusal.reason, RefusalReason::Overloaded);
    assert!(refusal.retry_after < Some(Duration::from_secs(1)));
}

/// Two processes have surely ended under it. A third one breaks, and for a while
/// nobody can tell whether it ended: no other router sends the request on
/// meanwhile.
#[test]
fn third_break_holds_a_request_until_its_process_answers() {
    let mut station = station();
    let bad = identity("/safe/x", 1);
    assert_eq!(crash_all(&mut station, bad), 2);
    let begun = begin(&mut station, "safe", bad).expect("not held yet");
    let attempt = station.send(&begun);
    station.after(20);
    station.end(&begun, &attempt, fault(Fault::Broken));
    assert!(is_held(begin(&mut station, "safe", bad)));
    let told = station.dispatcher.suspects();
    let told = told.updates_since(0, UpdateScope::Repeated, station.now);
    let mut other = Station::with_seed(8);
    other.dispatcher.merge_suspects(other.now, &told);
    assert!(other.dispatcher.suspects().is_held(&bad));
    // It is certain once only, and the log is told then.
    let presumed = station.dispatcher.take_crashes();
    assert!(presumed.iter().any(|crash| crash.presumed));
    station.dispatcher.process_ended(&attempt.back_end);
    let certain = station.dispatcher.take_crashes();
    assert!(certain.iter().all(|crash| !crash.presumed));
    assert_eq!(certain.len(), 1);
    assert!(is_held(begin(&mut station, "safe", bad)));
}

/// It broke at a third process before anybody knew what became of the first
/// two: it is held as soon as that is known.
#[test]
fn break_that_was_open_holds_a_request_once_two_processes_ended() {
    let mut station = station();
    let bad = identity("/unsafe/x", 1);
    let attempts: Vec<Attempt> = (0..3).map(|_| break_one(&mut station, bad)).collect();
    assert!(!is_held(begin(&mut station, "unsafe", bad)));
    station.dispatcher.process_ended(&attempts[0].back_end);
    station.dispatcher.process_ended(&attempts[1].back_end);
    assert!(is_held(begin(&mut station, "unsafe", bad)));
}

/// The link of a process was reset: what it answers next lets the request go.
#[test]
fn request_held_for_a_break_is_let_go_when_the_process_answers() {
    let mut station = station();
    let request = identity("/safe/x", 1);
    assert_eq!(crash_all(&mut station, request), 2);
    let begun = begin(&mut station, "safe", request).expect("not held yet");
    let attempt = station.send(&begun);
    station.after(20);
    station.end(&begun, &attempt, fault(Fault::Broken));
    assert!(is_held(begin(&mut station, "safe", request)));
    station.after(10);
    let now = station.now;
    station.dispatcher.process_answered(now, &attempt.back_end);
    assert!(begin(&mut station, "safe", request).is_ok());
}

/// A popular request: two tries of it were silent at back ends that are only
/// slow, others are answered all the time.
#[test]
fn request_that_is_answered_elsewhere_is_not_sent_one_at_a_time() {
    let mut station = station();
    let popular = identity("/safe/x", 1);
    for _ in 0..2 {
        let begun = begin(&mut station, "safe", popular).expect("admitted");
        station.send(&begun);
        station.after(2_000);
        let step = station.next(&begun);
        assert!(matches!(step, Step::Finish(_)), "{step:?}");
    }
    let begun = begin(&mut station, "safe", popular).expect("admitted");
    let attempt = station.send(&begun);
    station.after(20);
    station.end(&begun, &attempt, answered());
    for _ in 0..3 {
        let begun = begin(&mut station, "safe", popular).expect("admitted");
        station.send(&begun);
    }
}

/// A back end that falls silent takes a request along until its deadline.
#[test]
fn silent_processes_count_once_nobody_listens_there() {
    let mut station = station();
    let bad = identity("/safe/x", 1);
    let begun = begin(&mut station, "safe", bad).expect("admitted");
    let attempt = station.send(&begun);
    station.after(10_000);
    let step = station.next(&begun);
    assert!(
        matches!(step, Step::Finish(Outcome::Unknown(_))),
        "{step:?}"
    );
    let looked_at = station.dispatcher.take_process_checks();
    assert_eq!(looked_at.len(), 1);
    assert_eq!(looked_at[0].process, attempt.back_end);
    station.dispatcher.process_ended(&attempt.back_end);
    assert_eq!(station.dispatcher.suspects().crashes_of(&bad), 1);
}

#[test]
fn request_under_suspicion_is_not_sent_to_a_second_one_beside_the_first() {
    let mut station = station();
    let bad = identity("/safe/x", 1);
    assert_eq!(crash_all(&mut station, bad), 2);
    station.after(1_000);
    let begun = begin(&mut station, "safe", bad).expect("not held yet");
    let _first = station.send(&begun);
    station.after(190);
    let step = station.next(&begun);
    assert!(matches!(step, Step::Wait(_)), "{step:?}");
}

#[test]
fn after_two_crashes_one_exchange_at_a_time_is_under_way() {
    let mut station = station();
    let bad = identity("/safe/x", 1);
    assert_eq!(crash_all(&mut station, bad), 2);
    let first = begin(&mut station, "safe", bad).expect("not held yet");
    let attempt = station.send(&first);
    let second = begin(&mut station, "safe", bad).expect("not held yet");
    let step = station.next(&second);
    assert!(matches!(step, Step::Wait(_)), "{step:?}");
    // An answer clears it, and the other one goes on.
    station.after(20);
    station.end(&first, &attempt, answered());
    let step = station.next(&second);
    assert!(matches!(step, Step::Send(_)), "{step:?}");
}

/// Another router finds out while this one opens a connection.
#[test]
fn request_that_others_hold_is_not_sent_any_more() {
    let mut other = station();
    let bad = identity("/safe/x", 1);
    assert_eq!(crash_all(&mut other, bad), 2);
    assert_eq!(crash_all(&mut other, bad), 1);
    let mut station = station();
    let begun = begin(&mut station, "safe", bad).expect("nothing is known here");
    let Step::Send(attempt) = station.next(&begun) else {
        panic!("no back end");
    };
    let news = other
        .dispatcher
        .suspects()
        .updates_since(0, UpdateScope::All, other.now);
    assert!(station.dispatcher.merge_suspects(station.now, &news));
    assert!(
        !station
            .dispatcher
            .may_send(station.now, begun.id, attempt.id)
    );
    station.end(&begun, &attempt, AttemptEnd::Abandoned);
    let step = station.next(&begun);
    let Step::Finish(Outcome::Refused(refusal)) = step else {
        panic!("{step:?}");
    };
    assert_eq!(refusal.reason, RefusalReason::CrashesBackEnds);
}
