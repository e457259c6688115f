//! Tests that the check of the key histories finds faulty histories and accepts
//! correct ones.

use std::time::Duration;

use threadledge_platform_stand_in::KeyChange;
use threadledge_soak::Violation;
use threadledge_soak::ownership::{KeyChangeEvent, KeyedRun, check_history};

/// The overlap that the soak tolerates because back ends are queried in turn.
const TOLERANCE: Duration = Duration::from_millis(60);

fn change(back_end: &str, at_ms: u64, change: KeyChange) -> KeyChangeEvent<'_> {
    let at = Duration::from_millis(at_ms);
    KeyChangeEvent {
        back_end,
        at,
        change,
        late: false,
        delayed: false,
        unread: false,
    }
}

/// A grant of keys for two seconds.
fn grant(back_end: &str, at_ms: u64, keys: (u16, u16), fence: u64) -> KeyChangeEvent<'_> {
    let granted = KeyChange::Granted {
        first: keys.0,
        last: keys.1,
        fence,
        hold: Duration::from_secs(2),
    };
    change(back_end, at_ms, granted)
}

fn release(back_end: &str, at_ms: u64, keys: (u16, u16)) -> KeyChangeEvent<'_> {
    let (first, last) = keys;
    change(back_end, at_ms, KeyChange::Released { first, last })
}

fn run(back_end: &str, at_ms: u64, key: u16) -> KeyedRun<'_> {
    let at = Duration::from_millis(at_ms);
    KeyedRun {
        back_end,
        at,
        until: Some(at),
        key,
    }
}

/// A run that ends at `until_ms`, or never.
fn work<'a>(back_end: &'a str, at_ms: u64, until_ms: Option<u64>, key: u16) -> KeyedRun<'a> {
    KeyedRun {
        until: until_ms.map(Duration::from_millis),
        ..run(back_end, at_ms, key)
    }
}

/// Returns the violations found, as kind and keys.
fn find_violations(
    changes: &[KeyChangeEvent],
    runs: &[KeyedRun],
) -> Vec<(&'static str, (u16, u16))> {
    let violations = check_history(changes, runs, TOLERANCE);
    let described = violations.iter().map(|violation| match violation {
        Violation::OverlappingTenures {
            keys,
            both_started: true,
            ..
        } => ("both began", *keys),
        Violation::OverlappingTenures { keys, .. } => ("held twice", *keys),
        Violation::StaleFence { keys, .. } => ("low fence", *keys),
        Violation::GrantedDuringWork { key, .. } => ("at work", (*key, *key)),
        other => panic!("{other}"),
    });
    described.collect()
}

#[test]
fn correct_history_is_accepted() {
    let changes = [
        grant("a", 0, (0, 999), 1),
        grant("b", 0, (1_000, 1_999), 2),
        // Renewals, one of them of a part of the keys.
        grant("a", 1_000, (0, 999), 1),
        grant("b", 1_500, (1_000, 1_499), 2),
        // Keys granted to another back end after a release, an expiry and a
        // crash.
        release("a", 2_000, (500, 999)),
        grant("b", 2_001, (500, 999), 3),
        grant("c", 3_600, (1_500, 1_999), 4),
        change("c", 3_700, KeyChange::Crashed),
        grant("d", 3_701, (1_500, 1_999), 5),
        // A late release from a crashed back end does not end the tenures of
        // others.
        release("c", 3_800, (0, 1_999)),
        // A back end is granted the keys that it held itself again, under its
        // own fencing token.
        release("d", 3_900, (1_500, 1_999)),
        grant("d", 4_000, (1_500, 1_999), 5),
    ];
    let runs = [
        run("a", 1_999, 700),
        run("b", 2_002, 700),
        run("b", 3_400, 1_400),
        run("c", 3_650, 1_600),
        run("d", 3_702, 1_600),
    ];
    assert_eq!(find_violations(&changes, &runs), []);
}

/// A grant that was given up arrives after the keys moved to another back end.
#[test]
fn late_grant_under_an_old_fence_is_found() {
    let changes = [
        grant("a", 0, (0, 999), 5),
        grant("b", 2_500, (0, 499), 8),
        grant("a", 3_000, (0, 999), 5),
    ];
    assert_eq!(
        find_violations(&changes, &[]),
        [("held twice", (0, 499)), ("low fence", (0, 499))]
    );
    let both = [run("a", 3_100, 7), run("b", 3_200, 8)];
    assert_eq!(
        find_violations(&changes, &both),
        [("both began", (0, 499)), ("low fence", (0, 499))]
    );
}

/// Requests of only one holder, or outside the overlap, do not prove that both
/// were active.
#[test]
fn requests_of_both_count_only_during_the_overlap() {
    let changes = [grant("a", 0, (0, 99), 1), grant("b", 1_960, (0, 99), 2)];
    assert_eq!(find_violations(&changes, &[run("b", 1_970, 3)]), []);
    let outside = [run("a", 1_950, 3), run("b", 1_970, 3)];
    assert_eq!(find_violations(&changes, &outside), []);
    let inside = [run("a", 1_965, 3), run("b", 1_970, 3)];
    assert_eq!(
        find_violations(&changes, &inside),
        [("both began", (0, 99))]
    );
    let elsewhere = [run("a", 1_965, 300), run("b", 1_970, 3)];
    assert_eq!(find_violations(&changes, &elsewhere), []);
}

/// Keys of a live owner are granted to another back end without notice.
#[test]
fn keys_granted_while_their_owner_is_alive_are_found() {
    let changes = [grant("a", 0, (0, 99), 1), grant("b", 500, (50, 149), 2)];
    assert_eq!(find_violations(&changes, &[]), [("held twice", (50, 99))]);
}

/// A release only stops new work: until running work has ended or the lease has
/// expired, the key must not be granted to another back end.
#[test]
fn keys_granted_while_their_owner_is_processing_are_found() {
    let given_on = |at_ms: u64| {
        [
            grant("a", 0, (0, 99), 1),
            release("a", 500, (0, 99)),
            grant("b", at_ms, (0, 99), 2),
        ]
    };
    let ends = [work("a", 400, Some(700), 7)];
    assert_eq!(
        find_violations(&given_on(600), &ends),
        [("at work", (7, 7))]
    );
    assert_eq!(find_violations(&given_on(700), &ends), []);
    let never_ends = [work("a", 400, None, 7)];
    assert_eq!(
        find_violations(&given_on(1_999), &never_ends),
        [("at work", (7, 7))]
    );
    assert_eq!(find_violations(&given_on(2_000), &never_ends), []);
    let crashed = [
        grant("a", 0, (0, 99), 1),
        change("a", 500, KeyChange::Crashed),
        grant("b", 600, (0, 99), 2),
    ];
    assert_eq!(find_violations(&crashed, &never_ends), []);
}

/// The next incarnation is a different holder and needs a higher fencing token.
#[test]
fn next_incarnation_under_the_same_fence_is_found() {
    let changes = [
        grant("a-1", 0, (0, 99), 3),
        change("a-1", 500, KeyChange::Crashed),
        grant("a-2", 1_000, (0, 99), 3),
    ];
    assert_eq!(find_violations(&changes, &[]), [("low fence", (0, 99))]);
}

/// Adjacent key ranges with the same history are reported once.
#[test]
fn events_for_parts_of_a_range_do_not_split_the_report() {
    let changes = [
        grant("a", 0, (0, 99), 1),
        grant("b", 500, (0, 99), 2),
        release("c", 600, (20, 40)),
    ];
    assert_eq!(find_violations(&changes, &[]), [("held twice", (0, 99))]);
}
