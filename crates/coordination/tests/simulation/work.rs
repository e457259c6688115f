//! Work of a back end on its keys, which goes on after the keys were released.

use std::time::Duration;

use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use threadledge_types::Timestamp;
use threadledge_types::deployment::{KeyRange, ShardKey};

use super::back_end::ModelBackEnd;

const USUAL_WORK_MS: u32 = 300;
const LONG_WORK_MS: u32 = 4_000;
/// One in so many requests takes long.
const LONG_WORK_SHARE: u32 = 6;

/// One request that a back end works on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Work {
    pub key: ShardKey,
    pub until: Timestamp,
    /// End of the last grant of the key that arrived in time.
    pub lease: Timestamp,
}

/// All requests that a back end works on.
#[derive(Debug, Default)]
pub struct Workload {
    running: Vec<Work>,
}

impl Workload {
    pub fn expire(&mut self, now: Timestamp) {
        self.running.retain(|work| work.until > now);
    }

    pub fn clear(&mut self) {
        self.running.clear();
    }

    pub fn extend_lease(&mut self, range: KeyRange, until: Timestamp) {
        for work in &mut self.running {
            if range.contains(work.key) {
                work.lease = work.lease.max(until);
            }
        }
    }

    /// Returns when the work on keys of `range` ends.
    pub fn end(&self, range: KeyRange) -> Option<Timestamp> {
        let on_range = self.running.iter().filter(|work| range.contains(work.key));
        on_range.map(|work| work.until).max()
    }

    /// Returns work on a key of `range` whose lease has not run out.
    pub fn under_lease(&self, now: Timestamp, range: KeyRange) -> Option<&Work> {
        let mut running = self.running.iter();
        running.find(|work| range.contains(work.key) && now < work.until && now < work.lease)
    }
}

impl ModelBackEnd {
    /// Begins to work on a random key that it holds, with a probability in
    /// thousandths.
    pub fn begin_work(&mut self, now: Timestamp, thousandths: u32, random: &mut ChaCha8Rng) {
        let held: Vec<_> = self.holds.iter().filter(|hold| !hold.late).collect();
        if held.is_empty() || random.random_range(0..1_000) >= thousandths {
            return;
        }
        let hold = held[random.random_range(0..held.len())];
        let key = random.random_range(hold.range.first.0..=hold.range.last.0);
        let longest = match random.random_range(0..LONG_WORK_SHARE) {
            0 => LONG_WORK_MS,
            _ => USUAL_WORK_MS,
        };
        let time = Duration::from_millis(u64::from(random.random_range(20..longest)));
        self.work.running.push(Work {
            key: ShardKey(key),
            until: now + time,
            lease: hold.until,
        });
    }
}
