//! The retry budget of one service, as one router keeps its part of it.
//!
//! All routers together may repeat a share of the requests of any window, and
//! a little besides. Each keeps to the share of its own requests and to a part
//! of what is allowed besides, so that they need not ask each other.

use std::time::Duration;

use threadledge_types::Timestamp;

/// Parts into which the window is divided.
const WINDOW_PARTS: u32 = 20;
/// Parts that are counted: one more than the window has, so that every window
/// that slides is covered whole.
const PARTS: usize = WINDOW_PARTS as usize + 1;

#[derive(Clone, Copy, Debug, Default)]
struct Part {
    requests: u32,
    repeats: u32,
}

/// Requests and repeats of the last window.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    ratio: f64,
    slack: u32,
    part_length: Duration,
    parts: [Part; PARTS],
    /// Number of the newest part since the origin of time.
    newest: u64,
}

impl RetryBudget {
    /// A budget of `ratio` repeats for each request and `slack` besides,
    /// within each `window`.
    pub fn new(ratio: f64, slack: u32, window: Duration) -> Self {
        RetryBudget {
            ratio,
            slack,
            part_length: window / WINDOW_PARTS,
            parts: [Part::default(); PARTS],
            newest: 0,
        }
    }

    /// Changes what is allowed besides.
    pub fn set_slack(&mut self, slack: u32) {
        self.slack = slack;
    }

    /// Counts a request.
    pub fn count_request(&mut self, now: Timestamp) {
        self.current(now).requests += 1;
    }

    /// Takes the right to one repeat.
    pub fn take(&mut self, now: Timestamp) -> bool {
        self.current(now);
        let requests: u32 = self.parts.iter().map(|part| part.requests).sum();
        let repeats: u32 = self.parts.iter().map(|part| part.repeats).sum();
        let allowed = f64::from(requests) * self.ratio + f64::from(self.slack);
        if f64::from(repeats) + 1.0 > allowed {
            return false;
        }
        self.current(now).repeats += 1;
        true
    }

    /// Gives the right to a repeat back that never left.
    pub fn give_back(&mut self, now: Timestamp) {
        let part = self.current(now);
        part.repeats = part.repeats.saturating_sub(1);
    }

    fn current(&mut self, now: Timestamp) -> &mut Part {
        let length = u64::try_from(self.part_length.as_micros())
            .unwrap_or(1)
            .max(1);
        let number = now.as_micros() / length;
        let passed = number.saturating_sub(self.newest).min(PARTS as u64);
        for step in 1..=passed {
            let index = (self.newest + step) % PARTS as u64;
            self.parts[index as usize] = Part::default();
        }
        if passed == PARTS as u64 {
            self.parts = [Part::default(); PARTS];
        }
        self.newest = self.newest.max(number);
        &mut self.parts[(self.newest % PARTS as u64) as usize]
    }
}
