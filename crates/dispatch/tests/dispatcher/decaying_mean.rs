//! Means of samples whose weights decay with their age.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use threadledge_dispatch::decaying_mean::{DecayingMean, Sample};
use threadledge_types::Timestamp;

const HALF_LIFE: Duration = Duration::from_secs(24);

/// The same mean, computed by iterating over all samples.
fn mean_of(samples: &BTreeMap<u32, Sample>, now: Timestamp, zero_weight: f64) -> f64 {
    let weighed = samples.values().map(|sample| {
        let age = now.since(sample.at).as_secs_f64();
        let weight = (-age / HALF_LIFE.as_secs_f64()).exp2();
        (sample.value * weight, weight)
    });
    let (sum, weight) = weighed.fold((0.0, zero_weight), |(sum, total), (value, weight)| {
        (sum + value, total + weight)
    });
    if weight > 0.0 { sum / weight } else { 0.0 }
}

#[test]
fn incremental_mean_equals_the_mean_over_all_samples() {
    for seed in 0..40 {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let zero_weight = f64::from(seed as u32 % 2);
        let mut mean = DecayingMean::new(HALF_LIFE, zero_weight);
        let mut samples: BTreeMap<u32, Sample> = BTreeMap::new();
        let mut now = Timestamp::from_millis(3_600_000);
        for _ in 0..1_000 {
            now = now + Duration::from_millis(random.random_range(0..2_000));
            let name = random.random_range(0..40);
            let value = random.random_range(0.01..5.0);
            let after = random.random_bool(0.9).then_some(Sample { value, at: now });
            let before = match after {
                Some(after) => samples.insert(name, after),
                None => samples.remove(&name),
            };
            mean.replace(now, before, after);
            let walked = mean_of(&samples, now, zero_weight);
            let off = (mean.mean(now) - walked).abs();
            assert!(off < 1e-6, "seed {seed}: off by {off} from {walked}");
        }
    }
}

#[test]
fn mean_is_zero_after_the_last_sample_was_removed() {
    let now = Timestamp::from_millis(5_000);
    let sample = Some(Sample {
        value: 0.3,
        at: now,
    });
    let mut mean = DecayingMean::new(HALF_LIFE, 0.0);
    mean.replace(now, None, sample);
    assert!((mean.mean(now) - 0.3).abs() < 1e-12);
    mean.replace(now + Duration::from_secs(9), sample, None);
    assert!(mean.mean(now + Duration::from_secs(9)).abs() < 1e-12);
}
