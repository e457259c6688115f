//! Slow start of a back-end process that has just started and is still cold.

use std::time::Duration;

use threadledge_types::Timestamp;

/// Raises the number of concurrent requests linearly from 1 to the full limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ramp {
    started: Timestamp,
    length: Duration,
}

impl Ramp {
    /// Creates a ramp of this length that starts at `started`.
    pub fn new(started: Timestamp, length: Duration) -> Self {
        Ramp { started, length }
    }

    /// Whether the ramp is over.
    pub fn is_over(&self, now: Timestamp) -> bool {
        now.since(self.started) >= self.length
    }

    /// Number of concurrent requests allowed, given the usual limit `full`.
    pub fn allowed(&self, now: Timestamp, full: u32) -> u32 {
        if self.is_over(now) || full <= 1 {
            return full;
        }
        let passed = now.since(self.started).as_micros();
        let length = self.length.as_micros().max(1);
        let extra = u128::from(full - 1) * passed / length;
        1 + u32::try_from(extra).unwrap_or(full - 1)
    }

    /// Time at which [`Ramp::allowed`] grows next; `None` once the ramp is
    /// over.
    pub fn next_change(&self, now: Timestamp, full: u32) -> Option<Timestamp> {
        if self.is_over(now) || full <= 1 {
            return None;
        }
        let next_extra = u128::from(self.allowed(now, full));
        let length = self.length.as_micros();
        let micros = (next_extra * length).div_ceil(u128::from(full - 1));
        let after = Duration::from_micros(u64::try_from(micros).unwrap_or(u64::MAX));
        Some(self.started + after)
    }
}
