//! Key popularity: a Zipf distribution whose hottest keys change over time.

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
    /// Exponent of the Zipf distribution; with 0, all keys are equally
    /// popular.
    pub exponent: f64,
    /// Number of hottest keys that are replaced at each shift.
    #[serde(default)]
    pub hot_keys: u32,
    /// Time between shifts, in milliseconds; 0 means never.
    #[serde(default)]
    pub shift_ms: u64,
}

/// Draws keys from a seeded Zipf distribution.
#[derive(Debug)]
pub struct KeyPopularity {
    settings: PopularitySettings,
    cumulative: Vec<f64>,
    random: ChaCha8Rng,
    seed: u64,
}

impl KeyPopularity {
    /// Creates a sequence that depends only on the settings, the seed and the
    /// times.
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

    /// Draws a key for a request intended `since_start` after the load began.
    pub fn draw(&mut self, since_start: Timestamp) -> String {
        let rank = self.draw_rank();
        self.key_at(rank, since_start)
    }

    /// Returns the key of a popularity rank (0 is the hottest) at a time of the
    /// run.
    pub fn key_at(&self, rank: u32, since_start: Timestamp) -> String {
        let shift = self.shift_number(since_start);
        let number = if rank < self.settings.hot_keys && shift > 0 {
            self.shifted_key(rank, shift)
        } else {
            rank
        };
        format!("key-{number:08}")
    }

    /// Draws a popularity rank by inverting the cumulative distribution.
    fn draw_rank(&mut self) -> u32 {
        let total = self.cumulative.last().copied().unwrap_or(1.0);
        let drawn = self.random.random::<f64>() * total;
        let index = self.cumulative.partition_point(|sum| *sum < drawn);
        u32::try_from(index.min(self.cumulative.len() - 1)).unwrap_or(0)
    }

    /// Returns the number of shifts so far.
    fn shift_number(&self, since_start: Timestamp) -> u64 {
        match self.settings.shift_ms {
            0 => 0,
            interval => since_start.as_millis() / interval,
        }
    }

    /// Returns a pseudo-random key number for a hot rank, constant within one
    /// shift.
    fn shifted_key(&self, rank: u32, shift: u64) -> u32 {
        let mut bytes = Vec::with_capacity(20);
        bytes.extend(self.seed.to_le_bytes());
        bytes.extend(shift.to_le_bytes());
        bytes.extend(rank.to_le_bytes());
        let hash = xxhash_rust::xxh3::xxh3_64(&bytes);
        let number = hash % u64::from(self.settings.keys.max(1));
        u32::try_from(number).unwrap_or(0)
    }
}
