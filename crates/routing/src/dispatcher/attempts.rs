//! Handles the events of attempts.

use threadledge_types::session::Refusal;
use threadledge_types::{NotRunReason, Outcome, Timestamp, UnknownReason};

use super::core::Core;
use crate::attempt::{AttemptEvent, AttemptNumber, SendDecision};
use crate::classify::{
    Execution, RetryCondition, RetryContext, classify, is_back_end_failure, may_retry,
    retry_condition,
};
use crate::exchange::{Exchange, RetryTime, RunningAttempt, State};

impl Core {
    /// Permits writing if the attempt is still wanted, its deadline lies ahead,
    /// and its target still owns the key and takes new work. A router process
    /// that was paused detects stale attempts here.
    pub(super) fn start_sending(
        &mut self,
        now: Timestamp,
        exchange: &mut Exchange,
        number: AttemptNumber,
    ) -> SendDecision {
        let Some(attempt) = exchange.attempt(number).copied() else {
            return SendDecision::Abandon;
        };
        if attempt.sent_at.is_some() {
            return SendDecision::Abandon;
        }
        let wanted = exchange.state == State::Running && now < exchange.deadline;
        if wanted && self.usable_owner(now, exchange) == Some(attempt.target) {
            for other in &mut exchange.attempts {
                if other.number == number {
                    other.sent_at = Some(now);
                }
            }
            let deadline_left = exchange.deadline.since(now);
            return SendDecision::Proceed { deadline_left };
        }
        self.counters.abandoned += 1;
        exchange.take_attempt(number);
        self.release(now, exchange.id, &attempt);
        self.wakeups.insert(exchange.id);
        SendDecision::Abandon
    }

    /// Applies an event of an attempt to its back end and its exchange.
    pub(super) fn on_event(
        &mut self,
        now: Timestamp,
        exchange: &mut Exchange,
        number: AttemptNumber,
        event: AttemptEvent,
    ) {
        let Some(attempt) = exchange.attempt(number).copied() else {
            return;
        };
        self.record_evidence(now, &attempt, event);
        match classify(event, attempt.sent_at.is_some()) {
            Execution::Yes => self.on_response(now, exchange, &attempt, event),
            ran => self.on_attempt_ended(now, exchange, &attempt, event, ran),
        }
        self.wakeups.insert(exchange.id);
    }

    /// Updates the health evidence of the back end from an event.
    fn record_evidence(&mut self, now: Timestamp, attempt: &RunningAttempt, event: AttemptEvent) {
        let index = attempt.target.back_end;
        if is_back_end_failure(event) {
            self.on_back_end_failure(now, index);
        } else if event != AttemptEvent::SentNothing {
            self.on_back_end_success(now, index);
        }
        let AttemptEvent::Refused(refusal) = event else {
            return;
        };
        self.counters.count_refusal(refusal);
        let Some(back_end) = self.back_ends.get_mut(&index) else {
            return;
        };
        match refusal {
            Refusal::Overloaded => back_end.limit.on_overload(now, &back_end.latency),
            Refusal::Draining => back_end.on_draining_refusal(attempt.target.incarnation),
            _ => {}
        }
    }

    /// Handles a response that has begun or is complete.
    fn on_response(
        &mut self,
        now: Timestamp,
        exchange: &mut Exchange,
        attempt: &RunningAttempt,
        event: AttemptEvent,
    ) {
        if exchange.state == State::Running {
            self.on_owner_accepted(attempt);
            self.record_latency(now, attempt);
            self.deliver_response(now, exchange, attempt);
        }
        let State::Delivering {
            attempt: chosen,
            announced,
            ..
        } = exchange.state
        else {
            return;
        };
        if event == AttemptEvent::Completed && chosen == attempt.number {
            exchange.take_attempt(attempt.number);
            self.release(now, exchange.id, attempt);
            let state = State::Delivering {
                attempt: chosen,
                announced,
                complete: true,
            };
            self.set_state(exchange, state);
        }
    }

    /// Records the response time and adjusts the concurrency limit.
    fn record_latency(&mut self, now: Timestamp, attempt: &RunningAttempt) {
        let Some(back_end) = self.back_ends.get_mut(&attempt.target.back_end) else {
            return;
        };
        // Measured from the start and including the time to connect. Hedges are
        // timed the same way, because their delay must be known when the
        // attempt is issued.
        back_end.latency.record(now.since(attempt.started));
        let in_flight = back_end.in_flight();
        back_end
            .limit
            .on_response(now, in_flight, &back_end.latency);
    }

