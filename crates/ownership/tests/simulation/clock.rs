//! Clocks with different rates and origins.

use threadledge_types::Timestamp;

/// Slowest and fastest rate, in parts per million of real time. Their ratio is
/// just below the drift that the default timing tolerates (5 %).
pub const RATES: std::ops::Range<u64> = 976_000..1_024_000;

#[derive(Clone, Copy, Debug)]
pub struct Clock {
    pub origin: u64,
    pub rate: u64,
}

impl Clock {
    /// Returns the reading at a real time in microseconds.
    pub fn read(&self, real: u64) -> Timestamp {
        let passed = u128::from(real) * u128::from(self.rate) / 1_000_000;
        Timestamp::from_micros(self.origin + passed as u64)
    }

    /// Returns the first real time at which the clock shows `reading`.
    pub fn when(&self, reading: Timestamp) -> u64 {
        let passed = reading.as_micros().saturating_sub(self.origin);
        (u128::from(passed) * 1_000_000).div_ceil(u128::from(self.rate)) as u64
    }
}
