//! Resident memory of this process, and processor time of this thread.

use rustix::time::{ClockId, clock_gettime};

/// Bytes in one page, as Linux counts resident memory on the machines that
/// this project runs on.
const PAGE_BYTES: u64 = 4_096;
const NANOS_PER_SECOND: u64 = 1_000_000_000;

/// Resident bytes now; `None` where the system does not tell.
pub(super) fn resident_bytes() -> Option<u64> {
    let text = std::fs::read_to_string("/proc/self/statm").ok()?;
    let pages: u64 = text.split_whitespace().nth(1)?.parse().ok()?;
    Some(pages * PAGE_BYTES)
}

/// Processor time of this thread in nanoseconds. Other load on the machine
/// does not count, as it would in real time.
pub(super) fn processor_nanos() -> u64 {
    let reading = clock_gettime(ClockId::ThreadCPUTime);
    let seconds = u64::try_from(reading.tv_sec).unwrap_or(0);
    let nanos = u64::try_from(reading.tv_nsec).unwrap_or(0);
    seconds * NANOS_PER_SECOND + nanos
}
