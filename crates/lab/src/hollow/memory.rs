//! Resident memory of this process.

/// Bytes in one page, as Linux counts resident memory on the machines that
/// this project runs on.
const PAGE_BYTES: u64 = 4_096;

/// Resident bytes now; `None` where the system does not tell.
pub(super) fn resident_bytes() -> Option<u64> {
    let text = std::fs::read_to_string("/proc/self/statm").ok()?;
    let pages: u64 = text.split_whitespace().nth(1)?.parse().ok()?;
    Some(pages * PAGE_BYTES)
}
