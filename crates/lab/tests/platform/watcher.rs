//! Tests of the watcher under every fault: it misses no change and reverts no
//! object.

use std::collections::BTreeMap;
use std::time::Duration;

use async_channel::Receiver;
use threadledge_lab::stand_in::object_api::FaultCommand;
use threadledge_object_api::{
    Change, ObjectClient, ObjectTracker, WatchUpdate, Watcher, WatcherSettings, WithheldReason,
};
use threadledge_types::objects::BackEndObject;

use super::support::{create, fast_backoff, key, read, run_with_timeout, start_empty, with_slots};

/// Applies the watcher's updates like a router, and records the slots in force
/// of each object name.
struct UpdateRecorder {
    updates: Receiver<WatchUpdate<BackEndObject>>,
    in_force: BTreeMap<String, u32>,
    withheld: Vec<WithheldReason>,
    older: usize,
    interrupted: usize,
    snapshots: usize,
}

impl UpdateRecorder {
    fn start(client: &ObjectClient, tracker: ObjectTracker) -> Self {
        let (sender, updates) = async_channel::bounded(4);
        let settings = WatcherSettings {
            backoff: fast_backoff(),
            min_request_interval: Duration::from_millis(2),
            ..WatcherSettings::default()
        };
        let watcher = Watcher::new(client.clone(), settings, tracker, sender);
        async_std::task::spawn(watcher.run());
        UpdateRecorder {
            updates,
            in_force: BTreeMap::new(),
            withheld: Vec::new(),
            older: 0,
            interrupted: 0,
            snapshots: 0,
        }
    }

    async fn step(&mut self) {
        match self.updates.recv().await.expect("the watcher runs") {
            WatchUpdate::Snapshot {
                objects,
                removed,
                withheld,
                ..
            } => {
                self.snapshots += 1;
                self.withheld = withheld.iter().map(|withheld| withheld.reason).collect();
                for key in removed {
                    self.in_force.remove(&key.name);
                }
                for object in objects {
                    self.apply(object);
                }
            }
            WatchUpdate::Change(Change::Applied(object)) => self.apply(object),
            WatchUpdate::Change(Change::Removed(key)) => {
                self.in_force.remove(&key.name);
            }
            WatchUpdate::Confirmed(_) => {}
            WatchUpdate::OlderStore { .. } => self.older += 1,
            WatchUpdate::Interrupted { .. } => self.interrupted += 1,
        }
    }

    fn apply(&mut self, object: threadledge_object_api::StoredObject<BackEndObject>) {
        let slots = object.content.expect("readable").spec.slots;
        self.in_force.insert(object.key.name, slots);
    }

    /// Applies updates until `holds` returns true.
    async fn apply_until(&mut self, holds: impl Fn(&UpdateRecorder) -> bool) {
        while !holds(self) {
            self.step().await;
        }
    }

    async fn apply_until_in_force(&mut self, expected: &[(&str, u32)]) {
        let expected: BTreeMap<String, u32> = expected
            .iter()
            .map(|(name, slots)| ((*name).to_owned(), *slots))
            .collect();
        self.apply_until(|recorder| recorder.in_force == expected)
            .await;
    }
}

async fn set_slots(client: &ObjectClient, name: &str, slots: u32) {
    let object = read(client, name).await;
    client
        .replace(&with_slots(object, slots))
        .await
        .expect("current");
}

#[test]
fn watcher_delivers_a_snapshot_and_then_changes() {
    run_with_timeout(async {
        let (_api, client) = start_empty().await;
        create(&client, "a", 1_000).await;
        let mut recorder = UpdateRecorder::start(&client, ObjectTracker::new());
        recorder.apply_until_in_force(&[("a", 3)]).await;
        create(&client, "b", 2_000).await;
        set_slots(&client, "a", 5).await;
        recorder.apply_until_in_force(&[("a", 5), ("b", 3)]).await;
        client
            .delete::<BackEndObject>(&key("b"))
            .await
            .expect("there");
        recorder.apply_until_in_force(&[("a", 5)]).await;
        assert_eq!(recorder.snapshots, 1);
    });
}

#[test]
fn watcher_continues_after_cuts_without_missing_a_change() {
    run_with_timeout(async {
        let (api, client) = start_empty().await;
        create(&client, "a", 1_000).await;
        let mut recorder = UpdateRecorder::start(&client, ObjectTracker::new());
        for slots in 4..10 {
            let abruptly = slots % 2 == 0;
            api.inject_fault(&FaultCommand::CutWatches { abruptly })
                .expect("done");
            set_slots(&client, "a", slots).await;
            recorder.apply_until_in_force(&[("a", slots)]).await;
        }
        assert_eq!(recorder.snapshots, 1, "cuts need no new list");
    });
}

