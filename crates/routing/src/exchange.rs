//! State of one exchange.

use std::cmp::Reverse;
use std::sync::Arc;

use threadledge_types::objects::Priority;
use threadledge_types::{
    Epoch, Incarnation, NotRunReason, Outcome, Point, ServiceId, Timestamp, UnknownReason,
};

use crate::attempt::{AttemptNumber, ExchangeId, Finish};
use crate::fairness::EvictionOrder;
use crate::queue::QueuePosition;
use crate::table::{BackEndIndex, OwnerEntry, ServiceIndex};

/// An assignment that a request was sent under.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Target {
    pub(crate) back_end: BackEndIndex,
    pub(crate) incarnation: Incarnation,
    pub(crate) epoch: Epoch,
}

impl From<OwnerEntry> for Target {
    fn from(owner: OwnerEntry) -> Self {
        Target {
            back_end: owner.back_end,
            incarnation: owner.incarnation,
            epoch: owner.epoch,
        }
    }
}

/// An attempt that holds a slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct RunningAttempt {
    pub(crate) number: AttemptNumber,
    pub(crate) target: Target,
    pub(crate) started: Timestamp,
    /// When the permission to write was given: from then on it may have run.
    pub(crate) sent_at: Option<Timestamp>,
    pub(crate) hedge: bool,
}

/// Waiting for an owner, or for the time of the next attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Parked {
    /// The assignment that failed last. Another one may be tried at once.
    pub(crate) avoid: Option<Target>,
    /// When the same one may be tried again.
    pub(crate) retry: RetryTime,
}

/// When the owner that failed last may be tried again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RetryTime {
    /// Never: only another one.
    Never,
    /// From then on.
    At(Timestamp),
    /// As those agree that it refused as not its own.
    AfterProbe,
}

/// Refusals by one owner as not its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Refusals {
    pub(crate) target: Target,
    /// Times that the exchange probes for all that wait.
    pub(crate) probes: u32,
    /// It went on because another one was served there.
    pub(crate) resent: bool,
}

/// Where an exchange stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum State {
    /// To be routed.
    Ready,
    /// Waits for an owner or a time.
    Parked(Parked),
    /// Waits for a slot, or was given one that it has not taken yet.
    Queued {
        back_end: BackEndIndex,
        until: Timestamp,
    },
    /// Has attempts out, and no answer.
    Running,
    /// Its one answer is being passed on.
    Delivering {
        attempt: AttemptNumber,
        announced: bool,
        complete: bool,
    },
    /// Over.
    Ended(Finish),
}

/// One request from its arrival to its outcome.
#[derive(Debug)]
pub(crate) struct Exchange {
    pub(crate) id: ExchangeId,
    pub(crate) request_id: u64,
    pub(crate) namespace: Arc<str>,
    pub(crate) service: ServiceIndex,
    pub(crate) service_id: Arc<ServiceId>,
    pub(crate) point: Point,
    pub(crate) priority: Priority,
    pub(crate) repeatable: bool,
    pub(crate) body_replayable: bool,
    pub(crate) may_queue: bool,
    pub(crate) deadline: Timestamp,
    pub(crate) state: State,
    /// Counted among the waiting requests that may give way to others.
    pub(crate) is_evictable: bool,
    /// When it was first parked.
    pub(crate) parked_since: Option<Timestamp>,
    pub(crate) attempts: Vec<RunningAttempt>,
    pub(crate) attempts_made: u32,
    /// Refusals by the latest owner that refused it as not its own.
    pub(crate) refusals: Option<Refusals>,
    /// Times that a retry was put off.
    pub(crate) retries_denied: u32,
    /// A hedge or a second attempt beside a lost one was sent.
    pub(crate) hedged: bool,
    pub(crate) cancellations: Vec<AttemptNumber>,
    /// An attempt ended without telling whether it ran.
    pub(crate) unresolved: Option<UnknownReason>,
    /// Why it has not run so far.
    pub(crate) not_run: NotRunReason,
}

impl Exchange {
    /// Its place in queues.
    pub(crate) fn queue_position(&self) -> QueuePosition {
        QueuePosition::new(self.priority, self.deadline, self.id)
    }

    /// Its place among those of its namespace that give way.
    pub(crate) fn eviction_order(&self) -> EvictionOrder {
        (self.priority, Reverse(self.deadline), Reverse(self.id))
    }

    /// Whether something of it may have run.
    pub(crate) fn may_have_run(&self) -> bool {
        self.unresolved.is_some()
            || self
                .attempts
                .iter()
                .any(|attempt| attempt.sent_at.is_some())
    }

    /// The outcome if it ended now without an answer. Invariant: "not run" is
    /// true, because one attempt that may have run makes it "unknown".
    pub(crate) fn outcome_without_answer(&self, unanswered: UnknownReason) -> Outcome {
        if let Some(reason) = self.unresolved {
            return Outcome::Unknown(reason);
        }
        if self.may_have_run() {
            return Outcome::Unknown(unanswered);
        }
        Outcome::NotRun(self.not_run)
    }

    pub(crate) fn attempt(&self, number: AttemptNumber) -> Option<&RunningAttempt> {
        let mut attempts = self.attempts.iter();
        attempts.find(|attempt| attempt.number == number)
    }

    pub(crate) fn take_attempt(&mut self, number: AttemptNumber) -> Option<RunningAttempt> {
        let mut attempts = self.attempts.iter();
        let position = attempts.position(|attempt| attempt.number == number)?;
        Some(self.attempts.remove(position))
    }

    /// Whether it may be sent while another attempt of it runs.
    pub(crate) fn may_run_concurrently(&self) -> bool {
        self.repeatable && self.body_replayable
    }
}
