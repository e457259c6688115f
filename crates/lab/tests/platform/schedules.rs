//! Random schedules of edits, gaps, compactions and restores over the store
//! and the tracker, without sockets. What is in force never goes back.

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
/// Object that is edited before every restore, so that the store shows that
/// it went back: one that only lost objects cannot be told from deletions.
const WITNESS: &str = "witness";
/// Version at which the witness is created, as the first object.
const WITNESS_CREATED: u64 = 2;
const BUMP: u64 = 1_000;
const TIME: &str = "2026-01-01T00:00:00Z";

type Object = StoredObject<BackEndObject>;

struct Run {
    random: ChaCha8Rng,
    store: ObjectStore,
    tracker: ObjectTracker,
    /// Version of the watch, while one is open.
    watching: Option<u64>,
    /// Name to version in force.
    in_force: BTreeMap<String, u64>,
    /// Names that an operator deleted at some time.
    deleted: BTreeSet<String>,
    /// Name to the highest version that was ever in force.
    highest: BTreeMap<String, u64>,
    /// A restore happened.
    restored: bool,
    /// No list was taken since the last restore, so the watcher has not had
    /// its chance to notice.
    unnoticed: bool,
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

impl Run {
    fn new(seed: u64, bumps: bool) -> Self {
        let mut run = Run {
            random: ChaCha8Rng::seed_from_u64(seed),
            store: ObjectStore::new(),
            tracker: ObjectTracker::new(),
            watching: None,
            in_force: BTreeMap::new(),
            deleted: BTreeSet::new(),
            highest: BTreeMap::new(),
            restored: false,
            unnoticed: false,
            bumps,
        };
        run.edit(WITNESS);
        run
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
            _ => self.follow(),
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
        // Editing the witness again would wipe out what gives the earlier
        // restore away.
        if self.unnoticed {
            return;
        }
        let back = self.random.random_range(1..20);
        let version = self.store.version().saturating_sub(back);
        let version = version.max(WITNESS_CREATED);
        self.edit(WITNESS);
        self.catch_up();
        let bump = self.bumps.then_some(BUMP);
        if self.store.restore(version, bump).is_ok() {
            self.restored = true;
            self.unnoticed = true;
            self.watching = None;
        }
    }

    /// Follows long enough to end a watch, list, and watch.
    fn catch_up(&mut self) {
        for _ in 0..3 {
            self.follow();
        }
    }

    /// Reads what the watch has, or begins one.
    fn follow(&mut self) {
        let Some(from) = self.watching else {
            return self.begin();
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

    fn begin(&mut self) {
        let seen = self.tracker.highest_seen();
        if seen > 0 && self.store.changes_after(&collection(), seen).is_ok() {
            self.watching = Some(seen);
            return self.follow();
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
            self.unnoticed = false;
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
        assert!(version > *highest || repeated, "{name} went back");
        *highest = version;
        self.in_force.insert(name, version);
    }

    fn remove(&mut self, name: &str) {
        self.in_force.remove(name);
        assert!(self.deleted.contains(name), "nobody deleted {name}");
    }

    /// What the store holds: name to version.
    fn held(&self) -> BTreeMap<String, u64> {
        let page = self.store.list(&collection(), None, None).expect("current");
        let objects = page.items.iter().map(stored);
        objects
            .map(|object| (object.key.name, object.resource_version))
            .collect()
    }
}

#[test]
fn without_restores_everything_is_followed_to_the_end() {
    for seed in 0..SEEDS {
        let mut run = Run::new(seed, true);
        for _ in 0..STEPS {
            run.step(false);
        }
        run.catch_up();
        assert_eq!(run.in_force, run.held(), "seed {seed}");
    }
}

#[test]
fn with_restores_nothing_in_force_goes_back_or_is_lost() {
    let mut restored = 0;
    for seed in 0..SEEDS {
        let mut run = Run::new(seed, true);
        for _ in 0..STEPS {
            run.step(true);
        }
        restored += u32::from(run.restored);
        // After an edit of each object everything is in force again.
        run.catch_up();
        for name in NAMES {
            run.edit(name);
        }
        run.edit(WITNESS);
        run.catch_up();
        assert_eq!(run.in_force, run.held(), "seed {seed}");
    }
    assert!(restored > 50, "{restored} runs restored");
}

#[test]
fn restored_versions_that_are_used_twice_take_nothing_back() {
    for seed in 0..SEEDS {
        let mut run = Run::new(seed, false);
        for _ in 0..STEPS {
            run.step(true);
        }
    }
}
