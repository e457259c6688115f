//! Updates of the back ends that may get requests and keys. They hold only what
//! changed: with thousands of back ends each change would otherwise cost every
//! gateway a walk over all of them.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use threadledge_types::deployment::{BackEnd, BackEndName};

/// An update of the usable back ends.
#[derive(Clone, Debug, PartialEq)]
pub enum BackEndUpdate {
    /// Replaces all back ends with these.
    All(Arc<[BackEnd]>),
    /// Changes since the previous update.
    Changed {
        /// Back ends that are new or changed, in their current form.
        changed: Vec<BackEnd>,
        /// Back ends that no longer exist.
        removed: Vec<BackEndName>,
    },
}

/// Ids whose back end may have changed since the last update, with the back-end
/// names that were registered under them.
#[derive(Clone, Debug, Default)]
pub(super) struct ChangedIds {
    ids: BTreeMap<String, BTreeSet<BackEndName>>,
}

impl ChangedIds {
    /// Records that the back end under `id` changes; `before` is its previous
    /// name.
    pub(super) fn mark(&mut self, id: &str, before: Option<&BackEndName>) {
        let names = match self.ids.get_mut(id) {
            Some(names) => names,
            None => self.ids.entry(id.to_owned()).or_default(),
        };
        names.extend(before.cloned());
    }

    /// Discards all recorded changes.
    pub(super) fn clear(&mut self) {
        self.ids.clear();
    }

    /// Takes the recorded changes as an update. `find` returns the back end
    /// that is now registered under an id.
    pub(super) fn take(&mut self, find: impl Fn(&str) -> Option<BackEnd>) -> BackEndUpdate {
        let mut changed = Vec::new();
        let mut removed = Vec::new();
        for (id, mut before) in std::mem::take(&mut self.ids) {
            if let Some(back_end) = find(&id) {
                before.remove(&back_end.name);
                changed.push(back_end);
            }
            removed.extend(before);
        }
        BackEndUpdate::Changed { changed, removed }
    }
}
