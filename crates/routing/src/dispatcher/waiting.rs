//! Exchanges that wait for an owner, for their next attempt or for a slot.

use std::time::Duration;

use threadledge_types::{NotRunReason, Timestamp, UnknownReason};

use super::core::Core;
use crate::attempt::Step;
use crate::backoff::backoff;
use crate::exchange::{Exchange, Parked, RetryTime, State, Target};
use crate::queue::PushOutcome;
use crate::table::BackEndIndex;

impl Core {
    /// Parks an exchange until there is another owner than `avoid`, or until
    /// that one may be tried again.
    pub(super) fn park(
        &mut self,
        now: Timestamp,
        exchange: &mut Exchange,
        avoid: Option<Target>,
        retry: RetryTime,
    ) {
        if exchange.parked_since.is_none() {
            exchange.parked_since = Some(now);
            self.counters.parked += 1;
        }
        self.set_state(exchange, State::Parked(Parked { avoid, retry }));
    }

    /// Returns the time of the next attempt at the same owner.
    pub(super) fn retry_time(&self, now: Timestamp, exchange: &Exchange) -> Timestamp {
        let rounds = exchange.attempts_made + exchange.retries_denied;
        let draw = exchange.request_id ^ u64::from(rounds);
        let (initial_backoff, max_backoff) =
            (self.settings.backoff_min(), self.settings.backoff_max());
        now + backoff(initial_backoff, max_backoff, rounds, draw)
    }

    /// Resumes a parked exchange if its owner changed or its retry is due;
    /// otherwise returns how long to wait, or gives it up.
    pub(super) fn wait_parked(
        &mut self,
        now: Timestamp,
        exchange: &mut Exchange,
        parked: Parked,
    ) -> Option<Step> {
        let owner = self.usable_owner(now, exchange);
        if let Some(owner) = owner
            && parked.avoid != Some(owner)
        {
            // Sending to another assignment takes no retry token, because there
            // are no more such attempts than changes of the owner.
            self.counters.reroutes += u64::from(parked.avoid.is_some());
            self.set_state(exchange, State::Ready);
            return None;
        }
        let give_up = self.give_up_time(now, exchange);
        if now >= give_up {
            self.end_without_response(now, exchange, UnknownReason::ConnectionLost);
            return None;
        }
        let retry_at = match (parked.retry, owner) {
            (RetryTime::Never, _) | (RetryTime::AfterProbe, None) => {
                return Some(Step::Wait { until: give_up });
            }
            (RetryTime::AfterProbe, Some(owner)) => {
                return self.wait_for_owner_to_accept(now, exchange, owner, give_up);
            }
            (RetryTime::At(retry_at), _) => retry_at,
        };
        if exchange.not_run == NotRunReason::Overloaded && retry_at >= give_up {
            // The request could not be retried before it is given up, so it is
            // ended now.
            self.end_without_response(now, exchange, UnknownReason::ConnectionLost);
            return None;
        }
        if now < retry_at || owner.is_none() {
            let until = if now < retry_at {
                retry_at.min(give_up)
            } else {
                give_up
            };
            return Some(Step::Wait { until });
        }
        self.retry_or_postpone(now, exchange, parked);
        None
    }

    /// Retries at the same owner if the retry budget has a token. Without a
    /// token, a request that may have run, or that the owner had no capacity
    /// for, is ended so that its caller is told immediately. Others keep
    /// waiting for another owner, with nothing sent.
    fn retry_or_postpone(&mut self, now: Timestamp, exchange: &mut Exchange, parked: Parked) {
        let back_end = parked
            .avoid
            .and_then(|target| self.back_ends.get_mut(&target.back_end));
        if back_end.is_none_or(|back_end| back_end.withdraw_retry(now)) {
            self.counters.retries += 1;
            self.set_state(exchange, State::Ready);
            return;
        }
        self.counters.retries_denied += 1;
        if exchange.unresolved.is_some() || exchange.not_run == NotRunReason::Overloaded {
            self.end_without_response(now, exchange, UnknownReason::ConnectionLost);
            return;
        }
        exchange.retries_denied += 1;
        let retry_at = self.retry_time(now, exchange);
        self.park(now, exchange, parked.avoid, RetryTime::At(retry_at));
    }

