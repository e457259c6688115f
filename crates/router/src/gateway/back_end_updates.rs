//! Back ends as requests and keys may use them, told by what changed: with
//! thousands of them each change would else cost a walk over all, on every
//! gateway.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use threadledge_types::deployment::{BackEnd, BackEndName};

/// What to use from now on.
#[derive(Clone, Debug, PartialEq)]
pub enum BackEndUpdate {
    /// These back ends and no others.
    All(Arc<[BackEnd]>),
    /// What changed.
    Changed {
        /// Back ends that are new, or as they are now.
        changed: Vec<BackEnd>,
        /// Back ends that are there no more.
        removed: Vec<BackEndName>,
    },
}

/// Ids whose back end may have changed since that was told last, with the
/// names that stood under them.
#[derive(Clone, Debug, Default)]
pub(super) struct ChangedIds {
    ids: BTreeMap<String, BTreeSet<BackEndName>>,
}

impl ChangedIds {
    /// What stands under `id` changes; `before` stood there.
    pub(super) fn mark(&mut self, id: &str, before: Option<&BackEndName>) {
        let names = match self.ids.get_mut(id) {
            Some(names) => names,
            None => self.ids.entry(id.to_owned()).or_default(),
        };
        names.extend(before.cloned());
    }

    /// Nothing is left to tell.
    pub(super) fn clear(&mut self) {
        self.ids.clear();
    }

    /// What changed, where `find` knows what stands under an id now.
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
