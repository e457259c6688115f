//! Each request has one outcome, which keeps its guarantees.

use threadledge_dispatch::dispatcher::NextAction;
use threadledge_dispatch::outcome::Rejection;
use threadledge_dispatch::{AttemptEnd, Fault, Outcome, RefusalReason, Step, UnknownReason};

use super::support::{
    Harness, TIMEOUT, answered, configuration, failed_answer, fault, is_refused, is_unknown,
    not_run, route,
};

#[test]
fn request_without_a_configuration_is_refused_with_a_retry_after() {
    let mut harness = Harness::new();
    harness.dispatcher =
        threadledge_dispatch::Dispatcher::new(threadledge_dispatch::Settings::default(), 1);
    let refusal = harness.begin("safe").expect_err("refused");
    assert_eq!(refusal.reason, RefusalReason::NoConfiguration);
    assert!(refusal.retry_after.is_some());
}

#[test]
fn request_without_route_or_key_is_refused_without_retry_after() {
    let mut harness = Harness::new();
    let refusal = harness.begin("elsewhere").expect_err("refused");
    assert_eq!(refusal.reason, RefusalReason::NoRoute);
    assert_eq!(refusal.retry_after, None);
    let refusal = harness.begin("keyed").expect_err("refused");
    assert_eq!(refusal.reason, RefusalReason::MissingKey);
}

#[test]
fn unsafe_request_is_not_sent_again_after_it_may_have_run() {
    for end in [Fault::Broken, Fault::BadAnswer, Fault::TimedOut] {
        let mut harness = Harness::new();
        let begun = harness.begin("unsafe").expect("admitted");
        let attempt = harness.send(&begun);
        assert_eq!(
            harness.end(&begun, &attempt, fault(end)),
            NextAction::CallNext
        );
        let step = harness.next(&begun);
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
        let mut harness = Harness::new();
        let begun = harness.begin("unsafe").expect("admitted");
        let first = harness.send(&begun);
        harness.end(&begun, &first, end);
        let second = harness.send(&begun);
        assert_ne!(first.back_end, second.back_end);
        assert_eq!(
            harness.end(&begun, &second, answered()),
            NextAction::Deliver
        );
    }
}

#[test]
fn request_whose_body_is_unavailable_is_refused_at_once_if_it_did_not_run() {
    for route in ["safe", "unsafe"] {
        let mut harness = Harness::new();
        let begun = harness.begin(route).expect("admitted");
        let first = harness.send(&begun);
        harness.end(&begun, &first, not_run(Rejection::Busy));
        let second = harness.send(&begun);
        harness.end(&begun, &second, fault(Fault::BodyGone));
        let step = harness.next(&begun);
        assert!(is_refused(&step), "{step:?}");
    }
}

#[test]
fn failed_upload_by_the_caller_makes_a_request_unknown_and_ejects_no_back_end() {
    let mut harness = Harness::new();
    for _ in 0..50 {
        let begun = harness.begin("safe").expect("admitted");
        let attempt = harness.send(&begun);
        harness.end(&begun, &attempt, fault(Fault::CallerBroke));
        let step = harness.next(&begun);
        assert!(is_unknown(&step), "{step:?}");
    }
    let (_, ejected) = harness.dispatcher.back_end_counts(harness.now);
    assert_eq!(ejected, 0);
}

#[test]
fn safe_request_is_answered_by_another_back_end_after_a_failure() {
    for end in [
        failed_answer(),
        fault(Fault::Broken),
        fault(Fault::BadAnswer),
    ] {
        let mut harness = Harness::new();
        let begun = harness.begin("safe").expect("admitted");
        let first = harness.send(&begun);
        assert_eq!(harness.end(&begun, &first, end), NextAction::CallNext);
        let second = harness.send(&begun);
        assert_ne!(first.back_end, second.back_end);
        // The last response is passed on even if it is a failure.
        let last = harness.end(&begun, &second, failed_answer());
        assert_eq!(last, NextAction::Deliver);
    }
}

#[test]
fn failed_answer_to_an_unsafe_request_is_passed_on() {
    let mut harness = Harness::new();
    let begun = harness.begin("unsafe").expect("admitted");
    let attempt = harness.send(&begun);
    let verdict = harness.end(&begun, &attempt, failed_answer());
    assert_eq!(verdict, NextAction::Deliver);
}

#[test]
fn attempts_that_arrived_are_bounded_by_the_route() {
    let mut harness = Harness::new();
    let begun = harness.begin("safe").expect("admitted");
    for _ in 0..2 {
        let attempt = harness.send(&begun);
        harness.end(&begun, &attempt, not_run(Rejection::Busy));
    }
    let step = harness.next(&begun);
    assert!(is_refused(&step), "{step:?}");
}

