//! Becomes coordinator and computes until when earlier coordinators may act.

use std::time::Duration;

use threadledge_types::Timestamp;

use super::{Change, Election, Predecessor, State};
use crate::action::StoreRevision;
use crate::record::CoordinatorLease;
use crate::settings::Settings;

impl Election {
    /// Records that this node held the lease at `confirmed_at`. Returns a change
    /// if it became coordinator.
    pub(super) fn become_leader(
        &mut self,
        now: Timestamp,
        confirmed_at: Timestamp,
        lease: CoordinatorLease,
        revision: StoreRevision,
    ) -> Option<Change> {
        let was_leading = self.leading_term();
        let term = lease.term;
        let predecessor = self.predecessor(now);
        let earlier_orders_end = match &self.state {
            State::Leading {
                lease,
                earlier_orders_end,
                ..
            } if lease.term == term => *earlier_orders_end,
            _ => predecessor.map_or(Timestamp::ZERO, |earlier| earlier.orders_end),
        };
        self.state = State::Leading {
            lease,
            revision,
            confirmed_at,
            earlier_orders_end,
        };
        self.last_confirmed = now;
        self.next_call = now + self.settings.lease_renewal;
        if self.resigning {
            self.next_call = now;
        }
        if was_leading == Some(term) {
            return None;
        }
        self.seen = None;
        Some(Change::Elected { term, predecessor })
    }

    /// Returns which earlier coordinators may still send orders after an
    /// election that ended at `now`.
    fn predecessor(&self, now: Timestamp) -> Option<Predecessor> {
        let longest = Predecessor {
            orders_end: now + with_clock_drift(self.settings.lease, &self.settings),
            hold: self.settings.hold,
        };
        let Some(seen) = &self.seen else {
            // The previous lease was not seen. Assume the longest durations,
            // unless there certainly was none.
            return (!self.absent).then_some(longest);
        };
        if seen.lease.holder.is_none() {
            let earlier = Duration::from_millis(seen.lease.earlier_orders_ms);
            return Some(Predecessor {
                orders_end: now + with_clock_drift(earlier, &self.settings),
                hold: Duration::from_millis(seen.lease.hold_ms),
            });
        }
        let lease = Duration::from_millis(seen.lease.lease_ms);
        Some(Predecessor {
            orders_end: now + with_clock_drift(lease, &self.settings),
            hold: Duration::from_millis(seen.lease.hold_ms),
        })
    }
}

/// Returns `duration` as measured by the slowest clock.
fn with_clock_drift(duration: Duration, settings: &Settings) -> Duration {
    duration + duration * settings.clock_drift_percent / 100
}
