//! Recent answer times of one back end: smoothed means and a quantile.

use std::time::Duration;

/// Buckets for each doubling of the latency.
const STEPS_PER_DOUBLING: u32 = 4;
/// Doublings covered, from one microsecond on; the last is above an hour.
const DOUBLINGS: u32 = 32;
const BUCKETS: usize = (STEPS_PER_DOUBLING * DOUBLINGS) as usize;
/// Once this many samples are held, all counts are halved, so that old ones
/// fade.
const HALVE_AT: u32 = 1_024;
/// Weight of a new sample in the short mean.
const SHORT_WEIGHT: f64 = 0.2;
/// Weight of a new sample in the long mean.
const LONG_WEIGHT: f64 = 0.01;

/// A sample counts for at most this many times the long mean: one answer that
/// got stuck says little about the others, several in a row say enough.
const OUTLIER_FACTOR: f64 = 4.0;

/// Answer times of one back end. Takes 300 bytes whatever it has seen.
#[derive(Clone, Debug)]
pub struct LatencyEstimate {
    short_micros: f64,
    long_micros: f64,
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
    /// Takes in one answer time.
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

    /// Mean of the latest few answers; `None` before the first.
    pub fn recent(&self) -> Option<Duration> {
        let micros = self.short_micros as u64;
        (self.total > 0).then(|| Duration::from_micros(micros))
    }

    /// Ratio of the mean of the latest few answers to that of the latest
    /// hundred; 1 when there is no sample.
    pub fn inflation(&self) -> f64 {
        if self.long_micros <= 0.0 {
            return 1.0;
        }
        self.short_micros / self.long_micros
    }

    /// How much longer the latest few answers took than the latest hundred.
    pub fn growth(&self) -> Duration {
        let micros = (self.short_micros - self.long_micros).max(0.0);
        Duration::from_micros(micros as u64)
    }

    /// Samples that the quantile rests on.
    pub fn samples(&self) -> u32 {
        self.total
    }

    /// Upper bound, at most a quarter too high, of the time that `percent`
    /// per cent of the recent answers took at most.
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

/// Bucket by the leading bit and the two bits after it.
fn bucket_index(micros: u64) -> usize {
    let doubling = micros.ilog2();
    let step = (micros << 2 >> doubling) & 3;
    let bucket = u64::from(doubling * STEPS_PER_DOUBLING) + step;
    (bucket as usize).min(BUCKETS - 1)
}

/// First value above a bucket.
fn upper_bound(bucket: usize) -> u64 {
    let doubling = bucket as u32 / STEPS_PER_DOUBLING;
    let step = bucket as u64 % u64::from(STEPS_PER_DOUBLING);
    ((5 + step) << doubling).div_ceil(4)
}
