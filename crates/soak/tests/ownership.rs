//! The judgement of who held which keys finds bad histories and lets good ones
//! pass.

use std::time::Duration;

use threadledge_platform_stand_in::KeyChange;
use threadledge_soak::Violation;
use threadledge_soak::ownership::{Begun, Change, judge};

/// As the soak allows looks to take.
const TOLERANCE: Duration = Duration::from_millis(60);

fn change(back_end: &str, at_ms: u64, what: KeyChange) -> Change<'_> {
    let at = Duration::from_millis(at_ms);
    Change { back_end, at, what }
}

/// A grant of keys for two seconds.
fn grant(back_end: &str, at_ms: u64, keys: (u16, u16), fence: u64) -> Change<'_> {
    let what = KeyChange::Granted {
        first: keys.0,
        last: keys.1,
        fence,
        hold: Duration::from_secs(2),
    };
    change(back_end, at_ms, what)
}

fn release(back_end: &str, at_ms: u64, keys: (u16, u16)) -> Change<'_> {
    let (first, last) = keys;
    change(back_end, at_ms, KeyChange::Released { first, last })
}

fn begun(back_end: &str, at_ms: u64, key: u16) -> Begun<'_> {
    let at = Duration::from_millis(at_ms);
    Begun {
        back_end,
        at,
        until: Some(at),
        key,
    }
}

/// A request that ends at `until_ms`, or never.
fn work<'a>(back_end: &'a str, at_ms: u64, until_ms: Option<u64>, key: u16) -> Begun<'a> {
    Begun {
        until: until_ms.map(Duration::from_millis),
        ..begun(back_end, at_ms, key)
    }
}

/// What was found, as kind and keys.
fn found(changes: &[Change], begun: &[Begun]) -> Vec<(&'static str, (u16, u16))> {
    let told = judge(changes, begun, TOLERANCE);
    let named = told.iter().map(|each| match each {
        Violation::HeldTwice {
            keys,
            both_began: true,
            ..
        } => ("both began", *keys),
        Violation::HeldTwice { keys, .. } => ("held twice", *keys),
        Violation::LowFence { keys, .. } => ("low fence", *keys),
        Violation::StillAtWork { key, .. } => ("at work", (*key, *key)),
        other => panic!("{other}"),
    });
    named.collect()
}

#[test]
fn sound_history_is_let_pass() {
    let changes = [
        grant("a", 0, (0, 999), 1),
        grant("b", 0, (1_000, 1_999), 2),
        // Renewals, one of them of a part.
        grant("a", 1_000, (0, 999), 1),
        grant("b", 1_500, (1_000, 1_499), 2),
        // Released and given on, run out and given on, crashed and given on.
        release("a", 2_000, (500, 999)),
        grant("b", 2_001, (500, 999), 3),
        grant("c", 3_600, (1_500, 1_999), 4),
        change("c", 3_700, KeyChange::Crashed),
        grant("d", 3_701, (1_500, 1_999), 5),
        // What a crashed one is told later ends nothing of others.
        release("c", 3_800, (0, 1_999)),
        // A back end takes back what it held itself, under its own fence.
        release("d", 3_900, (1_500, 1_999)),
        grant("d", 4_000, (1_500, 1_999), 5),
    ];
    let begun = [
        begun("a", 1_999, 700),
        begun("b", 2_002, 700),
        begun("b", 3_400, 1_400),
        begun("c", 3_650, 1_600),
        begun("d", 3_702, 1_600),
    ];
    assert_eq!(found(&changes, &begun), []);
}

/// An order that was given up comes after the keys are another's.
#[test]
fn late_grant_under_an_old_fence_is_found() {
    let changes = [
        grant("a", 0, (0, 999), 5),
        grant("b", 2_500, (0, 499), 8),
        grant("a", 3_000, (0, 999), 5),
    ];
    assert_eq!(
        found(&changes, &[]),
        [("held twice", (0, 499)), ("low fence", (0, 499))]
    );
    let both = [begun("a", 3_100, 7), begun("b", 3_200, 8)];
    assert_eq!(
        found(&changes, &both),
        [("both began", (0, 499)), ("low fence", (0, 499))]
    );
}

/// Requests of one holder alone, or outside the common time, are no proof that
/// both worked.
#[test]
fn requests_of_both_count_in_the_common_time_alone() {
    let changes = [grant("a", 0, (0, 99), 1), grant("b", 1_960, (0, 99), 2)];
    assert_eq!(found(&changes, &[begun("b", 1_970, 3)]), []);
    let outside = [begun("a", 1_950, 3), begun("b", 1_970, 3)];
    assert_eq!(found(&changes, &outside), []);
    let inside = [begun("a", 1_965, 3), begun("b", 1_970, 3)];
    assert_eq!(found(&changes, &inside), [("both began", (0, 99))]);
    let elsewhere = [begun("a", 1_965, 300), begun("b", 1_970, 3)];
    assert_eq!(found(&changes, &elsewhere), []);
}

/// Keys of a live owner are given on without a word to it.
#[test]
fn keys_given_on_while_their_owner_lives_are_found() {
    let changes = [grant("a", 0, (0, 99), 1), grant("b", 500, (50, 149), 2)];
    assert_eq!(found(&changes, &[]), [("held twice", (50, 99))]);
}

/// A release stops new work only: until what runs has ended or the lease has
/// run out, the key is nobody else's.
#[test]
fn keys_given_on_while_their_owner_is_at_work_are_found() {
    let given_on = |at_ms: u64| {
        [
            grant("a", 0, (0, 99), 1),
            release("a", 500, (0, 99)),
            grant("b", at_ms, (0, 99), 2),
        ]
    };
    let ends = [work("a", 400, Some(700), 7)];
    assert_eq!(found(&given_on(600), &ends), [("at work", (7, 7))]);
    assert_eq!(found(&given_on(700), &ends), []);
    let never_ends = [work("a", 400, None, 7)];
    assert_eq!(found(&given_on(1_999), &never_ends), [("at work", (7, 7))]);
    assert_eq!(found(&given_on(2_000), &never_ends), []);
    let crashed = [
        grant("a", 0, (0, 99), 1),
        change("a", 500, KeyChange::Crashed),
        grant("b", 600, (0, 99), 2),
    ];
    assert_eq!(found(&crashed, &never_ends), []);
}

/// Another life has another name, and needs a higher fence like anybody.
#[test]
fn next_life_under_the_same_fence_is_found() {
    let changes = [
        grant("a-1", 0, (0, 99), 3),
        change("a-1", 500, KeyChange::Crashed),
        grant("a-2", 1_000, (0, 99), 3),
    ];
    assert_eq!(found(&changes, &[]), [("low fence", (0, 99))]);
}

/// Neighbouring stretches with the same story are told of once.
#[test]
fn renewals_of_parts_do_not_divide_what_is_told() {
    let changes = [
        grant("a", 0, (0, 99), 1),
        grant("b", 500, (0, 99), 2),
        release("c", 600, (20, 40)),
    ];
    assert_eq!(found(&changes, &[]), [("held twice", (0, 99))]);
}
