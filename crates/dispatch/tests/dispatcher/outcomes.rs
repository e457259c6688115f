//! The one outcome of each request, and what it promises.

use threadledge_dispatch::dispatcher::NextAction;
use threadledge_dispatch::outcome::Rejection;
use threadledge_dispatch::{AttemptEnd, Fault, Outcome, RefusalReason, Step, UnknownReason};

use super::support::{
    Station, TIMEOUT, answered, configuration, failed_answer, fault, is_refused, is_unknown,
    not_run, route,
};

#[test]
fn nothing_known_refuses_and_says_when_to_come_back() {
    let mut station = Station::new();
    station.dispatcher =
        threadledge_dispatch::Dispatcher::new(threadledge_dispatch::Settings::default(), 1);
    let refusal = station.begin("safe").expect_err("refused");
    assert_eq!(refusal.reason, RefusalReason::NoConfiguration);
    assert!(refusal.retry_after.is_some());
}

#[test]
fn request_without_route_or_key_is_refused_for_good() {
    let mut station = Station::new();
    let refusal = station.begin("elsewhere").expect_err("refused");
    assert_eq!(refusal.reason, RefusalReason::NoRoute);
    assert_eq!(refusal.retry_after, None);
    let refusal = station.begin("keyed").expect_err("refused");
    assert_eq!(refusal.reason, RefusalReason::MissingKey);
}

#[test]
fn unsafe_request_is_not_sent_again_after_it_may_have_run() {
    for end in [Fault::Broken, Fault::BadAnswer, Fault::TimedOut] {
        let mut station = Station::new();
        let begun = station.begin("unsafe").expect("admitted");
        let attempt = station.send(&begun);
        assert_eq!(
            station.end(&begun, &attempt, fault(end)),
            NextAction::CallNext
        );
        let step = station.next(&begun);
        let wanted = Step::Finish(Outcome::Unknown(UnknownReason::from(end)));
        assert_eq!(step, wanted);
    }
}

#[test]
fn unsafe_request_that_did_not_run_is_sent_to_another_back_end() {
    for end in [
        not_run(Rejection::Busy),
        not_run(Rejection::OtherInstance),
        fault(Fault::Unreachable),
        fault(Fault::NothingSent),
    ] {
        let mut station = Station::new();
        let begun = station.begin("unsafe").expect("admitted");
        let first = station.send(&begun);
        station.end(&begun, &first, end);
        let second = station.send(&begun);
        assert_ne!(first.back_end, second.back_end);
        assert_eq!(
            station.end(&begun, &second, answered()),
            NextAction::Deliver
        );
    }
}

#[test]
fn request_whose_body_is_gone_is_refused_at_once_if_it_did_not_run() {
    for route in ["safe", "unsafe"] {
        let mut station = Station::new();
        let begun = station.begin(route).expect("admitted");
        let first = station.send(&begun);
        station.end(&begun, &first, not_run(Rejection::Busy));
        let second = station.send(&begun);
        station.end(&begun, &second, fault(Fault::BodyGone));
        let step = station.next(&begun);
        assert!(is_refused(&step), "{step:?}");
    }
}

#[test]
fn body_that_its_caller_broke_off_makes_a_request_unknown_and_blames_no_back_end() {
    let mut station = Station::new();
    for _ in 0..50 {
        let begun = station.begin("safe").expect("admitted");
        let attempt = station.send(&begun);
        station.end(&begun, &attempt, fault(Fault::CallerBroke));
        let step = station.next(&begun);
        assert!(is_unknown(&step), "{step:?}");
    }
    let (_, ejected) = station.dispatcher.back_end_counts(station.now);
    assert_eq!(ejected, 0);
}

#[test]
fn safe_request_is_answered_by_another_back_end_after_a_failure() {
    for end in [
        failed_answer(),
        fault(Fault::Broken),
        fault(Fault::BadAnswer),
    ] {
        let mut station = Station::new();
        let begun = station.begin("safe").expect("admitted");
        let first = station.send(&begun);
        assert_eq!(station.end(&begun, &first, end), NextAction::CallNext);
        let second = station.send(&begun);
        assert_ne!(first.back_end, second.back_end);
        // The last answer is passed on whatever it says.
        let last = station.end(&begun, &second, failed_answer());
        assert_eq!(last, NextAction::Deliver);
    }
}

#[test]
fn failed_answer_to_an_unsafe_request_is_passed_on() {
    let mut station = Station::new();
    let begun = station.begin("unsafe").expect("admitted");
    let attempt = station.send(&begun);
    let verdict = station.end(&begun, &attempt, failed_answer());
    assert_eq!(verdict, NextAction::Deliver);
}

