//! Backoff between failing calls.

use std::time::Duration;

/// Exponential backoff up to a longest pause.
#[derive(Clone, Copy, Debug)]
pub struct Backoff {
    first: Duration,
    max: Duration,
    growth: u32,
    next: Duration,
}

impl Backoff {
    /// Creates pauses that start with `first` and grow by the factor `growth`
    /// up to `max`.
    pub fn new(first: Duration, max: Duration, growth: u32) -> Self {
        Backoff {
            first,
            max,
            growth,
            next: first,
        }
    }

    /// The first and shortest pause.
    pub fn first(&self) -> Duration {
        self.first
    }

    /// Returns the pause after one more failure.
    pub fn after_failure(&mut self) -> Duration {
        let pause = self.next;
        self.next = (pause * self.growth).min(self.max);
        pause
    }

    /// Starts again with the shortest pause after a successful call.
    pub fn reset(&mut self) {
        self.next = self.first;
    }
}
