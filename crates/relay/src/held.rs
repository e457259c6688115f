//! How long a gateway holds the poll of a follower.
//!
//! A poll that has nothing to tell still tells how fresh the sender's own
//! knowledge is. Where followers follow followers, and each holds polls for a
//! time of its own, those times add up along the way down: the last follower's
//! knowledge grows older than [`Settings::max_age`](crate::Settings::max_age)
//! though nothing is wrong, and it watches the store itself. So a poll is
//! answered as soon as the sender has heard anew that the store answers, and
//! the age of what the last one knows grows with the ways and not with the
//! holds.

use std::time::Duration;

use threadledge_types::Timestamp;

/// How much fresher the sender has to be than when the poll came. Below the
/// time between two looks of a relay at the store, so that each of those
/// reaches the last follower; not much below, so that an answer that comes
/// between them costs no further round.
pub const MIN_FRESHNESS_GAIN: Duration = Duration::from_millis(300);

/// A poll that is held.
#[derive(Clone, Copy, Debug)]
pub struct HeldPoll {
    until: Timestamp,
    /// How fresh the sender was when the poll came.
    seen: Timestamp,
}

impl HeldPoll {
    /// A poll that came at `asked`, when the store had surely answered at
    /// `seen`, and that is held for `hold` at the most.
    pub fn new(asked: Timestamp, seen: Timestamp, hold: Duration) -> Self {
        HeldPoll {
            until: asked + hold,
            seen,
        }
    }

    /// When it is answered at the latest.
    pub fn until(&self) -> Timestamp {
        self.until
    }

    /// Whether it is to be answered though there is no news, now that the
    /// store has surely answered at `seen`.
    pub fn is_due(&self, now: Timestamp, seen: Timestamp) -> bool {
        now >= self.until || seen.since(self.seen) >= MIN_FRESHNESS_GAIN
    }
}
