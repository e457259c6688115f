//! The coordinator's handling of the ownership record: which grants to renew,
//! which keys to take back and which to assign.
//!
//! The record in the store is authoritative. A new owner is written to it
//! before it receives a grant, on the condition that nobody else has written in
//! between:
//!
//! 1. the owner is asked to release the keys under the next fencing token, or
//!    the coordinator waits until its grant has expired;
//! 2. the next owner is written to the record, under the same fencing token;
//! 3. the next owner is granted the keys.
//!
//! If the coordinator fails before the second step, the record still names the
//! former owner. The next coordinator then grants it the keys again, under a
//! fencing token at least as high as that of the release.

mod arrivals;
mod draft;
mod former_owners;
mod orders;
mod overdue;
mod release_orders;
mod releases;
mod store;
mod tracked;
mod unanswered;
mod write_budget;

use std::time::Duration;

use threadledge_types::Timestamp;
use threadledge_types::deployment::{BackEnd, BackEndName, ServiceName};

use crate::action::StoreRevision;
use crate::action::{Action, Condition, Notice};
use crate::election::Predecessor;
use crate::holders::Holders;
use crate::load::{LoadMap, LoadReport};
use crate::order::OrderId;
use crate::record::{OwnershipRecord, Term};
use crate::settings::Settings;
use crate::tokens::{TokenBuckets, TokenGrant, TokenRequest};

use former_owners::FormerOwners;
pub use orders::MAX_ORDERS_IN_FLIGHT;
use orders::{may_repeat, orders_in_flight, releases_repeated};
use overdue::OverdueGrants;
use tracked::{TrackedRange, owners};
use write_budget::WriteBudget;

/// Consequence of a read of the record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReadConsequence {
    /// Nothing needs to be done at once.
    None,
    /// This call must be made at once.
    Call(Box<Action>),
    /// Another node has taken over the record.
    Superseded,
}

/// Progress of this node in taking over the record.
#[derive(Debug)]
enum Phase {
    /// Another node is the coordinator.
    Idle,
    /// The record must be read before it can be taken over.
    Reading,
    /// The record is being written for the first time in this term.
    Adopting,
    /// The record of this term is in the store.
    Active {
        record: OwnershipRecord,
        revision: StoreRevision,
    },
}

/// The ownership record and the state of the orders for each of its slices.
#[derive(Debug)]
pub struct Ownership {
    service: ServiceName,
    settings: Settings,
    holders: Holders,
    load: LoadMap,
    tokens: TokenBuckets,
    next_balancing: Timestamp,
    /// End of the time in which a new coordinator waits for load reports.
    load_wait_until: Timestamp,
    term: Term,
    predecessor: Option<Predecessor>,
    phase: Phase,
    tracked: Vec<TrackedRange>,
    /// Set when the tracked ranges are rebuilt. The next store call then checks
    /// again which owners may keep their keys.
    recheck_owners: bool,
    former: FormerOwners,
    overdue: OverdueGrants,
    /// True while a call to the store is running.
    store_call_running: bool,
    /// Set after a write without an answer. The record must then be read before
    /// the next write.
    read_back_needed: bool,
    next_store_call: Timestamp,
    writes: WriteBudget,
    /// Time at which the first back end was registered.
    first_registration: Option<Timestamp>,
    /// Id of the last order that was created.
    last_order_id: u64,
    notices: Vec<Notice>,
    /// Notices to report once the write in progress is accepted.
    pending_notices: Vec<Notice>,
}

impl Ownership {
    /// Creates the state of a node that is not the coordinator.
    pub fn new(service: ServiceName, settings: Settings) -> Self {
        Ownership {
            service,
            settings,
            holders: Holders::default(),
            load: LoadMap::default(),
            tokens: TokenBuckets::default(),
            next_balancing: Timestamp::ZERO,
            load_wait_until: Timestamp::ZERO,
            term: Term::default(),
            predecessor: None,
            phase: Phase::Idle,
            tracked: Vec::new(),
            recheck_owners: false,
            former: FormerOwners::default(),
            overdue: OverdueGrants::default(),
            store_call_running: false,
            read_back_needed: false,
            next_store_call: Timestamp::ZERO,
            writes: WriteBudget::default(),
            first_registration: None,
            last_order_id: 0,
            notices: Vec::new(),
            pending_notices: Vec::new(),
        }
    }

