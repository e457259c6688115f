//! Takes keys back from their owners and computes the record that follows.

use std::time::Duration;

use threadledge_types::Timestamp;
use threadledge_types::deployment::KeyRange;

use super::draft::{Draft, candidates, held_ranges, release_reason};
use super::tracked::TrackedRange;
use super::unanswered::may_ask;
use super::{BALANCING_INTERVAL, Ownership};
use crate::action::{Notice, ReleaseEnd, ReleaseReason};
use crate::order::HandoverToken;
use crate::plan;
use crate::record::{Fence, OwnershipRecord};

/// Time for which routers send an owner no more requests before its keys may go
/// to another one without its answer. An owner that takes a grant late holds the
/// keys beside the next owner, and would begin the requests left in its queue.
pub(super) const QUEUE_DRAIN: Duration = Duration::from_millis(1_500);

impl Ownership {
    /// Finds owners that have restarted. They keep their keys under a higher
    /// fencing token: a renewal sent to the previous process may have reached
    /// the new one, so no other back end may get the keys before the new
    /// process has answered.
    pub(super) fn find_successors(&mut self) {
        for tracked in &mut self.tracked {
            let owner = tracked.slice.holder();
            let successor = owner.and_then(|owner| self.holders.successor(&owner.name));
            tracked.successor = successor.cloned();
        }
    }

    /// Starts to release keys of owners that may not keep them. `fence` must be
    /// higher than the fencing token of every grant. Owners of which only
    /// routers reported that they leave or rest keep their keys while the store
    /// does not answer, because the keys could not be assigned to others.
    pub(super) fn release_ineligible(&mut self, now: Timestamp, fence: Fence, store_answers: bool) {
        for tracked in &mut self.tracked {
            let Some(owner) = tracked.owner().cloned() else {
                continue;
            };
            if tracked.releasing.is_some() || tracked.successor.is_some() {
                continue;
            }
            if let Some(reason) = self.holders.ineligible(&owner.name, now) {
                if !store_answers && self.holders.is_reported_only(&owner.name, reason) {
                    self.recheck_owners = true;
                    continue;
                }
                let reason = release_reason(reason);
                if reason.is_optional() && !may_ask(tracked, &self.holders, now) {
                    self.recheck_owners = true;
                    continue;
                }
                tracked.release(now, fence, reason);
                self.notices.push(Notice::ReleaseStarted {
                    range: tracked.slice.range,
                    owner: owner.name,
                    fence,
                    reason,
                });
            }
        }
    }

    /// Starts to release keys of owners that hold too many, unless another move
    /// is in progress.
    pub(super) fn start_balancing(&mut self, now: Timestamp, fence: Fence) {
        let settled =
            |tracked: &TrackedRange| tracked.releasing.is_none() && tracked.owner().is_some();
        if now < self.next_balancing || !self.tracked.iter().all(settled) {
            return;
        }
        // Set before any early return. Otherwise the next check would come
        // right after the store answers again instead of a full interval later.
        self.next_balancing = now + BALANCING_INTERVAL;
        if now < self.load_wait_until && !self.load.has_enough_requests() {
            return;
        }
        self.load.apply_sudden_changes();
        let candidates = candidates(now, &self.holders, &self.load, &self.tokens, &self.tracked);
        let held = held_ranges(self.tracked.iter().map(|tracked| &tracked.slice));
        for range in plan::rebalance(&held, &candidates, &self.load.key_weights()) {
            let contains = |tracked: &&TrackedRange| tracked.slice.range.contains(range.first);
            let tracked = self.tracked.iter().find(contains);
            if tracked.is_some_and(|tracked| may_ask(tracked, &self.holders, now)) {
                self.release_range(now, range, fence);
            }
        }
    }

    /// Starts to release `range` and tracks it separately from the rest of its
    /// slice.
    pub(super) fn release_range(&mut self, now: Timestamp, range: KeyRange, fence: Fence) {
        let contains = |tracked: &TrackedRange| tracked.slice.range.contains(range.first);
        let Some(index) = self.tracked.iter().position(contains) else {
            return;
        };
        let pieces = self.tracked[index].clone().split_out(range);
        self.tracked.splice(index..=index, pieces);
        let Some(piece) = self
            .tracked
            .iter_mut()
            .find(|tracked| tracked.slice.range == range)
        else {
            return;
        };
        piece.release(now, fence, ReleaseReason::Balance);
        if let Some(owner) = piece.owner() {
            self.notices.push(Notice::ReleaseStarted {
                range,
                owner: owner.name.clone(),
                fence,
                reason: ReleaseReason::Balance,
            });
        }
    }

