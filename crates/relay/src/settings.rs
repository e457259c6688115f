//! Durations of a member's life.
//!
//! Relays form two tiers where there are several regions: one relay of each
//! region watches the store, the relays of its other zones follow that one, and
//! everybody else the relay of their zone. Ages add up on the way, so that the
//! upper tier has to be the fresher: what a follower in a zone knows is at most
//! as old as the upper [`Settings::max_age`] and one more poll, which together
//! stay below the lower one.

use std::time::Duration;

/// Durations, the same for all members of a zone, or of a region.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Age of the store's last answer to a relay above which its followers
    /// watch the store themselves.
    pub max_age: Duration,
    /// Time between two reads of a relay, which show that the store answers
    /// it and that the record still names it.
    pub probe_interval: Duration,
    /// Longest time that a relay holds a poll. Longer than [`Settings::probe_interval`]:
    /// with each of its looks a relay has something fresher to tell.
    pub max_hold: Duration,
    /// Longest wait for the answer to a poll.
    pub poll_timeout: Duration,
    /// Time between two polls of a relay that had something to tell.
    pub poll_pause: Duration,
    /// Pause after a call to the store that was not answered.
    pub retry_delay: Duration,
    /// Time between two looks at a record that still names a relay that is
    /// lost.
    pub recheck_interval: Duration,
    /// How long a member that the store answers waits for the claim of another
    /// or the first answer of a relay before it watches the store itself.
    /// With `max_age`, this bounds how late it learns of a change.
    pub join_timeout: Duration,
    /// Time between two reads of a member that the store does not answer, and
    /// whose relay it does not answer either.
    pub isolated_read_interval: Duration,
    /// How long the relay of such a member may stay without an answer of the
    /// store that answers the member again. Longer than a relay's probe that
    /// waits in vain, and the next one.
    pub isolated_grace: Duration,
    /// Shortest time between two writes of how many members there are.
    pub recount_interval: Duration,
    /// How long after its start a member looks for a relay before it watches
    /// the store itself.
    pub startup_timeout: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            max_age: Duration::from_millis(1_200),
            probe_interval: Duration::from_millis(500),
            max_hold: Duration::from_millis(600),
            poll_timeout: Duration::from_millis(900),
            poll_pause: Duration::from_millis(100),
            retry_delay: Duration::from_millis(800),
            recheck_interval: Duration::from_millis(150),
            join_timeout: Duration::from_millis(250),
            isolated_read_interval: Duration::from_secs(1),
            isolated_grace: Duration::from_millis(1_500),
            recount_interval: Duration::from_secs(3),
            startup_timeout: Duration::from_millis(1_500),
        }
    }
}

impl Settings {
    /// Of the relay of a zone, whose region has a relay of its own: that one
    /// shows how fresh the store's answers are, and a zone's record changes
    /// seldom.
    pub fn for_zone_below_region() -> Self {
        Settings {
            probe_interval: Duration::from_secs(1),
            ..Settings::default()
        }
    }

    /// Of the relays of the zones of one region.
    ///
    /// A lost relay shows after one silence; until then what the zone's own
    /// followers were told is fresh, so that none of them has to look.
    pub fn for_region() -> Self {
        Settings {
            max_age: Duration::from_millis(625),
            probe_interval: Duration::from_millis(250),
            max_hold: Duration::from_millis(200),
            poll_timeout: Duration::from_millis(400),
            poll_pause: Duration::from_millis(50),
            // Its zone's followers grow out of date meanwhile.
            join_timeout: Duration::ZERO,
            startup_timeout: Duration::ZERO,
            ..Settings::default()
        }
    }
}
