//! A store that reverted to an older state changes nothing by itself.

use threadledge_object_api::tracker::{EventOutcome, ListOutcome};
use threadledge_object_api::{
    Change, Event, ObjectKey, ObjectList, ObjectTracker, StoredObject, Withheld, WithheldReason,
};
use threadledge_types::objects::BackEndObject;
use threadledge_types::validation::{ObjectReference, Problem, ProblemKind};

type Object = StoredObject<BackEndObject>;

fn key(name: &str) -> ObjectKey {
    ObjectKey::new("kauri", name)
}

/// The tracker uses only identity and version, so the content is left out.
fn object(name: &str, uid: &str, version: u64) -> Object {
    StoredObject {
        key: key(name),
        uid: uid.to_owned(),
        resource_version: version,
        generation: 1,
        content: Err(Box::new(Problem {
            object: ObjectReference::new("BackEnd", "kauri", name),
            field: "spec".to_owned(),
            kind: ProblemKind::Empty,
        })),
    }
}

fn list(resource_version: u64, items: Vec<Object>) -> ObjectList<BackEndObject> {
    ObjectList {
        items,
        resource_version,
    }
}

/// Returns the names, removed names and withheld objects of a current list.
fn current(outcome: ListOutcome<BackEndObject>) -> (Vec<String>, Vec<String>, Vec<Withheld>) {
    let ListOutcome::Current {
        objects,
        removed,
        withheld,
    } = outcome
    else {
        panic!("the list is older: {outcome:?}");
    };
    let objects = objects.into_iter().map(|object| object.key.name).collect();
    let removed = removed.into_iter().map(|key| key.name).collect();
    (objects, removed, withheld)
}

fn names(names: &[&str]) -> Vec<String> {
    names.iter().map(|name| (*name).to_owned()).collect()
}

/// A tracker that saw `a` at 5 and `b` at 8 in a list of version 9.
fn tracker() -> ObjectTracker {
    let mut tracker = ObjectTracker::new();
    tracker.on_list(list(9, vec![object("a", "1", 5), object("b", "2", 8)]));
    tracker
}

#[test]
fn list_returns_all_objects_and_removed_ones() {
    let mut tracker = tracker();
    let outcome = tracker.on_list(list(12, vec![object("a", "1", 11), object("c", "3", 12)]));
    let (objects, removed, withheld) = current(outcome);
    assert_eq!(objects, names(&["a", "c"]));
    assert_eq!(removed, names(&["b"]));
    assert_eq!(withheld, []);
}

#[test]
fn older_list_is_reported_and_not_used() {
    let mut tracker = tracker();
    let outcome = tracker.on_list(list(6, vec![object("a", "1", 5)]));
    assert!(matches!(outcome, ListOutcome::Older { seen: 9, listed: 6 }));
    assert_eq!(tracker.highest_seen(), 9);
}

#[test]
fn object_lost_by_a_restored_store_is_withheld_not_removed() {
    let mut tracker = tracker();
    tracker.on_list(list(6, vec![object("a", "1", 5)]));
    let outcome = tracker.on_list(list(10, vec![object("a", "1", 10)]));
    let (objects, removed, withheld) = current(outcome);
    assert_eq!(objects, names(&["a"]));
    assert_eq!(removed, names(&[]));
    let lost = Withheld {
        key: key("b"),
        reason: WithheldReason::Lost,
    };
    assert_eq!(withheld, [lost]);
    // A deletion after the restore is a deletion.
    let outcome = tracker.on_list(list(14, vec![]));
    let (_, removed, withheld) = current(outcome);
    assert_eq!(removed, names(&["a"]));
    assert_eq!(withheld.len(), 1);
    // An object created again is tracked like any other.
    let outcome = tracker.on_list(list(16, vec![object("b", "9", 15)]));
    assert_eq!(current(outcome).2, []);
    let outcome = tracker.on_list(list(18, vec![]));
    assert_eq!(current(outcome).1, names(&["b"]));
}

#[test]
fn older_object_under_a_bumped_version_is_withheld_until_edited() {
    let mut tracker = tracker();
    tracker.on_list(list(11, vec![object("a", "1", 11), object("b", "2", 8)]));
    let restored = vec![object("a", "1", 5), object("b", "2", 8)];
    let (objects, _, withheld) = current(tracker.on_list(list(1_000, restored)));
    assert_eq!(objects, names(&["b"]));
    let reason = WithheldReason::Older {
        delivered: 11,
        shown: 5,
    };
    let older = Withheld {
        key: key("a"),
        reason,
    };
    assert_eq!(withheld, [older]);
    let edited = Event::Modified(object("a", "1", 1_001));
    let outcome = tracker.on_event(edited);
    assert!(matches!(outcome, EventOutcome::Change(Change::Applied(_))));
}