#[test]
fn watcher_lists_again_after_compaction() {
    run_with_timeout(async {
        let (api, client) = start_empty().await;
        create(&client, "a", 1_000).await;
        create(&client, "b", 2_000).await;
        let mut recorder = UpdateRecorder::start(&client, ObjectTracker::new());
        recorder.apply_until_in_force(&[("a", 3), ("b", 3)]).await;
        // No watch runs while the store changes and compacts.
        api.inject_fault(&FaultCommand::LimitWatches(Some(0)))
            .expect("set");
        api.inject_fault(&FaultCommand::CutWatches { abruptly: false })
            .expect("done");
        recorder
            .apply_until(|recorder| recorder.interrupted > 0)
            .await;
        set_slots(&client, "a", 8).await;
        client
            .delete::<BackEndObject>(&key("b"))
            .await
            .expect("there");
        api.inject_fault(&FaultCommand::Compact).expect("done");
        api.inject_fault(&FaultCommand::LimitWatches(None))
            .expect("set");
        recorder.apply_until_in_force(&[("a", 8)]).await;
        assert_eq!(recorder.snapshots, 2);
    });
}

#[test]
fn watcher_recovers_after_a_store_outage() {
    run_with_timeout(async {
        let (api, client) = start_empty().await;
        create(&client, "a", 1_000).await;
        let mut recorder = UpdateRecorder::start(&client, ObjectTracker::new());
        recorder.apply_until_in_force(&[("a", 3)]).await;
        api.inject_fault(&FaultCommand::Down(true)).expect("set");
        recorder
            .apply_until(|recorder| recorder.interrupted >= 5)
            .await;
        assert_eq!(recorder.in_force.len(), 1, "what is in force stays");
        api.inject_fault(&FaultCommand::Down(false)).expect("set");
        set_slots(&client, "a", 6).await;
        recorder.apply_until_in_force(&[("a", 6)]).await;
    });
}

#[test]
fn watcher_backs_off_when_reads_are_limited() {
    run_with_timeout(async {
        let (api, client) = start_empty().await;
        create(&client, "a", 1_000).await;
        api.inject_fault(&FaultCommand::RefuseReads(1))
            .expect("set");
        let mut recorder = UpdateRecorder::start(&client, ObjectTracker::new());
        recorder.apply_until_in_force(&[("a", 3)]).await;
        assert_eq!(recorder.interrupted, 1);
    });
}

#[test]
fn older_store_is_reported_and_reverts_nothing() {
    run_with_timeout(async {
        let (api, client) = start_empty().await;
        create(&client, "a", 1_000).await;
        let backup = api.version();
        set_slots(&client, "a", 5).await;
        create(&client, "b", 2_000).await;
        let mut recorder = UpdateRecorder::start(&client, ObjectTracker::new());
        recorder.apply_until_in_force(&[("a", 5), ("b", 3)]).await;
        let restore = FaultCommand::Restore {
            version: backup,
            bump: None,
        };
        api.inject_fault(&restore).expect("kept");
        recorder.apply_until(|recorder| recorder.older >= 3).await;
        assert_eq!(recorder.in_force["a"], 5);
        assert_eq!(recorder.in_force["b"], 3);
    });
}

#[test]
fn store_restored_with_higher_versions_reverts_nothing_and_takes_new_edits() {
    run_with_timeout(async {
        let (api, client) = start_empty().await;
        create(&client, "a", 1_000).await;
        let backup = api.version();
        set_slots(&client, "a", 5).await;
        create(&client, "b", 2_000).await;
        let mut recorder = UpdateRecorder::start(&client, ObjectTracker::new());
        recorder.apply_until_in_force(&[("a", 5), ("b", 3)]).await;
        let restore = FaultCommand::Restore {
            version: backup,
            bump: Some(1_000),
        };
        api.inject_fault(&restore).expect("kept");
        recorder
            .apply_until(|recorder| recorder.withheld.len() == 2)
            .await;
        assert_eq!(recorder.in_force["a"], 5);
        assert_eq!(recorder.in_force["b"], 3);
        assert!(recorder.withheld.contains(&WithheldReason::Lost));
        set_slots(&client, "a", 7).await;
        recorder.apply_until_in_force(&[("a", 7), ("b", 3)]).await;
    });
}

#[test]
fn watcher_after_a_failover_does_not_trust_an_older_store() {
    run_with_timeout(async {
        let (api, client) = start_empty().await;
        create(&client, "a", 1_000).await;
        let known = ObjectTracker::with_delivered([(key("a"), 50)]);
        let mut recorder = UpdateRecorder::start(&client, known);
        recorder.apply_until(|recorder| recorder.older >= 2).await;
        assert!(recorder.in_force.is_empty());
        assert_eq!(api.version(), 2);
    });
}

#[test]
fn watcher_ends_when_its_receiver_is_dropped() {
    run_with_timeout(async {
        let (api, client) = start_empty().await;
        let mut recorder = UpdateRecorder::start(&client, ObjectTracker::new());
        recorder
            .apply_until(|recorder| recorder.snapshots == 1)
            .await;
        drop(recorder);
        while api.watch_count() > 0 {
            async_std::task::yield_now().await;
        }
    });
}
