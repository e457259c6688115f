//! Election of the coordinator by a lease in the store, which is taken and
//! renewed with conditional writes.
//!
//! A standby polls the lease with cheap, possibly stale reads. If it has seen
//! no renewal for long enough while the store answered, it makes a linearizable
//! read and then takes the lease. If two standbys do so at the same time, the
//! condition of one of the writes fails.
//!
//! A coordinator acts only within its lease. The lease counts from the start of
//! the last call that proved that it was still the coordinator.

mod answers;
mod leadership;

use std::time::Duration;

use threadledge_types::Timestamp;

use crate::action::{Action, Condition, Freshness, StoreRevision};
use crate::record::{CoordinatorLease, NodeIdentity, Term};
use crate::settings::Settings;

/// Limits on the activity of earlier coordinators that a new one must respect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Predecessor {
    /// Time by which they have certainly sent their last order.
    pub orders_end: Timestamp,
    /// Duration of their grants.
    pub hold: Duration,
}

/// A change of the coordinator.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// This node was elected.
    Elected {
        /// Its term.
        term: Term,
        /// The coordinators that may have been active until now, if any.
        predecessor: Option<Predecessor>,
    },
    /// This node lost the lease to another node.
    Deposed {
        /// The term that ended.
        term: Term,
    },
}

/// Time after a confirmation of the lease for which the store is expected to
/// answer.
const RECENT_CONFIRMATION: Duration = Duration::from_millis(100);

/// Role of this node.
#[derive(Clone, Debug)]
enum State {
    /// Another node may hold the lease.
    Standby,
    /// This node holds the lease, as far as it knows.
    Leading {
        lease: CoordinatorLease,
        revision: StoreRevision,
        /// Start of the last call that proved that this node holds the lease.
        confirmed_at: Timestamp,
        /// Coordinators before this one send no order after this time.
        earlier_orders_end: Timestamp,
    },
    /// This node takes no further part in elections.
    Resigned,
}

/// The lease in the state in which this node last saw it change.
#[derive(Clone, Debug)]
struct SeenLease {
    lease: CoordinatorLease,
    revision: StoreRevision,
    /// No renewal has been seen since then, while the store answered.
    since: Timestamp,
    /// True if the last read was linearizable.
    verified: bool,
}

/// A store call in progress.
#[derive(Clone, Copy, Debug)]
struct Call {
    started: Timestamp,
}

/// The election state of one node for one service.
#[derive(Debug)]
pub struct Election {
    me: NodeIdentity,
    settings: Settings,
    /// Time that this node waits in addition to [`Settings::takeover_after`],
    /// so that standbys take over one after the other.
    takeover_delay: Duration,
    state: State,
    seen: Option<SeenLease>,
    /// True if the last linearizable read found no lease.
    absent: bool,
    call: Option<Call>,
    next_call: Timestamp,
    /// Time at which the store last confirmed the lease of this node.
    last_confirmed: Timestamp,
    candidate: bool,
    resigning: bool,
}

impl Election {
    /// Creates a standby. `takeover_delay` differs between nodes.
    pub fn new(me: NodeIdentity, settings: Settings, takeover_delay: Duration) -> Self {
        Election {
            me,
            settings,
            takeover_delay,
            state: State::Standby,
            seen: None,
            absent: false,
            call: None,
            next_call: Timestamp::ZERO,
            last_confirmed: Timestamp::ZERO,
            candidate: false,
            resigning: false,
        }
    }

    /// Sets how much longer than the configured time this node waits before it
    /// takes over.
    pub fn set_takeover_delay(&mut self, takeover_delay: Duration) {
        self.takeover_delay = takeover_delay;
    }

    /// Sets whether this node may become coordinator.
    pub fn set_candidate(&mut self, candidate: bool) {
        self.candidate = candidate;
    }

    /// Returns the current term if this node is the coordinator as far as it
    /// knows.
    pub fn leading_term(&self) -> Option<Term> {
        match &self.state {
            State::Leading { lease, .. } => Some(lease.term),
            State::Standby | State::Resigned => None,
        }
    }

    /// Returns whether this node certainly holds the lease, so that it may send
    /// orders.
    pub fn holds_lease(&self, now: Timestamp) -> bool {
        match &self.state {
            State::Leading { confirmed_at, .. } => now < *confirmed_at + self.settings.lease,
            State::Standby | State::Resigned => false,
        }
    }

    /// Returns whether the store confirmed the lease so recently that no
    /// standby can have taken over yet.
    pub fn excludes_takeover(&self, now: Timestamp) -> bool {
        match &self.state {
            State::Leading { confirmed_at, .. } => {
                now < *confirmed_at + self.settings.takeover_after
            }
            State::Standby | State::Resigned => false,
        }
    }

    /// Returns whether the lease is being released.
    pub fn is_resigning(&self) -> bool {
        self.resigning
    }

    /// Returns whether the store has just confirmed the lease, so that it will
    /// very likely accept the next write.
    pub fn recently_confirmed(&self, now: Timestamp) -> bool {
        self.leading_term().is_some() && now.since(self.last_confirmed) < RECENT_CONFIRMATION
    }