    /// Selects this attempt's response for the caller and cancels the other
    /// attempts. Invariant: a caller gets one response, and it is one to its
    /// own request.
    fn deliver_response(
        &mut self,
        now: Timestamp,
        exchange: &mut Exchange,
        attempt: &RunningAttempt,
    ) {
        self.counters.hedges_won += u64::from(attempt.hedge);
        let (chosen, others): (Vec<_>, Vec<_>) = std::mem::take(&mut exchange.attempts)
            .into_iter()
            .partition(|other| other.number == attempt.number);
        exchange.attempts = chosen;
        for other in others {
            exchange.cancellations.push(other.number);
            self.release(now, exchange.id, &other);
        }
        let state = State::Delivering {
            attempt: attempt.number,
            announced: false,
            complete: false,
        };
        self.set_state(exchange, state);
    }

    /// Handles an attempt that ended without a response.
    fn on_attempt_ended(
        &mut self,
        now: Timestamp,
        exchange: &mut Exchange,
        attempt: &RunningAttempt,
        event: AttemptEvent,
        ran: Execution,
    ) {
        exchange.take_attempt(attempt.number);
        self.release(now, exchange.id, attempt);
        match ran {
            Execution::No(reason) => exchange.not_run = reason,
            Execution::Maybe(reason) => exchange.unresolved = Some(reason),
            Execution::Yes => {}
        }
        if matches!(exchange.state, State::Delivering { .. }) {
            // The response head was already forwarded and the rest is
            // truncated.
            let reason = exchange.unresolved.unwrap_or(UnknownReason::BadAnswer);
            self.end(now, exchange, Outcome::Unknown(reason), None);
            return;
        }
        if exchange.attempts.is_empty() {
            self.retry_or_end(now, exchange, attempt, event, ran);
        }
    }

    /// Parks an exchange whose last attempt failed for a retry, if it may be
    /// sent again; otherwise ends it.
    fn retry_or_end(
        &mut self,
        now: Timestamp,
        exchange: &mut Exchange,
        attempt: &RunningAttempt,
        event: AttemptEvent,
        ran: Execution,
    ) {
        let condition = match event {
            AttemptEvent::Refused(refusal) => retry_condition(refusal),
            _ => RetryCondition::AfterBackoff,
        };
        let context = RetryContext {
            repeatable: exchange.repeatable,
            body_replayable: exchange.body_replayable,
            sent: attempt.sent_at.is_some(),
            others_may_have_run: exchange.may_have_run(),
        };
        let allowed =
            may_retry(ran, context) && exchange.attempts_made < self.settings.max_attempts;
        if !allowed || condition == RetryCondition::Never {
            self.end_without_response(now, exchange, UnknownReason::ConnectionLost);
            return;
        }
        let retry_time = match condition {
            RetryCondition::WhenOwned => {
                return self.park_after_refusal(now, exchange, attempt.target);
            }
            RetryCondition::AfterBackoff => RetryTime::At(self.retry_time(now, exchange)),
            RetryCondition::NewOwnerOnly | RetryCondition::Never => RetryTime::Never,
        };
        self.park(now, exchange, Some(attempt.target), retry_time);
    }

    /// Ends an exchange without a response: as not run if no attempt may have
    /// run, otherwise as unknown.
    pub(super) fn end_without_response(
        &mut self,
        now: Timestamp,
        exchange: &mut Exchange,
        unanswered: UnknownReason,
    ) {
        match exchange.outcome_without_response(unanswered) {
            Outcome::NotRun(reason) => self.end_not_run(now, exchange, reason),
            outcome => self.end(now, exchange, outcome, None),
        }
    }

    /// Ends an exchange of which nothing ran.
    pub(super) fn end_not_run(
        &mut self,
        now: Timestamp,
        exchange: &mut Exchange,
        reason: NotRunReason,
    ) {
        let retry_after = self.retry_after(now, exchange, reason);
        self.end(now, exchange, Outcome::NotRun(reason), retry_after);
    }
}
