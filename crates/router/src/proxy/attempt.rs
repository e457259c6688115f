//! Execution of a single attempt of a request at a back end.

use std::sync::Arc;
use std::time::Duration;

use threadledge_net::{ExchangeError, ExchangeFault, Instant, Pool, RequestIdentity, Stage};
use threadledge_routing::{Attempt, AttemptEvent, AttemptFailure, ExchangeId, SendDecision};

use super::answer::{self, Answer, ReadOutcome};
use super::dispatch::Dispatch;
use super::memory_budget::MemoryBudget;
use super::outbound::{Outbound, format_request_id};

/// Time by which an attempt's timeout exceeds its deadline, so that the
/// dispatcher ends it first and records the reason.
const DEADLINE_GRACE: Duration = Duration::from_millis(50);

/// Result of an attempt.
#[derive(Debug)]
pub(super) enum AttemptOutcome {
    /// The dispatcher no longer needed the attempt. Nothing was sent.
    Abandoned,
    /// The attempt ended without a response for the caller.
    Ended(AttemptEvent),
    /// The back end responded. The body may still be streaming.
    Answered(Box<Answer>),
}

/// Resources shared by all attempts.
#[derive(Clone, Debug)]
pub(super) struct Attempts {
    pub(super) dispatch: Arc<Dispatch>,
    pub(super) pool: Pool,
    pub(super) budget: MemoryBudget,
    pub(super) max_buffered_response: usize,
}

impl Attempts {
    /// Runs one attempt. Dropping the future closes its connection.
    pub(super) async fn run(
        self,
        exchange: ExchangeId,
        attempt: Attempt,
        outbound: Arc<Outbound>,
    ) -> AttemptOutcome {
        let deadline = Instant::now() + attempt.deadline_left + DEADLINE_GRACE;
        let request_id = format_request_id(attempt.request_id);
        let identity = RequestIdentity::of(&request_id);
        let limit = attempt.connection_limit as usize;
        let connection = self
            .pool
            .checkout_for(attempt.address, Some(identity), Some(limit), deadline)
            .await;
        let connection = match connection {
            Ok(connection) => connection,
            Err(error) => return AttemptOutcome::Ended(error_event(&error)),
        };
        // Invariant: an outcome of `not-run` is true. No byte is written without
        // the dispatcher's permission, and once it is given the request counts
        // as one that may have run.
        let decision = self.dispatch.start_sending(exchange, attempt.number);
        let SendDecision::Proceed { deadline_left } = decision else {
            return AttemptOutcome::Abandoned;
        };
        let Some(request) = outbound.request(&attempt, deadline_left) else {
            return AttemptOutcome::Ended(AttemptEvent::SentNothing);
        };
        let response = match connection.exchange(request, deadline).await {
            Ok(response) => response,
            Err(error) => return AttemptOutcome::Ended(error_event(&error)),
        };
        let read = answer::read(
            response,
            outbound.method(),
            &request_id,
            self.max_buffered_response,
            &self.budget,
        );
        match read.await {
            ReadOutcome::Refused(refusal) => AttemptOutcome::Ended(AttemptEvent::Refused(refusal)),
            ReadOutcome::Failed(failure) => AttemptOutcome::Ended(AttemptEvent::Failed(failure)),
            ReadOutcome::Answered(answer) => AttemptOutcome::Answered(answer),
        }
    }
}

/// Converts an exchange error to the event that is reported to the dispatcher.
fn error_event(error: &ExchangeError) -> AttemptEvent {
    match (error.stage, &error.fault) {
        // The router's own connection limit was reached, which is no fault of
        // the back end.
        (Stage::ConnectFailed, ExchangeFault::NoConnectionFree) => AttemptEvent::SentNothing,
        (Stage::ConnectFailed, _) => AttemptEvent::ConnectFailed,
        (Stage::NothingSent, _) => AttemptEvent::SentNothing,
        (_, ExchangeFault::Malformed(_) | ExchangeFault::Unpaired(_)) => {
            AttemptEvent::Failed(AttemptFailure::BadAnswer)
        }
        (Stage::ResponseHead | Stage::ResponseBody, ExchangeFault::Truncated) => {
            AttemptEvent::Failed(AttemptFailure::BadAnswer)
        }
        _ => AttemptEvent::Failed(AttemptFailure::ConnectionLost),
    }
}
