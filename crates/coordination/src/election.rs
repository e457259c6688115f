//! Election of the coordinator: a lease in the store, taken and renewed by
//! conditional writes.
//!
//! A standby looks at the lease by cheap, possibly stale reads. Only when it
//! has seen no renewal for long enough, at a store that answers, does it look
//! closely and take the lease. Two that do so at once meet at the store: one
//! condition fails.
//!
//! A coordinator acts only within its lease, counted from the start of the
//! last call that proved that it still held the office.

mod answers;
mod office;

use std::time::Duration;

use threadledge_types::Timestamp;

use crate::action::{Action, Condition, Freshness, StoreRevision};
use crate::record::{CoordinatorLease, NodeIdentity, Term};
use crate::settings::Settings;

/// What a coordinator must know of the one before it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Predecessor {
    /// It has surely given its last order by then.
    pub orders_end: Timestamp,
    /// How long its grants last.
    pub hold: Duration,
}

/// Changes of the office.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// This node was elected.
    Elected {
        /// Its term.
        term: Term,
        /// Who may have been coordinator until now.
        predecessor: Option<Predecessor>,
    },
    /// Another node was elected.
    Deposed {
        /// The term that ended.
        term: Term,
    },
}

/// How long after a confirmation by the store it counts as answering.
const JUST_CONFIRMED: Duration = Duration::from_millis(100);

#[derive(Clone, Debug)]
enum State {
    Standby,
    Leading {
        lease: CoordinatorLease,
        revision: StoreRevision,
        confirmed_at: Timestamp,
        /// Coordinators before this one give no order later than this.
        earlier_orders_end: Timestamp,
    },
    Retired,
}

/// The lease as this node last saw it change.
#[derive(Clone, Debug)]
struct Seen {
    lease: CoordinatorLease,
    revision: StoreRevision,
    /// No renewal was seen since then, at a store that answers.
    since: Timestamp,
    /// The last look was a linearizable one.
    verified: bool,
}

#[derive(Clone, Copy, Debug)]
struct Call {
    started: Timestamp,
}

/// Election and proof of office of one node for one service.
#[derive(Debug)]
pub struct Election {
    me: NodeIdentity,
    settings: Settings,
    /// Added to the patience of this node, so that standbys come in turn.
    patience: Duration,
    state: State,
    seen: Option<Seen>,
    /// No object was found by the last linearizable look.
    absent: bool,
    call: Option<Call>,
    next_call: Timestamp,
    /// When the store last confirmed the office.
    confirmed: Timestamp,
    candidate: bool,
    handing_back: bool,
}

impl Election {
    /// A standby. `patience` differs from node to node.
    pub fn new(me: NodeIdentity, settings: Settings, patience: Duration) -> Self {
        Election {
            me,
            settings,
            patience,
            state: State::Standby,
            seen: None,
            absent: false,
            call: None,
            next_call: Timestamp::ZERO,
            confirmed: Timestamp::ZERO,
            candidate: false,
            handing_back: false,
        }
    }

    /// Sets how much longer than others this node waits before it takes over.
    pub fn set_takeover_delay(&mut self, patience: Duration) {
        self.patience = patience;
    }

    /// Says whether this node may become coordinator.
    pub fn set_candidate(&mut self, candidate: bool) {
        self.candidate = candidate;
    }

    /// The term in office, if this node is the coordinator as far as it knows.
    pub fn leading_term(&self) -> Option<Term> {
        match &self.state {
            State::Leading { lease, .. } => Some(lease.term),
            State::Standby | State::Retired => None,
        }
    }

    /// Whether orders may be given: this node surely holds the office.
    pub fn holds_lease(&self, now: Timestamp) -> bool {
        match &self.state {
            State::Leading { confirmed_at, .. } => now < *confirmed_at + self.settings.lease,
            State::Standby | State::Retired => false,
        }
    }

    /// Whether no standby can have taken the office yet, as the store confirmed
    /// it so lately.
    pub fn is_unrivalled(&self, now: Timestamp) -> bool {
        match &self.state {
            State::Leading { confirmed_at, .. } => {
                now < *confirmed_at + self.settings.takeover_after
            }
            State::Standby | State::Retired => false,
        }
    }

    /// Whether the office is being given back.
    pub fn hands_back(&self) -> bool {
        self.handing_back
    }

    /// Whether the store has just confirmed the office, so that it will very
    /// likely take the next write.
    pub fn just_confirmed(&self, now: Timestamp) -> bool {
        self.leading_term().is_some() && now.since(self.confirmed) < JUST_CONFIRMED
    }

    /// Term and holder as last seen.
    pub fn last_seen_holder(&self) -> Option<(Term, Option<&NodeIdentity>)> {
        match &self.state {
            State::Leading { lease, .. } => Some((lease.term, lease.holder.as_ref())),
            State::Standby | State::Retired => {
                let seen = self.seen.as_ref()?;
                Some((seen.lease.term, seen.lease.holder.as_ref()))
            }
        }
    }

    /// Gives the office back with the next call. No order may be given after
    /// this.
    pub fn resign(&mut self, now: Timestamp) {
        self.candidate = false;
        match self.state {
            State::Leading { .. } if self.handing_back => {}
            State::Leading { .. } => {
                self.handing_back = true;
                self.next_call = now;
            }
            State::Standby | State::Retired => self.state = State::Retired,
        }
    }

    /// Whether the office was given back, or never held.
    pub fn retired(&self) -> bool {
        matches!(self.state, State::Retired)
    }

    /// Another node wrote a record with a higher term: looks at the lease
    /// again at once.
    pub fn on_superseded(&mut self, now: Timestamp) -> Option<Change> {
        let change = self.step_down();
        self.next_call = now;
        change
    }

    /// When to call [`Election::poll`] next, at the latest.
    pub fn next_wake(&self) -> Option<Timestamp> {
        if self.call.is_some() || matches!(self.state, State::Retired) {
            return None;
        }
        Some(self.next_call)
    }

    /// The call to make now, if any. One runs at a time.
    pub fn poll(&mut self, now: Timestamp) -> Option<Action> {
        if self.call.is_some() || now < self.next_call {
            return None;
        }
        let action = match &self.state {
            State::Retired => return None,
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

    /// The next write of the lease. One that hands the office back tells how
    /// long `earlier_orders` may go on: the next holder does not see whom this
    /// one took it from, who may still be cut off from the store and renewing.
    fn renewed(&self, lease: &CoordinatorLease, earlier_orders: Duration) -> CoordinatorLease {
        let mut renewed = lease.clone();
        renewed.renewals += 1;
        if self.handing_back {
            renewed.holder = None;
            renewed.earlier_orders_ms = millis(earlier_orders);
        }
        renewed
    }

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
        let free = self.free_at(seen).is_some_and(|at| now >= at);
        if !free {
            let patience = self.settings.takeover_after + self.patience;
            if now.since(seen.since) < patience {
                return Action::ReadLease(Freshness::Stale);
            }
            if !seen.verified {
                return Action::ReadLease(Freshness::Linearizable);
            }
        }
        self.take()
    }

    /// The office is vacant: it was handed back, or its holder was an earlier
    /// life of this very process's machine.
    ///
    /// One that was handed back is taken by one standby after the other, not
    /// by all at once.
    fn free_at(&self, seen: &Seen) -> Option<Timestamp> {
        match &seen.lease.holder {
            None => Some(seen.since + self.patience),
            Some(holder) => {
                let mine = holder.node == self.me.node && holder != &self.me;
                mine.then_some(seen.since)
            }
        }
    }

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

    fn take(&self) -> Action {
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
