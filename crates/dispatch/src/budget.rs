//! The retry budget of one service, as one router keeps its part of it.
//!
//! All routers together may repeat a share of the requests of any window, and
//! a little besides. Each keeps to the share of its own requests and to a part
//! of what is allowed besides, so that they need not ask each other.

use std::time::Duration;

use threadledge_types::Timestamp;

use crate::counters::RetryCounts;
use crate::slack::SlackShare;

/// Age from which a retry that is given back counts as late.
const LATE: Duration = Duration::from_secs(1);
/// Time between two denials that are told.
const TELL_EVERY: Duration = Duration::from_secs(1);
/// Parts into which the window is divided.
const WINDOW_PARTS: u32 = 20;
/// Parts that are counted: one more than the window has, so that every window
/// that slides is covered whole.
const PARTS: usize = WINDOW_PARTS as usize + 1;

#[derive(Clone, Copy, Debug, Default)]
struct Part {
    requests: u32,
    retries: u32,
    /// Of the retries, what the requests of the window paid for.
    of_requests: f64,
}

/// The right to one retry, and what pays for it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Permit {
    taken: Timestamp,
    /// The part that the requests of the window pay for.
    of_requests: f64,
    /// The rest.
    of_slack: f64,
}

/// Requests and retries of the last window.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    ratio: f64,
    slack: SlackShare,
    part_length: Duration,
    parts: [Part; PARTS],
    /// Number of the newest part since the origin of time.
    newest: u64,
    counts: RetryCounts,
    /// Denials before the one that was told last, and when that was.
    told: Option<(u64, Timestamp)>,
}

/// What a budget allowed and what was used of it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BudgetUsage {
    /// Requests of the window.
    pub requests: u32,
    /// Retries of the window.
    pub retries: u32,
    /// Retries allowed in a window beside those that the requests allow.
    pub slack: f64,
}

impl RetryBudget {
    /// A budget of `ratio` retries for each request within each `window`,
    /// and of no slack yet.
    pub fn new(now: Timestamp, ratio: f64, window: Duration) -> Self {
        RetryBudget {
            ratio,
            slack: SlackShare::new(now, window),
            part_length: window / WINDOW_PARTS,
            parts: [Part::default(); PARTS],
            newest: 0,
            counts: RetryCounts::default(),
            told: None,
        }
    }

    /// Changes how many retries are allowed in a window beside those that the
    /// requests allow, until then; `None`: for good.
    pub fn set_slack(&mut self, now: Timestamp, slack: f64, until: Option<Timestamp>) {
        self.slack.set_share(now, slack, until);
    }

    /// Retries allowed in a window beside those that the requests allow.
    pub fn slack(&self, now: Timestamp) -> f64 {
        self.slack.share(now)
    }

    /// Counts a request.
    pub fn count_request(&mut self, now: Timestamp) {
        self.current(now).requests += 1;
    }

    /// Takes the right to one retry.
    pub fn take(&mut self, now: Timestamp) -> Option<Permit> {
        let permit = self.permit(now);
        if !self.slack.take(now, permit.of_slack) {
            self.counts.denied += 1;
            return None;
        }
        let part = self.current(now);
        part.retries += 1;
        part.of_requests += permit.of_requests;
        Some(permit)
    }

    /// What would pay for a retry now: the requests of the window as far as
    /// they go.
    fn permit(&mut self, now: Timestamp) -> Permit {
        let requests = self.usage(now).requests;
        let paid: f64 = self.parts.iter().map(|part| part.of_requests).sum();
        let of_requests = (f64::from(requests) * self.ratio - paid).clamp(0.0, 1.0);
        Permit {
            taken: now,
            of_requests,
            of_slack: 1.0 - of_requests,
        }
    }

    /// What is used of it.
    pub fn usage(&mut self, now: Timestamp) -> BudgetUsage {
        self.current(now);
        BudgetUsage {
            requests: self.parts.iter().map(|part| part.requests).sum(),
            retries: self.parts.iter().map(|part| part.retries).sum(),
            slack: self.slack(now),
        }
    }

    /// Counts a retry that leaves for a back end.
    pub fn count_sent(&mut self) {
        self.counts.sent += 1;
    }

    /// Counts since the start.
    pub fn counts(&self) -> RetryCounts {
        self.counts
    }

    /// Denials that have not been told; `None` soon after others were.
    pub fn take_unreported_denials(&mut self, now: Timestamp) -> Option<u64> {
        let before = match self.told {
            Some((_, at)) if now.since(at) < TELL_EVERY => return None,
            Some((before, _)) => before,
            None => 0,
        };
        self.told = Some((self.counts.denied, now));
        Some(self.counts.denied - before)
    }

    /// Gives the right to a retry back that never left.
    pub fn return_permit(&mut self, now: Timestamp, permit: Permit) {
        self.counts.given_back += 1;
        if now.since(permit.taken) > LATE {
            self.counts.given_back_late += 1;
        }
        self.slack.give_back(now, permit.of_slack, permit.taken);
        self.current(now);
        let Some(part) = self.part_of(permit.taken) else {
            return;
        };
        part.retries = part.retries.saturating_sub(1);
        part.of_requests = (part.of_requests - permit.of_requests).max(0.0);
    }

    /// The part that a time lies in, unless it has left the window.
    fn part_of(&mut self, at: Timestamp) -> Option<&mut Part> {
        let number = self.number(at);
        let kept = number <= self.newest && number + PARTS as u64 > self.newest;
        kept.then(|| &mut self.parts[(number % PARTS as u64) as usize])
    }

    fn current(&mut self, now: Timestamp) -> &mut Part {
        let number = self.number(now);
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

    /// Number of the part that a time lies in, since the origin of time.
    fn number(&self, at: Timestamp) -> u64 {
        let length = u64::try_from(self.part_length.as_micros())
            .unwrap_or(1)
            .max(1);
        at.as_micros() / length
    }
}
