//! One router's share of the retries that all routers may make beside those
//! that their requests allow.
//!
//! A share is earned with time and begins empty: what a process used is
//! forgotten with it, and its successor must not have it again. So one machine
//! gets no more than its share in any window, however often it starts. It ends
//! by itself once nobody confirms how many routers share: others that lost
//! sight of this one divide the whole among fewer.

use std::time::Duration;

use threadledge_types::Timestamp;

/// Part of the share that may be saved up. The rest is earned within a window,
/// so that a window gets both at the most.
const SAVED_PART: f64 = 0.5;

/// Retries that a router has earned by time.
#[derive(Clone, Debug)]
pub(crate) struct SlackShare {
    /// Retries in any window.
    share: f64,
    /// When the share ends; `None`: never.
    until: Option<Timestamp>,
    window: Duration,
    saved: f64,
    settled: Timestamp,
}

impl SlackShare {
    /// A share of nothing yet.
    pub(crate) fn new(now: Timestamp, window: Duration) -> Self {
        SlackShare {
            share: 0.0,
            until: None,
            window,
            saved: 0.0,
            settled: now,
        }
    }

    /// Retries in any window.
    pub(crate) fn share(&self, now: Timestamp) -> f64 {
        if self.has_ended(now) { 0.0 } else { self.share }
    }

    /// From now on it is this share, until then; `None`: for good.
    pub(crate) fn set_share(&mut self, now: Timestamp, share: f64, until: Option<Timestamp>) {
        self.settle(now);
        self.share = share;
        self.until = until;
        self.saved = self.saved.min(self.most_saved());
    }

    /// Takes so much of what was earned, if there is as much.
    pub(crate) fn take(&mut self, now: Timestamp, retries: f64) -> bool {
        self.settle(now);
        if self.saved < retries {
            return false;
        }
        self.saved -= retries;
        true
    }

    /// Gives back what was taken at `taken` and not used, less what was earned
    /// since: had it not been taken, that might have found no room.
    pub(crate) fn give_back(&mut self, now: Timestamp, retries: f64, taken: Timestamp) {
        self.settle(now);
        let left = (retries - self.earned_in(now.since(taken))).max(0.0);
        self.saved = (self.saved + left).min(self.most_saved());
    }

    fn most_saved(&self) -> f64 {
        self.share * SAVED_PART
    }

    fn has_ended(&self, now: Timestamp) -> bool {
        self.until.is_some_and(|until| now >= until)
    }

    fn settle(&mut self, now: Timestamp) {
        let earned = self.earned_in(now.since(self.settled));
        self.saved = (self.saved + earned).min(self.most_saved());
        if self.has_ended(now) {
            self.saved = 0.0;
        }
        self.settled = self.settled.max(now);
    }

    fn earned_in(&self, time: Duration) -> f64 {
        let windows = time.as_secs_f64() / self.window.as_secs_f64();
        self.share * (1.0 - SAVED_PART) * windows
    }
}