    /// Reports each release that has ended since the last call.
    pub(super) fn report_ended_releases(&mut self, now: Timestamp) {
        for index in 0..self.tracked.len() {
            let tracked = &self.tracked[index];
            let Some(fence) = tracked.releasing.filter(|_| !tracked.end_reported) else {
                continue;
            };
            let Some(owner) = tracked.owner().map(|owner| owner.name.clone()) else {
                continue;
            };
            if self.released(now, index).is_none() {
                continue;
            }
            let end = if tracked.released.is_some() {
                ReleaseEnd::Answered
            } else if self.has_ended(tracked) {
                ReleaseEnd::HolderEnded
            } else {
                ReleaseEnd::Expired
            };
            self.notices.push(Notice::ReleaseEnded {
                range: tracked.slice.range,
                owner,
                fence,
                end,
                took: now.since(tracked.release_began),
                grant_answered: tracked.arrivals.newest_answered(),
            });
            if end == ReleaseEnd::HolderEnded {
                self.notices.extend(self.end_proof(now, tracked));
            }
            self.tracked[index].end_reported = true;
        }
    }

    /// Returns the notice of what proved that the owner of a range has ended.
    fn end_proof(&self, now: Timestamp, tracked: &TrackedRange) -> Option<Notice> {
        let owner = tracked.owner()?;
        let evidence = self.holders.end_evidence(now, owner)?;
        Some(Notice::HolderEndProved {
            range: tracked.slice.range,
            owner: owner.name.clone(),
            proof: evidence.proof,
            age: now.since(evidence.since),
        })
    }

    /// Returns whether the record may have to change. This check avoids
    /// computing a draft from all slices after each answer to a renewal, when
    /// there is hardly ever anything to write.
    pub(super) fn needs_write(&self, now: Timestamp) -> bool {
        let pending = |(index, tracked): (usize, &TrackedRange)| {
            tracked.fenced
                || tracked.successor.is_some()
                || tracked.owner().is_none()
                || (tracked.releasing.is_some() && self.released(now, index).is_some())
                || self.unanswered(now, tracked).is_some()
        };
        self.tracked.iter().enumerate().any(pending)
    }

    /// Computes the next record.
    pub(super) fn next_record(
        &mut self,
        now: Timestamp,
        current: &OwnershipRecord,
    ) -> OwnershipRecord {
        let draft = Draft {
            now,
            holders: &self.holders,
            load: &self.load,
            tokens: &self.tokens,
            tracked: &self.tracked,
            registration_wait_over: self.registration_wait_end(now).is_none(),
            released: (0..self.tracked.len())
                .map(|index| self.released(now, index))
                .collect(),
            unanswered: self
                .tracked
                .iter()
                .map(|tracked| self.unanswered(now, tracked))
                .collect(),
        };
        let drafted = draft.make(current);
        self.pause_moves(now);
        self.pending_notices = drafted.notices;
        let mut record = drafted.record;
        if record != *current {
            let mut former = self.former.clone();
            former.update(now, &self.tracked, &record.slices);
            record.former = former.to_record();
        }
        record
    }

    /// Returns `Some` if the owner of a range no longer holds it, with the
    /// handover token if there is one.
    pub(super) fn released(&self, now: Timestamp, index: usize) -> Option<Option<HandoverToken>> {
        let tracked = self.tracked.get(index)?;
        if let Some(handover) = &tracked.released {
            return Some(handover.clone());
        }
        let expiry = self.release_expiry(tracked)?;
        // A grant that has not ended may arrive at any time, even after its
        // connection should have been closed, because this process may have
        // been suspended.
        let arrived = self.has_ended(tracked) || !tracked.arrivals.any_open();
        (arrived && now >= expiry).then_some(None)
    }

    /// Returns when a range that is being released may be given to another
    /// owner, even if its owner never answers: its grant has certainly expired,
    /// and the requests that were sent to it have left its queue. `None` until
    /// the record asks routers to send no more.
    pub(super) fn release_expiry(&self, tracked: &TrackedRange) -> Option<Timestamp> {
        tracked.releasing?;
        // Only an answer proves this. Waiting for the grants to expire anyway
        // served 0.934 of the credit in time instead of 0.952 (mean of six days
        // on which two fifths of the owners crash and restart).
        if self.has_ended(tracked) {
            return Some(Timestamp::ZERO);
        }
        let queue_empty = tracked.returning_since? + QUEUE_DRAIN;
        Some(self.grant_expiry(tracked).max(queue_empty))
    }

    /// Returns when the grants of a range have certainly expired, if the owner
    /// carried them out as they arrived.
    pub(super) fn grant_expiry(&self, tracked: &TrackedRange) -> Timestamp {
        let own_expiry = self
            .settings
            .hold_expiry(tracked.arrivals.latest(), self.settings.hold);
        match self.predecessor {
            Some(predecessor) if !tracked.fence_acknowledged => {
                let orders_end = predecessor.orders_end + self.settings.max_grant_transit();
                own_expiry.max(self.settings.hold_expiry(orders_end, predecessor.hold))
            }
            _ => own_expiry,
        }
    }

    /// Returns whether the owner is known to have ended and nobody holds its
    /// keys.
    pub(super) fn has_ended(&self, tracked: &TrackedRange) -> bool {
        let owner = tracked.owner();
        owner.is_some_and(|owner| self.holders.holds_nothing(owner))
    }
}
