//! Classification of attempts: what an event says about whether the request
//! ran, and whether it may be sent again.
//!
//! Two guarantees are kept here: a "not run" is true, and a non-repeatable
//! request is carried out at most once.

use threadledge_types::session::Refusal;
use threadledge_types::{NotRunReason, UnknownReason};

use crate::attempt::{AttemptEvent, AttemptFailure};

/// Whether the request ran in one attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Execution {
    /// It surely did not.
    No(NotRunReason),
    /// It may have.
    Maybe(UnknownReason),
    /// It did, and the answer is here or on its way.
    Yes,
}

/// Reads an event. `sent` says whether the permission to write was given.
pub fn classify(event: AttemptEvent, sent: bool) -> Execution {
    match event {
        // Without a connection there was nothing to ask permission for: such
        // a report contradicts itself, and nothing is concluded from it.
        AttemptEvent::ConnectFailed if sent => Execution::Maybe(UnknownReason::ConnectionLost),
        // The permission may have been given and not been used: a pooled
        // connection often fails at the first write.
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

/// What sending a request again depends on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetryContext {
    /// It may be carried out more than once.
    pub repeatable: bool,
    /// Its body can be sent again.
    pub body_replayable: bool,
    /// This attempt was sent, at least in part.
    pub sent: bool,
    /// Another attempt of it may have run, or runs.
    pub others_may_have_run: bool,
}

/// Whether a request may be sent once more after an attempt that ended so.
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

/// When a request that was not run may be sent again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryCondition {
    /// After a backoff, or at once to another owner.
    AfterBackoff,
    /// At once to another owner, or when this one serves.
    WhenOwned,
    /// Only once the key has another owner.
    NewOwnerOnly,
    /// Never: it would be refused again.
    Never,
}

/// When to send again after a refusal.
pub fn retry_condition(refusal: Refusal) -> RetryCondition {
    match refusal {
        Refusal::WrongOwner | Refusal::LeaseLapsed => RetryCondition::WhenOwned,
        Refusal::Overloaded => RetryCondition::AfterBackoff,
        Refusal::Draining => RetryCondition::NewOwnerOnly,
        Refusal::DeadlinePassed | Refusal::Malformed => RetryCondition::Never,
    }
}

/// Whether an event counts against the back end. A refusal is an answer, and
/// a pooled connection that was closed before use is in the nature of pools.
pub fn is_back_end_failure(event: AttemptEvent) -> bool {
    matches!(event, AttemptEvent::ConnectFailed | AttemptEvent::Failed(_))
}
