//! Back ends that are gone, for those who knew them.

use std::collections::VecDeque;

use threadledge_coordination::action::StoreRevision;

/// Back ends that left lately.
#[derive(Clone, Debug, Default)]
pub(super) struct Removals {
    /// Removals up to this revision are forgotten.
    forgotten: StoreRevision,
    latest: VecDeque<(StoreRevision, String)>,
}

/// Removals that are remembered.
const REMEMBERED_REMOVALS: usize = 512;

impl Removals {
    /// Nothing is known of removals up to `at`.
    pub(super) fn forget_until(&mut self, at: StoreRevision) {
        self.forgotten = at;
    }

    pub(super) fn push(&mut self, at: StoreRevision, name: String) {
        self.latest.push_back((at, name));
        if self.latest.len() > REMEMBERED_REMOVALS
            && let Some((forgotten, _)) = self.latest.pop_front()
        {
            self.forgotten = forgotten;
        }
    }

    /// Those after `mark`, unless some of them are forgotten.
    pub(super) fn after(&self, mark: StoreRevision) -> Option<Vec<String>> {
        if mark < self.forgotten {
            return None;
        }
        let later = self.latest.iter().filter(|(at, _)| *at > mark);
        Some(later.map(|(_, name)| name.clone()).collect())
    }
}
