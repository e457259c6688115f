//! Back ends that are gone, for those who knew them.

use std::collections::VecDeque;

use threadledge_coordination::action::StoreRevision;

/// Back ends that left lately.
#[derive(Clone, Debug, Default)]
pub(super) struct RemovalLog {
    /// Removals up to this revision are forgotten.
    forgotten_up_to: StoreRevision,
    latest: VecDeque<(StoreRevision, String)>,
}

/// Removals that are remembered.
const MAX_REMOVALS: usize = 512;

impl RemovalLog {
    /// Nothing is known of removals up to `at`.
    pub(super) fn forget_until(&mut self, at: StoreRevision) {
        self.forgotten_up_to = at;
    }

    pub(super) fn push(&mut self, at: StoreRevision, name: String) {
        self.latest.push_back((at, name));
        if self.latest.len() > MAX_REMOVALS
            && let Some((forgotten, _)) = self.latest.pop_front()
        {
            self.forgotten_up_to = forgotten;
        }
    }

    /// Those after `position`, unless some of them are forgotten.
    pub(super) fn since(&self, position: StoreRevision) -> Option<Vec<String>> {
        if position < self.forgotten_up_to {
            return None;
        }
        let later = self.latest.iter().filter(|(at, _)| *at > position);
        Some(later.map(|(_, name)| name.clone()).collect())
    }
}
