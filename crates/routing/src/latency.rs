//! Recent response times of one back end: moving averages and a quantile.

use std::time::Duration;

/// Buckets for each doubling of the latency.
const STEPS_PER_DOUBLING: u32 = 4;
/// Doublings covered, starting at one microsecond; the last bucket is above an
/// hour.
const DOUBLINGS: u32 = 32;
const BUCKETS: usize = (STEPS_PER_DOUBLING * DOUBLINGS) as usize;
/// All counts are halved once this many samples are held, so that old samples
/// lose weight.
const HALVE_AT: u32 = 1_024;
/// Weight of a new sample in the short moving average.
const SHORT_WEIGHT: f64 = 0.2;
/// Weight of a new sample in the long moving average.
const LONG_WEIGHT: f64 = 0.01;

/// Samples are capped at this multiple of the long average: a single delayed
/// response says little about the others, while several in a row raise the
/// average enough.
const OUTLIER_FACTOR: f64 = 4.0;

/// Response-time statistics of one back end. Takes 300 bytes regardless of the
/// number of samples.
#[derive(Clone, Debug)]
pub struct LatencyEstimate {
    short_micros: f64,
    long_micros: f64,
    /// Number of samples in each bucket.
    counts: [u16; BUCKETS],
    total: u32,
}

impl Default for LatencyEstimate {
    fn default() -> Self {
        LatencyEstimate {
            short_micros: 0.0,
            long_micros: 0.0,
            counts: [0; BUCKETS],
            total: 0,
        }
    }
}

impl LatencyEstimate {
    /// Records one response time.
    pub fn record(&mut self, latency: Duration) {
        let micros = latency.as_micros().clamp(1, u128::from(u64::MAX)) as u64;
        if self.total == 0 {
            self.short_micros = micros as f64;
            self.long_micros = micros as f64;
        }
        let sample = (micros as f64).min(OUTLIER_FACTOR * self.long_micros);
        self.short_micros += SHORT_WEIGHT * (sample - self.short_micros);
        self.long_micros += LONG_WEIGHT * (sample - self.long_micros);
        self.counts[bucket_index(micros)] += 1;
        self.total += 1;
        if self.total >= HALVE_AT {
            self.halve();
        }
    }

    /// Moving average of the latest few responses; `None` before the first.
    pub fn recent(&self) -> Option<Duration> {
        let micros = self.short_micros as u64;
        (self.total > 0).then(|| Duration::from_micros(micros))
    }

    /// Ratio of the average of the latest few responses to that of the latest
    /// hundred; 1 without samples.
    pub fn inflation(&self) -> f64 {
        if self.long_micros <= 0.0 {
            return 1.0;
        }
        self.short_micros / self.long_micros
    }

    /// How much longer the latest few responses took than the latest hundred.
    pub fn growth(&self) -> Duration {
        let micros = (self.short_micros - self.long_micros).max(0.0);
        Duration::from_micros(micros as u64)
    }

    /// Number of samples behind the quantile.
    pub fn samples(&self) -> u32 {
        self.total
    }

    /// Returns an upper bound, at most a quarter too high, of the time within
    /// which `percent` percent of the recent responses arrived.
    pub fn quantile(&self, percent: u32) -> Option<Duration> {
        if self.total == 0 {
            return None;
        }
        let wanted = (u64::from(self.total) * u64::from(percent)).div_ceil(100);
        let mut seen = 0;
        for (bucket, count) in self.counts.iter().enumerate() {
            seen += u64::from(*count);
            if seen >= wanted {
                return Some(Duration::from_micros(upper_bound(bucket)));
            }
        }
        None
    }

    fn halve(&mut self) {
        for count in &mut self.counts {
            *count /= 2;
        }
        self.total = self.counts.iter().map(|count| u32::from(*count)).sum();
    }
}

/// Returns the bucket of a value, given by its leading bit and the two bits
/// after it.
fn bucket_index(micros: u64) -> usize {
    let doubling = micros.ilog2();
    let step = (micros << 2 >> doubling) & 3;
    let bucket = u64::from(doubling * STEPS_PER_DOUBLING) + step;
    (bucket as usize).min(BUCKETS - 1)
}

/// Returns the first value above a bucket.
fn upper_bound(bucket: usize) -> u64 {
    let doubling = bucket as u32 / STEPS_PER_DOUBLING;
    let step = bucket as u64 % u64::from(STEPS_PER_DOUBLING);
    ((5 + step) << doubling).div_ceil(4)
}
