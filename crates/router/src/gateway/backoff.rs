//! Pauses between calls that fail.

use std::time::Duration;

/// Ever longer pauses, up to a longest one.
#[derive(Clone, Copy, Debug)]
pub struct Backoff {
    first: Duration,
    max: Duration,
    growth: u32,
    next: Duration,
}

impl Backoff {
    /// Pauses that begin with `first`; each is `growth` times the one before,
    /// up to `max`.
    pub fn new(first: Duration, max: Duration, growth: u32) -> Self {
        Backoff {
            first,
            max,
            growth,
            next: first,
        }
    }

    /// The shortest pause.
    pub fn first(&self) -> Duration {
        self.first
    }

    /// The pause after one more failure.
    pub fn after_failure(&mut self) -> Duration {
        let pause = self.next;
        self.next = (pause * self.growth).min(self.max);
        pause
    }

    /// A call succeeded.
    pub fn reset(&mut self) {
        self.next = self.first;
    }
}
