//! Releases of one range that are under way, also of those that were called off.
//!
//! Only the answer to a release proves that its back end takes no earlier grant
//! any more. A release without an answer is therefore repeated soon, while
//! those before it stay open: a back end answers once its work on the keys has
//! ended, which may take longer.

use threadledge_types::Timestamp;

use crate::order::OrderId;

/// A release that has neither been answered nor lost its connection.
#[derive(Clone, Copy, Debug)]
pub(super) struct OpenRelease {
    pub(super) id: OrderId,
    /// True if a grant could still arrive when it was sent.
    pub(super) grants_open: bool,
}

/// The releases of one range.
#[derive(Clone, Debug, Default)]
pub(super) struct ReleaseOrders {
    open: Vec<OpenRelease>,
    last_sent: Option<Timestamp>,
}

impl ReleaseOrders {
    /// Records that a release is sent. `grants_open` states whether a grant can
    /// still arrive.
    pub(super) fn sent(&mut self, id: OrderId, now: Timestamp, grants_open: bool) {
        self.open.push(OpenRelease { id, grants_open });
        self.last_sent = Some(now);
    }

    /// Begins a release under a new fencing token. Earlier ones stay open.
    pub(super) fn restart(&mut self) {
        self.last_sent = None;
    }

    /// Adds the open releases of an adjacent range.
    pub(super) fn merge(&mut self, other: &ReleaseOrders) {
        for open in &other.open {
            if !self.is_open(open.id) {
                self.open.push(*open);
            }
        }
    }

    /// Returns whether a release has not ended.
    pub(super) fn is_open(&self, id: OrderId) -> bool {
        self.open.iter().any(|release| release.id == id)
    }

    /// Records that a release has ended. Returns it if it was one of these.
    pub(super) fn ended(&mut self, id: OrderId) -> Option<OpenRelease> {
        let index = self.open.iter().position(|release| release.id == id)?;
        Some(self.open.remove(index))
    }

    /// Returns when the last release was sent.
    pub(super) fn last_sent(&self) -> Option<Timestamp> {
        self.last_sent
    }

    /// Returns the number of releases that have not ended.
    pub(super) fn count(&self) -> usize {
        self.open.len()
    }

    /// Returns whether a release that was sent before `id` has not ended.
    pub(super) fn any_before(&self, id: OrderId) -> bool {
        self.open.iter().any(|release| release.id < id)
    }
}