#[test]
fn connections_that_fail_do_not_count_as_attempts() {
    let mut harness = Harness::new();
    let begun = harness.begin("unsafe").expect("admitted");
    for _ in 0..5 {
        let Step::Send(attempt) = harness.next(&begun) else {
            panic!("another try is free");
        };
        harness.end(&begun, &attempt, fault(Fault::Unreachable));
    }
    let attempt = harness.send(&begun);
    assert_eq!(
        harness.end(&begun, &attempt, answered()),
        NextAction::Deliver
    );
}

#[test]
fn deadline_makes_a_sent_request_unknown_and_an_unsent_one_refused() {
    let mut harness = Harness::new();
    let sent = harness.begin("unsafe").expect("admitted");
    harness.send(&sent);
    harness.back_ends.clear();
    harness.publish_back_ends();
    let unsent = harness.begin("unsafe").expect("admitted");
    harness.next(&unsent);
    harness.advance(1_200);
    let step = harness.next(&sent);
    assert!(is_unknown(&step), "{step:?}");
    let step = harness.next(&unsent);
    assert!(is_refused(&step), "{step:?}");
}

#[test]
fn deadline_of_a_request_counts_from_its_head() {
    let mut harness = Harness::new();
    harness.advance(5_000);
    let waited = TIMEOUT / 3;
    let begun = harness.begin_after("unsafe", None, waited);
    let begun = begun.expect("admitted");
    assert_eq!(begun.deadline, harness.now + (TIMEOUT - waited));
    assert_eq!(harness.send(&begun).deadline, begun.deadline);
}

#[test]
fn request_whose_deadline_passed_before_it_started_is_refused_and_not_sent() {
    let mut harness = Harness::new();
    harness.advance(5_000);
    let begun = harness.begin_after("unsafe", None, TIMEOUT);
    let step = harness.next(&begun.expect("admitted"));
    assert!(is_refused(&step), "{step:?}");
}

#[test]
fn request_for_which_there_is_no_slot_is_refused_early() {
    let mut harness = Harness::new();
    let mut begun = Vec::new();
    loop {
        let next = harness.begin("safe").expect("admitted");
        match harness.next(&next) {
            Step::Send(attempt) => {
                harness
                    .dispatcher
                    .may_send(harness.now, next.id, attempt.id);
                begun.push(next);
            }
            Step::Wait(until) => {
                let waited = until.since(harness.now);
                assert!(waited <= super::support::TARGET / 4, "{waited:?}");
                harness.now = until;
                let step = harness.next(&next);
                assert!(is_refused(&step), "{step:?}");
                return;
            }
            step => panic!("{step:?}"),
        }
        assert!(begun.len() < 100, "there is no end of slots");
    }
}

#[test]
fn attempt_may_not_be_sent_once_the_back_end_drains() {
    let mut harness = Harness::new();
    let begun = harness.begin("unsafe").expect("admitted");
    let Step::Send(attempt) = harness.next(&begun) else {
        panic!("a back end is free");
    };
    for back_end in &mut harness.back_ends {
        back_end.draining = back_end.name == attempt.back_end;
    }
    harness.publish_back_ends();
    let now = harness.now;
    assert!(!harness.dispatcher.may_send(now, begun.id, attempt.id));
    harness.end(&begun, &attempt, AttemptEnd::Abandoned);
    let other = harness.send(&begun);
    assert_ne!(other.back_end, attempt.back_end);
}

#[test]
fn attempt_may_not_be_sent_once_the_key_has_moved() {
    let mut harness = Harness::new();
    let begun = harness.begin_with("keyed", Some(1)).expect("admitted");
    let Step::Send(attempt) = harness.next(&begun) else {
        panic!("the owner is free");
    };
    harness.set_owners("k-2", "k-2");
    let now = harness.now;
    assert!(!harness.dispatcher.may_send(now, begun.id, attempt.id));
    harness.end(&begun, &attempt, AttemptEnd::Abandoned);
    assert_eq!(harness.send(&begun).back_end, "k-2".into());
}

#[test]
fn key_without_an_owner_waits_shortly_and_goes_to_the_next_owner() {
    let mut harness = Harness::new();
    harness.set_owners("", "k-2");
    let begun = harness.begin_with("keyed", Some(1)).expect("admitted");
    assert!(matches!(harness.next(&begun), Step::Wait(_)));
    harness.advance(5);
    harness.set_owners("k-2", "k-2");
    assert_eq!(harness.dispatcher.take_woken(), [begun.id]);
    assert_eq!(harness.send(&begun).back_end, "k-2".into());
    harness.set_owners("", "");
    let begun = harness.begin_with("keyed", Some(1)).expect("admitted");
    let Step::Wait(until) = harness.next(&begun) else {
        panic!("nobody owns it");
    };
    harness.now = until;
    let Step::Finish(Outcome::Refused(refusal)) = harness.next(&begun) else {
        panic!("refused");
    };
    assert_eq!(refusal.reason, RefusalReason::NoOwner);
}

