//! Distinguishes changes in the store from a store that reverted to an older
//! state.
//!
//! This upholds the guarantee that an accepted configuration never reverts: an
//! object is delivered only if its version is higher than the one delivered
//! before, and a list only if it is not older than what was seen. A store that
//! was restored from a backup therefore changes nothing by itself.
//!
//! After a restore the store is expected to continue with higher versions
//! (`--bump-revision` in etcd). Until its versions exceed those seen, the
//! watcher reports that the store is older and delivers none of its objects.

use std::collections::{BTreeMap, BTreeSet};

use crate::client::ObjectList;
use crate::resource::{ObjectKey, StoredObject};
use crate::watch::Event;

/// One change since the last delivery.
#[derive(Clone, Debug)]
pub enum Change<K> {
    /// An object was created or changed.
    Applied(StoredObject<K>),
    /// An object was deleted.
    Removed(ObjectKey),
}

/// An object whose state in the store is older than, or contradicts, the state
/// seen before.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Withheld {
    /// Namespace and name of the object.
    pub key: ObjectKey,
    /// Reason why it is not delivered.
    pub reason: WithheldReason,
}

/// Reason why an object is not delivered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum WithheldReason {
    /// The store shows an older version than the one delivered.
    #[error("the store shows version {shown} after {delivered}; edit the object again")]
    Older {
        /// Version delivered before.
        delivered: u64,
        /// Version shown now.
        shown: u64,
    },
    /// The store shows another object under the version that was delivered.
    #[error("the store uses version {0} twice; edit the object again")]
    VersionReused(u64),
    /// The store shows an object that was deleted.
    #[error("the store shows a deleted object of version {0}; delete it again")]
    Undeleted(u64),
    /// The store lost the object when it reverted to an older state.
    #[error("the store lost the object when it was restored; create it again, then delete it")]
    Lost,
}

/// Result of processing a list.
#[derive(Clone, Debug)]
pub enum ListOutcome<K> {
    /// The list is older than what was seen; none of it is used.
    Older {
        /// Highest version seen.
        seen: u64,
        /// Version of the list.
        listed: u64,
    },
    /// The list is current.
    Current {
        /// Objects of the list that can be trusted, whether they changed or
        /// not.
        objects: Vec<StoredObject<K>>,
        /// Objects delivered before that have been deleted since.
        removed: Vec<ObjectKey>,
        /// Objects that keep the state delivered before.
        withheld: Vec<Withheld>,
    },
}

/// Result of processing a watch event.
#[derive(Clone, Debug)]
pub enum EventOutcome<K> {
    /// Deliver this change.
    Change(Change<K>),
    /// Everything up to this version has been delivered.
    Confirmed(u64),
    /// The event was delivered before.
    Duplicate,
    /// The event is older than what was seen; list again.
    Older {
        /// Highest version seen.
        seen: u64,
        /// Version of the event.
        shown: u64,
    },
    /// The watch can no longer be used; list again.
    Relist,
}

/// Identity and version of an object as delivered.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Delivered {
    uid: String,
    version: u64,
    /// Number of changes to the specification; 0 if unknown.
    generation: i64,
}

/// Tracks the delivered version of each object.
#[derive(Clone, Debug, Default)]
pub struct ObjectTracker {
    delivered: BTreeMap<ObjectKey, Delivered>,
    /// Highest version seen.
    seen: u64,
    /// Version up to which all objects of the store are known.
    complete_up_to: Option<u64>,
    /// Whether anything older was seen since the last current list.
    reverted: bool,
    /// Objects that the store lost when it reverted to an older state.
    lost: BTreeSet<ObjectKey>,
    /// Older versions that were already reported, by object.
    older_reported: BTreeMap<ObjectKey, u64>,
}

impl ObjectTracker {
    /// Creates an empty tracker, which trusts the first list whatever its
    /// version.
    pub fn new() -> Self {
        ObjectTracker::default()
    }

    /// Creates a tracker with the versions that an earlier watcher delivered,
    /// so that a new watcher after a failover does not trust a store that
    /// reverted in the meantime.
    pub fn with_delivered(known: impl IntoIterator<Item = (ObjectKey, u64)>) -> Self {
        let mut tracker = ObjectTracker::default();
        for (key, version) in known {
            tracker.seen = tracker.seen.max(version);
            let delivered = Delivered {
                uid: String::new(),
                version,
                generation: 0,
            };
            tracker.delivered.insert(key, delivered);
        }
        tracker
    }

    /// Returns the highest version seen.
    pub fn highest_seen(&self) -> u64 {
        self.seen
    }

    /// Processes a list of the whole scope.
    pub fn on_list<K>(&mut self, listed: ObjectList<K>) -> ListOutcome<K> {
        if listed.resource_version < self.seen {
            self.reverted = true;
            return ListOutcome::Older {
                seen: self.seen,
                listed: listed.resource_version,
            };
        }
        let mut objects = Vec::new();
        let mut withheld = Vec::new();
        let mut present = BTreeSet::new();
        for object in listed.items {
            present.insert(object.key.clone());
            match self.withhold_reason(&object) {
                Some(reason) => withheld.push(self.withhold(object, reason)),
                None => {
                    self.remember(&object);
                    objects.push(object);
                }
            }
        }
        let removed = self.classify_absent(&present, &mut withheld);
        self.seen = listed.resource_version;
        self.complete_up_to = Some(listed.resource_version);
        ListOutcome::Current {
            objects,
            removed,
            withheld,
        }
    }

