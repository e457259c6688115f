//! Long polls of followers that a gateway holds until it has something to send.
//!
//! Even a response without changes tells the follower how fresh the sender's
//! state is. Where followers poll other followers and each holds polls for its
//! own time, these times add up along the path: the state of the last follower
//! grows older than [`Settings::max_age`](crate::Settings::max_age) although
//! nothing is wrong, and it watches the store itself. A poll is therefore
//! answered as soon as the sender has new confirmation that the store responds,
//! so that the age at the last follower grows with the network delays and not
//! with the hold times.

use std::time::Duration;

use threadledge_types::Timestamp;

/// Minimum gain in freshness, compared to the arrival of the poll, at which a
/// poll is answered. It is below the interval between two reads of the store by
/// a relay, so that each read reaches the last follower, and not much below, so
/// that a response that arrives in between causes no additional round.
pub const MIN_FRESHNESS_GAIN: Duration = Duration::from_millis(300);

/// Poll that is being held.
#[derive(Clone, Copy, Debug)]
pub struct HeldPoll {
    until: Timestamp,
    /// Freshness of the sender when the poll arrived.
    seen: Timestamp,
}

impl HeldPoll {
    /// Holds a poll that arrived at `asked` for up to `hold`. `seen` is the
    /// time at which the store is known to have last responded by then.
    pub fn new(asked: Timestamp, seen: Timestamp, hold: Duration) -> Self {
        HeldPoll {
            until: asked + hold,
            seen,
        }
    }

    /// Returns the latest time at which the poll is answered.
    pub fn until(&self) -> Timestamp {
        self.until
    }

    /// Whether the poll has to be answered even without changes, given that the
    /// store is known to have responded at `seen`.
    pub fn is_due(&self, now: Timestamp, seen: Timestamp) -> bool {
        now >= self.until || seen.since(self.seen) >= MIN_FRESHNESS_GAIN
    }
}
