//! Carries out one attempt.

use std::sync::Arc;
use std::time::Duration;

use threadledge_net::{ExchangeError, ExchangeFault, Instant, Pool, Stage};
use threadledge_routing::{Attempt, AttemptEvent, AttemptFailure, ExchangeId, SendDecision};

use super::answer::{self, Answer, Said};
use super::dispatch::Dispatch;
use super::memory_budget::MemoryBudget;
use super::outbound::{Outbound, request_id_text};

/// An attempt outlives its deadline by this much, so that it is the
/// dispatcher that ends it and says why.
const DEADLINE_GRACE: Duration = Duration::from_millis(50);

/// How an attempt ended, or began to be answered.
#[derive(Debug)]
pub(super) enum AttemptOutcome {
    /// The dispatcher no longer wanted it. Nothing was sent.
    Abandoned,
    /// It ended without an answer for the caller.
    Ended(AttemptEvent),
    /// It has an answer.
    Answered(Box<Answer>),
}

/// What attempts need.
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
        let limit = attempt.connection_limit as usize;
        let connection = self
            .pool
            .checkout_with_limit(attempt.address, limit, deadline)
            .await;
        let connection = match connection {
            Ok(connection) => connection,
            Err(error) => return AttemptOutcome::Ended(event_of(&error)),
        };
        // Invariant: "not run" is true. No byte is written without leave, and
        // from here on the request counts as one that may have run.
        let decision = self.dispatch.start_sending(exchange, attempt.number);
        let SendDecision::Proceed { deadline_left } = decision else {
            return AttemptOutcome::Abandoned;
        };
        let Some(request) = outbound.request(&attempt, deadline_left) else {
            return AttemptOutcome::Ended(AttemptEvent::SentNothing);
        };
        let response = match connection.exchange(request, deadline).await {
            Ok(response) => response,
            Err(error) => return AttemptOutcome::Ended(event_of(&error)),
        };
        let request_id = request_id_text(attempt.request_id);
        let said = answer::read(
            response,
            outbound.method(),
            &request_id,
            self.max_buffered_response,
            &self.budget,
        );
        match said.await {
            Said::Refused(refusal) => AttemptOutcome::Ended(AttemptEvent::Refused(refusal)),
            Said::Failed(failure) => AttemptOutcome::Ended(AttemptEvent::Failed(failure)),
            Said::Answered(answer) => AttemptOutcome::Answered(answer),
        }
    }
}

fn event_of(error: &ExchangeError) -> AttemptEvent {
    match (error.stage, &error.fault) {
        // This router's own limit says nothing about the back end.
        (Stage::ConnectFailed, ExchangeFault::NoConnectionFree) => AttemptEvent::SentNothing,
        (Stage::ConnectFailed, _) => AttemptEvent::ConnectFailed,
        (Stage::NothingSent, _) => AttemptEvent::SentNothing,
        (_, ExchangeFault::Malformed(_)) => AttemptEvent::Failed(AttemptFailure::BadAnswer),
        (Stage::ResponseHead | Stage::ResponseBody, ExchangeFault::Truncated) => {
            AttemptEvent::Failed(AttemptFailure::BadAnswer)
        }
        _ => AttemptEvent::Failed(AttemptFailure::ConnectionLost),
    }
}
