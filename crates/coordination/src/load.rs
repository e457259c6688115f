//! Load of keys and speed of back ends, as reported by routers.
//!
//! Reports count requests per key, because a single key may get more requests
//! than all others together. Older requests count less, so that the map follows
//! changes within seconds.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use threadledge_types::Timestamp;
use threadledge_types::deployment::{BackEndName, KeyRange, ShardKey};

/// Number of keys.
const KEYS: usize = 1 << 16;
/// Half-life of the weight of a request.
const HALF_LIFE: Duration = Duration::from_secs(4);
/// Half-life of the weight of a request for the detection of sudden changes.
const RECENT_HALF_LIFE: Duration = Duration::from_millis(800);
/// Number of keys in a cell. Sudden changes are detected per cell.
const CELL_KEYS: usize = 256;
/// Standard deviations by which the recent requests of a cell must differ from
/// the usual ones to count as a sudden change.
const SUDDEN_CHANGE_DEVIATIONS: f64 = 5.0;
/// Minimum number of recent requests to detect a sudden change.
const MIN_RECENT_REQUESTS: f64 = 40.0;
/// Half-life of the weight of a speed measurement.
const SPEED_HALF_LIFE: Duration = Duration::from_secs(15);
/// Fraction of the weight that is spread evenly over all keys, so that keys
/// without requests are distributed as well.
const UNIFORM_WEIGHT: f64 = 0.1;
/// Minimum number of requests for the load of keys to count.
const MIN_REQUESTS: f64 = 40.0;
/// Number of samples at the average speed that the speed of every back end is
/// mixed with, so that a few samples say little.
const SPEED_PRIOR_SAMPLES: f64 = 4.0;
/// Maximum factor by which a back end may count as faster or slower than the
/// others.
const MAX_SPEED_RATIO: f64 = 3.0;

/// Load of one service as measured by one router since its last report.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct LoadReport {
    /// Requests by key.
    pub requests: Vec<KeyCount>,
    /// Speeds of back ends.
    pub speeds: Vec<SpeedSample>,
    /// Back ends that announced that they are leaving while the store does not
    /// say so.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub leaving: Vec<BackEndName>,
    /// Back ends that asked this router for a rest.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub resting: Vec<RestingBackEnd>,
}

impl LoadReport {
    /// Adds the contents of another report.
    pub fn merge(&mut self, other: LoadReport) {
        let mut requests: BTreeMap<ShardKey, u32> = self
            .requests
            .drain(..)
            .map(|each| (each.key, each.count))
            .collect();
        for KeyCount { key, count } in other.requests {
            let sum = requests.entry(key).or_default();
            *sum = sum.saturating_add(count);
        }
        self.requests = requests
            .into_iter()
            .map(|(key, count)| KeyCount { key, count })
            .collect();
        let mut speeds: BTreeMap<BackEndName, SpeedSample> = self
            .speeds
            .drain(..)
            .map(|each| (each.back_end.clone(), each))
            .collect();
        for sample in other.speeds {
            match speeds.get_mut(&sample.back_end) {
                Some(known) => {
                    known.count = known.count.saturating_add(sample.count);
                    known.work_s += sample.work_s;
                }
                None => {
                    speeds.insert(sample.back_end.clone(), sample);
                }
            }
        }
        self.speeds = speeds.into_values().collect();
        let mut leaving: BTreeSet<BackEndName> = self.leaving.drain(..).collect();
        leaving.extend(other.leaving);
        self.leaving = leaving.into_iter().collect();
        self.resting.extend(other.resting);
    }

    /// Returns whether the report names no back end that should not keep its
    /// keys.
    pub fn names_no_ineligible_owner(&self) -> bool {
        self.leaving.is_empty() && self.resting.is_empty()
    }

    /// Returns whether the report is empty.
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty() && self.speeds.is_empty() && self.names_no_ineligible_owner()
    }
}

/// Number of requests for one key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct KeyCount {
    /// The key.
    pub key: ShardKey,
    /// Number of requests.
    pub count: u32,
}

/// A back end that asked a router for a rest.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct RestingBackEnd {
    /// The back end.
    pub back_end: BackEndName,
    /// Remaining time of the rest, in milliseconds.
    pub left_ms: u64,
}

/// Time that requests took at one back end.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct SpeedSample {
    /// The back end.
    pub back_end: BackEndName,
    /// Number of requests measured.
    pub count: u32,
    /// Total working time of these requests, in seconds.
    pub work_s: f64,
}

/// Decaying sum of the speed samples of one back end.
#[derive(Clone, Copy, Debug, Default)]
struct Speed {
    count: f64,
    work_s: f64,
}

/// The load of one service.
#[derive(Clone, Debug, Default)]
pub struct LoadMap {
    /// Decaying number of requests by key; empty before the first report.
    counts: Vec<f64>,
    /// The same for about the last second.
    recent: Vec<f64>,
    speeds: BTreeMap<BackEndName, Speed>,
    decayed_at: Timestamp,
}

