//! State of one exchange, from the arrival of a request to its outcome.

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

/// The assignment of a slice that a request is sent under.
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
    /// Time at which permission to write was given; from then on the request
    /// may have run.
    pub(crate) sent_at: Option<Timestamp>,
    pub(crate) hedge: bool,
}

/// State of an exchange that waits for an owner or for the time of its next
/// attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Parked {
    /// The assignment that failed last. Any other one may be tried immediately.
    pub(crate) avoid: Option<Target>,
    /// When the failed assignment may be tried again.
    pub(crate) retry: RetryTime,
}

/// When the owner that failed last may be tried again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RetryTime {
    /// Never; only another owner may be tried.
    Never,
    /// From this time on.
    At(Timestamp),
    /// As coordinated by
    /// [`OwnerRefusals`](crate::owner_refusals::OwnerRefusals): one waiting
    /// exchange probes the owner for all that it refused.
    AfterProbe,
}

/// Refusals of one exchange by an owner that does not consider the slice its
/// own.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Refusals {
    pub(crate) target: Target,
    /// Number of probes that the owner has got from the exchanges it refused.
    pub(crate) probes: u32,
    /// The exchange was already resent once because the owner had accepted
    /// another request.
    pub(crate) resent: bool,
}

/// Processing state of an exchange.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum State {
    /// Has to be routed.
    Ready,
    /// Waits for an owner or for a time.
    Parked(Parked),
    /// Waits for a slot, or was granted one that it has not taken yet.
    Queued {
        back_end: BackEndIndex,
        until: Timestamp,
    },
    /// Has running attempts and no response yet.
    Running,
    /// Its response is being forwarded to the caller.
    Delivering {
        attempt: AttemptNumber,
        /// `Step::Deliver` was issued.
        announced: bool,
        /// The complete response has arrived.
        complete: bool,
    },
    /// Has ended.
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
    /// Whether it is registered as waiting with nothing sent, so that it may be
    /// evicted for another request.
    pub(crate) is_evictable: bool,
    /// Time at which it was first parked.
    pub(crate) parked_since: Option<Timestamp>,
    /// Attempts that hold a slot.
    pub(crate) attempts: Vec<RunningAttempt>,
    /// Number of attempts made so far.
    pub(crate) attempts_made: u32,
    /// Refusals by the latest owner that does not consider the slice its own.
    pub(crate) refusals: Option<Refusals>,
    /// Number of retries postponed because the retry budget was empty.
    pub(crate) retries_denied: u32,
    /// Whether a hedge, or a second attempt next to a lost one, was already
    /// sent or ruled out.
    pub(crate) hedged: bool,
    /// Attempts for which `Step::Cancel` has to be issued.
    pub(crate) cancellations: Vec<AttemptNumber>,
    /// Set when an attempt ended without showing whether the request ran.
    pub(crate) unresolved: Option<UnknownReason>,
    /// Reason to report if it ends without having run.
    pub(crate) not_run: NotRunReason,
}

impl Exchange {
    /// Position in a wait queue.
    pub(crate) fn queue_position(&self) -> QueuePosition {
        QueuePosition::new(self.priority, self.deadline, self.id)
    }

    /// Position in the eviction order of its namespace.
    pub(crate) fn eviction_order(&self) -> EvictionOrder {
        (self.priority, Reverse(self.deadline), Reverse(self.id))
    }

    /// Whether an attempt may have run.
    pub(crate) fn may_have_run(&self) -> bool {
        self.unresolved.is_some()
            || self
                .attempts
                .iter()
                .any(|attempt| attempt.sent_at.is_some())
    }

    /// Outcome if the exchange ended now without a response. Invariant: "not
    /// run" is true, because a single attempt that may have run makes the
    /// outcome "unknown".
    pub(crate) fn outcome_without_response(&self, unanswered: UnknownReason) -> Outcome {
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