    /// Returns the term and holder of the lease as last seen.
    pub fn last_seen_holder(&self) -> Option<(Term, Option<&NodeIdentity>)> {
        match &self.state {
            State::Leading { lease, .. } => Some((lease.term, lease.holder.as_ref())),
            State::Standby | State::Resigned => {
                let seen = self.seen.as_ref()?;
                Some((seen.lease.term, seen.lease.holder.as_ref()))
            }
        }
    }

    /// Releases the lease with the next call. No order may be sent after this.
    pub fn resign(&mut self, now: Timestamp) {
        self.candidate = false;
        match self.state {
            State::Leading { .. } if self.resigning => {}
            State::Leading { .. } => {
                self.resigning = true;
                self.next_call = now;
            }
            State::Standby | State::Resigned => self.state = State::Resigned,
        }
    }

    /// Returns whether the lease was released after [`Election::resign`], or
    /// was not held then.
    pub fn has_resigned(&self) -> bool {
        matches!(self.state, State::Resigned)
    }

    /// Steps down because another node wrote a record with a higher term, and
    /// reads the lease again at once.
    pub fn on_superseded(&mut self, now: Timestamp) -> Option<Change> {
        let change = self.step_down();
        self.next_call = now;
        change
    }

    /// Returns the latest time at which [`Election::poll`] must be called next.
    pub fn next_wake(&self) -> Option<Timestamp> {
        if self.call.is_some() || matches!(self.state, State::Resigned) {
            return None;
        }
        Some(self.next_call)
    }

    /// Returns the call to make now, if any. At most one call runs at a time.
    pub fn poll(&mut self, now: Timestamp) -> Option<Action> {
        if self.call.is_some() || now < self.next_call {
            return None;
        }
        let action = match &self.state {
            State::Resigned => return None,
            State::Leading {
                lease,
                revision,
                earlier_orders_end,
                ..
            } => {
                let renewed = self.renewed(lease, earlier_orders_end.since(now));
                Action::WriteLease(renewed, Condition::Revision(*revision))
            }
            State::Standby => self.standby_action(now),
        };
        self.call = Some(Call { started: now });
        Some(action)
    }

    /// Returns the next write of the lease of this node. A write that releases
    /// the lease states for how long earlier coordinators may still send
    /// orders. The next holder cannot see from whom this node took the lease,
    /// and that coordinator may be cut off from the store and still renew
    /// grants.
    fn renewed(&self, lease: &CoordinatorLease, earlier_orders: Duration) -> CoordinatorLease {
        let mut renewed = lease.clone();
        renewed.renewals += 1;
        if self.resigning {
            renewed.holder = None;
            renewed.earlier_orders_ms = millis(earlier_orders);
        }
        renewed
    }

    /// Returns the call of a standby: a read of the lease, or a write that takes
    /// it.
    fn standby_action(&mut self, now: Timestamp) -> Action {
        let Some(seen) = &self.seen else {
            if !self.candidate {
                return Action::ReadLease(Freshness::Stale);
            }
            if self.absent {
                return Action::WriteLease(self.first_lease(), Condition::Absent);
            }
            return Action::ReadLease(Freshness::Linearizable);
        };
        if !self.candidate {
            return Action::ReadLease(Freshness::Stale);
        }
        let free = self.vacant_at(seen).is_some_and(|at| now >= at);
        if !free {
            let silence_limit = self.settings.takeover_after + self.takeover_delay;
            if now.since(seen.since) < silence_limit {
                return Action::ReadLease(Freshness::Stale);
            }
            if !seen.verified {
                return Action::ReadLease(Freshness::Linearizable);
            }
        }
        self.take_lease()
    }

    /// Returns when the lease becomes free to take without waiting for a
    /// timeout: it was released, or its holder was an earlier process on this
    /// machine.
    ///
    /// A released lease is taken by one standby after the other, not by all at
    /// once.
    fn vacant_at(&self, seen: &SeenLease) -> Option<Timestamp> {
        match &seen.lease.holder {
            None => Some(seen.since + self.takeover_delay),
            Some(holder) => {
                let mine = holder.node == self.me.node && holder != &self.me;
                mine.then_some(seen.since)
            }
        }
    }

    /// Returns the lease for the first term, held by this node.
    fn first_lease(&self) -> CoordinatorLease {
        CoordinatorLease {
            term: Term(1),
            holder: Some(self.me.clone()),
            renewals: 0,
            lease_ms: millis(self.settings.lease),
            hold_ms: millis(self.settings.hold),
            earlier_orders_ms: 0,
        }
    }

    /// Returns the write that takes over the last seen lease.
    fn take_lease(&self) -> Action {
        let Some(seen) = &self.seen else {
            return Action::ReadLease(Freshness::Linearizable);
        };
        let mut lease = self.first_lease();
        lease.term = Term(seen.lease.term.0 + 1);
        Action::WriteLease(lease, Condition::Revision(seen.revision))
    }
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
