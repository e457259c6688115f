//! Second copies of answers: a faulty back end sends some of its answers twice,
//! the second one at once or in place of the next answer due on the connection.

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Time at which the second copy of an answer is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CopyTiming {
    /// Right after the first.
    AtOnce,
    /// When the next request of the connection arrives, ahead of its answer.
    Late,
}

/// Draws the answers that a back end sends twice.
#[derive(Clone, Debug)]
pub struct Doubling {
    timing: CopyTiming,
    percent: u32,
    rng: ChaCha8Rng,
}

impl Doubling {
    /// Sends `percent` of the answers twice, drawn from `seed`.
    pub fn new(timing: CopyTiming, percent: u32, seed: u64) -> Self {
        let rng = ChaCha8Rng::seed_from_u64(seed);
        Doubling {
            timing,
            percent,
            rng,
        }
    }

    /// Sends no answer twice.
    pub fn none() -> Self {
        Doubling::new(CopyTiming::AtOnce, 0, 0)
    }

    /// Returns when the second copy of the next answer is sent, if it has one.
    pub(super) fn draw(&mut self) -> Option<CopyTiming> {
        (self.rng.random_range(0..100) < self.percent).then_some(self.timing)
    }
}

/// The answers of one connection.
#[derive(Debug, Default)]
pub(super) struct AnswerCopies {
    /// Bytes of the answer that is under way.
    current: Vec<u8>,
    /// Copies that wait for the next request.
    late: Vec<u8>,
    /// The length of an answer is unknown, so that none can be copied any more.
    unframed: bool,
}

impl AnswerCopies {
    /// Takes bytes that were sent to the client. Returns the copies that follow
    /// at once.
    pub(super) fn pass(
        &mut self,
        bytes: &[u8],
        mut draw: impl FnMut() -> Option<CopyTiming>,
    ) -> Vec<u8> {
        let mut at_once = Vec::new();
        if self.unframed {
            return at_once;
        }
        self.current.extend_from_slice(bytes);
        loop {
            let length = match answer_length(&self.current) {
                AnswerLength::Incomplete => break,
                AnswerLength::Unknown => {
                    self.unframed = true;
                    break;
                }
                AnswerLength::Whole(length) if length > self.current.len() => break,
                AnswerLength::Whole(length) => length,
            };
            let answer: Vec<u8> = self.current.drain(..length).collect();
            match draw() {
                None => {}
                Some(CopyTiming::AtOnce) => at_once.extend_from_slice(&answer),
                Some(CopyTiming::Late) => self.late.extend_from_slice(&answer),
            }
        }
        at_once
    }

    /// Returns the copies that go ahead of the answer to a request that arrives
    /// now.
    pub(super) fn take_late(&mut self) -> Vec<u8> {
        std::mem::take(&mut self.late)
    }
}

/// Length of the answer at the start of some bytes.
enum AnswerLength {
    /// The end of its head has not arrived.
    Incomplete,
    /// Its head gives no length.
    Unknown,
    /// Number of bytes of head and body.
    Whole(usize),
}

fn answer_length(bytes: &[u8]) -> AnswerLength {
    const HEAD_END: &[u8] = b"\r\n\r\n";
    let mut windows = bytes.windows(HEAD_END.len());
    let Some(end) = windows.position(|window| window == HEAD_END) else {
        return AnswerLength::Incomplete;
    };
    let head = String::from_utf8_lossy(&bytes[..end]).to_ascii_lowercase();
    for line in head.lines() {
        let Some(length) = line.strip_prefix("content-length:") else {
            continue;
        };
        return match length.trim().parse::<usize>() {
            Ok(length) => AnswerLength::Whole(end + HEAD_END.len() + length),
            Err(_) => AnswerLength::Unknown,
        };
    }
    AnswerLength::Unknown
}
