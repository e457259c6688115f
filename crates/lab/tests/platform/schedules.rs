//! Random schedules of edits, interrupted watches, compactions and restores on
//! the store and the tracker, without sockets. The version of an object in
//! force must never decrease.

use std::collections::{BTreeMap, BTreeSet};

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::{Value, json};
use threadledge_lab::stand_in::object_api::ObjectStore;
use threadledge_lab::stand_in::object_api::operation::{Write, WriteTarget};
use threadledge_lab::stand_in::object_api::path::{Collection, ObjectPath, RESOURCES};
use threadledge_lab::stand_in::object_api::store::{ChangeKind, StoreChange};
use threadledge_object_api::tracker::{EventOutcome, ListOutcome};
use threadledge_object_api::{Change, Event, ObjectList, ObjectTracker, StoredObject};
use threadledge_types::objects::BackEndObject;

use super::support::back_end_json;

const SEEDS: u64 = 150;
const STEPS: usize = 120;
const NAMES: [&str; 5] = ["a", "b", "c", "d", "e"];
/// Object that is edited before every restore, so that its version shows that
/// the store was restored. A store that only lost objects cannot be
/// distinguished from one in which they were deleted.
const MARKER: &str = "witness";
/// Version of the marker object, which is created first.
const MARKER_CREATED: u64 = 2;
const BUMP: u64 = 1_000;
const TIME: &str = "2026-01-01T00:00:00Z";

type Object = StoredObject<BackEndObject>;

struct Schedule {
    random: ChaCha8Rng,
    store: ObjectStore,
    tracker: ObjectTracker,
    /// Version reached by the watch, if one is open.
    watching: Option<u64>,
    /// Version in force of each object name.
    in_force: BTreeMap<String, u64>,
    /// Names of objects that were deleted at some time.
    deleted: BTreeSet<String>,
    /// Highest version that was ever in force of each object name.
    highest: BTreeMap<String, u64>,
    /// Whether the store was restored.
    restored: bool,
    /// Whether no list was read since the last restore, so that the watcher
    /// could not detect it yet.
    restore_undetected: bool,
    bumps: bool,
}

fn collection() -> Collection {
    Collection {
        resource: RESOURCES[0],
        namespace: None,
    }
}

fn path(name: &str) -> ObjectPath {
    ObjectPath {
        resource: RESOURCES[0],
        namespace: "kauri".to_owned(),
        name: name.to_owned(),
    }
}

fn stored(value: &Value) -> Object {
    StoredObject::read(value).expect("conventional")
}

impl Schedule {
    fn new(seed: u64, bumps: bool) -> Self {
        let mut schedule = Schedule {
            random: ChaCha8Rng::seed_from_u64(seed),
            store: ObjectStore::new(),
            tracker: ObjectTracker::new(),
            watching: None,
            in_force: BTreeMap::new(),
            deleted: BTreeSet::new(),
            highest: BTreeMap::new(),
            restored: false,
            restore_undetected: false,
            bumps,
        };
        schedule.edit(MARKER);
        schedule
    }

    fn step(&mut self, restores: bool) {
        match self.random.random_range(0..100) {
            0..45 => {
                let name = NAMES[self.random.random_range(0..NAMES.len())];
                self.edit(name);
            }
            45..55 => {
                let name = NAMES[self.random.random_range(0..NAMES.len())];
                self.delete(name);
            }
            55..60 => self.watching = None,
            60..63 => self.store.compact(self.store.version()),
            63..66 if restores => self.restore(),
            _ => self.poll_watch(),
        }
    }

    /// Creates the object, or changes it.
    fn edit(&mut self, name: &str) {
        let write = match self.store.get(&path(name)) {
            Ok(current) => {
                let mut next = current.clone();
                let slots = next["spec"]["slots"].as_u64().expect("a number");
                next["spec"]["slots"] = json!(slots + 1);
                Write::replace(path(name), WriteTarget::Spec, next, TIME.to_owned())
            }
            Err(_) => {
                let object = back_end_json("kauri", name, 1_000);
                Write::create(&collection(), object, TIME.to_owned())
            }
        };
        let written = self.store.write(&write.expect("conventional"));
        written.expect("on the current version");
    }

    fn delete(&mut self, name: &str) {
        let write = Write::delete(path(name), &Value::Null, TIME.to_owned());
        if self.store.write(&write).is_ok() {
            self.deleted.insert(name.to_owned());
        }
    }