#[test]
fn owner_that_does_not_hold_the_key_yet_is_tried_again() {
    let mut harness = Harness::new();
    let begun = harness.begin_with("keyed", Some(1)).expect("admitted");
    let first = harness.send(&begun);
    harness.end(&begun, &first, not_run(Rejection::NotOwner));
    let Step::Wait(until) = harness.next(&begun) else {
        panic!("a pause first");
    };
    harness.now = until;
    assert_eq!(harness.send(&begun).back_end, first.back_end);
}

/// Otherwise, every request for a key that moves would be sent to the former
/// owner and refused there until its attempts are used up.
#[test]
fn one_refusal_by_the_owner_delays_all_requests_for_the_key() {
    let mut harness = Harness::new();
    let first = harness.begin_with("keyed", Some(1)).expect("admitted");
    let second = harness.begin_with("keyed", Some(2)).expect("admitted");
    let other = harness.begin_with("keyed", Some(20_000)).expect("admitted");
    let attempt = harness.send(&first);
    harness.end(&first, &attempt, not_run(Rejection::NotOwner));
    assert!(matches!(harness.next(&first), Step::Wait(_)));
    assert!(matches!(harness.next(&second), Step::Wait(_)));
    harness.send(&other);
    harness.advance(10);
    harness.set_owners("k-2", "k-2");
    let mut woken = harness.dispatcher.take_woken();
    woken.sort();
    assert_eq!(woken, [first.id, second.id]);
    assert_eq!(harness.send(&first).back_end, "k-2".into());
    assert_eq!(harness.send(&second).back_end, "k-2".into());
}

/// Otherwise, every waiting request would try again when the delay ends: in
/// vain, and each at the cost of the retry budget.
#[test]
fn only_one_waiting_request_retries_an_owner_that_refused() {
    let mut harness = Harness::new();
    let first = harness.begin_with("keyed", Some(1)).expect("admitted");
    let second = harness.begin_with("keyed", Some(2)).expect("admitted");
    let attempt = harness.send(&first);
    harness.end(&first, &attempt, not_run(Rejection::NotOwner));
    let refused = harness.now;
    let Step::Wait(until) = harness.next(&first) else {
        panic!("a pause first");
    };
    assert!(matches!(harness.next(&second), Step::Wait(_)));
    harness.now = until;
    let asking = harness.send(&second);
    assert!(matches!(harness.next(&first), Step::Wait(_)));
    harness.advance(1);
    harness.end(&second, &asking, not_run(Rejection::NotOwner));
    let Step::Wait(again) = harness.next(&second) else {
        panic!("a pause again");
    };
    assert!(again.since(harness.now) > until.since(refused));
    assert!(matches!(harness.next(&first), Step::Wait(_)));
    harness.now = again;
    let asking = harness.send(&second);
    harness.dispatcher.take_woken();
    harness.end(&second, &asking, answered());
    assert_eq!(harness.dispatcher.take_woken(), [first.id]);
    harness.send(&first);
}

#[test]
fn older_configuration_is_ignored() {
    let mut harness = Harness::new();
    let later = configuration(5, vec![route("later", "plain", true)]);
    assert!(harness.configure(later));
    let older = configuration(4, vec![route("older", "plain", true)]);
    assert!(!harness.configure(older));
    assert!(harness.begin("later").is_ok());
    assert!(harness.begin("older").is_err());
}

#[test]
fn abandoned_exchange_is_removed() {
    let mut harness = Harness::new();
    let begun = harness.begin("safe").expect("admitted");
    harness.send(&begun);
    let now = harness.now;
    harness.dispatcher.abandon(now, begun.id);
    assert_eq!(harness.next(&begun), Step::Ended);
    assert_eq!(harness.dispatcher.open_exchanges(), 0);
    assert_eq!(harness.dispatcher.counters().abandoned, 1);
}

/// An exchange whose attempts repeatedly end before a byte is sent must end, so
/// that its router can go on with others.
#[test]
fn exchange_whose_attempts_end_at_once_is_refused() {
    let mut harness = Harness::with_seed(3);
    let begun = harness.begin("safe").expect("admitted");
    let mut attempts = 0;
    loop {
        match harness.next(&begun) {
            Step::Send(attempt) => {
                attempts += 1;
                assert!(attempts <= 64, "no end");
                harness.end(&begun, &attempt, fault(Fault::NothingSent));
            }
            Step::Finish(Outcome::Refused(_)) => return,
            step => panic!("{step:?}"),
        }
    }
}
