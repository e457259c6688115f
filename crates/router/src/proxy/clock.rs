//! The process's clock, converted between the timestamps of the protocol cores
//! and the instants of timers.
//!
//! The clock includes the time during which the machine is suspended.
//! Otherwise a leader on a machine that was suspended and resumed would believe
//! for a moment that it still holds the leader lease, and could renew a back
//! end's lease beyond the time for which its successor waits.

use threadledge_net::Instant;
use threadledge_types::Timestamp;

/// Initial reading of the clock, 24 hours. Cores convert ages reported by other
/// processes into their own timestamps; ages up to this value can be
/// represented. With a clock that started at zero, anything older than the
/// process appeared to be as recent as the process: a gateway that had just
/// started reported its state as fresh before it had received any.
pub const INITIAL_READING: Timestamp = Timestamp::from_millis(24 * 3_600 * 1_000);

/// Reads the time as a [`Timestamp`] for the cores, and converts timestamps to
/// an [`Instant`] for timers.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    origin: Instant,
}

impl Clock {
    /// Starts a clock that reads [`INITIAL_READING`] now.
    pub fn start() -> Self {
        Clock {
            origin: Instant::now(),
        }
    }

    /// Returns the current reading, which includes suspended time.
    pub fn now(&self) -> Timestamp {
        INITIAL_READING + self.origin.elapsed()
    }

    /// Returns the instant at which the clock reads `timestamp`. Timestamps are
    /// whole microseconds; the instant is never before the clock reaches them.
    pub fn instant(&self, timestamp: Timestamp) -> Instant {
        // This clock is read first: the time that passes between the two
        // readings makes the result later, never earlier.
        let remaining = timestamp.since(self.now());
        Instant::now() + remaining
    }
}