    /// Returns the time at which a parked exchange is given up. Waiting with
    /// nothing sent is always safe, so every request waits for an owner; only
    /// overload is reported soon to requests that may not queue.
    fn give_up_time(&self, now: Timestamp, exchange: &Exchange) -> Timestamp {
        let max_wait = match exchange.not_run {
            NotRunReason::Overloaded if exchange.may_queue => return exchange.deadline,
            NotRunReason::Overloaded => self.settings.short_wait(),
            _ => self.settings.owner_wait(),
        };
        let since = exchange.parked_since.unwrap_or(now);
        exchange.deadline.min(since + max_wait)
    }

    /// Adds an exchange to the queue of a back end. If it could not meet its
    /// deadline anyway, it is ended immediately.
    pub(super) fn enqueue(&mut self, now: Timestamp, exchange: &mut Exchange, index: BackEndIndex) {
        let Some(back_end) = self.back_ends.get_mut(&index) else {
            return;
        };
        let position = exchange.queue_position();
        let ejected = back_end.ejection.is_ejected();
        exchange.not_run = if ejected {
            NotRunReason::Unreachable
        } else {
            NotRunReason::Overloaded
        };
        let wait = back_end.expected_wait(now, position);
        let response_time = back_end.latency.recent().unwrap_or(Duration::ZERO);
        let until = queue_wait_deadline(now, exchange, ejected, &self.settings);
        let misses_deadline = now + wait > until || now + wait + response_time > exchange.deadline;
        if misses_deadline {
            self.counters.shed += 1;
            self.end_without_response(now, exchange, UnknownReason::ConnectionLost);
            return;
        }
        match back_end.queue.push(position) {
            PushOutcome::Queued => {}
            PushOutcome::Displaced(other) => {
                self.counters.displaced += 1;
                self.wakeups.insert(other);
            }
            PushOutcome::Full => {
                self.counters.shed += 1;
                self.end_without_response(now, exchange, UnknownReason::ConnectionLost);
                return;
            }
        }
        self.counters.queued += 1;
        let back_end = index;
        self.set_state(exchange, State::Queued { back_end, until });
    }

    /// Sends a queued exchange once it was granted a slot; otherwise returns
    /// how long to wait, or ends it.
    pub(super) fn wait_queued(
        &mut self,
        now: Timestamp,
        exchange: &mut Exchange,
        index: BackEndIndex,
        until: Timestamp,
    ) -> Option<Step> {
        self.grant_slots(now, index);
        let owner = self.usable_owner(now, exchange);
        let Some(back_end) = self.back_ends.get_mut(&index) else {
            self.set_state(exchange, State::Ready);
            return None;
        };
        let granted = back_end.take_granted_slot(exchange.id);
        let position = exchange.queue_position();
        match owner {
            Some(owner) if owner.back_end == index => {
                if granted {
                    return self.start_attempt(now, exchange, owner, false);
                }
            }
            _ => {
                // The slice has moved, or its owner is draining.
                back_end.queue.remove(position);
                self.grant_slots(now, index);
                self.wake_queue_head(now, index);
                self.set_state(exchange, State::Ready);
                return None;
            }
        }
        let back_end = self.back_ends.get_mut(&index)?;
        let still_queued = back_end.queue.contains(position);
        if !still_queued || now >= until {
            back_end.queue.remove(position);
            self.wake_queue_head(now, index);
            self.end_without_response(now, exchange, UnknownReason::ConnectionLost);
            return None;
        }
        let is_first = back_end.queue.first() == Some(exchange.id);
        let change = back_end.next_change(now).filter(|_| is_first);
        let until = change.map_or(until, |change| change.min(until));
        Some(Step::Wait { until })
    }
}

/// Returns the time until which a request may wait for a slot. While the back
/// end is ejected, the request is not waiting because of overload, and waiting
/// is safe, so the limit for waiting for an owner applies.
fn queue_wait_deadline(
    now: Timestamp,
    exchange: &Exchange,
    ejected: bool,
    settings: &crate::settings::Settings,
) -> Timestamp {
    let max_wait = if exchange.may_queue {
        return exchange.deadline;
    } else if ejected {
        settings.owner_wait()
    } else {
        settings.short_wait()
    };
    exchange.deadline.min(now + max_wait)
}