    /// Replaces the set of registered back ends, which covers all services.
    pub fn set_back_ends(&mut self, now: Timestamp, back_ends: &[BackEnd]) {
        let last_order = OrderId(self.last_order_id);
        let owners = owners(&self.tracked);
        let is_owner = |name: &BackEndName| owners.contains(name);
        let changes =
            self.holders
                .set_registered(now, &self.service, back_ends, last_order, is_owner);
        self.find_successors();
        for address in changes.addresses {
            self.probe_address(now, address);
        }
        // Only the coordinator reports shared addresses, so that each one is
        // logged by a single gateway.
        if !matches!(self.phase, Phase::Idle) {
            self.notices
                .extend(changes.shared.into_iter().map(Notice::AddressShared));
        }
        if self.first_registration.is_none() && !self.holders.is_empty() {
            self.first_registration = Some(now);
        }
    }

    /// Sets whether cold back ends can serve only few requests.
    pub fn set_reduced_when_cold(&mut self, reduced: bool) {
        self.holders.set_reduced_when_cold(reduced);
    }

    /// Adds the load that a router reported.
    pub fn add_load(&mut self, now: Timestamp, report: &LoadReport) {
        self.load.add(now, report);
        for sample in &report.speeds {
            if sample.count > 0 {
                self.holders.on_served(now, &sample.back_end);
            }
        }
        for name in &report.leaving {
            self.holders.on_leaving(name);
        }
        for resting in &report.resting {
            let left = Duration::from_millis(resting.left_ms);
            self.holders.on_resting(now, &resting.back_end, left);
        }
    }

    /// Answers token requests from routers. Must be called only while this node
    /// certainly holds the lease. `confirmed` states that no other node can
    /// hold it yet.
    pub fn grant_tokens(
        &mut self,
        now: Timestamp,
        requests: &[TokenRequest],
        confirmed: bool,
    ) -> Vec<TokenGrant> {
        let orders_end = self.predecessor.map(|predecessor| predecessor.orders_end);
        let exclusive = confirmed && orders_end.is_none_or(|end| now >= end);
        requests
            .iter()
            .map(|request| self.tokens.grant(now, request, exclusive))
            .collect()
    }

    /// Starts a term after this node was elected.
    pub fn begin_term(&mut self, now: Timestamp, term: Term, predecessor: Option<Predecessor>) {
        self.term = term;
        self.predecessor = predecessor;
        self.tokens.clear();
        self.phase = Phase::Reading;
        self.tracked.clear();
        self.former.clear();
        self.overdue.clear();
        self.next_store_call = now;
    }

    /// Ends the term after another node was elected.
    pub fn end_term(&mut self) {
        self.phase = Phase::Idle;
        self.tracked.clear();
        self.former.clear();
        self.overdue.clear();
    }

    /// Returns whether another node is the coordinator.
    pub fn is_idle(&self) -> bool {
        matches!(self.phase, Phase::Idle)
    }

    /// Returns and clears the notices for operators.
    pub fn take_notices(&mut self) -> Vec<Notice> {
        std::mem::take(&mut self.notices)
    }

    /// Returns the record of this term once it is in the store.
    pub fn record(&self) -> Option<&OwnershipRecord> {
        match &self.phase {
            Phase::Active { record, .. } => Some(record),
            Phase::Idle | Phase::Reading | Phase::Adopting => None,
        }
    }

    /// Returns whether no order is awaiting an answer and none may still
    /// arrive.
    pub fn has_no_pending_orders(&self) -> bool {
        let ended =
            |tracked: &TrackedRange| tracked.in_flight.is_none() && tracked.releases.count() == 0;
        self.tracked.iter().all(ended)
            && !self.overdue.any_overdue()
            && self.former.none_in_flight()
    }

    /// Returns the calls to make now. Must be called only while this node
    /// certainly holds the lease. Keys that their owner could keep are taken
    /// back only while the store answers, because keys without a holder can be
    /// assigned only by a write.
    pub fn poll(&mut self, now: Timestamp, store_answers: bool) -> Vec<Action> {
        let mut actions = Vec::new();
        // Before the check for owners that may not keep their keys.
        self.handle_overdue(now);
        self.report_ended_releases(now);
        if let Some(call) = self.store_call(now, store_answers) {
            self.store_call_running = true;
            actions.push(call);
        }
        self.send_due_orders(now, &mut actions);
        actions
    }

