//! Token bucket that bounds retries and hedges by the number of first
//! attempts, so that they cannot amplify an overload.

/// Hundredths of a token, so that deposits stay whole numbers.
const TOKEN: u64 = 100;

/// Tokens for extra attempts. There is no refill by time: over any run the
/// extra attempts are at most `reserve + percent/100 × first attempts`.
#[derive(Clone, Debug)]
pub struct Budget {
    hundredths: u64,
    deposit: u64,
    capacity: u64,
}

impl Budget {
    /// A bucket that holds `reserve` tokens at most and at the start, and
    /// gains `percent` hundredths of a token with each first attempt.
    pub fn new(percent: u32, reserve: u32) -> Self {
        let capacity = u64::from(reserve) * TOKEN;
        Budget {
            hundredths: capacity,
            deposit: u64::from(percent),
            capacity,
        }
    }

    /// A first attempt was made.
    pub fn deposit(&mut self) {
        self.hundredths = (self.hundredths + self.deposit).min(self.capacity);
    }

    /// Takes a token for one extra attempt, if there is one.
    pub fn withdraw(&mut self) -> bool {
        if self.hundredths < TOKEN {
            return false;
        }
        self.hundredths -= TOKEN;
        true
    }

    /// Whole tokens left.
    pub fn available(&self) -> u64 {
        self.hundredths / TOKEN
    }
}
