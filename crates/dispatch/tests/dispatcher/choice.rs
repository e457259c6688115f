//! Which back end a request goes to.

use std::collections::BTreeMap;

use threadledge_dispatch::AttemptEnd;
use threadledge_dispatch::{Attempt, Fault, ReportedLoad, Step};
use threadledge_types::deployment::BackEndName;

use super::support::{Station, answered, back_end, fault};

#[test]
fn near_back_end_is_preferred_while_it_is_as_good() {
    let mut station = Station::new();
    for _ in 0..50 {
        let attempt = station.answer_one("safe", 50);
        assert_eq!(attempt.back_end, "p-near".into());
        station.after(20);
    }
}

#[test]
fn routers_that_know_nothing_yet_do_not_all_ask_the_same_back_end() {
    let mut asked: BTreeMap<BackEndName, u32> = BTreeMap::new();
    for seed in 0..60 {
        let mut station = Station::with_seed(seed);
        for number in 10..14 {
            let name = format!("p-near-{number}");
            station
                .back_ends
                .push(back_end(&name, "plain", "near", number));
        }
        station.publish();
        for _ in 0..2 {
            let begun = station.begin("unsafe").expect("admitted");
            *asked.entry(station.send(&begun).back_end).or_default() += 1;
        }
    }
    let most = asked.values().max().copied().unwrap_or(0);
    assert!(most <= 40, "{asked:?}");
    assert!(asked.len() >= 5, "{asked:?}");
}

/// Back ends that join have to get requests within seconds, although those
/// that were there before are known to be good.
#[test]
fn back_end_that_joins_is_asked_soon() {
    let mut station = Station::new();
    for _ in 0..30 {
        station.answer_one("safe", 50);
    }
    station
        .back_ends
        .push(back_end("p-new", "plain", "near", 9));
    station.publish();
    let is_new = |attempt: &Attempt| attempt.back_end == "p-new".into();
    let asked = (0..20).filter(|_| is_new(&station.answer_one("safe", 50)));
    let asked = asked.count();
    assert!(asked >= 3, "{asked} of 20");
}

#[test]
fn far_back_end_is_taken_when_the_near_one_is_full() {
    let mut station = Station::new();
    station.answer_one("safe", 100);
    let mut far = 0;
    for _ in 0..4 {
        let begun = station.begin("safe").expect("admitted");
        if station.send(&begun).back_end == "p-far".into() {
            far += 1;
        }
    }
    assert!(far > 0, "all went to the near one");
}

#[test]
fn told_load_of_other_routers_counts() {
    let mut station = Station::new();
    let begun = station.begin("safe").expect("admitted");
    let attempt = station.send(&begun);
    station.after(60);
    let load = Some(ReportedLoad {
        running: 2,
        waiting: 6,
        slots: 2,
    });
    let end = AttemptEnd::Answered {
        failed: false,
        load,
    };
    station.end(&begun, &attempt, end);
    let next = station.begin("safe").expect("admitted");
    assert_eq!(station.send(&next).back_end, "p-far".into());
}

#[test]
fn back_end_that_cannot_be_reached_is_left_alone_and_tried_again() {
    let mut station = Station::new();
    let begun = station.begin("safe").expect("admitted");
    let first = station.send(&begun);
    station.end(&begun, &first, fault(Fault::Unreachable));
    for _ in 0..5 {
        let attempt = station.answer_one("safe", 5);
        assert_ne!(attempt.back_end, first.back_end);
    }
    station.after(400);
    let again = station.answer_one("safe", 5);
    assert_eq!(again.back_end, first.back_end);
}

#[test]
fn slow_back_end_gets_fewer_requests() {
    let mut station = Station::new();
    station
        .back_ends
        .push(back_end("p-slow", "plain", "near", 9));
    station.publish();
    let mut slow = 0;
    for _ in 0..100 {
        let begun = station.begin("safe").expect("admitted");
        let attempt = station.send(&begun);
        let is_slow = attempt.back_end == "p-slow".into();
        station.after(if is_slow { 180 } else { 40 });
        station.end(&begun, &attempt, answered());
        slow += u32::from(is_slow);
    }
    assert!(slow < 15, "{slow} of 100");
}

#[test]
fn request_without_an_answer_is_sent_to_a_second_back_end_once() {
    let mut station = Station::new();
    let begun = station.begin("safe").expect("admitted");
    let first = station.send(&begun);
    let Step::Wait(until) = station.next(&begun) else {
        panic!("it waits first");
    };
    station.now = until;
    let second = station.send(&begun);
    assert_ne!(first.back_end, second.back_end);
    let Step::Wait(until) = station.next(&begun) else {
        panic!("no third");
    };
    assert_eq!(until, begun.deadline);
    let unsafe_one = station.begin("unsafe").expect("admitted");
    station.send(&unsafe_one);
    let Step::Wait(until) = station.next(&unsafe_one) else {
        panic!("it waits");
    };
    assert_eq!(until, unsafe_one.deadline, "an unsafe request is sent once");
}

#[test]
fn waiting_requests_are_served_by_priority() {
    let mut station = Station::new();
    let mut urgent = super::support::route("urgent", "plain", true);
    urgent.priority = 0;
    let mut patient = super::support::route("patient", "plain", true);
    patient.priority = 3;
    station.configure(super::support::configuration(2, vec![patient, urgent]));
    station.answer_one("patient", 150);
    let mut sent = Vec::new();
    let waiting = loop {
        let begun = station.begin("patient").expect("admitted");
        match station.next(&begun) {
            Step::Send(attempt) => {
                let now = station.now;
                assert!(station.dispatcher.may_send(now, begun.id, attempt.id));
                sent.push((begun, attempt));
            }
            _ => break begun,
        }
    };
    let urgent = station.begin("urgent").expect("admitted");
    assert!(matches!(station.next(&urgent), Step::Wait(_)));
    let (begun, attempt) = sent.remove(0);
    station.after(10);
    station.end(&begun, &attempt, answered());
    let woken = station.dispatcher.take_woken();
    assert_eq!(
        woken.first(),
        Some(&urgent.id),
        "{woken:?} {:?}",
        waiting.id
    );
}
