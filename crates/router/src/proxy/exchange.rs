//! Execution of one exchange, from its admission to its outcome.

use std::future::{Future, poll_fn};
use std::ops::ControlFlow;
use std::pin::Pin;
use std::sync::Arc;
use std::task::Poll;
use std::time::Duration;

use http_types::{Body, Response};
use threadledge_net::Instant;
use threadledge_net::message::Message;
use threadledge_net::{error_response, status, timer};
use threadledge_routing::{
    Attempt, AttemptEvent, AttemptNumber, ExchangeId, Finish, MatchedRoute, Step,
};
use threadledge_types::outcome::OUTCOME_HEADER;
use threadledge_types::{Outcome, Timestamp, UnknownReason};

use super::Shared;
use super::answer::{Answer, AnswerBody};
use super::attempt::AttemptOutcome;
use super::delivery::Delivery;
use super::dispatch::{Admitted, Signal};
use super::inbound::Inbound;
use super::observe::Observation;
use super::outbound::Outbound;

type RunningAttempt = Pin<Box<dyn Future<Output = AttemptOutcome> + Send>>;

/// An exchange and its running attempts.
pub(super) struct Exchange {
    completion: Completion,
    signal: Arc<Signal>,
    steps: Vec<Step>,
    outbound: Arc<Outbound>,
    running: Vec<(AttemptNumber, RunningAttempt)>,
    answers: Vec<(AttemptNumber, Box<Answer>)>,
}

impl Exchange {
    pub(super) fn new(
        shared: Arc<Shared>,
        inbound: Inbound,
        admitted: Admitted,
        started: Instant,
    ) -> Self {
        Exchange {
            completion: Completion {
                shared,
                id: admitted.id,
                matched: admitted.matched,
                started,
                completed: false,
            },
            signal: admitted.signal,
            steps: admitted.steps,
            outbound: Arc::new(Outbound::new(inbound)),
            running: Vec::new(),
            answers: Vec::new(),
        }
    }

    /// Runs the exchange until a response is available. If its body is still
    /// streaming, the body reports the end of the exchange.
    pub(super) async fn run(mut self) -> Response {
        loop {
            match self.execute_steps() {
                ControlFlow::Break(response) => return response,
                ControlFlow::Continue(until) => self.steps = self.wait(until).await,
            }
        }
    }

    /// Executes the pending steps. Continues with the time until which to wait,
    /// or breaks with the response.
    fn execute_steps(&mut self) -> ControlFlow<Response, Timestamp> {
        let mut chosen = None;
        for step in std::mem::take(&mut self.steps) {
            match step {
                Step::Send(attempt) => self.start(attempt),
                Step::Cancel(number) => self.cancel(number),
                Step::Deliver(number) => chosen = Some(number),
                Step::Wait { until } => match chosen {
                    Some(number) => return ControlFlow::Break(self.deliver(number, until)),
                    None => return ControlFlow::Continue(until),
                },
                Step::Finish(finish) => return ControlFlow::Break(self.finish(finish, chosen)),
                Step::Gone => return ControlFlow::Break(self.finish_unknown()),
            }
        }
        // Not reached: the steps always end with `Wait`, `Finish` or `Gone`.
        ControlFlow::Break(self.finish_unknown())
    }

    fn start(&mut self, attempt: Attempt) {
        let number = attempt.number;
        let attempts = self.completion.shared.attempts.clone();
        let outbound = self.outbound.clone();
        let run = attempts.run(self.completion.id, attempt, outbound);
        self.running.push((number, Box::pin(run)));
    }

    /// Cancels an attempt. Dropping it closes its connection.
    fn cancel(&mut self, number: AttemptNumber) {
        self.running.retain(|(running, _)| *running != number);
        self.answers.retain(|(answered, _)| *answered != number);
    }

    /// Waits until an attempt makes progress, the dispatcher signals a change,
    /// or `until` has passed. Returns the next steps.
    async fn wait(&mut self, until: Timestamp) -> Vec<Step> {
        let dispatch = self.completion.shared.dispatch.clone();
        let mut sleep = timer::sleep_until(dispatch.clock().instant(until));
        let id = self.completion.id;
        let ended = poll_fn(|context| {
            for index in 0..self.running.len() {
                let (number, attempt) = &mut self.running[index];
                let number = *number;
                if let Poll::Ready(outcome) = attempt.as_mut().poll(context) {
                    drop(self.running.swap_remove(index));
                    return Poll::Ready(Some((number, outcome)));
                }
            }
            if self.signal.poll(context).is_ready() {
                return Poll::Ready(None);
            }
            Pin::new(&mut sleep).poll(context).map(|()| None)
        })
        .await;
        match ended {
            Some((number, outcome)) => match self.take_event(number, outcome) {
                Some(event) => dispatch.report(id, number, event),
                None => dispatch.steps(id),
            },
            None => dispatch.steps(id),
        }
    }

    /// Stores the answer of an attempt, if it has one. Returns the event to report
    /// to the dispatcher.
    fn take_event(
        &mut self,
        number: AttemptNumber,
        outcome: AttemptOutcome,
    ) -> Option<AttemptEvent> {
        match outcome {
            AttemptOutcome::Abandoned => None,
            AttemptOutcome::Ended(event) => Some(event),
            AttemptOutcome::Answered(answer) => {
                let event = match answer.body {
                    AnswerBody::Complete(_) => AttemptEvent::Completed,
                    AnswerBody::Streamed { .. } => AttemptEvent::ResponseHead {
                        status: status::code(&answer.response),
                    },
                };
                self.answers.push((number, answer));
                Some(event)
            }
        }
    }

