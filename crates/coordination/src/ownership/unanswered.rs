//! What follows from a release that its owner has not answered in time.

use std::time::Duration;

use threadledge_types::Timestamp;

use super::Ownership;
use super::releases::QUEUE_DRAIN;
use super::tracked::TrackedRange;
use crate::action::ReleaseReason;
use crate::holders::Holders;

/// Time before the end of the grants at which routers stop, instead of
/// [`QUEUE_DRAIN`], while a grant may still be carried out late.
const LATE_GRANT_DRAIN: Duration = Duration::from_millis(2_500);

/// What follows from a release that the owner has not answered in time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Unanswered {
    /// The owner keeps the keys.
    CallOff,
    /// Routers must send the owner no more requests for the keys.
    StopRequests,
}

impl Ownership {
    /// Returns when routers should stop sending requests to the owner of a
    /// range, because it has not answered the release. `None` if they have been
    /// asked already or need not be asked.
    fn returning_due(&self, now: Timestamp, tracked: &TrackedRange) -> Option<Timestamp> {
        tracked.releasing?;
        let decided = tracked.released.is_some() || tracked.returning_since.is_some();
        if decided || self.has_ended(tracked) {
            return None;
        }
        let expiry = self.grant_expiry(tracked);
        let drain = if tracked.arrivals.any_late(now) {
            LATE_GRANT_DRAIN
        } else {
            QUEUE_DRAIN
        };
        Some(Timestamp::ZERO + expiry.since(Timestamp::ZERO + drain))
    }

    /// Returns when something follows from the missing answer to a release. A
    /// move that can be called off waits for as long as an answer may take: the
    /// owner may be at work on the keys.
    pub(super) fn unanswered_due(
        &self,
        now: Timestamp,
        tracked: &TrackedRange,
    ) -> Option<Timestamp> {
        let due = self.returning_due(now, tracked)?;
        if !self.may_call_off(now, tracked) {
            return Some(due);
        }
        Some(due.max(tracked.release_began + self.settings.release_timeout))
    }

    /// Returns what follows from the missing answer to a release, if it is due.
    pub(super) fn unanswered(&self, now: Timestamp, tracked: &TrackedRange) -> Option<Unanswered> {
        let due = self.unanswered_due(now, tracked)?;
        if now < due {
            return None;
        }
        Some(match self.may_call_off(now, tracked) {
            true => Unanswered::CallOff,
            false => Unanswered::StopRequests,
        })
    }

    fn may_call_off(&self, now: Timestamp, tracked: &TrackedRange) -> bool {
        let is_optional = tracked.reason.is_some_and(ReleaseReason::is_optional);
        let owner = tracked.owner();
        is_optional && owner.is_some_and(|owner| self.holders.may_keep_keys(&owner.name, now))
    }

    /// Pauses the moves from owners whose release is being called off.
    pub(super) fn pause_moves(&mut self, now: Timestamp) {
        let mut owners = Vec::new();
        for tracked in &self.tracked {
            if self.unanswered(now, tracked) == Some(Unanswered::CallOff) {
                owners.extend(tracked.owner().map(|owner| owner.name.clone()));
            }
        }
        for owner in owners {
            self.holders.on_called_off(now, &owner);
        }
    }
}

/// Returns whether an owner can be asked for keys that it need not give up: it
/// accepted its current grant and will probably answer.
pub(super) fn may_ask(tracked: &TrackedRange, holders: &Holders, now: Timestamp) -> bool {
    let owner = tracked.owner();
    tracked.granted && owner.is_some_and(|owner| holders.may_be_asked(&owner.name, now))
}