#[test]
fn attempts_that_arrived_are_bounded_by_the_route() {
    let mut station = Station::new();
    let begun = station.begin("safe").expect("admitted");
    for _ in 0..2 {
        let attempt = station.send(&begun);
        station.end(&begun, &attempt, not_run(Rejection::Busy));
    }
    let step = station.next(&begun);
    assert!(is_refused(&step), "{step:?}");
}

#[test]
fn connections_that_fail_do_not_count_as_attempts() {
    let mut station = Station::new();
    let begun = station.begin("unsafe").expect("admitted");
    for _ in 0..5 {
        let Step::Send(attempt) = station.next(&begun) else {
            panic!("another try is free");
        };
        station.end(&begun, &attempt, fault(Fault::Unreachable));
    }
    let attempt = station.send(&begun);
    assert_eq!(
        station.end(&begun, &attempt, answered()),
        NextAction::Deliver
    );
}

#[test]
fn deadline_makes_a_sent_request_unknown_and_an_unsent_one_refused() {
    let mut station = Station::new();
    let sent = station.begin("unsafe").expect("admitted");
    station.send(&sent);
    station.back_ends.clear();
    station.publish();
    let unsent = station.begin("unsafe").expect("admitted");
    station.next(&unsent);
    station.after(1_200);
    let step = station.next(&sent);
    assert!(is_unknown(&step), "{step:?}");
    let step = station.next(&unsent);
    assert!(is_refused(&step), "{step:?}");
}

#[test]
fn time_of_a_request_counts_from_its_head() {
    let mut station = Station::new();
    station.after(5_000);
    let waited = TIMEOUT / 3;
    let begun = station.begin_after("unsafe", None, waited);
    let begun = begun.expect("admitted");
    assert_eq!(begun.deadline, station.now + (TIMEOUT - waited));
    assert_eq!(station.send(&begun).deadline, begun.deadline);
}

#[test]
fn request_whose_time_passed_before_it_began_is_refused_and_not_sent() {
    let mut station = Station::new();
    station.after(5_000);
    let begun = station.begin_after("unsafe", None, TIMEOUT);
    let step = station.next(&begun.expect("admitted"));
    assert!(is_refused(&step), "{step:?}");
}

#[test]
fn request_for_which_there_is_no_slot_is_refused_early() {
    let mut station = Station::new();
    let mut begun = Vec::new();
    loop {
        let next = station.begin("safe").expect("admitted");
        match station.next(&next) {
            Step::Send(attempt) => {
                station
                    .dispatcher
                    .may_send(station.now, next.id, attempt.id);
                begun.push(next);
            }
            Step::Wait(until) => {
                let waited = until.since(station.now);
                assert!(waited <= super::support::TARGET / 4, "{waited:?}");
                station.now = until;
                let step = station.next(&next);
                assert!(is_refused(&step), "{step:?}");
                return;
            }
            step => panic!("{step:?}"),
        }
        assert!(begun.len() < 100, "there is no end of slots");
    }
}

#[test]
fn leave_to_send_is_refused_once_the_back_end_drains() {
    let mut station = Station::new();
    let begun = station.begin("unsafe").expect("admitted");
    let Step::Send(attempt) = station.next(&begun) else {
        panic!("a back end is free");
    };
    for back_end in &mut station.back_ends {
        back_end.draining = back_end.name == attempt.back_end;
    }
    station.publish();
    let now = station.now;
    assert!(!station.dispatcher.may_send(now, begun.id, attempt.id));
    station.end(&begun, &attempt, AttemptEnd::Abandoned);
    let other = station.send(&begun);
    assert_ne!(other.back_end, attempt.back_end);
}

#[test]
fn leave_to_send_is_refused_once_the_key_has_moved() {
    let mut station = Station::new();
    let begun = station.begin_with("keyed", Some(1)).expect("admitted");
    let Step::Send(attempt) = station.next(&begun) else {
        panic!("the owner is free");
    };
    station.own("k-2", "k-2");
    let now = station.now;
    assert!(!station.dispatcher.may_send(now, begun.id, attempt.id));
    station.end(&begun, &attempt, AttemptEnd::Abandoned);
    assert_eq!(station.send(&begun).back_end, "k-2".into());
}

#[test]
fn key_without_an_owner_waits_shortly_and_goes_to_the_next_owner() {
    let mut station = Station::new();
    station.own("", "k-2");
    let begun = station.begin_with("keyed", Some(1)).expect("admitted");
    assert!(matches!(station.next(&begun), Step::Wait(_)));
    station.after(5);
    station.own("k-2", "k-2");
    assert_eq!(station.dispatcher.take_woken(), [begun.id]);
    assert_eq!(station.send(&begun).back_end, "k-2".into());
    station.own("", "");
    let begun = station.begin_with("keyed", Some(1)).expect("admitted");
    let Step::Wait(until) = station.next(&begun) else {
        panic!("nobody owns it");
    };
    station.now = until;
    let Step::Finish(Outcome::Refused(refusal)) = station.next(&begun) else {
        panic!("refused");
    };
    assert_eq!(refusal.reason, RefusalReason::NoOwner);
}