    /// Processes an event of a watch that started at the version of the last
    /// list.
    pub fn on_event<K>(&mut self, event: Event<K>) -> EventOutcome<K> {
        match event {
            Event::Added(object) | Event::Modified(object) => self.on_change(object),
            Event::Deleted(object) => self.on_deletion(&object),
            Event::Bookmark(version) if version < self.seen => self.report_older(version),
            Event::Bookmark(version) => {
                self.advance(version);
                EventOutcome::Confirmed(version)
            }
            Event::Gone => EventOutcome::Relist,
        }
    }

    fn on_change<K>(&mut self, object: StoredObject<K>) -> EventOutcome<K> {
        let repeated = Delivered::of(&object);
        if self.delivered.get(&object.key) == Some(&repeated) {
            return EventOutcome::Duplicate;
        }
        if object.resource_version <= self.seen {
            return self.report_older(object.resource_version);
        }
        self.advance(object.resource_version);
        self.remember(&object);
        EventOutcome::Change(Change::Applied(object))
    }

    fn on_deletion<K>(&mut self, object: &StoredObject<K>) -> EventOutcome<K> {
        if object.resource_version <= self.seen {
            return self.report_older(object.resource_version);
        }
        self.advance(object.resource_version);
        self.forget(&object.key);
        EventOutcome::Change(Change::Removed(object.key.clone()))
    }

    fn report_older<K>(&mut self, shown: u64) -> EventOutcome<K> {
        self.reverted = true;
        EventOutcome::Older {
            seen: self.seen,
            shown,
        }
    }

    /// Advances to `version`. After a full list, events keep all objects known.
    fn advance(&mut self, version: u64) {
        self.seen = version;
        if self.complete_up_to.is_some() {
            self.complete_up_to = Some(version);
        }
    }

    fn withhold_reason<K>(&self, object: &StoredObject<K>) -> Option<WithheldReason> {
        let shown = object.resource_version;
        match self.delivered.get(&object.key) {
            Some(delivered) if shown < delivered.version => Some(WithheldReason::Older {
                delivered: delivered.version,
                shown,
            }),
            Some(delivered) if delivered.has_other_uid(object) => {
                Some(WithheldReason::VersionReused(shown))
            }
            Some(_) => None,
            // Every object up to this version was known, so an unknown one was
            // deleted.
            None if self
                .complete_up_to
                .is_some_and(|complete_up_to| shown <= complete_up_to) =>
            {
                Some(WithheldReason::Undeleted(shown))
            }
            None => None,
        }
    }

    /// Withholds an object. The first time it shows this version, the store
    /// counts as reverted.
    fn withhold<K>(&mut self, object: StoredObject<K>, reason: WithheldReason) -> Withheld {
        let shown = object.resource_version;
        let reported = self.older_reported.insert(object.key.clone(), shown);
        if reported != Some(shown) {
            self.reverted = true;
        }
        Withheld {
            key: object.key,
            reason,
        }
    }

    /// Classifies objects that were delivered but are not listed. They were
    /// deleted, unless the store reverted since the last current list: then it
    /// lost them.
    fn classify_absent(
        &mut self,
        present: &BTreeSet<ObjectKey>,
        withheld: &mut Vec<Withheld>,
    ) -> Vec<ObjectKey> {
        let is_absent = |key: &&ObjectKey| !present.contains(*key);
        let absent: Vec<ObjectKey> = self.delivered.keys().filter(is_absent).cloned().collect();
        if std::mem::take(&mut self.reverted) {
            self.lost.extend(absent.iter().cloned());
        }
        let (lost, removed): (Vec<_>, Vec<_>) =
            absent.into_iter().partition(|key| self.lost.contains(key));
        for key in lost {
            let reason = WithheldReason::Lost;
            withheld.push(Withheld { key, reason });
        }
        for key in &removed {
            self.forget(key);
        }
        removed
    }

    /// Records the object as delivered.
    fn remember<K>(&mut self, object: &StoredObject<K>) {
        let delivered = Delivered::of(object);
        let earlier = self.delivered.insert(object.key.clone(), delivered);
        // A newer version with fewer changes was edited after the store
        // reverted.
        let fewer_changes = |earlier: Delivered| {
            earlier.uid == object.uid && earlier.generation > object.generation
        };
        self.reverted |= earlier.is_some_and(fewer_changes);
        self.lost.remove(&object.key);
        self.older_reported.remove(&object.key);
    }

    fn forget(&mut self, key: &ObjectKey) {
        self.delivered.remove(key);
        self.lost.remove(key);
        self.older_reported.remove(key);
    }
}

impl Delivered {
    fn of<K>(object: &StoredObject<K>) -> Self {
        Delivered {
            uid: object.uid.clone(),
            version: object.resource_version,
            generation: object.generation,
        }
    }

    /// Whether the object has the same version but another identity. Objects
    /// delivered by an earlier watcher have no recorded identity and match any.
    fn has_other_uid<K>(&self, object: &StoredObject<K>) -> bool {
        let same_version = self.version == object.resource_version;
        same_version && !self.uid.is_empty() && self.uid != object.uid
    }
}
