//! Limits how often the record is written.
//!
//! Every gateway that watches the store receives the whole record after each
//! write. Up to 23 writes per second were seen while back ends of another
//! region came and went, which exceeded the capacity of the link to it.

use std::time::Duration;

use threadledge_types::Timestamp;

/// Mean time between two writes while keys move continuously.
const WRITE_INTERVAL: Duration = Duration::from_millis(100);
/// Number of writes that may be made ahead of the mean rate, so that occasional
/// moves are written at once.
const BURST: u32 = 4;

/// Rate limit for writes of the record.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct WriteBudget {
    /// Time at which the writes made so far are paid off, at one per
    /// [`WRITE_INTERVAL`].
    paid_until: Timestamp,
}

impl WriteBudget {
    /// Returns when the next write may be made.
    pub(super) fn next_write_at(self, now: Timestamp) -> Timestamp {
        now + self.paid_until.since(now + WRITE_INTERVAL * BURST)
    }

    /// Records a write.
    pub(super) fn on_write(&mut self, now: Timestamp) {
        self.paid_until = self.paid_until.max(now) + WRITE_INTERVAL;
    }
}
