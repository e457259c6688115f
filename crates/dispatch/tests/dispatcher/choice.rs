//! Tests of which back end a request goes to.

use std::collections::BTreeMap;

use threadledge_dispatch::AttemptEnd;
use threadledge_dispatch::{Attempt, Fault, ReportedLoad, Step};
use threadledge_types::deployment::BackEndName;

use super::support::{Harness, answered, back_end, fault};

#[test]
fn near_back_end_is_preferred_while_it_is_as_good() {
    let mut harness = Harness::new();
    for _ in 0..50 {
        let attempt = harness.answer_one("safe", 50);
        assert_eq!(attempt.back_end, "p-near".into());
        harness.advance(20);
    }
}

#[test]
fn routers_without_information_do_not_all_choose_the_same_back_end() {
    let mut asked: BTreeMap<BackEndName, u32> = BTreeMap::new();
    for seed in 0..60 {
        let mut harness = Harness::with_seed(seed);
        for number in 10..14 {
            let name = format!("p-near-{number}");
            harness
                .back_ends
                .push(back_end(&name, "plain", "near", number));
        }
        harness.publish_back_ends();
        for _ in 0..2 {
            let begun = harness.begin("unsafe").expect("admitted");
            *asked.entry(harness.send(&begun).back_end).or_default() += 1;
        }
    }
    let most = asked.values().max().copied().unwrap_or(0);
    assert!(most <= 40, "{asked:?}");
    assert!(asked.len() >= 5, "{asked:?}");
}

/// Back ends that join must get requests within seconds, although the existing
/// ones are known to be good.
#[test]
fn back_end_that_joins_gets_requests_soon() {
    let mut harness = Harness::new();
    for _ in 0..30 {
        harness.answer_one("safe", 50);
    }
    harness
        .back_ends
        .push(back_end("p-new", "plain", "near", 9));
    harness.publish_back_ends();
    let is_new = |attempt: &Attempt| attempt.back_end == "p-new".into();
    let asked = (0..20).filter(|_| is_new(&harness.answer_one("safe", 50)));
    let asked = asked.count();
    assert!(asked >= 3, "{asked} of 20");
}

#[test]
fn far_back_end_is_taken_when_the_near_one_is_full() {
    let mut harness = Harness::new();
    harness.answer_one("safe", 100);
    let mut far = 0;
    for _ in 0..4 {
        let begun = harness.begin("safe").expect("admitted");
        if harness.send(&begun).back_end == "p-far".into() {
            far += 1;
        }
    }
    assert!(far > 0, "all went to the near one");
}

#[test]
fn reported_load_of_other_routers_counts() {
    let mut harness = Harness::new();
    let begun = harness.begin("safe").expect("admitted");
    let attempt = harness.send(&begun);
    harness.advance(60);
    let load = Some(ReportedLoad {
        running: 2,
        waiting: 6,
        slots: 2,
    });
    let end = AttemptEnd::Answered {
        failed: false,
        load,
    };
    harness.end(&begun, &attempt, end);
    let next = harness.begin("safe").expect("admitted");
    assert_eq!(harness.send(&next).back_end, "p-far".into());
}

#[test]
fn unreachable_back_end_is_ejected_and_tried_again_later() {
    let mut harness = Harness::new();
    let begun = harness.begin("safe").expect("admitted");
    let first = harness.send(&begun);
    harness.end(&begun, &first, fault(Fault::Unreachable));
    for _ in 0..5 {
        let attempt = harness.answer_one("safe", 5);
        assert_ne!(attempt.back_end, first.back_end);
    }
    harness.advance(400);
    let again = harness.answer_one("safe", 5);
    assert_eq!(again.back_end, first.back_end);
}

#[test]
fn slow_back_end_gets_fewer_requests() {
    let mut harness = Harness::new();
    harness
        .back_ends
        .push(back_end("p-slow", "plain", "near", 9));
    harness.publish_back_ends();
    let mut slow = 0;
    for _ in 0..100 {
        let begun = harness.begin("safe").expect("admitted");
        let attempt = harness.send(&begun);
        let is_slow = attempt.back_end == "p-slow".into();
        harness.advance(if is_slow { 180 } else { 40 });
        harness.end(&begun, &attempt, answered());
        slow += u32::from(is_slow);
    }
    assert!(slow < 15, "{slow} of 100");
}

#[test]
fn request_without_a_response_is_hedged_once() {
    let mut harness = Harness::new();
    let begun = harness.begin("safe").expect("admitted");
    let first = harness.send(&begun);
    let Step::Wait(until) = harness.next(&begun) else {
        panic!("it waits first");
    };
    harness.now = until;
    let second = harness.send(&begun);
    assert_ne!(first.back_end, second.back_end);
    let Step::Wait(until) = harness.next(&begun) else {
        panic!("no third");
    };
    assert_eq!(until, begun.deadline);
    let unsafe_one = harness.begin("unsafe").expect("admitted");
    harness.send(&unsafe_one);
    let Step::Wait(until) = harness.next(&unsafe_one) else {
        panic!("it waits");
    };
    assert_eq!(until, unsafe_one.deadline, "an unsafe request is sent once");
}

#[test]
fn waiting_requests_are_served_by_priority() {
    let mut harness = Harness::new();
    let mut urgent = super::support::route("urgent", "plain", true);
    urgent.priority = 0;
    let mut patient = super::support::route("patient", "plain", true);
    patient.priority = 3;
    harness.configure(super::support::configuration(2, vec![patient, urgent]));
    harness.answer_one("patient", 150);
    let mut sent = Vec::new();
    let waiting = loop {
        let begun = harness.begin("patient").expect("admitted");
        match harness.next(&begun) {
            Step::Send(attempt) => {
                let now = harness.now;
                assert!(harness.dispatcher.may_send(now, begun.id, attempt.id));
                sent.push((begun, attempt));
            }
            _ => break begun,
        }
    };
    let urgent = harness.begin("urgent").expect("admitted");
    assert!(matches!(harness.next(&urgent), Step::Wait(_)));
    let (begun, attempt) = sent.remove(0);
    harness.advance(10);
    harness.end(&begun, &attempt, answered());
    let woken = harness.dispatcher.take_woken();
    assert_eq!(
        woken.first(),
        Some(&urgent.id),
        "{woken:?} {:?}",
        waiting.id
    );
}