impl LoadMap {
    /// Adds a router's report.
    pub fn add(&mut self, now: Timestamp, report: &LoadReport) {
        self.decay(now);
        if !report.requests.is_empty() {
            self.counts.resize(KEYS, 0.0);
            self.recent.resize(KEYS, 0.0);
        }
        for counted in &report.requests {
            let index = usize::from(counted.key.0);
            for counts in [&mut self.counts, &mut self.recent] {
                if let Some(key) = counts.get_mut(index) {
                    *key += f64::from(counted.count);
                }
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

    /// Decays all counts to `now`.
    fn decay(&mut self, now: Timestamp) {
        let age = now.since(self.decayed_at).as_secs_f64();
        self.decayed_at = now;
        for (counts, half_life) in [
            (&mut self.counts, HALF_LIFE),
            (&mut self.recent, RECENT_HALF_LIFE),
        ] {
            let kept = (-age / half_life.as_secs_f64()).exp2();
            for key in counts {
                *key *= kept;
            }
        }
        let kept = (-age / SPEED_HALF_LIFE.as_secs_f64()).exp2();
        for speed in self.speeds.values_mut() {
            speed.count *= kept;
            speed.work_s *= kept;
        }
    }

    /// Replaces the counts of each cell by the recent ones where these differ
    /// too much to be random variation, so that keys that suddenly become busy
    /// or quiet are recognized at once.
    pub fn apply_sudden_changes(&mut self) {
        let usual: f64 = self.counts.iter().sum();
        let recent: f64 = self.recent.iter().sum();
        if recent < MIN_RECENT_REQUESTS || usual < MIN_REQUESTS {
            return;
        }
        let scale = usual / recent;
        let cells = self
            .counts
            .chunks_mut(CELL_KEYS)
            .zip(self.recent.chunks(CELL_KEYS));
        for (cell, recent_cell) in cells {
            let expected = cell.iter().sum::<f64>() / scale;
            let seen: f64 = recent_cell.iter().sum();
            let deviation = (expected + 1.0).sqrt();
            if (seen - expected).abs() <= SUDDEN_CHANGE_DEVIATIONS * deviation {
                continue;
            }
            for (key, recent) in cell.iter_mut().zip(recent_cell) {
                *key = recent * scale;
            }
        }
    }

    /// Returns whether enough requests were seen to rely on the counts.
    pub fn has_enough_requests(&self) -> bool {
        self.counts.iter().sum::<f64>() >= MIN_REQUESTS
    }

    /// Returns the recent rate of requests for all keys together, per second.
    pub fn requests_per_s(&self) -> f64 {
        let counted: f64 = self.counts.iter().sum();
        counted * std::f64::consts::LN_2 / HALF_LIFE.as_secs_f64()
    }

    /// Returns how fast a back end is relative to the others, or 1 if this is
    /// unknown.
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
        if total.count < SPEED_PRIOR_SAMPLES || total.work_s <= 0.0 {
            return 1.0;
        }
        let usual = total.work_s / total.count;
        let work =
            (speed.work_s + SPEED_PRIOR_SAMPLES * usual) / (speed.count + SPEED_PRIOR_SAMPLES);
        (usual / work).clamp(1.0 / MAX_SPEED_RATIO, MAX_SPEED_RATIO)
    }

    /// Returns the weights by which keys are distributed.
    pub fn key_weights(&self) -> KeyWeights {
        let total: f64 = self.counts.iter().sum();
        let request_weight = if total >= MIN_REQUESTS {
            (1.0 - UNIFORM_WEIGHT) / total
        } else {
            0.0
        };
        let uniform_weight = (1.0 - request_weight * total) / KEYS as f64;
        let mut prefix_sums = Vec::new();
        if request_weight > 0.0 {
            prefix_sums.reserve(KEYS + 1);
            let mut sum = 0.0;
            prefix_sums.push(sum);
            for requests in &self.counts {
                sum += requests * request_weight + uniform_weight;
                prefix_sums.push(sum);
            }
        }
        let requests = if prefix_sums.is_empty() {
            None
        } else {
            Some(total)
        };
        KeyWeights {
            prefix_sums,
            requests,
        }
    }
}

/// Weights of ranges of keys. All keys together weigh 1.
#[derive(Clone, Debug)]
pub struct KeyWeights {
    /// Total weight of all keys before each key; empty if all keys weigh the
    /// same.
    prefix_sums: Vec<f64>,
    /// Number of requests that the weights are based on; `None` if all keys
    /// weigh the same.
    requests: Option<f64>,
}

impl KeyWeights {
    /// Returns the weight of all keys below `key`, which may be one past the
    /// last.
    fn weight_below(&self, key: u32) -> f64 {
        if self.prefix_sums.is_empty() {
            return f64::from(key) / KEYS as f64;
        }
        self.prefix_sums.get(key as usize).copied().unwrap_or(1.0)
    }

    /// Returns the relative standard deviation of the measured weight of keys
    /// that weigh `weight`, because requests arrive at random.
    pub fn relative_noise(&self, weight: f64) -> f64 {
        match self.requests {
            Some(requests) => 1.0 / (requests * weight).max(f64::MIN_POSITIVE).sqrt(),
            None => 0.0,
        }
    }

    /// Returns the weight of a range.
    pub fn weight_of(&self, range: KeyRange) -> f64 {
        self.weight_below(u32::from(range.last.0) + 1) - self.weight_below(u32::from(range.first.0))
    }

    /// Returns how many of the first keys of `range` together weigh `wanted`,
    /// at least 1 and at most all.
    pub fn key_count_for(&self, range: KeyRange, wanted: f64) -> u32 {
        let first = u32::from(range.first.0);
        let base = self.weight_below(first);
        let mut low = 1;
        let mut high = range.len();
        while low < high {
            let middle = low + (high - low) / 2;
            if self.weight_below(first + middle) - base >= wanted {
                high = middle;
            } else {
                low = middle + 1;
            }
        }
        low
    }
}