    fn take_answer(&mut self, number: AttemptNumber) -> Option<Answer> {
        let mut answers = self.answers.iter();
        let position = answers.position(|(answered, _)| *answered == number)?;
        Some(*self.answers.swap_remove(position).1)
    }

    /// Starts to forward a streamed response, at most until `deadline`.
    fn deliver(&mut self, number: AttemptNumber, deadline: Timestamp) -> Response {
        self.running.clear();
        match self.take_answer(number) {
            Some(Answer {
                response,
                body: AnswerBody::Streamed { body, length },
            }) => {
                let completion = self.completion.transfer();
                let clock = self.completion.shared.dispatch.clock();
                let deadline = clock.instant(deadline);
                let body = Delivery::start(body, length, number, completion, deadline);
                back_end_response(response, body)
            }
            _ => self.finish_unknown(),
        }
    }

    /// Ends the exchange with the dispatcher's outcome and returns the response.
    fn finish(&mut self, finish: Finish, chosen: Option<AttemptNumber>) -> Response {
        self.running.clear();
        self.completion
            .record_outcome(finish.outcome, finish.attempts);
        let answer = chosen.and_then(|number| self.take_answer(number));
        match (finish.outcome, answer) {
            (
                Outcome::Answered,
                Some(Answer {
                    response,
                    body: AnswerBody::Complete(body),
                }),
            ) => back_end_response(response, body),
            (Outcome::Answered, _) => {
                let lost = Outcome::Unknown(UnknownReason::BadAnswer);
                router_response(lost, None, finish.attempts)
            }
            (outcome, _) => router_response(outcome, finish.retry_after, finish.attempts),
        }
    }

    /// Handles an exchange that the dispatcher does not know. The dispatcher
    /// reports each outcome once, so this should not happen; if it does, it is
    /// unknown whether the request ran.
    fn finish_unknown(&mut self) -> Response {
        let lost = Outcome::Unknown(UnknownReason::ConnectionLost);
        self.completion.record_outcome(lost, 0);
        router_response(lost, None, 0)
    }
}

/// Reports the end of an exchange exactly once. If it is dropped before that,
/// it reports that the caller disconnected.
#[derive(Debug)]
pub(super) struct Completion {
    shared: Arc<Shared>,
    id: ExchangeId,
    matched: MatchedRoute,
    started: Instant,
    completed: bool,
}

impl Completion {
    /// Reports how a streamed response ended.
    pub(super) fn complete(self, attempt: AttemptNumber, event: AttemptEvent) {
        let steps = self.shared.dispatch.report(self.id, attempt, event);
        self.finish_with(steps);
    }

    /// Lets the dispatcher end a response that is still streaming at its
    /// deadline.
    pub(super) fn complete_at_deadline(self) {
        let steps = self.shared.dispatch.steps(self.id);
        self.finish_with(steps);
    }

    fn finish_with(mut self, steps: Vec<Step>) {
        for step in steps {
            if let Step::Finish(finish) = step {
                self.record_outcome(finish.outcome, finish.attempts);
            }
        }
    }

    fn record_outcome(&mut self, outcome: Outcome, attempts: u32) {
        self.completed = true;
        self.notify_observer(Some(outcome), attempts);
    }

    fn notify_observer(&self, outcome: Option<Outcome>, attempts: u32) {
        self.shared.observer.observe(&Observation {
            service: Some(self.matched.service.clone()),
            route: Some(self.matched.route.clone()),
            outcome,
            elapsed: self.started.elapsed(),
            attempts,
        });
    }

    /// Transfers the duty to report to the returned value.
    fn transfer(&mut self) -> Completion {
        let successor = Completion {
            shared: self.shared.clone(),
            id: self.id,
            matched: self.matched.clone(),
            started: self.started,
            completed: self.completed,
        };
        self.completed = true;
        successor
    }
}

impl Drop for Completion {
    fn drop(&mut self) {
        if !self.completed {
            self.shared.dispatch.caller_gone(self.id);
            self.notify_observer(None, 0);
        }
    }
}

fn back_end_response(mut response: Response, body: Body) -> Response {
    response.replace_body_keeping_headers(body);
    response.insert_header(OUTCOME_HEADER, Outcome::Answered.as_str());
    response
}

/// Returns the router's own response to a request that no back end answered.
pub(super) fn router_response(
    outcome: Outcome,
    retry_after: Option<Duration>,
    attempts: u32,
) -> Response {
    let detail = format!("after {attempts} attempts");
    let mut response = match outcome {
        Outcome::NotRun(reason) => error_response::not_run(reason, &detail),
        Outcome::Unknown(reason) => error_response::unknown(reason, &detail),
        Outcome::Answered => error_response::unknown(UnknownReason::BadAnswer, &detail),
    };
    if let Some(wait) = retry_after {
        let seconds = wait.as_millis().div_ceil(1_000).max(1);
        response.insert_header("retry-after", seconds.to_string());
    }
    response
}
