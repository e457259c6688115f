//! How fast the target of a proxy reads what it is sent.

use std::num::NonZeroUsize;
use std::time::{Duration, Instant};

/// Pause before each read of a target that reads slowly.
pub(super) const READ_PAUSE: Duration = Duration::from_millis(50);
/// Reads of a target that reads slowly in a second.
const READS_PER_S: usize = 20;
/// Time after a target has read slowly in which it may still take what waited.
const CATCH_UP: Duration = Duration::from_millis(200);

/// A time in which a target reads slowly.
#[derive(Clone, Copy, Debug)]
struct SlowTime {
    from: Instant,
    until: Instant,
    /// Bytes of each read.
    bytes: NonZeroUsize,
}

/// When the target of a proxy reads slowly.
#[derive(Debug, Default)]
pub(super) struct Reading {
    slow_times: Vec<SlowTime>,
}

impl Reading {
    /// The target reads each connection at this rate for `length` from now on.
    pub(super) fn slow_down(&mut self, bytes_per_s: u32, length: Duration) {
        self.end();
        let from = Instant::now();
        let bytes = usize::try_from(bytes_per_s).unwrap_or(usize::MAX) / READS_PER_S;
        self.slow_times.push(SlowTime {
            from,
            until: from + length,
            bytes: NonZeroUsize::new(bytes).unwrap_or(NonZeroUsize::MIN),
        });
    }

    /// The target reads what it is sent at once from now on.
    pub(super) fn end(&mut self) {
        let now = Instant::now();
        if let Some(last) = self.slow_times.last_mut() {
            last.until = last.until.min(now);
        }
    }

    /// Returns how many bytes the target takes with each read if it reads
    /// slowly now.
    pub(super) fn bytes_per_read(&self) -> Option<NonZeroUsize> {
        let now = Instant::now();
        let last = self.slow_times.last().filter(|last| now < last.until)?;
        Some(last.bytes)
    }

    /// Returns whether what the target took at this time may have waited unread.
    pub(super) fn may_have_delayed(&self, taken: Instant) -> bool {
        let mut slow_times = self.slow_times.iter();
        slow_times.any(|slow| slow.from <= taken && taken <= slow.until + CATCH_UP)
    }
}
