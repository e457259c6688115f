//! How often the record is written.
//!
//! Every gateway that watches the store is sent the whole record after each
//! write: up to 23 writes a second were seen while back ends of another region
//! came and went, more than the link to it carries.

use std::time::Duration;

use threadledge_types::Timestamp;

/// Mean time between two writes while keys move all the time.
const GAP: Duration = Duration::from_millis(100);
/// Writes that may be made ahead of that, so that keys that move now and then
/// do so at once.
const AHEAD: u32 = 4;

/// Writes that may be made.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct WriteBudget {
    /// The writes so far are paid for by then, one each [`GAP`].
    paid: Timestamp,
}

impl WriteBudget {
    /// From when on the next write may be made.
    pub(super) fn from(self, now: Timestamp) -> Timestamp {
        now + self.paid.since(now + GAP * AHEAD)
    }

    /// A write was made.
    pub(super) fn wrote(&mut self, now: Timestamp) {
        self.paid = self.paid.max(now) + GAP;
    }
}
