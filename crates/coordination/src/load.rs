//! How busy keys and how fast back ends are, as routers report it.
//!
//! Reports count requests by small ranges of keys. What is older counts less,
//! so that the map follows keys that become busy within seconds.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use threadledge_types::Timestamp;
use threadledge_types::deployment::{BackEndName, KeyRange, ShardKey};

/// Keys of one bucket, as a power of two.
const BUCKET_BITS: u32 = 4;
/// Number of buckets.
const BUCKETS: usize = 1 << (16 - BUCKET_BITS);
/// Time after which a request counts for half.
const HALF_LIFE: Duration = Duration::from_secs(4);
/// Time after which a measured speed counts for half.
const SPEED_HALF_LIFE: Duration = Duration::from_secs(15);
/// Part of the measure that goes by the number of keys alone, so that keys
/// that nobody asks for are spread as well.
const KEYS_PART: f64 = 0.1;
/// Requests below which the load of keys says nothing yet.
const LEAST_REQUESTS: f64 = 60.0;
/// Samples below which the speed of a back end says little.
const SPEED_PRIOR: f64 = 4.0;
/// How much faster or slower than the others a back end may count.
const SPEED_RANGE: f64 = 3.0;

/// The bucket of a key.
pub fn bucket_of(key: ShardKey) -> u16 {
    key.0 >> BUCKET_BITS
}

/// What one router saw of one service since its last report.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct LoadReport {
    /// Requests by bucket of keys.
    pub requests: Vec<BucketCount>,
    /// Speeds of back ends.
    pub speeds: Vec<SpeedSample>,
}

/// Requests for the keys of one bucket.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct BucketCount {
    /// The bucket, see [`bucket_of`].
    pub bucket: u16,
    /// Requests.
    pub count: u32,
}

/// How long requests took at one back end.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct SpeedSample {
    /// The back end.
    pub back_end: BackEndName,
    /// Requests measured.
    pub count: u32,
    /// Time of work of all of them, in seconds.
    pub work_s: f64,
}

#[derive(Clone, Copy, Debug, Default)]
struct Speed {
    count: f64,
    work_s: f64,
}

/// The load of one service.
#[derive(Clone, Debug)]
pub struct LoadMap {
    buckets: Vec<f64>,
    speeds: BTreeMap<BackEndName, Speed>,
    faded_at: Timestamp,
}

impl Default for LoadMap {
    fn default() -> Self {
        LoadMap {
            buckets: vec![0.0; BUCKETS],
            speeds: BTreeMap::new(),
            faded_at: Timestamp::ZERO,
        }
    }
}

impl LoadMap {
    /// Takes what a router saw.
    pub fn add(&mut self, now: Timestamp, report: &LoadReport) {
        self.fade(now);
        for counted in &report.requests {
            if let Some(bucket) = self.buckets.get_mut(usize::from(counted.bucket)) {
                *bucket += f64::from(counted.count);
            }
        }
        for sample in &report.speeds {
            let sound = sample.work_s.is_finite() && sample.work_s >= 0.0;
            if !sound {
                continue;
            }
            let speed = self.speeds.entry(sample.back_end.clone()).or_default();
            speed.count += f64::from(sample.count);
            speed.work_s += sample.work_s;
        }
    }

    fn fade(&mut self, now: Timestamp) {
        let age = now.since(self.faded_at).as_secs_f64();
        self.faded_at = now;
        let kept = (-age / HALF_LIFE.as_secs_f64()).exp2();
        for bucket in &mut self.buckets {
            *bucket *= kept;
        }
        let kept = (-age / SPEED_HALF_LIFE.as_secs_f64()).exp2();
        for speed in self.speeds.values_mut() {
            speed.count *= kept;
            speed.work_s *= kept;
        }
    }

    /// Whether enough was seen to go by.
    pub fn speaks(&self) -> bool {
        self.buckets.iter().sum::<f64>() >= LEAST_REQUESTS
    }

    /// How fast a back end is relative to the others; 1 when nothing is
    /// known of it.
    pub fn speed(&self, name: &BackEndName) -> f64 {
        let total = self
            .speeds
            .values()
            .fold(Speed::default(), |sum, speed| Speed {
                count: sum.count + speed.count,
                work_s: sum.work_s + speed.work_s,
            });
        let Some(speed) = self.speeds.get(name) else {
            return 1.0;
        };
        if total.count < SPEED_PRIOR || total.work_s <= 0.0 {
            return 1.0;
        }
        let usual = total.work_s / total.count;
        let work = (speed.work_s + SPEED_PRIOR * usual) / (speed.count + SPEED_PRIOR);
        (usual / work).clamp(1.0 / SPEED_RANGE, SPEED_RANGE)
    }

    /// The measure by which keys are divided.
    pub fn measure(&self) -> Measure {
        let total: f64 = self.buckets.iter().sum();
        let by_load = if total >= LEAST_REQUESTS {
            (1.0 - KEYS_PART) / total
        } else {
            0.0
        };
        let by_keys = (1.0 - by_load * total) / BUCKETS as f64;
        let mut sums = Vec::with_capacity(BUCKETS + 1);
        let mut sum = 0.0;
        sums.push(sum);
        for bucket in &self.buckets {
            sum += bucket * by_load + by_keys;
            sums.push(sum);
        }
        Measure { sums }
    }
}

/// Weighs ranges of keys; all keys together weigh 1.
#[derive(Clone, Debug)]
pub struct Measure {
    /// Weight of all keys before each bucket.
    sums: Vec<f64>,
}

impl Measure {
    /// Weight of all keys below `key`, which may be one past the last.
    fn below(&self, key: u32) -> f64 {
        let size = 1_u32 << BUCKET_BITS;
        let bucket = (key / size) as usize;
        let Some(before) = self.sums.get(bucket).copied() else {
            return 1.0;
        };
        let after = self.sums.get(bucket + 1).copied().unwrap_or(before);
        before + (after - before) * f64::from(key % size) / f64::from(size)
    }

    /// Weight of a range.
    pub fn of(&self, range: KeyRange) -> f64 {
        self.below(u32::from(range.last.0) + 1) - self.below(u32::from(range.first.0))
    }

    /// How many of the first keys of `range` weigh `wanted` together, at
    /// least 1 and at most all.
    pub fn keys_for(&self, range: KeyRange, wanted: f64) -> u32 {
        let first = u32::from(range.first.0);
        let base = self.below(first);
        let mut low = 1;
        let mut high = range.len();
        while low < high {
            let middle = low + (high - low) / 2;
            if self.below(first + middle) - base >= wanted {
                high = middle;
            } else {
                low = middle + 1;
            }
        }
        low
    }
}
