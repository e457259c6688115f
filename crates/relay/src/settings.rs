//! Timing of a member.
//!
//! With several regions, relays form two tiers: one relay per region watches
//! the store, the relays of the region's other zones follow it, and all other
//! gateways follow the relay of their zone. Ages add up along this path, so the
//! upper tier has to be fresher. The state of a follower in a zone is at most
//! as old as the upper tier's [`Settings::max_age`] plus one poll, and this sum
//! stays below the lower tier's `max_age`.

use std::time::Duration;

/// Timing that all members of a zone or of a region share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Age of the store's last response to a relay above which its followers
    /// watch the store themselves.
    pub max_age: Duration,
    /// Interval between reads of a relay. They show that the store responds to
    /// it and that the record still names it.
    pub probe_interval: Duration,
    /// Maximum time that a relay holds a poll. It is longer than
    /// [`Settings::probe_interval`], so that each read gives the relay a
    /// fresher state to report.
    pub max_hold: Duration,
    /// Maximum wait for the response to a poll.
    pub poll_timeout: Duration,
    /// Longest time for the response to a poll while its data keeps arriving.
    pub max_transfer: Duration,
    /// Pause before the next poll of a relay that had changes to report.
    pub poll_pause: Duration,
    /// Delay after a call to the store that failed.
    pub retry_delay: Duration,
    /// Interval between reads of a record that still names a lost relay.
    pub recheck_interval: Duration,
    /// How long a member that the store responds to waits for another member's
    /// claim or for a relay's first response before it watches the store
    /// itself. Together with `max_age`, this bounds how late it learns of a
    /// change.
    pub join_timeout: Duration,
    /// Interval between reads of a member when the store responds neither to it
    /// nor to its relay.
    pub isolated_read_interval: Duration,
    /// How long the relay of such a member may go without a response of the
    /// store after the store responds to the member again. It is longer than
    /// one probe of a relay that times out plus the next one.
    pub isolated_grace: Duration,
    /// Minimum interval between writes that update the number of members.
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
            max_transfer: Duration::from_secs(6),
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
    /// Returns the settings for the relay of a zone whose region has a relay of
    /// its own. The region's relay shows how fresh the store's responses are,
    /// and a zone's record changes rarely, so fewer reads are needed.
    pub fn for_zone_below_region() -> Self {
        Settings {
            probe_interval: Duration::from_secs(1),
            ..Settings::default()
        }
    }

    /// Returns the settings for the relays of the zones of one region.
    ///
    /// A lost relay is detected after one poll timeout. Until then the state of
    /// the zone's own followers is still fresh, so that none of them has to
    /// read the record.
    pub fn for_region() -> Self {
        Settings {
            max_age: Duration::from_millis(625),
            probe_interval: Duration::from_millis(250),
            max_hold: Duration::from_millis(200),
            poll_timeout: Duration::from_millis(400),
            poll_pause: Duration::from_millis(50),
            // The state of the zone's followers ages during this wait.
            join_timeout: Duration::ZERO,
            startup_timeout: Duration::ZERO,
            ..Settings::default()
        }
    }
}