#[test]
fn newer_version_with_fewer_changes_reveals_a_reverted_store() {
    let mut tracker = tracker();
    let mut changed = object("a", "1", 10);
    changed.generation = 4;
    tracker.on_event(Event::Modified(changed));
    let mut edited_after_restore = object("a", "1", 1_001);
    edited_after_restore.generation = 2;
    let outcome = tracker.on_list(list(1_001, vec![edited_after_restore]));
    let (objects, removed, withheld) = current(outcome);
    assert_eq!(objects, names(&["a"]));
    assert_eq!(removed, names(&[]));
    assert_eq!(withheld[0].reason, WithheldReason::Lost);
}

#[test]
fn deleted_object_that_a_restored_store_shows_again_is_withheld() {
    let mut tracker = tracker();
    tracker.on_event(Event::Deleted(object("b", "2", 10)));
    let restored = vec![object("a", "1", 5), object("b", "2", 8)];
    let (objects, _, withheld) = current(tracker.on_list(list(1_000, restored)));
    assert_eq!(objects, names(&["a"]));
    let reason = WithheldReason::Undeleted(8);
    let again = Withheld {
        key: key("b"),
        reason,
    };
    assert_eq!(withheld, [again]);
}

#[test]
fn version_used_twice_is_withheld() {
    let mut tracker = tracker();
    let reused = vec![object("a", "1", 5), object("b", "7", 8)];
    let (objects, _, withheld) = current(tracker.on_list(list(9, reused)));
    assert_eq!(objects, names(&["a"]));
    assert_eq!(withheld[0].reason, WithheldReason::VersionReused(8));
}

#[test]
fn events_are_delivered_once_and_in_order() {
    let mut tracker = tracker();
    let change = tracker.on_event(Event::Modified(object("a", "1", 10)));
    assert!(matches!(change, EventOutcome::Change(Change::Applied(_))));
    let repeated = tracker.on_event(Event::Modified(object("a", "1", 10)));
    assert!(matches!(repeated, EventOutcome::Duplicate));
    let older = tracker.on_event(Event::Modified(object("a", "1", 7)));
    assert!(matches!(older, EventOutcome::Older { seen: 10, shown: 7 }));
    let removed = tracker.on_event(Event::Deleted(object("a", "1", 11)));
    assert!(matches!(removed, EventOutcome::Change(Change::Removed(_))));
    let confirmed = tracker.on_event::<BackEndObject>(Event::Bookmark(20));
    assert!(matches!(confirmed, EventOutcome::Confirmed(20)));
    let older = tracker.on_event::<BackEndObject>(Event::Bookmark(19));
    assert!(matches!(
        older,
        EventOutcome::Older {
            seen: 20,
            shown: 19
        }
    ));
    let gone = tracker.on_event::<BackEndObject>(Event::Gone);
    assert!(matches!(gone, EventOutcome::Relist));
}

#[test]
fn new_watcher_with_delivered_versions_trusts_no_older_store() {
    let mut tracker = ObjectTracker::with_delivered([(key("a"), 5), (key("b"), 8)]);
    let outcome = tracker.on_list(list(7, vec![object("a", "1", 5)]));
    assert!(matches!(outcome, ListOutcome::Older { seen: 8, listed: 7 }));
    // Objects that were refused earlier are unknown to the new watcher, but not
    // deleted.
    let items = vec![
        object("a", "1", 5),
        object("b", "2", 8),
        object("c", "3", 4),
    ];
    let (objects, removed, withheld) = current(tracker.on_list(list(9, items)));
    assert_eq!(objects, names(&["a", "b", "c"]));
    assert_eq!(removed, names(&[]));
    assert_eq!(withheld, []);
}

#[test]
fn new_watcher_reports_objects_deleted_before_it_started() {
    let mut tracker = ObjectTracker::with_delivered([(key("a"), 5), (key("b"), 8)]);
    let (_, removed, _) = current(tracker.on_list(list(20, vec![object("a", "1", 5)])));
    assert_eq!(removed, names(&["b"]));
}
