//! Handles the store's answers to calls for the lease.

use threadledge_types::Timestamp;

use super::{Call, Change, Election, SeenLease, State};
use crate::action::{Freshness, ReadResult, Versioned, WriteResult};
use crate::record::CoordinatorLease;

impl Election {
    /// Handles the result of a read.
    pub fn on_read(
        &mut self,
        now: Timestamp,
        freshness: Freshness,
        result: ReadResult<CoordinatorLease>,
    ) -> Option<Change> {
        let call = self.call.take()?;
        match result {
            ReadResult::Failed => {
                self.on_store_failure(now);
                None
            }
            ReadResult::Found(found) => self.on_found(now, call, freshness, found),
        }
    }

    /// Restarts the wait for a takeover, because a store that does not answer
    /// proves nothing about the coordinator.
    fn on_store_failure(&mut self, now: Timestamp) {
        if let Some(seen) = &mut self.seen {
            seen.since = now;
            seen.verified = false;
        }
        self.next_call = now + self.settings.retry_delay;
    }

    fn on_found(
        &mut self,
        now: Timestamp,
        call: Call,
        freshness: Freshness,
        found: Option<Versioned<CoordinatorLease>>,
    ) -> Option<Change> {
        let fresh = freshness == Freshness::Linearizable;
        let Some(found) = found else {
            self.absent = fresh;
            if fresh {
                self.seen = None;
            }
            self.next_call = if fresh && self.candidate {
                now
            } else {
                now + self.settings.standby_poll
            };
            return None;
        };
        if fresh && found.value.holder.as_ref() == Some(&self.me) {
            return self.become_leader(now, call.started, found.value, found.revision);
        }
        if found.value.holder.as_ref() == Some(&self.me) {
            // A write whose answer was lost took effect late.
            self.forget_seen();
            self.next_call = now;
            return None;
        }
        self.observe(now, fresh, found);
        self.next_call = now + self.settings.standby_poll;
        if let Some(seen) = &self.seen {
            let silence_limit = self.settings.takeover_after + self.takeover_delay;
            let due = seen.verified && now.since(seen.since) >= silence_limit;
            if self.candidate && due {
                self.next_call = now;
            }
            if let Some(free) = self.vacant_at(seen).filter(|_| self.candidate) {
                self.next_call = self.next_call.min(free.max(now));
            }
        }
        None
    }

    /// Updates the last seen lease.
    fn observe(&mut self, now: Timestamp, fresh: bool, found: Versioned<CoordinatorLease>) {
        let later = |seen: &SeenLease| found.revision > seen.revision;
        match &mut self.seen {
            Some(seen) if !later(seen) => seen.verified = fresh,
            _ => {
                self.seen = Some(SeenLease {
                    lease: found.value,
                    revision: found.revision,
                    since: now,
                    verified: fresh,
                });
            }
        }
    }

    /// Handles the result of a write. `attempted` is the lease that was
    /// written.
    pub fn on_write(
        &mut self,
        now: Timestamp,
        attempted: CoordinatorLease,
        result: WriteResult<CoordinatorLease>,
    ) -> Option<Change> {
        let call = self.call.take()?;
        match result {
            WriteResult::Accepted(revision) => {
                if attempted.holder.is_none() {
                    self.state = State::Resigned;
                    return None;
                }
                self.become_leader(now, call.started, attempted, revision)
            }
            WriteResult::Conflict(Some(found)) => self.on_conflict(now, call, found),
            WriteResult::Conflict(None) => self.on_lease_missing(now),
            WriteResult::NotDone | WriteResult::Unknown => {
                self.on_store_failure(now);
                if matches!(self.state, State::Standby) {
                    // The write may have taken effect. Read the lease before
                    // anything else, and do not count the store's silence as
                    // the holder's.
                    self.next_call = now + self.settings.retry_delay;
                    self.forget_seen();
                }
                None
            }
        }
    }

    /// Discards what was seen of the lease, so that the next read is
    /// linearizable.
    fn forget_seen(&mut self) {
        self.seen = None;
        self.absent = false;
    }

    fn on_conflict(
        &mut self,
        now: Timestamp,
        call: Call,
        found: Versioned<CoordinatorLease>,
    ) -> Option<Change> {
        if found.value.holder.as_ref() == Some(&self.me) {
            // A write whose answer was lost has taken effect.
            return self.become_leader(now, call.started, found.value, found.revision);
        }
        let change = self.step_down();
        self.seen = None;
        self.observe(now, true, found);
        self.next_call = now + self.settings.standby_poll;
        change
    }

    /// Steps down because the lease does not exist any more.
    fn on_lease_missing(&mut self, now: Timestamp) -> Option<Change> {
        let change = self.step_down();
        self.forget_seen();
        self.next_call = now;
        change
    }

    /// Gives up leadership if this node is the coordinator.
    pub(super) fn step_down(&mut self) -> Option<Change> {
        let term = self.leading_term()?;
        if self.resigning {
            self.state = State::Resigned;
        } else {
            self.state = State::Standby;
        }
        self.forget_seen();
        Some(Change::Deposed { term })
    }
}
