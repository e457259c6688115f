//! A mean of samples whose weights decay exponentially with their age. It is
//! maintained incrementally: reading it takes the same time for any number of
//! samples.

use std::time::Duration;

use threadledge_types::Timestamp;

/// Total weight below which the samples are too old to be meaningful.
const MIN_TOTAL_WEIGHT: f64 = 1e-9;

/// A measured value and its time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Sample {
    /// The value.
    pub value: f64,
    /// When it was measured.
    pub at: Timestamp,
}

/// The decaying mean of a set of samples.
#[derive(Clone, Debug)]
pub struct DecayingMean {
    half_life: Duration,
    /// Weight of a constant sample of zero, which never decays.
    zero_weight: f64,
    /// Weighted sum of the samples, and sum of their weights, both as of
    /// `updated`.
    sum: f64,
    weight: f64,
    samples: usize,
    updated: Timestamp,
}

impl DecayingMean {
    /// Creates a mean without samples, apart from a constant zero of weight
    /// `zero_weight`.
    pub fn new(half_life: Duration, zero_weight: f64) -> Self {
        DecayingMean {
            half_life,
            zero_weight,
            sum: 0.0,
            weight: 0.0,
            samples: 0,
            updated: Timestamp::ZERO,
        }
    }

    /// Replaces the sample `before`, if any, by `after`, if any.
    pub fn replace(&mut self, now: Timestamp, before: Option<Sample>, after: Option<Sample>) {
        self.decay_to(now);
        if let Some(before) = before {
            self.samples = self.samples.saturating_sub(1);
            self.add(before, -1.0);
        }
        if let Some(after) = after {
            self.samples += 1;
            self.add(after, 1.0);
        }
        if self.samples == 0 {
            // Discards accumulated rounding errors.
            self.sum = 0.0;
            self.weight = 0.0;
        }
    }

    /// The mean as of `now`; zero without samples.
    pub fn mean(&self, now: Timestamp) -> f64 {
        let factor = self.decay_factor(self.updated, now);
        if self.weight * factor < MIN_TOTAL_WEIGHT {
            return 0.0;
        }
        self.sum * factor / (self.weight * factor + self.zero_weight)
    }

    /// Adds a sample with its current weight, or removes it if `sign` is -1.
    fn add(&mut self, sample: Sample, sign: f64) {
        let weight = self.decay_factor(sample.at, self.updated) * sign;
        self.sum += sample.value * weight;
        self.weight += weight;
    }

    fn decay_to(&mut self, now: Timestamp) {
        let factor = self.decay_factor(self.updated, now);
        self.sum *= factor;
        self.weight *= factor;
        self.updated = self.updated.max(now);
    }

    /// Factor by which a weight decays from `then` to `now`.
    fn decay_factor(&self, then: Timestamp, now: Timestamp) -> f64 {
        let half_lives = now.since(then).as_secs_f64() / self.half_life.as_secs_f64();
        (-half_lives).exp2()
    }
}
