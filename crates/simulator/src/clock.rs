//! Clocks of simulated processes: each starts somewhere else and runs at its
//! own rate.

use threadledge_types::Timestamp;

/// Parts in a million.
const MILLION: i128 = 1_000_000;

/// Maps the simulator's time to one process's monotonic clock.
#[derive(Clone, Copy, Debug)]
pub struct ModelClock {
    offset_micros: u64,
    drift_ppm: i64,
}

impl ModelClock {
    /// A clock that shows `offset_micros` at the beginning of the run and
    /// gains `drift_ppm` microseconds each second.
    pub fn new(offset_micros: u64, drift_ppm: i64) -> Self {
        ModelClock {
            offset_micros,
            drift_ppm,
        }
    }

    /// What the clock shows at `now` of the simulator.
    pub fn read(&self, now: Timestamp) -> Timestamp {
        let elapsed = i128::from(now.as_micros());
        let gained = elapsed * i128::from(self.drift_ppm) / MILLION;
        let local = elapsed + gained + i128::from(self.offset_micros);
        Timestamp::from_micros(u64::try_from(local).unwrap_or(0))
    }
}
