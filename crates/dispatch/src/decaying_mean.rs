//! A mean of samples that weigh the less the older they are, kept as samples
//! come and go: asking for it costs the same however many there are.

use std::time::Duration;

use threadledge_types::Timestamp;

/// Weight of all samples together below which they tell nothing any more.
const LEAST_WEIGHT: f64 = 1e-9;

/// What was measured, and when.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Sample {
    /// The value.
    pub value: f64,
    /// When it was measured.
    pub at: Timestamp,
}

/// The mean of some samples.
#[derive(Clone, Debug)]
pub struct DecayingMean {
    half_life: Duration,
    /// Weight of a sample of zero that is always there and never fades.
    zero_weight: f64,
    /// Sum of the samples by their weights at `as_of`, and of these weights.
    sum: f64,
    weight: f64,
    samples: usize,
    as_of: Timestamp,
}

impl DecayingMean {
    /// Of no samples yet, beside a zero of this weight.
    pub fn new(half_life: Duration, zero_weight: f64) -> Self {
        DecayingMean {
            half_life,
            zero_weight,
            sum: 0.0,
            weight: 0.0,
            samples: 0,
            as_of: Timestamp::ZERO,
        }
    }

    /// A sample takes the place of the one before it, if there was one.
    pub fn replace(&mut self, now: Timestamp, before: Option<Sample>, after: Option<Sample>) {
        self.fade(now);
        if let Some(before) = before {
            self.samples = self.samples.saturating_sub(1);
            self.add(before, -1.0);
        }
        if let Some(after) = after {
            self.samples += 1;
            self.add(after, 1.0);
        }
        if self.samples == 0 {
            // Nothing of what was rounded stays.
            self.sum = 0.0;
            self.weight = 0.0;
        }
    }

    /// The mean as of now; zero without samples.
    pub fn mean(&self, now: Timestamp) -> f64 {
        let kept = self.kept_since(self.as_of, now);
        if self.weight * kept < LEAST_WEIGHT {
            return 0.0;
        }
        self.sum * kept / (self.weight * kept + self.zero_weight)
    }

    fn add(&mut self, sample: Sample, sign: f64) {
        let weight = self.kept_since(sample.at, self.as_of) * sign;
        self.sum += sample.value * weight;
        self.weight += weight;
    }

    fn fade(&mut self, now: Timestamp) {
        let kept = self.kept_since(self.as_of, now);
        self.sum *= kept;
        self.weight *= kept;
        self.as_of = self.as_of.max(now);
    }

    /// What is left at `now` of a weight of one at `then`.
    fn kept_since(&self, then: Timestamp, now: Timestamp) -> f64 {
        let half_lives = now.since(then).as_secs_f64() / self.half_life.as_secs_f64();
        (-half_lives).exp2()
    }
}
