//! Instants of a clock that keeps running while the machine is suspended.
//!
//! `std::time::Instant` stops during suspension: anything that should have
//! expired in the meantime would still seem to have time left, and an expired
//! order, lease or deadline would be acted on. Everything in this crate and in
//! the gateway that has a deadline or an age uses this clock.

use std::ops::{Add, Sub};
use std::time::Duration;

use rustix::time::{ClockId, Timespec, clock_gettime};

/// A point in time, stored as the time since boot including time suspended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Instant(Duration);

impl Instant {
    /// Returns the current time.
    pub fn now() -> Self {
        Instant(since_boot())
    }

    /// Time elapsed since this instant; zero if it is in the future.
    pub fn elapsed(&self) -> Duration {
        Instant::now().saturating_duration_since(*self)
    }

    /// Time elapsed since `earlier`; zero if `earlier` is later than this
    /// instant.
    pub fn saturating_duration_since(&self, earlier: Instant) -> Duration {
        self.0.saturating_sub(earlier.0)
    }

    /// Returns the instant `duration` earlier, or `None` if that is before
    /// boot.
    pub fn checked_sub(&self, duration: Duration) -> Option<Instant> {
        self.0.checked_sub(duration).map(Instant)
    }

    /// Time since boot.
    pub fn since_boot(&self) -> Duration {
        self.0
    }
}

impl Add<Duration> for Instant {
    type Output = Instant;

    fn add(self, duration: Duration) -> Instant {
        Instant(self.0.saturating_add(duration))
    }
}

impl Sub<Duration> for Instant {
    type Output = Instant;

    fn sub(self, duration: Duration) -> Instant {
        Instant(self.0.saturating_sub(duration))
    }
}

impl Sub for Instant {
    type Output = Duration;

    fn sub(self, earlier: Instant) -> Duration {
        self.saturating_duration_since(earlier)
    }
}

fn since_boot() -> Duration {
    let Timespec { tv_sec, tv_nsec } = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(tv_sec).unwrap_or(0);
    let nanos = u32::try_from(tv_nsec).unwrap_or(0);
    Duration::new(seconds, nanos) + simulated_suspension()
}

/// Simulated time suspended, in microseconds. Tests add to it because they
/// cannot suspend the machine.
#[cfg(feature = "simulated-suspension")]
static SUSPENDED: std::sync::atomic::AtomicU64 = std::sync::atomic::AtomicU64::new(0);

/// Advances this clock by `duration` while the timers of the system stand
/// still, as they do while a machine is suspended.
#[cfg(feature = "simulated-suspension")]
pub fn simulate_suspension(duration: Duration) {
    let micros = u64::try_from(duration.as_micros()).unwrap_or(u64::MAX);
    SUSPENDED.fetch_add(micros, std::sync::atomic::Ordering::SeqCst);
}

#[cfg(feature = "simulated-suspension")]
fn simulated_suspension() -> Duration {
    Duration::from_micros(SUSPENDED.load(std::sync::atomic::Ordering::SeqCst))
}

#[cfg(not(feature = "simulated-suspension"))]
const fn simulated_suspension() -> Duration {
    Duration::ZERO
}
