//! Selection of the parent among the candidates of a child.

use std::time::Duration;

use threadledge_types::{RouterId, RouterIdentity, Timestamp};

/// Number of pulls sent to the same candidate before the next one is tried, so
/// that one lost message does not change the tree.
const MAX_ATTEMPTS: u32 = 2;

/// Candidates for the parent, best first, and the one in use.
#[derive(Debug, Default)]
pub(crate) struct Parents {
    candidates: Vec<RouterIdentity>,
    current: usize,
    attempts: u32,
    /// Time since which a less preferred candidate is in use.
    off_preferred_since: Option<Timestamp>,
    /// The candidate to return to, while the preferred one is being tried
    /// again.
    fallback: Option<usize>,
}

/// When to pull after leaving a candidate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RetryDecision {
    /// Another candidate may be tried immediately.
    Now,
    /// All candidates were tried; wait before the next round.
    Later,
}

impl Parents {
    /// Sets new candidates and returns whether the parent in use changed.
    pub(crate) fn replace(&mut self, candidates: Vec<RouterIdentity>, now: Timestamp) -> bool {
        if candidates == self.candidates {
            return false;
        }
        let before = self.current().map(|parent| parent.id);
        self.candidates = candidates;
        self.fallback = None;
        let kept = before.and_then(|id| self.position(id));
        self.select(kept.unwrap_or(0), now);
        if kept.is_none() {
            self.attempts = 0;
        }
        kept.is_none()
    }

    /// The parent in use.
    pub(crate) fn current(&self) -> Option<&RouterIdentity> {
        self.candidates.get(self.current)
    }

    /// Whether `id` is the parent in use.
    pub(crate) fn is_current(&self, id: RouterId) -> bool {
        self.current().is_some_and(|parent| parent.id == id)
    }

    /// Whether the parent in use is the first choice.
    pub(crate) fn is_preferred(&self) -> bool {
        self.current == 0
    }

    /// Tries the preferred candidate again if `retry_after` has passed since it
    /// was left.
    pub(crate) fn retry_preferred(&mut self, now: Timestamp, retry_after: Duration) {
        let due = self
            .off_preferred_since
            .is_some_and(|since| now >= since + retry_after);
        if due && self.fallback.is_none() {
            self.fallback = Some(self.current);
            self.current = 0;
            self.attempts = 0;
        }
    }

    /// Records a good answer of the parent in use.
    pub(crate) fn succeeded(&mut self) {
        self.attempts = 0;
        self.fallback = None;
        if self.current == 0 {
            self.off_preferred_since = None;
        }
    }

    /// Records that the parent in use did not answer in time.
    pub(crate) fn timed_out(&mut self, now: Timestamp) -> RetryDecision {
        self.attempts += 1;
        if self.attempts < MAX_ATTEMPTS && self.fallback.is_none() {
            return RetryDecision::Now;
        }
        self.advance_to_next(now)
    }

    /// Moves on to the next candidate, because the parent in use refused or is
    /// itself cut off.
    pub(crate) fn advance_to_next(&mut self, now: Timestamp) -> RetryDecision {
        self.attempts = 0;
        if let Some(fallback) = self.fallback.take() {
            self.current = fallback;
            self.off_preferred_since = Some(now);
            return RetryDecision::Now;
        }
        let next = self.current + 1;
        if next >= self.candidates.len() {
            self.select(0, now);
            return RetryDecision::Later;
        }
        self.select(next, now);
        RetryDecision::Now
    }

    fn select(&mut self, index: usize, now: Timestamp) {
        self.current = index;
        if index == 0 {
            self.off_preferred_since = None;
        } else {
            self.off_preferred_since.get_or_insert(now);
        }
    }

    fn position(&self, id: RouterId) -> Option<usize> {
        self.candidates
            .iter()
            .position(|candidate| candidate.id == id)
    }
}
