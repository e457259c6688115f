//! Drives one exchange from its admission to its outcome.

use std::future::{Future, poll_fn};
use std::ops::ControlFlow;
use std::pin::Pin;
use std::sync::Arc;
use std::task::Poll;
use std::time::Duration;

use http_types::{Body, Response};
use threadledge_net::Instant;
use threadledge_net::message::Message;
use threadledge_net::{error_response, timer};
use threadledge_routing::{
    Attempt, AttemptEvent, AttemptNumber, ExchangeId, Finish, Matched, Step,
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

/// One exchange and its attempts.
pub(super) struct Exchange {
    conclusion: Conclusion,
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
            conclusion: Conclusion {
                shared,
                id: admitted.id,
                matched: admitted.matched,
                started,
                concluded: false,
            },
            signal: admitted.signal,
            steps: admitted.steps,
            outbound: Arc::new(Outbound::new(inbound)),
            running: Vec::new(),
            answers: Vec::new(),
        }
    }

    /// Runs to the head of the answer. A body that is not here whole reports
    /// the rest itself.
    pub(super) async fn run(mut self) -> Response {
        loop {
            match self.carry_out() {
                ControlFlow::Break(response) => return response,
                ControlFlow::Continue(until) => self.steps = self.wait(until).await,
            }
        }
    }

    /// Carries the steps out. Goes on with how long to wait, or breaks with
    /// the response.
    fn carry_out(&mut self) -> ControlFlow<Response, Timestamp> {
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
                Step::Gone => return ControlFlow::Break(self.gone()),
            }
        }
        // The steps always end with one of the last three.
        ControlFlow::Break(self.gone())
    }

    fn start(&mut self, attempt: Attempt) {
        let number = attempt.number;
        let attempts = self.conclusion.shared.attempts.clone();
        let outbound = self.outbound.clone();
        let run = attempts.run(self.conclusion.id, attempt, outbound);
        self.running.push((number, Box::pin(run)));
    }

    /// Dropping the attempt closes its connection.
    fn cancel(&mut self, number: AttemptNumber) {
        self.running.retain(|(running, _)| *running != number);
        self.answers.retain(|(answered, _)| *answered != number);
    }

    /// Waits until an attempt has something to report, the dispatcher says
    /// that something changed, or `until`; returns what to do then.
    async fn wait(&mut self, until: Timestamp) -> Vec<Step> {
        let dispatch = self.conclusion.shared.dispatch.clone();
        let mut sleep = timer::sleep_until(dispatch.clock().instant(until));
        let id = self.conclusion.id;
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
            Some((number, outcome)) => match self.event_of(number, outcome) {
                Some(event) => dispatch.report(id, number, event),
                None => dispatch.steps(id),
            },
            None => dispatch.steps(id),
        }
    }

    fn event_of(&mut self, number: AttemptNumber, outcome: AttemptOutcome) -> Option<AttemptEvent> {
        match outcome {
            AttemptOutcome::Abandoned => None,
            AttemptOutcome::Ended(event) => Some(event),
            AttemptOutcome::Answered(answer) => {
                let event = match answer.body {
                    AnswerBody::Complete(_) => AttemptEvent::Completed,
                    AnswerBody::Streamed { .. } => AttemptEvent::ResponseHead {
                        status: u16::from(answer.response.status()),
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

    /// Passes on an answer whose end is still to come, until `deadline`.
    fn deliver(&mut self, number: AttemptNumber, deadline: Timestamp) -> Response {
        self.running.clear();
        match self.take_answer(number) {
            Some(Answer {
                response,
                body: AnswerBody::Streamed { body, length },
            }) => {
                let conclusion = self.conclusion.hand_over();
                let clock = self.conclusion.shared.dispatch.clock();
                let deadline = clock.instant(deadline);
                let body = Delivery::start(body, length, number, conclusion, deadline);
                answered(response, body)
            }
            _ => self.gone(),
        }
    }

    fn finish(&mut self, finish: Finish, chosen: Option<AttemptNumber>) -> Response {
        self.running.clear();
        self.conclusion.observe(finish.outcome, finish.attempts);
        let answer = chosen.and_then(|number| self.take_answer(number));
        match (finish.outcome, answer) {
            (
                Outcome::Answered,
                Some(Answer {
                    response,
                    body: AnswerBody::Complete(body),
                }),
            ) => answered(response, body),
            (Outcome::Answered, _) => {
                let lost = Outcome::Unknown(UnknownReason::BadAnswer);
                own_answer(lost, None, finish.attempts)
            }
            (outcome, _) => own_answer(outcome, finish.retry_after, finish.attempts),
        }
    }

    /// The dispatcher does not know the exchange. It tells each outcome once,
    /// so that this does not happen; if it did, nothing could be promised.
    fn gone(&mut self) -> Response {
        let lost = Outcome::Unknown(UnknownReason::ConnectionLost);
        self.conclusion.observe(lost, 0);
        own_answer(lost, None, 0)
    }
}

/// The end of an exchange: told once, or the caller is gone.
#[derive(Debug)]
pub(super) struct Conclusion {
    shared: Arc<Shared>,
    id: ExchangeId,
    matched: Matched,
    started: Instant,
    concluded: bool,
}

impl Conclusion {
    /// Reports how an answer on its way to the caller ended.
    pub(super) fn conclude(self, attempt: AttemptNumber, event: AttemptEvent) {
        let steps = self.shared.dispatch.report(self.id, attempt, event);
        self.conclude_with(steps);
    }

    /// Lets the dispatcher end an answer that is still on its way.
    pub(super) fn conclude_at_deadline(self) {
        let steps = self.shared.dispatch.steps(self.id);
        self.conclude_with(steps);
    }

    fn conclude_with(mut self, steps: Vec<Step>) {
        for step in steps {
            if let Step::Finish(finish) = step {
                self.observe(finish.outcome, finish.attempts);
            }
        }
    }

    fn observe(&mut self, outcome: Outcome, attempts: u32) {
        self.concluded = true;
        self.tell(Some(outcome), attempts);
    }

    fn tell(&self, outcome: Option<Outcome>, attempts: u32) {
        self.shared.observer.observe(&Observation {
            service: Some(self.matched.service.clone()),
            route: Some(self.matched.route.clone()),
            outcome,
            elapsed: self.started.elapsed(),
            attempts,
        });
    }

    /// Passes the duty to conclude on.
    fn hand_over(&mut self) -> Conclusion {
        let successor = Conclusion {
            shared: self.shared.clone(),
            id: self.id,
            matched: self.matched.clone(),
            started: self.started,
            concluded: self.concluded,
        };
        self.concluded = true;
        successor
    }
}

impl Drop for Conclusion {
    fn drop(&mut self) {
        if !self.concluded {
            self.shared.dispatch.caller_gone(self.id);
            self.tell(None, 0);
        }
    }
}

fn answered(mut response: Response, body: Body) -> Response {
    response.replace_body_keeping_headers(body);
    response.insert_header(OUTCOME_HEADER, Outcome::Answered.as_str());
    response
}

/// The router's own answer to a request that no back end answered.
pub(super) fn own_answer(
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