#[test]
fn owner_that_does_not_hold_the_key_yet_is_asked_again() {
    let mut station = Station::new();
    let begun = station.begin_with("keyed", Some(1)).expect("admitted");
    let first = station.send(&begun);
    station.end(&begun, &first, not_run(Rejection::NotOwner));
    let Step::Wait(until) = station.next(&begun) else {
        panic!("a pause first");
    };
    station.now = until;
    assert_eq!(station.send(&begun).back_end, first.back_end);
}

/// Without this, every request for a key that moves is sent to the former
/// owner and refused there, until its attempts are used up.
#[test]
fn one_refusal_by_the_owner_holds_back_all_requests_of_the_key() {
    let mut station = Station::new();
    let first = station.begin_with("keyed", Some(1)).expect("admitted");
    let second = station.begin_with("keyed", Some(2)).expect("admitted");
    let other = station.begin_with("keyed", Some(20_000)).expect("admitted");
    let attempt = station.send(&first);
    station.end(&first, &attempt, not_run(Rejection::NotOwner));
    assert!(matches!(station.next(&first), Step::Wait(_)));
    assert!(matches!(station.next(&second), Step::Wait(_)));
    station.send(&other);
    station.after(10);
    station.own("k-2", "k-2");
    let mut woken = station.dispatcher.take_woken();
    woken.sort();
    assert_eq!(woken, [first.id, second.id]);
    assert_eq!(station.send(&first).back_end, "k-2".into());
    assert_eq!(station.send(&second).back_end, "k-2".into());
}

/// Without this, every request that waits asks again when the pause ends: in
/// vain, and each takes from the retry budget.
#[test]
fn one_of_the_waiting_requests_asks_an_owner_that_refused_again() {
    let mut station = Station::new();
    let first = station.begin_with("keyed", Some(1)).expect("admitted");
    let second = station.begin_with("keyed", Some(2)).expect("admitted");
    let attempt = station.send(&first);
    station.end(&first, &attempt, not_run(Rejection::NotOwner));
    let refused = station.now;
    let Step::Wait(until) = station.next(&first) else {
        panic!("a pause first");
    };
    assert!(matches!(station.next(&second), Step::Wait(_)));
    station.now = until;
    let asking = station.send(&second);
    assert!(matches!(station.next(&first), Step::Wait(_)));
    station.after(1);
    station.end(&second, &asking, not_run(Rejection::NotOwner));
    let Step::Wait(again) = station.next(&second) else {
        panic!("a pause again");
    };
    assert!(again.since(station.now) > until.since(refused));
    assert!(matches!(station.next(&first), Step::Wait(_)));
    station.now = again;
    let asking = station.send(&second);
    station.dispatcher.take_woken();
    station.end(&second, &asking, answered());
    assert_eq!(station.dispatcher.take_woken(), [first.id]);
    station.send(&first);
}

#[test]
fn older_configuration_is_never_taken() {
    let mut station = Station::new();
    let later = configuration(5, vec![route("later", "plain", true)]);
    assert!(station.configure(later));
    let older = configuration(4, vec![route("older", "plain", true)]);
    assert!(!station.configure(older));
    assert!(station.begin("later").is_ok());
    assert!(station.begin("older").is_err());
}

#[test]
fn caller_that_leaves_frees_its_place() {
    let mut station = Station::new();
    let begun = station.begin("safe").expect("admitted");
    station.send(&begun);
    let now = station.now;
    station.dispatcher.abandon(now, begun.id);
    assert_eq!(station.next(&begun), Step::Ended);
    assert_eq!(station.dispatcher.open_exchanges(), 0);
    assert_eq!(station.dispatcher.counters().abandoned, 1);
}

/// Its attempts end before a byte has left, again and again: it ends, and its
/// router goes on with others.
#[test]
fn exchange_whose_attempts_end_at_once_ends_as_well() {
    let mut station = Station::with_seed(3);
    let begun = station.begin("safe").expect("admitted");
    let mut attempts = 0;
    loop {
        match station.next(&begun) {
            Step::Send(attempt) => {
                attempts += 1;
                assert!(attempts <= 64, "no end");
                station.end(&begun, &attempt, fault(Fault::NothingSent));
            }
            Step::Finish(Outcome::Refused(_)) => return,
            step => panic!("{step:?}"),
        }
    }
}