    fn restore(&mut self) {
        // Another edit of the marker would hide the previous restore from the
        // watcher.
        if self.restore_undetected {
            return;
        }
        let back = self.random.random_range(1..20);
        let version = self.store.version().saturating_sub(back);
        let version = version.max(MARKER_CREATED);
        self.edit(MARKER);
        self.catch_up();
        let bump = self.bumps.then_some(BUMP);
        if self.store.restore(version, bump).is_ok() {
            self.restored = true;
            self.restore_undetected = true;
            self.watching = None;
        }
    }

    /// Runs enough steps to end a watch, list, and watch again.
    fn catch_up(&mut self) {
        for _ in 0..3 {
            self.poll_watch();
        }
    }

    /// Reads the changes of the open watch, or starts one.
    fn poll_watch(&mut self) {
        let Some(from) = self.watching else {
            return self.start_watch();
        };
        match self.store.changes_after(&collection(), from) {
            Err(_) => self.watching = None,
            Ok(changes) => {
                let changes: Vec<StoreChange> = changes.into_iter().cloned().collect();
                self.watching = Some(self.store.version());
                for change in changes {
                    self.deliver(&change);
                }
            }
        }
    }

    fn start_watch(&mut self) {
        let seen = self.tracker.highest_seen();
        if seen > 0 && self.store.changes_after(&collection(), seen).is_ok() {
            self.watching = Some(seen);
            return self.poll_watch();
        }
        let page = self.store.list(&collection(), None, None).expect("current");
        let listed = ObjectList {
            items: page.items.iter().map(stored).collect::<Vec<Object>>(),
            resource_version: page.version,
        };
        if let ListOutcome::Current {
            objects, removed, ..
        } = self.tracker.on_list(listed)
        {
            self.watching = Some(page.version);
            self.restore_undetected = false;
            for key in removed {
                self.remove(&key.name);
            }
            for object in objects {
                self.put(&object);
            }
        }
    }

    fn deliver(&mut self, change: &StoreChange) {
        let object = stored(&change.object);
        let event = match change.kind {
            ChangeKind::Added => Event::Added(object),
            ChangeKind::Modified => Event::Modified(object),
            ChangeKind::Deleted => Event::Deleted(object),
        };
        match self.tracker.on_event(event) {
            EventOutcome::Change(Change::Applied(object)) => self.put(&object),
            EventOutcome::Change(Change::Removed(key)) => self.remove(&key.name),
            EventOutcome::Confirmed(_) | EventOutcome::Duplicate => {}
            EventOutcome::Older { .. } | EventOutcome::Relist => self.watching = None,
        }
    }

    fn put(&mut self, object: &Object) {
        let version = object.resource_version;
        let name = object.key.name.clone();
        let highest = self.highest.entry(name.clone()).or_default();
        let repeated = self.in_force.get(&name) == Some(&version);
        assert!(version > *highest || repeated, "{name} reverted");
        *highest = version;
        self.in_force.insert(name, version);
    }

    fn remove(&mut self, name: &str) {
        self.in_force.remove(name);
        assert!(self.deleted.contains(name), "{name} was never deleted");
    }

    /// Returns the version of each object in the store.
    fn stored_versions(&self) -> BTreeMap<String, u64> {
        let page = self.store.list(&collection(), None, None).expect("current");
        let objects = page.items.iter().map(stored);
        objects
            .map(|object| (object.key.name, object.resource_version))
            .collect()
    }
}

#[test]
fn without_restores_the_watcher_converges_to_the_store() {
    for seed in 0..SEEDS {
        let mut schedule = Schedule::new(seed, true);
        for _ in 0..STEPS {
            schedule.step(false);
        }
        schedule.catch_up();
        assert_eq!(schedule.in_force, schedule.stored_versions(), "seed {seed}");
    }
}

#[test]
fn with_restores_no_object_in_force_reverts_or_is_lost() {
    let mut restored = 0;
    for seed in 0..SEEDS {
        let mut schedule = Schedule::new(seed, true);
        for _ in 0..STEPS {
            schedule.step(true);
        }
        restored += u32::from(schedule.restored);
        // After an edit of each object, all objects are in force again.
        schedule.catch_up();
        for name in NAMES {
            schedule.edit(name);
        }
        schedule.edit(MARKER);
        schedule.catch_up();
        assert_eq!(schedule.in_force, schedule.stored_versions(), "seed {seed}");
    }
    assert!(restored > 50, "{restored} runs restored");
}

#[test]
fn reused_versions_after_a_restore_revert_no_object() {
    for seed in 0..SEEDS {
        let mut schedule = Schedule::new(seed, false);
        for _ in 0..STEPS {
            schedule.step(true);
        }
    }
}
