//! Computes the next step of an exchange.

use threadledge_types::{NotRunReason, Outcome, Timestamp, UnknownReason};

use super::core::Core;
use crate::attempt::{Attempt, AttemptNumber, Step};
use crate::exchange::{Exchange, RetryTime, RunningAttempt, State, Target};

impl Core {
    /// Advances the exchange until there is a step for the shell.
    pub(super) fn advance(&mut self, now: Timestamp, exchange: &mut Exchange) -> Step {
        loop {
            if let Some(number) = exchange.cancellations.pop() {
                return Step::Cancel(number);
            }
            if let Some(step) = self.advance_once(now, exchange) {
                return step;
            }
        }
    }

    /// Advances the exchange by one transition. Returns a step if there is one
    /// for the shell.
    fn advance_once(&mut self, now: Timestamp, exchange: &mut Exchange) -> Option<Step> {
        match exchange.state {
            State::Ended(finish) => Some(Step::Finish(finish)),
            State::Delivering {
                attempt,
                announced: false,
                complete,
            } => {
                let state = State::Delivering {
                    attempt,
                    announced: true,
                    complete,
                };
                self.set_state(exchange, state);
                Some(Step::Deliver(attempt))
            }
            State::Delivering { complete: true, .. } => {
                self.end(now, exchange, Outcome::Answered, None);
                None
            }
            _ if now >= exchange.deadline => {
                self.end_at_deadline(now, exchange);
                None
            }
            State::Delivering { .. } => Some(Step::Wait {
                until: exchange.deadline,
            }),
            State::Ready => self.route(now, exchange),
            State::Parked(parked) => self.wait_parked(now, exchange, parked),
            State::Queued { back_end, until } => self.wait_queued(now, exchange, back_end, until),
            State::Running => self.wait_running(now, exchange),
        }
    }

    /// Sends the request to the owner, queues it for a slot there, or parks it
    /// until there is an owner.
    fn route(&mut self, now: Timestamp, exchange: &mut Exchange) -> Option<Step> {
        if self.table.service(exchange.service).is_none() {
            self.end_not_run(now, exchange, NotRunReason::NoRoute);
            return None;
        }
        let Some(owner) = self.usable_owner(now, exchange) else {
            exchange.not_run = NotRunReason::NoOwner;
            self.park(now, exchange, None, RetryTime::Never);
            return None;
        };
        self.grant_slots(now, owner.back_end);
        let back_end = self.back_ends.get(&owner.back_end)?;
        if back_end.queue.is_empty() && back_end.has_slot(now) {
            return self.start_attempt(now, exchange, owner, false);
        }
        self.enqueue(now, exchange, owner.back_end);
        None
    }

    /// Starts an attempt.
    pub(super) fn start_attempt(
        &mut self,
        now: Timestamp,
        exchange: &mut Exchange,
        target: Target,
        hedge: bool,
    ) -> Option<Step> {
        let back_end = self.back_ends.get_mut(&target.back_end)?;
        exchange.attempts_made += 1;
        let number = AttemptNumber(exchange.attempts_made);
        if exchange.attempts_made == 1 {
            back_end.retries.deposit();
            back_end.hedges.deposit();
        }
        back_end.start_attempt(now, exchange.id, number);
        let attempt = Attempt {
            number,
            back_end: back_end.id.clone(),
            incarnation: target.incarnation,
            address: back_end.address,
            epoch: target.epoch,
            service: exchange.service_id.clone(),
            point: exchange.point,
            request_id: exchange.request_id,
            deadline_left: exchange.deadline.since(now),
            connection_limit: back_end.connection_limit,
            hedge,
        };
        exchange.attempts.push(RunningAttempt {
            number,
            target,
            started: now,
            sent_at: None,
            hedge,
        });
        self.counters.attempts += 1;
        self.set_state(exchange, State::Running);
        Some(Step::Send(attempt))
    }

    /// Waits for a response. A repeatable request may get a second attempt.
    fn wait_running(&mut self, now: Timestamp, exchange: &mut Exchange) -> Option<Step> {
        if exchange.attempts.is_empty() {
            self.set_state(exchange, State::Ready);
            return None;
        }
        let mut until = exchange.deadline;
        if let Some(target) = self.replacement_owner(now, exchange) {
            exchange.hedged = true;
            self.counters.reroutes += 1;
            return self.start_attempt(now, exchange, target, true);
        }
        if !exchange.may_run_concurrently() && self.all_attempts_lost(exchange) {
            // No response can arrive any more, so the outcome is final
            // regardless of the time left.
            let outcome = Outcome::Unknown(UnknownReason::OwnerLost);
            self.end(now, exchange, outcome, None);
            return None;
        }
        if let Some(hedge_at) = self.hedge_time(exchange) {
            if hedge_at > now {
                until = until.min(hedge_at);
            } else if let Some(target) = self.try_hedge(now, exchange) {
                return self.start_attempt(now, exchange, target, true);
            }
        }
        Some(Step::Wait { until })
    }

