//! Reads the resident memory of this process and the processor time of this
//! thread.

use rustix::time::{ClockId, clock_gettime};

/// Page size in which Linux reports resident memory on the machines that this
/// project runs on.
const PAGE_BYTES: u64 = 4_096;
const NANOS_PER_SECOND: u64 = 1_000_000_000;

/// Returns the resident memory in bytes, or `None` if the system does not
/// report it.
pub(super) fn resident_bytes() -> Option<u64> {
    let text = std::fs::read_to_string("/proc/self/statm").ok()?;
    let pages: u64 = text.split_whitespace().nth(1)?.parse().ok()?;
    Some(pages * PAGE_BYTES)
}

/// Returns the processor time of this thread in nanoseconds. Unlike real time,
/// it is not affected by other load on the machine.
pub(super) fn processor_nanos() -> u64 {
    let reading = clock_gettime(ClockId::ThreadCPUTime);
    let seconds = u64::try_from(reading.tv_sec).unwrap_or(0);
    let nanos = u64::try_from(reading.tv_nsec).unwrap_or(0);
    seconds * NANOS_PER_SECOND + nanos
}
