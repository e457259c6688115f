//! Classification of attempt events: whether the request ran, and whether it
//! may be sent again.
//!
//! Two guarantees are enforced here: a request reported as "not run" did not
//! run, and a non-repeatable request runs at most once.

use threadledge_types::session::Refusal;
use threadledge_types::{NotRunReason, UnknownReason};

use crate::attempt::{AttemptEvent, AttemptFailure};

/// Whether a request ran in one attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Execution {
    /// It certainly did not run.
    No(NotRunReason),
    /// It may have run.
    Maybe(UnknownReason),
    /// It ran, and the response has arrived or is arriving.
    Yes,
}

/// Classifies an event. `sent` says whether permission to write was given.
pub fn classify(event: AttemptEvent, sent: bool) -> Execution {
    match event {
        // Permission is asked for only once there is a connection, so this
        // report contradicts itself and proves nothing.
        AttemptEvent::ConnectFailed if sent => Execution::Maybe(UnknownReason::ConnectionLost),
        // The permission may have been given but not used: a pooled connection
        // often fails at the first write.
        AttemptEvent::ConnectFailed | AttemptEvent::SentNothing => {
            Execution::No(NotRunReason::Unreachable)
        }
        AttemptEvent::Refused(refusal) => Execution::No(refusal.into()),
        AttemptEvent::ResponseHead { .. } | AttemptEvent::Completed => Execution::Yes,
        AttemptEvent::Failed(failure) => Execution::Maybe(failure.into()),
    }
}

impl From<AttemptFailure> for UnknownReason {
    fn from(failure: AttemptFailure) -> Self {
        match failure {
            AttemptFailure::ConnectionLost => UnknownReason::ConnectionLost,
            AttemptFailure::BadAnswer => UnknownReason::BadAnswer,
        }
    }
}

/// Facts that decide whether a request may be retried.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetryContext {
    /// The request may be run more than once.
    pub repeatable: bool,
    /// The request body can be sent again.
    pub body_replayable: bool,
    /// At least part of the request was sent in this attempt.
    pub sent: bool,
    /// Another attempt of the request may have run or is running.
    pub others_may_have_run: bool,
}

/// Whether a request may be sent again after an attempt with this result.
pub fn may_retry(ran: Execution, context: RetryContext) -> bool {
    if context.sent && !context.body_replayable {
        return false;
    }
    match ran {
        Execution::Yes => false,
        Execution::Maybe(_) => context.repeatable,
        Execution::No(_) => context.repeatable || !context.others_may_have_run,
    }
}

/// Condition for retrying a request that was not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryCondition {
    /// After a backoff, or immediately if the key gets another owner.
    AfterBackoff,
    /// As soon as the key has another owner, or once the current owner accepts
    /// requests for it.
    WhenOwned,
    /// Only once the key has another owner.
    NewOwnerOnly,
    /// Never, because it would be refused again.
    Never,
}

/// Returns the condition for a retry after a refusal.
pub fn retry_condition(refusal: Refusal) -> RetryCondition {
    match refusal {
        Refusal::WrongOwner | Refusal::LeaseLapsed => RetryCondition::WhenOwned,
        Refusal::Overloaded => RetryCondition::AfterBackoff,
        Refusal::Draining => RetryCondition::NewOwnerOnly,
        Refusal::DeadlinePassed | Refusal::Malformed => RetryCondition::Never,
    }
}

/// Whether an event counts as a failure of the back end. A refusal is a
/// response and does not count, nor does a pooled connection that was closed
/// before use, which is normal for pools.
pub fn is_back_end_failure(event: AttemptEvent) -> bool {
    matches!(event, AttemptEvent::ConnectFailed | AttemptEvent::Failed(_))
}
