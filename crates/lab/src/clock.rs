//! The clock of a run.
//!
//! `CLOCK_MONOTONIC` has the same origin for every process of a machine, so
//! timestamps recorded by different processes can be compared directly. Its
//! resolution is a nanosecond on Linux; timestamps are kept in microseconds.

use rustix::time::{ClockId, clock_gettime};
use threadledge_types::Timestamp;

const MICROS_PER_SECOND: u64 = 1_000_000;
const NANOS_PER_MICRO: u64 = 1_000;

/// Reads the machine's monotonic clock.
pub fn now() -> Timestamp {
    let reading = clock_gettime(ClockId::Monotonic);
    let seconds = u64::try_from(reading.tv_sec).unwrap_or(0);
    let nanos = u64::try_from(reading.tv_nsec).unwrap_or(0);
    Timestamp::from_micros(seconds * MICROS_PER_SECOND + nanos / NANOS_PER_MICRO)
}
