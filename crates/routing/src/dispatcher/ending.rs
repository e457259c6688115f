//! Ends exchanges and releases what they hold.

use std::time::Duration;

use threadledge_types::{NotRunReason, Outcome, Timestamp};

use super::admission::DEFAULT_RETRY_AFTER;
use super::core::Core;
use crate::attempt::Finish;
use crate::exchange::{Exchange, State};

/// Maximum `Retry-After` time given to callers.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(30);

impl Core {
    /// Sets the single outcome of an exchange and releases what it holds. An
    /// exchange that has ended keeps its outcome.
    pub(super) fn end(
        &mut self,
        now: Timestamp,
        exchange: &mut Exchange,
        outcome: Outcome,
        retry_after: Option<Duration>,
    ) {
        if matches!(exchange.state, State::Ended(_)) {
            return;
        }
        self.counters.count_outcome(outcome);
        let finish = Finish {
            outcome,
            retry_after,
            attempts: exchange.attempts_made,
        };
        self.release_resources(now, exchange);
        exchange.state = State::Ended(finish);
    }

    /// Ends an exchange whose caller disconnected. There is no outcome to
    /// report.
    pub(super) fn abandon(&mut self, now: Timestamp, exchange: &mut Exchange) {
        if matches!(exchange.state, State::Ended(_)) {
            return;
        }
        self.counters.caller_gone += 1;
        self.release_resources(now, exchange);
    }

    /// Returns the `Retry-After` time for a caller, if the reason has one.
    pub(super) fn retry_after(
        &self,
        now: Timestamp,
        exchange: &Exchange,
        reason: NotRunReason,
    ) -> Option<Duration> {
        if reason.status() < 429 {
            return None;
        }
        let owner = self.table.owner_entry(exchange.service, exchange.point);
        let back_end = owner.and_then(|owner| self.back_ends.get(&owner.back_end));
        let wait = back_end.map(|back_end| back_end.expected_wait(now, exchange.queue_position()));
        let wait = wait.unwrap_or(DEFAULT_RETRY_AFTER);
        Some(wait.clamp(DEFAULT_RETRY_AFTER, MAX_RETRY_AFTER))
    }

    /// Frees everything an exchange holds: its queue position, slots and share.
    fn release_resources(&mut self, now: Timestamp, exchange: &mut Exchange) {
        self.leave_queue(now, exchange);
        self.leave_owner_refusals(exchange);
        for attempt in std::mem::take(&mut exchange.attempts) {
            self.release(now, exchange.id, &attempt);
        }
        // Cancellations not yet issued are covered by `Finish`.
        exchange.cancellations.clear();
        if exchange.is_evictable {
            exchange.is_evictable = false;
            self.shares
                .stop_waiting(&exchange.namespace, exchange.eviction_order());
        }
        self.shares.remove_exchange(&exchange.namespace);
        let key = (exchange.service, exchange.point, exchange.id);
        self.by_point.remove(&key);
        self.wakeups.remove(&exchange.id);
    }

    fn leave_queue(&mut self, now: Timestamp, exchange: &Exchange) {
        let State::Queued {
            back_end: index, ..
        } = exchange.state
        else {
            return;
        };
        let Some(back_end) = self.back_ends.get_mut(&index) else {
            return;
        };
        back_end.queue.remove(exchange.queue_position());
        back_end.take_granted_slot(exchange.id);
        self.grant_slots(now, index);
        self.wake_queue_head(now, index);
    }
}
