//! Durations of a member's life.

use std::time::Duration;

/// Durations, the same for all members of a zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Age of the store's last answer to a relay above which its followers
    /// watch the store themselves.
    pub max_age: Duration,
    /// Time between two reads of a relay, which show that the store answers
    /// it and that the record still names it.
    pub probe: Duration,
    /// Time between two polls of a relay that had something to tell.
    pub gather: Duration,
    /// Pause after a call to the store that was not answered.
    pub retry: Duration,
    /// Shortest time between two writes of how many members there are.
    pub recount: Duration,
    /// How long after its start a member looks for a relay before it watches
    /// the store itself.
    pub settle: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            max_age: Duration::from_millis(1_200),
            probe: Duration::from_millis(500),
            gather: Duration::from_millis(100),
            retry: Duration::from_millis(800),
            recount: Duration::from_secs(3),
            settle: Duration::from_millis(1_500),
        }
    }
}
