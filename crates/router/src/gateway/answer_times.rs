//! How long back ends lately took to answer, as the gateways of a zone measure
//! it together.
//!
//! Where there are many gateways each asks a back end too rarely to know its
//! speed, or that it has slowed down. What each measured goes up to the zone's
//! relay with its polls; what all measured comes down with the answers. It is
//! a hint: what is lost on the way is made up for by later measurements.

use std::collections::BTreeMap;
use std::time::Duration;

use threadledge_coordination::SpeedSample;
use threadledge_types::Timestamp;
use threadledge_types::deployment::BackEndName;

/// Time after which a measurement counts for half.
const HALF_LIFE: Duration = Duration::from_secs(2);
/// Measurements below which nothing is told of a back end.
const LEAST_COUNT: f64 = 0.5;

/// What the gateways of a zone measured.
#[derive(Debug, Default)]
pub struct AnswerTimes {
    /// Not yet told to the relay, or not yet gathered by it.
    fresh: BTreeMap<BackEndName, Sum>,
    zone: BTreeMap<BackEndName, Lately>,
}

#[derive(Clone, Copy, Debug, Default)]
struct Sum {
    count: f64,
    work_s: f64,
}

#[derive(Clone, Copy, Debug)]
struct Lately {
    sum: Sum,
    at: Timestamp,
}

impl Sum {
    fn add(&mut self, other: Sum) {
        self.count += other.count;
        self.work_s += other.work_s;
    }

    fn faded(self, age: Duration) -> Sum {
        let kept = (-age.as_secs_f64() / HALF_LIFE.as_secs_f64()).exp2();
        Sum {
            count: self.count * kept,
            work_s: self.work_s * kept,
        }
    }

    fn of(sample: &SpeedSample) -> Sum {
        Sum {
            count: f64::from(sample.count),
            work_s: sample.work_s,
        }
    }

    fn sample(self, back_end: &BackEndName) -> SpeedSample {
        // Whole requests are told; what they took on average is kept.
        let count = self.count.round().max(1.0);
        SpeedSample {
            back_end: back_end.clone(),
            count: count as u32,
            work_s: self.work_s / self.count.max(f64::MIN_POSITIVE) * count,
        }
    }
}

impl AnswerTimes {
    /// This gateway, or one that learns through it, measured these.
    pub fn measured(&mut self, samples: &[SpeedSample]) {
        for sample in samples {
            let sound = sample.work_s.is_finite() && sample.work_s >= 0.0;
            if sample.count == 0 || !sound {
                continue;
            }
            let fresh = self.fresh.entry(sample.back_end.clone()).or_default();
            fresh.add(Sum::of(sample));
        }
    }

    /// Takes what is to be told to the relay.
    pub fn take_fresh(&mut self) -> Vec<SpeedSample> {
        let fresh = std::mem::take(&mut self.fresh);
        fresh
            .iter()
            .map(|(back_end, sum)| sum.sample(back_end))
            .collect()
    }

    /// At the relay: adds what is fresh to what the zone measured, and says
    /// what changed.
    pub fn gather(&mut self, now: Timestamp) -> Vec<SpeedSample> {
        for (back_end, fresh) in std::mem::take(&mut self.fresh) {
            let lately = self.zone.entry(back_end).or_insert(Lately {
                sum: Sum::default(),
                at: now,
            });
            lately.sum = lately.sum.faded(now.since(lately.at));
            lately.sum.add(fresh);
            lately.at = now;
        }
        self.zone
            .retain(|_, lately| lately.sum.faded(now.since(lately.at)).count >= LEAST_COUNT);
        self.since(now)
    }

    /// The relay told these.
    pub fn told(&mut self, now: Timestamp, samples: &[SpeedSample]) {
        for sample in samples {
            let lately = Lately {
                sum: Sum::of(sample),
                at: now,
            };
            self.zone.insert(sample.back_end.clone(), lately);
        }
    }

    /// What changed at `since` or later.
    pub fn since(&self, since: Timestamp) -> Vec<SpeedSample> {
        self.zone
            .iter()
            .filter(|(_, lately)| lately.at >= since)
            .map(|(back_end, lately)| lately.sum.sample(back_end))
            .collect()
    }
}
