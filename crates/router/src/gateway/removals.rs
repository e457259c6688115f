//! Log of removed back ends, for followers that may still know them.

use std::collections::VecDeque;

use threadledge_coordination::action::StoreRevision;

/// The most recent removals with their revisions.
#[derive(Clone, Debug, Default)]
pub(super) struct RemovalLog {
    /// Removals up to this revision are no longer known.
    forgotten_up_to: StoreRevision,
    latest: VecDeque<(StoreRevision, String)>,
}

/// Most removals kept.
const MAX_REMOVALS: usize = 512;

impl RemovalLog {
    /// Records that no removals up to `at` are known.
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

    /// Ids of back ends removed after `position`; `None` if some of them are no
    /// longer known.
    pub(super) fn since(&self, position: StoreRevision) -> Option<Vec<String>> {
        if position < self.forgotten_up_to {
            return None;
        }
        let later = self.latest.iter().filter(|(at, _)| *at > position);
        Some(later.map(|(_, name)| name.clone()).collect())
    }
}
