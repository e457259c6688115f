//! Which keys are asked for: a Zipf law whose hottest keys change over time.

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};
use threadledge_types::Timestamp;

/// Popularity of the keys of one kind of request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct PopularitySettings {
    /// Number of keys in use.
    pub keys: u32,
    /// Exponent of the Zipf law; 0 makes all keys equal.
    pub exponent: f64,
    /// Number of hottest keys that change at each shift.
    #[serde(default)]
    pub hot_keys: u32,
    /// Time between shifts, in milliseconds; 0 means never.
    #[serde(default)]
    pub shift_ms: u64,
}

/// Draws keys from a seed.
#[derive(Debug)]
pub struct KeyPopularity {
    settings: PopularitySettings,
    cumulative: Vec<f64>,
    random: ChaCha8Rng,
    seed: u64,
}

impl KeyPopularity {
    /// A sequence that depends on the settings, the seed and the times only.
    pub fn new(settings: PopularitySettings, seed: u64) -> Self {
        let mut cumulative = Vec::with_capacity(settings.keys as usize);
        let mut total = 0.0;
        for rank in 1..=settings.keys.max(1) {
            total += f64::from(rank).powf(-settings.exponent);
            cumulative.push(total);
        }
        KeyPopularity {
            settings,
            cumulative,
            random: ChaCha8Rng::seed_from_u64(seed),
            seed,
        }
    }

    /// Draws a key for a request intended `since_start` after the first.
    pub fn draw(&mut self, since_start: Timestamp) -> String {
        let rank = self.draw_rank();
        self.key_at(rank, since_start)
    }

    /// Key that has `rank` (0 is the hottest) at a time of the run.
    pub fn key_at(&self, rank: u32, since_start: Timestamp) -> String {
        let shift = self.shift_number(since_start);
        let number = if rank < self.settings.hot_keys && shift > 0 {
            self.scattered(rank, shift)
        } else {
            rank
        };
        format!("key-{number:08}")
    }

    fn draw_rank(&mut self) -> u32 {
        let total = self.cumulative.last().copied().unwrap_or(1.0);
        let drawn = self.random.random::<f64>() * total;
        let index = self.cumulative.partition_point(|sum| *sum < drawn);
        u32::try_from(index.min(self.cumulative.len() - 1)).unwrap_or(0)
    }

    fn shift_number(&self, since_start: Timestamp) -> u64 {
        match self.settings.shift_ms {
            0 => 0,
            interval => since_start.as_millis() / interval,
        }
    }

    /// Another key for a hot rank, the same for every draw of one shift.
    fn scattered(&self, rank: u32, shift: u64) -> u32 {
        let mut bytes = Vec::with_capacity(20);
        bytes.extend(self.seed.to_le_bytes());
        bytes.extend(shift.to_le_bytes());
        bytes.extend(rank.to_le_bytes());
        let hash = xxhash_rust::xxh3::xxh3_64(&bytes);
        let number = hash % u64::from(self.settings.keys.max(1));
        u32::try_from(number).unwrap_or(0)
    }
}
