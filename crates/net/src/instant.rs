//! Moments on a clock that goes on while the machine is suspended.
//!
//! `std::time::Instant` stands still then: whatever was to end meanwhile would
//! still seem to have time left, and an order, a lease or a deadline that is
//! over would be acted on. Everything here and in the gateway that has a
//! deadline or an age reads this clock.

use std::ops::{Add, Sub};
use std::time::Duration;

use rustix::time::{ClockId, Timespec, clock_gettime};

/// A moment, as the time since the machine started, suspended time included.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Instant(Duration);

impl Instant {
    /// The present moment.
    pub fn now() -> Self {
        Instant(since_boot())
    }

    /// Time since then; zero if it lies ahead.
    pub fn elapsed(&self) -> Duration {
        Instant::now().saturating_duration_since(*self)
    }

    /// Time since `earlier`; zero if that is later than this.
    pub fn saturating_duration_since(&self, earlier: Instant) -> Duration {
        self.0.saturating_sub(earlier.0)
    }

    /// The moment so long before; `None` before the machine started.
    pub fn checked_sub(&self, duration: Duration) -> Option<Instant> {
        self.0.checked_sub(duration).map(Instant)
    }

    /// Time since the machine started.
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

/// Time for which the machine is taken to have been suspended, in
/// microseconds. Tests add to it: no test can suspend the machine.
#[cfg(feature = "simulated-suspension")]
static SUSPENDED: std::sync::atomic::AtomicU64 = std::sync::atomic::AtomicU64::new(0);

/// Lets this clock go on by `duration` while timers of the system stand still,
/// as they do while a machine is suspended.
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
