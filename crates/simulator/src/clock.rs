//! Clocks of simulated processes, each with its own offset and rate.

use threadledge_types::Timestamp;

/// Parts in a million.
const MILLION: i128 = 1_000_000;

/// Converts simulation time to the monotonic clock of one process.
#[derive(Clone, Copy, Debug)]
pub struct ModelClock {
    offset_micros: u64,
    drift_ppm: i64,
}

impl ModelClock {
    /// Creates a clock that shows `offset_micros` at the start of the run and
    /// gains `drift_ppm` microseconds per second.
    pub fn new(offset_micros: u64, drift_ppm: i64) -> Self {
        ModelClock {
            offset_micros,
            drift_ppm,
        }
    }

    /// Returns the time that the clock shows at the simulation time `now`.
    pub fn read(&self, now: Timestamp) -> Timestamp {
        let elapsed = i128::from(now.as_micros());
        let gained = elapsed * i128::from(self.drift_ppm) / MILLION;
        let local = elapsed + gained + i128::from(self.offset_micros);
        Timestamp::from_micros(u64::try_from(local).unwrap_or(0))
    }
}
