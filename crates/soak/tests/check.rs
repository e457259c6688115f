//! Tests that each check finds its violation, and none in a correct history.

use std::collections::BTreeMap;
use std::time::Duration;

use threadledge_soak::check::{check_requests, find_shared_keys, runs_after_drain};
use threadledge_soak::fault::{FaultSet, Kind, plan};
use threadledge_soak::{Answer, RequestRecord, Violation};

fn record(id: &str, repeatable: bool, status: u16) -> RequestRecord {
    let answer = Answer::Whole {
        status,
        id: Some(id.to_owned()),
        body: format!("answer to {id} from b-1"),
    };
    RequestRecord {
        id: id.to_owned(),
        repeatable,
        answer,
    }
}

fn runs(all: &[(&str, usize)]) -> BTreeMap<String, usize> {
    all.iter()
        .map(|(id, runs)| ((*id).to_owned(), *runs))
        .collect()
}

#[test]
fn correct_history_has_no_violation() {
    let history = [
        record("safe-twice", true, 200),
        record("safe-refused", true, 503),
        record("unsafe", false, 200),
        record("unsafe-unknown", false, 502),
        record("unsafe-refused", false, 503),
        RequestRecord {
            answer: Answer::None,
            ..record("lost", false, 200)
        },
    ];
    let ran = runs(&[
        ("safe-twice", 2),
        ("safe-refused", 1),
        ("unsafe", 1),
        ("unsafe-unknown", 1),
        ("lost", 1),
    ]);
    assert_eq!(check_requests(&history, &ran), []);
}

#[test]
fn second_run_of_an_unsafe_request_is_found() {
    let found = check_requests(&[record("a", false, 200)], &runs(&[("a", 2)]));
    let id = "a".to_owned();
    assert_eq!(found, [Violation::RepeatedUnsafe { id, runs: 2 }]);
}

#[test]
fn run_of_a_refused_request_is_found() {
    for status in [408, 421, 429, 503] {
        let found = check_requests(&[record("a", false, status)], &runs(&[("a", 1)]));
        let id = "a".to_owned();
        assert_eq!(found, [Violation::RanAfterRefusal { id, status }]);
    }
}

#[test]
fn answer_of_another_request_is_found() {
    let mut other = record("a", true, 200);
    other.answer = record("b", true, 200).answer;
    let found = check_requests(&[other], &runs(&[("a", 1)]));
    assert!(matches!(found[..], [Violation::WrongAnswer { .. }]));
}

/// A gateway's own failure may lack an id and has a body of its own.
#[test]
fn failure_of_another_request_is_found() {
    let own_failure = RequestRecord {
        answer: Answer::Whole {
            status: 502,
            id: None,
            body: "no-answer".to_owned(),
        },
        ..record("a", true, 502)
    };
    assert_eq!(check_requests(&[own_failure], &BTreeMap::new()), []);
    for (id, body) in [("b", "a"), ("a", "b")] {
        let mut other = record("a", true, 500);
        other.answer = Answer::Whole {
            status: 500,
            id: Some(id.to_owned()),
            body: format!("answer to {body} from b-1"),
        };
        let found = check_requests(&[other], &runs(&[("a", 1)]));
        assert!(matches!(found[..], [Violation::WrongAnswer { .. }]));
    }
}

#[test]
fn success_without_a_run_is_found() {
    let found = check_requests(&[record("a", true, 200)], &BTreeMap::new());
    assert!(matches!(found[..], [Violation::NeverRan { .. }]));
}

#[test]
fn second_owner_of_a_key_is_found() {
    let one = ("b-1".to_owned(), vec![1, 2]);
    let two = ("b-2".to_owned(), vec![2, 3]);
    assert_eq!(find_shared_keys(std::slice::from_ref(&one)), []);
    let found = find_shared_keys(&[one, two]);
    assert!(matches!(found[..], [Violation::TwoOwners { key: 2, .. }]));
}

/// Runs at the back ends of a drained zone count once the bound has passed,
/// unless gateways may have been kept from learning of the drain.
#[test]
fn run_in_a_drained_zone_is_found() {
    let seconds = Duration::from_secs;
    let drained = seconds(10)..seconds(20);
    let runs = [9, 12, 14, 17, 21].map(seconds);
    assert_eq!(runs_after_drain(&runs, &drained, &[], 1), 1);
    assert_eq!(runs_after_drain(&runs, &drained, &[], 2), 0);
    let before = seconds(8)..seconds(11);
    assert_eq!(runs_after_drain(&runs, &drained, &[before], 1), 1);
    for disturbance in [seconds(16)..seconds(18), seconds(13)..seconds(15)] {
        assert_eq!(runs_after_drain(&runs, &drained, &[disturbance], 1), 0);
    }
}

#[test]
fn seed_decides_the_faults() {
    let total = Duration::from_secs(60);
    let first = plan(5, total, 4, 6, FaultSet::All);
    assert_eq!(first, plan(5, total, 4, 6, FaultSet::All));
    assert_ne!(first, plan(6, total, 4, 6, FaultSet::All));
    let some = plan(5, total, 4, 6, FaultSet::Owners);
    assert!(some.iter().all(|fault| first.contains(fault)));
    assert!(some.len() < first.len());
    assert!(first.is_sorted_by_key(|fault| fault.at));
    assert!(first.iter().all(|fault| fault.at < total));
}

/// Every order is carried out as it arrives, so that no grant is late.
#[test]
fn seed_decides_copies_and_no_order_is_delayed_meanwhile() {
    let total = Duration::from_secs(60);
    let first = plan(5, total, 4, 6, FaultSet::Doubled);
    assert_eq!(first, plan(5, total, 4, 6, FaultSet::Doubled));
    assert!(first.is_sorted_by_key(|fault| fault.at));
    for fault in &first {
        let allowed = matches!(
            fault.kind,
            Kind::Doubles { .. }
                | Kind::Replace(_)
                | Kind::Cold(_)
                | Kind::Restart { .. }
                | Kind::Kill(_)
        );
        assert!(allowed, "{fault}");
    }
    let doubles = first
        .iter()
        .filter(|fault| matches!(fault.kind, Kind::Doubles { .. }));
    assert!((1..first.len()).contains(&doubles.count()));
}

#[test]
fn seed_decides_backpressure_and_no_connection_is_cut_meanwhile() {
    let total = Duration::from_secs(60);
    let first = plan(5, total, 4, 6, FaultSet::Backpressure);
    assert_eq!(first, plan(5, total, 4, 6, FaultSet::Backpressure));
    assert!(first.is_sorted_by_key(|fault| fault.at));
    let includes = |wanted: fn(&Kind) -> bool| first.iter().any(|fault| wanted(&fault.kind));
    assert!(includes(|kind| matches!(kind, Kind::NamesLimit { .. })));
    assert!(includes(|kind| matches!(kind, Kind::SaysLeaving(_))));
    assert!(includes(|kind| matches!(kind, Kind::AsksRest { .. })));
    let is_cut = |kind: &Kind| matches!(kind, Kind::BackEndHold { .. } | Kind::StoreCut(_));
    assert!(!first.iter().any(|fault| is_cut(&fault.kind)));
}
