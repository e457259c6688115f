//! The process's monotonic clock, both as the cores and as timers take it.

use std::time::{Duration, Instant};

use threadledge_types::Timestamp;

/// Reads monotonic time as the cores take it, and turns it back into the
/// time that timers take.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    origin: Instant,
}

impl Clock {
    /// A clock that starts now.
    pub fn start() -> Self {
        Clock {
            origin: Instant::now(),
        }
    }

    /// Time since the start.
    pub fn now(&self) -> Timestamp {
        let micros = self.origin.elapsed().as_micros();
        Timestamp::from_micros(u64::try_from(micros).unwrap_or(u64::MAX))
    }

    /// When the clock reads `timestamp`. Cores know whole microseconds: the
    /// time returned is never before the clock shows them.
    pub fn instant(&self, timestamp: Timestamp) -> Instant {
        self.origin + Duration::from_micros(timestamp.as_micros())
    }
}
