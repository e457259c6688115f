//! Faults that can be injected into the object API.

use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};

/// A command that injects or clears a fault. `POST /lab/faults` accepts it as
/// JSON, for example `{"down": true}`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum FaultCommand {
    /// While true, every connection is closed without a response and every
    /// watch ends.
    Down(bool),
    /// Delays every request by this many milliseconds; 0 ends the fault.
    Slow(u64),
    /// The next writes, this many, take effect but get no response.
    DropAnswers(u32),
    /// Each write takes effect but gets no response with a given
    /// probability.
    DropAnswersAtRandom {
        /// Probability from 0 to 1.
        probability: f64,
        /// Seed of the random choices.
        seed: u64,
    },
    /// The next writes, this many, are lost before they take effect.
    LoseWrites(u32),
    /// The connections of the next `count` writes are closed at once, and the
    /// writes take effect only after `milliseconds`.
    DelayWrites {
        /// Number of writes.
        count: u32,
        /// Delay of each write.
        milliseconds: u64,
    },
    /// Ends every running watch, either abruptly or as if its timeout had
    /// passed.
    CutWatches {
        /// True resets the connection within the body; false ends the body
        /// regularly.
        abruptly: bool,
    },
    /// Compacts all changes up to now: watches from earlier versions get 410.
    Compact,
    /// Restores an earlier version of the store; see
    /// [`super::store::ObjectStore::restore`].
    Restore {
        /// Version to restore.
        version: u64,
        /// Gap above the highest version so far at which numbering continues;
        /// without it, version numbers are reused.
        #[serde(default)]
        bump: Option<u64>,
    },
    /// Watches above this number get 429; `null` removes the limit.
    LimitWatches(Option<u32>),
    /// The next reads, this many, get 429.
    RefuseReads(u32),
    /// Clears every fault in force.
    Clear,
}

/// How the stand-in treats one write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteOutcome {
    /// The write takes effect and gets a response.
    Answered,
    /// The write takes effect but gets no response.
    ResponseDropped,
    /// The write takes no effect and gets no response.
    Lost,
    /// The write takes effect after this delay and gets no response.
    Delayed(Duration),
}

/// The faults in force.
#[derive(Clone, Debug, Default)]
pub struct Faults {
    /// True while no request gets a response.
    pub down: bool,
    /// Delay before each request.
    pub slow: Duration,
    /// Maximum number of concurrent watches, if limited.
    pub max_watches: Option<u32>,
    refuse_reads: u32,
    drop_answers: u32,
    lose_writes: u32,
    delay_writes: u32,
    delay: Duration,
    random_drops: Option<RandomDrops>,
}

/// State of the fault that drops responses at random.
#[derive(Clone, Debug)]
struct RandomDrops {
    probability: f64,
    random: ChaCha8Rng,
}

impl Faults {
    /// Applies a command that stays in force. The commands that act at once
    /// (cut, compact, restore) are carried out by the server.
    pub fn apply(&mut self, command: &FaultCommand) {
        match command {
            FaultCommand::Down(down) => self.down = *down,
            FaultCommand::Slow(milliseconds) => self.slow = Duration::from_millis(*milliseconds),
            FaultCommand::DropAnswers(count) => self.drop_answers = *count,
            FaultCommand::DropAnswersAtRandom { probability, seed } => {
                self.random_drops = Some(RandomDrops {
                    probability: probability.clamp(0.0, 1.0),
                    random: ChaCha8Rng::seed_from_u64(*seed),
                });
            }
            FaultCommand::LoseWrites(count) => self.lose_writes = *count,
            FaultCommand::DelayWrites {
                count,
                milliseconds,
            } => {
                self.delay_writes = *count;
                self.delay = Duration::from_millis(*milliseconds);
            }
            FaultCommand::LimitWatches(most) => self.max_watches = *most,
            FaultCommand::RefuseReads(count) => self.refuse_reads = *count,
            FaultCommand::Clear => *self = Faults::default(),
            FaultCommand::CutWatches { .. }
            | FaultCommand::Compact
            | FaultCommand::Restore { .. } => {}
        }
    }

    /// Decides how the next write is treated, and counts it.
    pub fn next_write_outcome(&mut self) -> WriteOutcome {
        if take_one(&mut self.lose_writes) {
            WriteOutcome::Lost
        } else if take_one(&mut self.delay_writes) {
            WriteOutcome::Delayed(self.delay)
        } else if take_one(&mut self.drop_answers) || self.drops_at_random() {
            WriteOutcome::ResponseDropped
        } else {
            WriteOutcome::Answered
        }
    }

    /// Returns whether the next read gets 429, and counts it.
    pub fn next_read_rejected(&mut self) -> bool {
        take_one(&mut self.refuse_reads)
    }

    fn drops_at_random(&mut self) -> bool {
        match &mut self.random_drops {
            Some(drops) => drops.random.random_bool(drops.probability),
            None => false,
        }
    }
}

/// Decrements a count and returns true, or returns false if it is 0.
fn take_one(count: &mut u32) -> bool {
    let left = count.checked_sub(1);
    *count = left.unwrap_or_default();
    left.is_some()
}
