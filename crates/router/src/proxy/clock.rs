//! The process's clock, both as the cores and as timers take it.
//!
//! It reads `CLOCK_BOOTTIME`, which goes on while the machine is suspended.
//! `std::time::Instant` stands still then: a leader on a machine that was
//! suspended and resumed would believe for a moment that its leader lease
//! still holds, and could renew a back end's lease beyond the time that its
//! successor waits for.

use std::time::{Duration, Instant};

use rustix::time::{ClockId, Timespec, clock_gettime};
use threadledge_types::Timestamp;

/// Reads time as the cores take it, and turns it back into the time that
/// timers take.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    origin: Duration,
}

impl Clock {
    /// A clock that starts now.
    pub fn start() -> Self {
        Clock {
            origin: since_boot(),
        }
    }

    /// Time since the start, suspended time included.
    pub fn now(&self) -> Timestamp {
        let elapsed = since_boot().saturating_sub(self.origin);
        let micros = u64::try_from(elapsed.as_micros()).unwrap_or(u64::MAX);
        Timestamp::from_micros(micros)
    }

    /// When the clock reads `timestamp`, unless the machine is suspended
    /// before. Cores know whole microseconds: the time returned is never
    /// before the clock shows them.
    pub fn instant(&self, timestamp: Timestamp) -> Instant {
        // The clocks are read one after the other, this one first: what
        // passes in between makes the result later, never earlier.
        let left = timestamp.since(self.now());
        Instant::now() + left
    }
}

fn since_boot() -> Duration {
    let Timespec { tv_sec, tv_nsec } = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(tv_sec).unwrap_or(0);
    let nanos = u32::try_from(tv_nsec).unwrap_or(0);
    Duration::new(seconds, nanos)
}
