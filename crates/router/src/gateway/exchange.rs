//! Drives one exchange by carrying out the dispatcher's steps.

use std::future::{Future, poll_fn};
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use futures::FutureExt;
use futures::future::BoxFuture;
use futures::stream::{FuturesUnordered, Stream};
use http_types::Response;
use threadledge_dispatch::dispatcher::NextAction;
use threadledge_dispatch::{Attempt, AttemptId, ExchangeId, Outcome, StartedExchange, Step};
use threadledge_net::Instant;
use threadledge_net::timer::{self, Sleep};
use threadledge_types::Timestamp;
use threadledge_types::deployment::BackEndName;

use super::attempt::{AttemptResult, Attempts, OutboundRequest};
use super::disconnects::{RequestTracker, Stage};
use crate::proxy::Signal;

/// Result of an exchange.
#[derive(Debug)]
pub(super) enum Conclusion {
    /// A back end answered.
    Answered {
        response: Box<Response>,
        back_end: BackEndName,
        /// The gateway that forwarded the request, unless it was sent directly.
        forwarder: Option<SocketAddr>,
    },
    /// No back end answered; the gateway sends a response of its own for this
    /// outcome.
    NotAnswered(Outcome),
}

/// A finished attempt with its result.
struct FinishedAttempt {
    id: AttemptId,
    back_end: BackEndName,
    result: AttemptResult,
}

/// An exchange in progress. Dropping it abandons its attempts.
pub(super) struct Exchange {
    attempts: Attempts,
    outbound: Arc<OutboundRequest>,
    id: ExchangeId,
    signal: Arc<Signal>,
    running: FuturesUnordered<BoxFuture<'static, FinishedAttempt>>,
    /// Finished attempts that did not provide the response, for the log.
    pub(super) history: Vec<PastAttempt>,
}

/// A finished attempt that did not provide the response.
#[derive(Debug)]
pub(super) struct PastAttempt {
    pub(super) back_end: BackEndName,
    pub(super) end: threadledge_dispatch::AttemptEnd,
    /// The gateway that forwarded it, unless it was sent directly.
    pub(super) forwarder: Option<SocketAddr>,
    pub(super) at: Instant,
}

enum WaitEvent {
    Ended(FinishedAttempt),
    Woken,
}

impl Exchange {
    pub(super) fn new(
        attempts: Attempts,
        outbound: OutboundRequest,
        started: &StartedExchange,
        signal: Arc<Signal>,
    ) -> Self {
        Exchange {
            attempts,
            outbound: Arc::new(outbound),
            id: started.id,
            signal,
            running: FuturesUnordered::new(),
            history: Vec::new(),
        }
    }

    /// Runs the exchange to its single outcome and reports its stages to
    /// `tracker`.
    pub(super) async fn run(&mut self, tracker: &mut RequestTracker) -> Conclusion {
        loop {
            match self.attempts.dispatch.next(self.id) {
                Step::Send(attempt) => self.start_attempt(attempt),
                Step::Wait(until) => {
                    tracker.reached(self.stage());
                    if let Some(conclusion) = self.wait(until).await {
                        return conclusion;
                    }
                }
                Step::Finish(outcome) => return Conclusion::NotAnswered(outcome),
                Step::Ended => {
                    let reason = threadledge_dispatch::UnknownReason::Broken;
                    return Conclusion::NotAnswered(Outcome::Unknown(reason));
                }
            }
        }
    }

    fn stage(&self) -> Stage {
        if self.running.is_empty() {
            Stage::Waiting
        } else {
            Stage::AtBackEnd
        }
    }

    fn start_attempt(&mut self, attempt: Attempt) {
        let id = attempt.id;
        let back_end = attempt.back_end.clone();
        let run = self
            .attempts
            .clone()
            .run(self.id, attempt, self.outbound.clone());
        let run = run.map(move |result| FinishedAttempt {
            id,
            back_end,
            result,
        });
        self.running.push(run.boxed());
    }

    async fn wait(&mut self, until: Timestamp) -> Option<Conclusion> {
        let until = self.attempts.dispatch.clock().instant(until);
        let mut sleep = timer::sleep_until(until);
        let event = poll_fn(|context| self.poll_event(&mut sleep, context)).await;
        match event {
            WaitEvent::Woken => None,
            WaitEvent::Ended(finished) => self.on_attempt_end(finished),
        }
    }

    fn poll_event(&mut self, sleep: &mut Sleep, context: &mut Context<'_>) -> Poll<WaitEvent> {
        // An empty set of attempts yields `Ready(None)`, which must not end the
        // wait.
        if let Poll::Ready(Some(finished)) = Pin::new(&mut self.running).poll_next(context) {
            return Poll::Ready(WaitEvent::Ended(finished));
        }
        if self.signal.poll(context).is_ready() {
            return Poll::Ready(WaitEvent::Woken);
        }
        Pin::new(sleep).poll(context).map(|()| WaitEvent::Woken)
    }

    fn on_attempt_end(&mut self, finished: FinishedAttempt) -> Option<Conclusion> {
        let FinishedAttempt {
            id,
            back_end,
            result,
        } = finished;
        let next_action = self
            .attempts
            .dispatch
            .on_attempt_end(self.id, id, &result.end);
        match (next_action, result.response) {
            (NextAction::Deliver, Some(response)) => {
                let forwarder = result.forwarder;
                Some(Conclusion::Answered {
                    response,
                    back_end,
                    forwarder,
                })
            }
            _ => {
                self.history.push(PastAttempt {
                    back_end,
                    end: result.end,
                    forwarder: result.forwarder,
                    at: Instant::now(),
                });
                None
            }
        }
    }
}
