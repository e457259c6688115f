//! The routing table under deltas.

mod common;

use common::*;
use threadledge_routing::backoff::splitmix64;
use threadledge_routing::{ApplyError, RoutingTable};
use threadledge_types::records::{RecordChange, RecordDelta, SliceKey};
use threadledge_types::{GroupId, Point, ServiceId, Slice};

fn owner(table: &RoutingTable, point: u64) -> Option<(String, u64)> {
    let owner = table.owner(&service_id("a/s"), Point(point))?;
    Some((owner.back_end.name.clone(), owner.epoch.0.index))
}

fn owner_with_epoch(name: &str, epoch: u64) -> Option<(String, u64)> {
    Some((name.to_owned(), epoch))
}

fn table_with_two_back_ends() -> RoutingTable {
    let mut table = RoutingTable::new();
    let (low, high) = Slice::ALL.split_at(Point(1_000)).expect("inside");
    let changes = vec![
        service("a/s", "s.test", vec![route("r", "/")]),
        back_end("a/one", 2, 10),
        back_end("a/two", 2, 10),
        session("a/one", 1, false),
        session("a/two", 1, false),
        slice("a/s", low, Some(("a/one", 1)), 1),
        slice("a/s", high, Some(("a/two", 1)), 2),
    ];
    table.apply(&full(5, changes)).expect("first");
    table
}

#[test]
fn a_point_is_found_in_the_slice_that_contains_it() {
    let table = table_with_two_back_ends();
    assert_eq!(owner(&table, 0), owner_with_epoch("one", 1));
    assert_eq!(owner(&table, 999), owner_with_epoch("one", 1));
    assert_eq!(owner(&table, 1_000), owner_with_epoch("two", 2));
    assert_eq!(owner(&table, u64::MAX), owner_with_epoch("two", 2));
    assert!(table.owner(&service_id("a/other"), Point(1)).is_none());
}

#[test]
fn moves_splits_and_merges_are_applied() {
    let mut table = table_with_two_back_ends();
    let (low, high) = Slice::ALL.split_at(Point(1_000)).expect("inside");
    let (left, right) = low.split_at(Point(500)).expect("inside");
    let split = vec![
        slice("a/s", left, Some(("a/one", 1)), 1),
        slice("a/s", right, Some(("a/two", 1)), 6),
    ];
    table.apply(&delta(5, split)).expect("fits");
    assert_eq!(owner(&table, 499), owner_with_epoch("one", 1));
    assert_eq!(owner(&table, 500), owner_with_epoch("two", 6));
    let key = SliceKey {
        service: service_id("a/s"),
        first: high.first,
    };
    let wide = Slice {
        first: right.first,
        last: high.last,
    };
    let merge = vec![
        RecordChange::SliceRemoved(key),
        slice("a/s", wide, Some(("a/two", 1)), 7),
    ];
    table.apply(&delta(6, merge)).expect("fits");
    assert_eq!(owner(&table, 5_000), owner_with_epoch("two", 7));
    assert_eq!(table.slice_count(), 2);
}

#[test]
fn a_slice_without_owner_or_whose_session_ended_is_unowned() {
    let mut table = table_with_two_back_ends();
    let ended = vec![RecordChange::SessionRemoved(session_id("a/one", 1))];
    table.apply(&delta(5, ended)).expect("fits");
    assert_eq!(owner(&table, 0), None);
    assert_eq!(owner(&table, 1_000), owner_with_epoch("two", 2));
}

#[test]
fn older_deltas_gaps_and_other_groups_are_rejected() {
    let mut table = table_with_two_back_ends();
    let gap = table.apply(&delta(7, Vec::new()));
    assert!(matches!(gap, Err(ApplyError::Gap { .. })));
    let older = table.apply(&full(4, Vec::new()));
    assert!(matches!(older, Err(ApplyError::Older { .. })));
    let other = RecordDelta {
        group: GroupId(9),
        ..delta(5, Vec::new())
    };
    let other = table.apply(&other);
    assert!(matches!(other, Err(ApplyError::OtherGroup { .. })));
    assert_eq!(table.revision(), revision(5));
    assert_eq!(owner(&table, 0), owner_with_epoch("one", 1));
}

#[test]
fn a_full_state_removes_what_it_does_not_list() {
    let mut table = table_with_two_back_ends();
    let changes = vec![
        service("a/s", "s.test", vec![route("r", "/")]),
        back_end("a/two", 2, 10),
        session("a/two", 1, false),
        slice("a/s", Slice::ALL, Some(("a/two", 1)), 8),
    ];
    table.apply(&full(9, changes)).expect("fits");
    assert_eq!(owner(&table, 0), owner_with_epoch("two", 8));
    assert_eq!(table.slice_count(), 1);
    let nothing = full(10, Vec::new());
    table.apply(&nothing).expect("fits");
    assert!(table.owner(&ServiceId::new("a", "s"), Point(0)).is_none());
}

#[test]
fn random_deltas_lead_to_the_same_owners_as_the_full_state() {
    for seed in 0..20 {
        let mut table = table_with_two_back_ends();
        let slices = Slice::divide(16);
        let owners = [Some(("a/one", 1)), Some(("a/two", 1)), None];
        let mut owned = [None; 16];
        let divided: Vec<RecordChange> = slices
            .iter()
            .map(|part| slice("a/s", *part, None, 1))
            .collect();
        let old = RecordChange::SliceRemoved(SliceKey {
            service: service_id("a/s"),
            first: Point(1_000),
        });
        let changes = [vec![old], divided].concat();
        table.apply(&delta(5, changes)).expect("fits");
        for step in 0..200 {
            let draw = splitmix64(seed * 1_000 + step) as usize;
            let (part, owner) = (draw % 16, owners[draw / 16 % 3]);
            owned[part] = owner.map(|(name, _)| (name, step + 10));
            let change = slice("a/s", slices[part], owner, step + 10);
            table.apply(&delta(step + 6, vec![change])).expect("fits");
        }
        for (part, expected) in slices.iter().zip(owned) {
            let expected = expected.and_then(|(name, index)| owner_with_epoch(&name[2..], index));
            assert_eq!(owner(&table, part.first.0), expected);
            assert_eq!(owner(&table, part.last.0), expected);
        }
    }
}