    /// Returns the latest time at which [`Ownership::poll`] must be called
    /// next.
    pub fn next_wake(&self, now: Timestamp) -> Option<Timestamp> {
        if matches!(self.phase, Phase::Idle) {
            return None;
        }
        // An order that is held back by the limit of orders in flight is sent
        // when one of those ends. That event triggers a poll, so it needs no
        // timer.
        let orders_in_flight = orders_in_flight(&self.tracked);
        let has_room = |tracked: &&TrackedRange| {
            let count = tracked
                .owner()
                .and_then(|owner| orders_in_flight.get(&owner.name));
            count.is_none_or(|count| *count < MAX_ORDERS_IN_FLIGHT)
        };
        let orders = self
            .tracked
            .iter()
            .filter(|_| matches!(self.phase, Phase::Active { .. }))
            .filter(|tracked| tracked.in_flight.is_none() && tracked.needs_order())
            .filter(has_room)
            .map(|tracked| tracked.next_order_at);
        let repeated = releases_repeated(&self.tracked);
        let repeats = self
            .tracked
            .iter()
            .filter(|tracked| may_repeat(tracked, &repeated))
            .filter_map(|tracked| tracked.repeat_due(&self.settings));
        let holds = self
            .tracked
            .iter()
            .flat_map(|tracked| {
                [
                    self.release_expiry(tracked),
                    self.unanswered_due(now, tracked),
                ]
            })
            .flatten()
            .filter(|due| *due > now);
        let active = matches!(self.phase, Phase::Active { .. });
        let overdue = self.overdue.next_due().filter(|_| active);
        let waits = self.next_store_call > now || !active;
        let store = (!self.store_call_running && waits).then_some(self.next_store_call);
        let next_write = self.writes.next_write_at(now);
        let write = (!self.store_call_running && next_write > now).then_some(next_write);
        orders
            .chain(self.former.next_wake())
            .chain(overdue)
            .chain(holds)
            .chain(repeats.filter(|due| *due > now))
            .chain(store)
            .chain(write)
            .chain(self.registration_wait_end(now))
            .min()
    }

    /// Returns until when back ends have time to register, if that is in the
    /// future.
    fn registration_wait_end(&self, now: Timestamp) -> Option<Timestamp> {
        let end = self.first_registration? + self.settings.registration_wait;
        (end > now).then_some(end)
    }

    /// Returns the store call to make now, if any.
    fn store_call(&mut self, now: Timestamp, store_answers: bool) -> Option<Action> {
        if self.store_call_running || now < self.next_store_call {
            return None;
        }
        match &self.phase {
            Phase::Idle => None,
            Phase::Reading | Phase::Adopting => Some(Action::ReadRecord),
            Phase::Active { .. } if self.read_back_needed => Some(Action::ReadRecord),
            Phase::Active { record, .. } => {
                let next_fence = record.next_fence;
                let recheck_owners = std::mem::take(&mut self.recheck_owners);
                if self.holders.take_changed() || recheck_owners {
                    self.release_ineligible(now, next_fence, store_answers);
                }
                if store_answers {
                    self.start_balancing(now, next_fence);
                }
                if self.writes.next_write_at(now) > now || !self.needs_write(now) {
                    return None;
                }
                let Phase::Active { record, revision } = &self.phase else {
                    return None;
                };
                let (current, revision) = (record.clone(), *revision);
                let next = self.next_record(now, &current);
                let changed = next != current;
                changed.then_some(Action::WriteRecord(next, Condition::Revision(revision)))
            }
        }
    }
}

/// Time between two checks for owners with too many keys.
const BALANCING_INTERVAL: Duration = Duration::from_millis(700);
/// Time after a takeover during which keys are not moved for balance until load
/// was reported. The previous coordinator assigned them by load, so by their
/// number alone they look uneven.
const LOAD_REPORT_WAIT: Duration = Duration::from_secs(4);
/// Longest time between two calls of [`Ownership::poll`]. It ensures that
/// cooldowns end in time.
pub const MAX_POLL_INTERVAL: Duration = Duration::from_millis(500);
