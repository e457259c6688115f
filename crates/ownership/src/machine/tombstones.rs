//! Versions of deleted objects, which keep a late message from restoring one.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

/// Maximum number of deleted objects of one kind that are remembered by name.
pub const MAXIMUM_TOMBSTONES: usize = 4_096;

/// Versions of deleted objects of one kind.
///
/// Beyond [`MAXIMUM_TOMBSTONES`] the oldest are dropped, and every unknown
/// object must then have a version above the highest dropped one: the versions
/// of one store increase across objects.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct Tombstones {
    versions: BTreeMap<String, u64>,
    oldest: BTreeSet<(u64, String)>,
    floor: u64,
}

impl Tombstones {
    /// Returns the version at or below which an object of this name is ignored.
    pub fn floor_of(&self, name: &str) -> u64 {
        self.versions.get(name).copied().unwrap_or(self.floor)
    }

    /// Records a deletion.
    pub fn insert(&mut self, name: String, version: u64) {
        self.remove(&name);
        self.oldest.insert((version, name.clone()));
        self.versions.insert(name, version);
        while self.versions.len() > MAXIMUM_TOMBSTONES {
            let Some((version, name)) = self.oldest.pop_first() else {
                return;
            };
            self.versions.remove(&name);
            self.floor = self.floor.max(version);
        }
    }

    /// Removes the record of a deletion, because the object exists again.
    pub fn remove(&mut self, name: &str) {
        if let Some(version) = self.versions.remove(name) {
            self.oldest.remove(&(version, name.to_owned()));
        }
    }
}
