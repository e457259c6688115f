//! Tells a change of the store from a store that went back in time.
//!
//! Keeps the guarantee that an accepted configuration never reverts: an
//! object is delivered only if its version is above the one delivered before,
//! and a whole list only if it is not older than what was seen. A store that
//! was restored from a backup therefore changes nothing by itself.
//!
//! The store is expected to count on after a restore (etcd calls it
//! `--bump-revision`). Until its versions pass those seen, the watcher says
//! that the store is older and delivers nothing of it.

use std::collections::{BTreeMap, BTreeSet};

use crate::client::ObjectList;
use crate::resource::{ObjectKey, StoredObject};
use crate::watch::Event;

/// One difference to what was delivered before.
#[derive(Clone, Debug)]
pub enum Change<K> {
    /// An object was created or changed.
    Applied(StoredObject<K>),
    /// An object was deleted.
    Removed(ObjectKey),
}

/// An object that the store shows otherwise than it did at a later version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Withheld {
    /// Which object.
    pub key: ObjectKey,
    /// Why it is not delivered.
    pub reason: WithheldReason,
}

/// Why an object is not delivered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum WithheldReason {
    /// The store shows an older version than was delivered.
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
    /// The store lost the object when it went back.
    #[error("the store lost the object when it was restored; create it again, then delete it")]
    Lost,
}

/// What a list gives.
#[derive(Clone, Debug)]
pub enum ListOutcome<K> {
    /// The list is older than what was seen; nothing of it is used.
    Older {
        /// Highest version seen.
        seen: u64,
        /// Version of the list.
        listed: u64,
    },
    /// The list is current.
    Current {
        /// Its objects that can be trusted, whether they changed or not.
        objects: Vec<StoredObject<K>>,
        /// Objects delivered before that were deleted since.
        removed: Vec<ObjectKey>,
        /// Objects that keep the form delivered before.
        withheld: Vec<Withheld>,
    },
}

/// What a watch event gives.
#[derive(Clone, Debug)]
pub enum EventOutcome<K> {
    /// Deliver this.
    Change(Change<K>),
    /// Everything up to this version was delivered.
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
    /// The watch is of no further use; list again.
    Relist,
}

/// Identity and version of an object as delivered.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Delivered {
    uid: String,
    version: u64,
    /// Number of changes of its specification; 0 if not known.
    generation: i64,
}

/// Remembers which version of each object was delivered.
#[derive(Clone, Debug, Default)]
pub struct ObjectTracker {
    delivered: BTreeMap<ObjectKey, Delivered>,
    /// Highest version seen.
    seen: u64,
    /// Version at which every object of the store was known.
    complete_up_to: Option<u64>,
    /// Something older was seen since the last current list.
    went_back: bool,
    /// Objects that the store lost when it went back.
    lost: BTreeSet<ObjectKey>,
    /// Older versions that were reported already.
    older_reported: BTreeMap<ObjectKey, u64>,
}

impl ObjectTracker {
    /// Knows nothing; trusts the first list whatever its version.
    pub fn new() -> Self {
        ObjectTracker::default()
    }

    /// Knows what an earlier watcher delivered, so that a new one after a
    /// failover does not trust a store that went back meanwhile.
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

    /// Highest version seen.
    pub fn highest_seen(&self) -> u64 {
        self.seen
    }

    /// Judges a list of the whole scope.
    pub fn on_list<K>(&mut self, listed: ObjectList<K>) -> ListOutcome<K> {
        if listed.resource_version < self.seen {
            self.went_back = true;
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

    /// Judges an event of a watch that began at the version of the last list.
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
        self.went_back = true;
        EventOutcome::Older {
            seen: self.seen,
            shown,
        }
    }

    /// After a full list, events keep the whole store known.
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
            // Every object up to the synced version was known, so one that is
            // not known was deleted.
            None if self
                .complete_up_to
                .is_some_and(|complete_up_to| shown <= complete_up_to) =>
            {
                Some(WithheldReason::Undeleted(shown))
            }
            None => None,
        }
    }

    fn withhold<K>(&mut self, object: StoredObject<K>, reason: WithheldReason) -> Withheld {
        let shown = object.resource_version;
        let reported = self.older_reported.insert(object.key.clone(), shown);
        if reported != Some(shown) {
            self.went_back = true;
        }
        Withheld {
            key: object.key,
            reason,
        }
    }

    /// Objects that are delivered but not listed were deleted, unless the
    /// store went back since the last current list: then it lost them.
    fn classify_absent(
        &mut self,
        present: &BTreeSet<ObjectKey>,
        withheld: &mut Vec<Withheld>,
    ) -> Vec<ObjectKey> {
        let is_absent = |key: &&ObjectKey| !present.contains(*key);
        let absent: Vec<ObjectKey> = self.delivered.keys().filter(is_absent).cloned().collect();
        if std::mem::take(&mut self.went_back) {
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

    fn remember<K>(&mut self, object: &StoredObject<K>) {
        let delivered = Delivered::of(object);
        let earlier = self.delivered.insert(object.key.clone(), delivered);
        // Edited after the store went back: a newer version of fewer changes.
        let fewer_changes = |earlier: Delivered| {
            earlier.uid == object.uid && earlier.generation > object.generation
        };
        self.went_back |= earlier.is_some_and(fewer_changes);
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

    /// Same version, other identity. What an earlier watcher delivered is
    /// known without identity and fits any.
    fn has_other_uid<K>(&self, object: &StoredObject<K>) -> bool {
        let same_version = self.version == object.resource_version;
        same_version && !self.uid.is_empty() && self.uid != object.uid
    }
}
