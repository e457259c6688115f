//! Each check finds what it is there for, and nothing in a sound history.

use std::collections::BTreeMap;
use std::time::Duration;

use threadledge_soak::check::{owners, requests, runs_after_drain};
use threadledge_soak::fault::{Choice, Kind, plan};
use threadledge_soak::{Answer, Seen, Violation};

fn seen(id: &str, repeatable: bool, status: u16) -> Seen {
    let answer = Answer::Whole {
        status,
        id: Some(id.to_owned()),
        body: format!("answer to {id} from b-1"),
    };
    Seen {
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
fn sound_history_has_no_violation() {
    let history = [
        seen("safe-twice", true, 200),
        seen("safe-refused", true, 503),
        seen("unsafe", false, 200),
        seen("unsafe-unknown", false, 502),
        seen("unsafe-refused", false, 503),
        Seen {
            answer: Answer::None,
            ..seen("lost", false, 200)
        },
    ];
    let ran = runs(&[
        ("safe-twice", 2),
        ("safe-refused", 1),
        ("unsafe", 1),
        ("unsafe-unknown", 1),
        ("lost", 1),
    ]);
    assert_eq!(requests(&history, &ran), []);
}

#[test]
fn second_run_of_an_unsafe_request_is_found() {
    let found = requests(&[seen("a", false, 200)], &runs(&[("a", 2)]));
    let id = "a".to_owned();
    assert_eq!(found, [Violation::Twice { id, runs: 2 }]);
}

#[test]
fn run_of_a_refused_request_is_found() {
    for status in [408, 421, 429, 503] {
        let found = requests(&[seen("a", false, status)], &runs(&[("a", 1)]));
        let id = "a".to_owned();
        assert_eq!(found, [Violation::RanThoughRefused { id, status }]);
    }
}

#[test]
fn answer_of_another_request_is_found() {
    let mut other = seen("a", true, 200);
    other.answer = seen("b", true, 200).answer;
    let found = requests(&[other], &runs(&[("a", 1)]));
    assert!(matches!(found[..], [Violation::WrongAnswer { .. }]));
}

#[test]
fn success_without_a_run_is_found() {
    let found = requests(&[seen("a", true, 200)], &BTreeMap::new());
    assert!(matches!(found[..], [Violation::NeverRan { .. }]));
}

#[test]
fn second_owner_of_a_key_is_found() {
    let one = ("b-1".to_owned(), vec![1, 2]);
    let two = ("b-2".to_owned(), vec![2, 3]);
    assert_eq!(owners(std::slice::from_ref(&one)), []);
    let found = owners(&[one, two]);
    assert!(matches!(found[..], [Violation::TwoOwners { key: 2, .. }]));
}

/// Runs at the back ends of a drained zone count once the bound is over, and
/// unless gateways may have been kept from learning it.
#[test]
fn run_in_a_drained_zone_is_found() {
    let seconds = Duration::from_secs;
    let drained = seconds(10)..seconds(20);
    let runs = [9, 12, 14, 17, 21].map(seconds);
    assert_eq!(runs_after_drain(&runs, &drained, &[], 1), 1);
    assert_eq!(runs_after_drain(&runs, &drained, &[], 2), 0);
    let before = seconds(8)..seconds(11);
    assert_eq!(runs_after_drain(&runs, &drained, &[before], 1), 1);
    for trouble in [seconds(16)..seconds(18), seconds(13)..seconds(15)] {
        assert_eq!(runs_after_drain(&runs, &drained, &[trouble], 1), 0);
    }
}

#[test]
fn seed_decides_the_faults() {
    let total = Duration::from_secs(60);
    let first = plan(5, total, 4, 6, Choice::All);
    assert_eq!(first, plan(5, total, 4, 6, Choice::All));
    assert_ne!(first, plan(6, total, 4, 6, Choice::All));
    let some = plan(5, total, 4, 6, Choice::Owners);
    assert!(some.iter().all(|fault| first.contains(fault)));
    assert!(some.len() < first.len());
    assert!(first.is_sorted_by_key(|fault| fault.at));
    assert!(first.iter().all(|fault| fault.at < total));
}

#[test]
fn seed_decides_what_back_ends_say_and_no_link_is_cut_beside() {
    let total = Duration::from_secs(60);
    let first = plan(5, total, 4, 6, Choice::Backpressure);
    assert_eq!(first, plan(5, total, 4, 6, Choice::Backpressure));
    assert!(first.is_sorted_by_key(|fault| fault.at));
    let says = |wanted: fn(&Kind) -> bool| first.iter().any(|fault| wanted(&fault.kind));
    assert!(says(|kind| matches!(kind, Kind::NamesLimit { .. })));
    assert!(says(|kind| matches!(kind, Kind::SaysLeaving(_))));
    assert!(says(|kind| matches!(kind, Kind::AsksRest { .. })));
    let cuts = |kind: &Kind| matches!(kind, Kind::BackEndHold { .. } | Kind::StoreCut(_));
    assert!(!first.iter().any(|fault| cuts(&fault.kind)));
}