    /// Whether every attempt was sent to a back-end process that has ended
    /// since. Such a process may not run anything any more, and is unlikely to
    /// report what it ran before.
    fn all_attempts_lost(&self, exchange: &Exchange) -> bool {
        let mut attempts = exchange.attempts.iter();
        attempts.all(|attempt| attempt.sent_at.is_some() && self.has_process_ended(attempt.target))
    }

    /// Whether the back-end process of this assignment has ended.
    fn has_process_ended(&self, target: Target) -> bool {
        let back_end = self.back_ends.get(&target.back_end);
        back_end.is_none_or(|back_end| !back_end.is_current(target.incarnation))
    }

    /// Returns the new owner for a repeatable request whose only attempt went
    /// to a back-end process that has ended and would not respond before the
    /// deadline.
    fn replacement_owner(&self, now: Timestamp, exchange: &Exchange) -> Option<Target> {
        let attempt = only_hedgeable_attempt(exchange)?;
        if !self.has_process_ended(attempt.target) {
            return None;
        }
        let owner = self.usable_owner(now, exchange)?;
        let back_end = self.back_ends.get(&owner.back_end)?;
        (owner != attempt.target && back_end.has_slot(now)).then_some(owner)
    }

    /// Time at which a hedge is due, when the attempt has taken longer than
    /// most responses of this back end.
    fn hedge_time(&self, exchange: &Exchange) -> Option<Timestamp> {
        let attempt = only_hedgeable_attempt(exchange)?;
        let back_end = self.back_ends.get(&attempt.target.back_end)?;
        let after = crate::hedge::hedge_delay(&back_end.latency, &self.settings)?;
        Some(attempt.started + after)
    }

    /// Returns the target of a hedge and takes a token of the hedge budget, if
    /// hedging is allowed. A key has one owner, so the hedge goes to the same
    /// back end over another connection: it helps when a connection or one slot
    /// hangs and harms when the back end is busy. It therefore requires a free
    /// slot, an empty queue and a token.
    fn try_hedge(&mut self, now: Timestamp, exchange: &mut Exchange) -> Option<Target> {
        let running = only_hedgeable_attempt(exchange)?.target;
        let owner = self.usable_owner(now, exchange)?;
        let back_end = self.back_ends.get_mut(&owner.back_end)?;
        let idle =
            back_end.queue.is_empty() && back_end.has_slot(now) && !back_end.ejection.is_ejected();
        // Hedging is considered only once per exchange, whatever the decision.
        exchange.hedged = true;
        if owner != running || !idle || !back_end.hedges.withdraw() {
            return None;
        }
        self.counters.hedges += 1;
        Some(owner)
    }

    /// Ends an exchange whose deadline has passed. Attempts that ran long
    /// enough without a response count as failures of their back ends.
    fn end_at_deadline(&mut self, now: Timestamp, exchange: &mut Exchange) {
        // A back end that has started its response is not blamed: a caller that
        // reads slowly may be what delayed it.
        let delivering = matches!(exchange.state, State::Delivering { .. });
        let unanswered = exchange
            .attempts
            .clone()
            .into_iter()
            .filter(|_| !delivering);
        for attempt in unanswered {
            let age = now.since(attempt.started);
            if age >= self.settings.timeout_evidence() {
                self.on_back_end_failure(now, attempt.target.back_end);
            }
        }
        if matches!(exchange.state, State::Queued { .. } | State::Running) {
            exchange.not_run = NotRunReason::DeadlinePassed;
        }
        let late = UnknownReason::DeadlinePassed;
        if matches!(exchange.state, State::Delivering { .. }) {
            self.end(now, exchange, Outcome::Unknown(late), None);
        } else {
            self.end_without_response(now, exchange, late);
        }
    }
}

/// Returns the only running attempt of an exchange, if a second one may be sent
/// concurrently.
fn only_hedgeable_attempt(exchange: &Exchange) -> Option<&RunningAttempt> {
    match exchange.attempts.as_slice() {
        [attempt] if exchange.may_run_concurrently() && !exchange.hedged => Some(attempt),
        _ => None,
    }
}
