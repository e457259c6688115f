//! Ways in which the stand-in fails on command.

use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};

/// A command that sets, counts or causes a fault. As JSON it is what
/// `POST /lab/faults` takes, for example `{"down": true}`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum FaultCommand {
    /// While true, every connection is closed without an answer and no watch
    /// lives.
    Down(bool),
    /// Every request waits this many milliseconds first; 0 ends it.
    Slow(u64),
    /// This many of the next writes take effect without their answer being
    /// sent.
    DropAnswers(u32),
    /// Writes take effect without answer with a probability, by a seed.
    DropAnswersAtRandom {
        /// From 0 to 1.
        probability: f64,
        /// Equal seeds give equal choices.
        seed: u64,
    },
    /// This many of the next writes are lost before they take effect.
    LoseWrites(u32),
    /// The connections of this many of the next writes are closed at once,
    /// and the writes take effect only after `milliseconds`.
    DelayWrites {
        /// Writes.
        count: u32,
        /// Delay of each.
        milliseconds: u64,
    },
    /// Every running watch ends; abruptly, or as if its time were over.
    CutWatches {
        /// Within the answer's body rather than at its end.
        abruptly: bool,
    },
    /// Changes up to now are forgotten: watches from earlier get 410.
    Compact,
    /// The store goes back to an earlier version; see
    /// [`super::store::ObjectStore::restore`].
    Restore {
        /// Version to go back to.
        version: u64,
        /// Distance to the highest version there was, from which versions go
        /// on; without it they are used a second time.
        #[serde(default)]
        bump: Option<u64>,
    },
    /// Watches above this number get 429; `null` ends it.
    LimitWatches(Option<u32>),
    /// This many of the next reads get 429.
    RefuseReads(u32),
    /// Ends every fault that lasts.
    Clear,
}

/// What becomes of one write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteFate {
    /// It takes effect and is answered.
    Answered,
    /// It takes effect and is not answered.
    AnswerDropped,
    /// It neither takes effect nor is answered.
    Lost,
    /// It takes effect later and is not answered.
    Delayed(Duration),
}

/// The faults in force.
#[derive(Clone, Debug, Default)]
pub struct Faults {
    /// Nothing is answered.
    pub down: bool,
    /// Wait before each request.
    pub slow: Duration,
    /// Most watches at once.
    pub most_watches: Option<u32>,
    refuse_reads: u32,
    drop_answers: u32,
    lose_writes: u32,
    delay_writes: u32,
    delay: Duration,
    random_drops: Option<RandomDrops>,
}

#[derive(Clone, Debug)]
struct RandomDrops {
    probability: f64,
    random: ChaCha8Rng,
}

impl Faults {
    /// Takes the part of a command that lasts. Those that happen at once
    /// (cut, compact, restore) are the server's.
    pub fn set(&mut self, command: &FaultCommand) {
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
            FaultCommand::LimitWatches(most) => self.most_watches = *most,
            FaultCommand::RefuseReads(count) => self.refuse_reads = *count,
            FaultCommand::Clear => *self = Faults::default(),
            FaultCommand::CutWatches { .. }
            | FaultCommand::Compact
            | FaultCommand::Restore { .. } => {}
        }
    }

    /// Decides the fate of the next write.
    pub fn write_fate(&mut self) -> WriteFate {
        if take_one(&mut self.lose_writes) {
            WriteFate::Lost
        } else if take_one(&mut self.delay_writes) {
            WriteFate::Delayed(self.delay)
        } else if take_one(&mut self.drop_answers) || self.drops_at_random() {
            WriteFate::AnswerDropped
        } else {
            WriteFate::Answered
        }
    }

    /// Whether the next read is refused.
    pub fn refuses_read(&mut self) -> bool {
        take_one(&mut self.refuse_reads)
    }

    fn drops_at_random(&mut self) -> bool {
        match &mut self.random_drops {
            Some(drops) => drops.random.random_bool(drops.probability),
            None => false,
        }
    }
}

fn take_one(count: &mut u32) -> bool {
    let left = count.checked_sub(1);
    *count = left.unwrap_or_default();
    left.is_some()
}
