//! The process's clock, both as the cores and as timers take it.
//!
//! It goes on while the machine is suspended. If it stood still, a leader on a
//! machine that was suspended and resumed would believe for a moment that its
//! leader lease still holds, and could renew a back end's lease beyond the time
//! that its successor waits for.

use threadledge_net::Instant;
use threadledge_types::Timestamp;

/// What the clock reads at first. Cores turn ages that others tell into times
/// of their own; ages up to this can be told. With a clock that began at zero
/// what was older than the process looked as young as the process: a gateway
/// that had just started called its news fresh before it had any.
pub const STARTS_AT: Timestamp = Timestamp::from_millis(24 * 3_600 * 1_000);

/// Reads time as the cores take it, and turns it back into the time that
/// timers take.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    origin: Instant,
}

impl Clock {
    /// A clock that starts now, at [`STARTS_AT`].
    pub fn start() -> Self {
        Clock {
            origin: Instant::now(),
        }
    }

    /// Its reading, suspended time included.
    pub fn now(&self) -> Timestamp {
        STARTS_AT + self.origin.elapsed()
    }

    /// When the clock reads `timestamp`. Cores know whole microseconds: the
    /// time returned is never before the clock shows them.
    pub fn instant(&self, timestamp: Timestamp) -> Instant {
        // The clocks are read one after the other, this one first: what
        // passes in between makes the result later, never earlier.
        let left = timestamp.since(self.now());
        Instant::now() + left
    }
}
