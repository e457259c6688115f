//! The state machine of one node that takes part in the coordination of one
//! service.

use std::time::Duration;

use threadledge_types::Timestamp;
use threadledge_types::deployment::{BackEnd, ServiceName};

use crate::action::{Action, Freshness, Notice, ReadResult, Versioned, WriteResult};
use crate::election::{Change, Election};
use crate::load::LoadReport;
use crate::order::{Order, OrderFault, OrderReply};
use crate::ownership::{MAX_POLL_INTERVAL, Ownership, ReadConsequence};
use crate::record::{CoordinatorLease, NodeIdentity, OwnershipRecord, Term};
use crate::settings::Settings;
use crate::tokens::{TokenGrant, TokenRequest};

/// Combines the election and the ownership record of one service on one node.
///
/// The caller invokes [`Coordinator::poll`] after every event and when
/// [`Coordinator::next_wake`] is due, performs the returned calls, and reports
/// the result of each.
#[derive(Debug)]
pub struct Coordinator {
    election: Election,
    ownership: Ownership,
    /// Set while the lease of this coordinator has lapsed, so that the lapse is
    /// reported once.
    lapsed: bool,
    stopping: bool,
    notices: Vec<Notice>,
}

impl Coordinator {
    /// Creates a standby. `takeover_delay` differs between nodes, so that
    /// standbys take over one after the other.
    pub fn new(
        me: NodeIdentity,
        service: ServiceName,
        settings: Settings,
        takeover_delay: Duration,
    ) -> Self {
        Coordinator {
            election: Election::new(me, settings.clone(), takeover_delay),
            ownership: Ownership::new(service, settings),
            lapsed: false,
            stopping: false,
            notices: Vec::new(),
        }
    }

    /// Sets how much longer than the configured time this node waits before it
    /// takes over.
    pub fn set_takeover_delay(&mut self, takeover_delay: Duration) {
        self.election.set_takeover_delay(takeover_delay);
    }

    /// Sets whether this node may become coordinator.
    pub fn set_candidate(&mut self, candidate: bool) {
        self.election.set_candidate(candidate && !self.stopping);
    }

    /// Returns whether this node needs the registered back ends. A standby does
    /// not use them, so the caller need not report each change to it. A node
    /// that was elected must get them before it is polled.
    pub fn needs_back_ends(&self) -> bool {
        !self.ownership.is_idle()
    }

    /// Replaces the set of registered back ends, which covers all services.
    pub fn set_back_ends(&mut self, now: Timestamp, back_ends: &[BackEnd]) {
        self.ownership.set_back_ends(now, back_ends);
    }

    /// Sets whether cold back ends can serve only few requests. They are then
    /// assigned fewer keys.
    pub fn set_reduced_when_cold(&mut self, reduced: bool) {
        self.ownership.set_reduced_when_cold(reduced);
    }

    /// Adds the load that a router reported.
    pub fn add_load(&mut self, now: Timestamp, report: &LoadReport) {
        self.ownership.add_load(now, report);
    }

    /// Answers token requests from routers for back ends that announce a limit.
    /// Returns `None` if this node cannot be sure that it is the coordinator.
    pub fn grant_tokens(
        &mut self,
        now: Timestamp,
        requests: &[TokenRequest],
    ) -> Option<Vec<TokenGrant>> {
        if !self.election.holds_lease(now) || self.election.is_resigning() {
            return None;
        }
        let confirmed = self.election.excludes_takeover(now);
        Some(self.ownership.grant_tokens(now, requests, confirmed))
    }

    /// Begins a planned stop: no further order is sent, and the lease is
    /// released once every order has been answered.
    pub fn stop(&mut self) {
        self.stopping = true;
        self.election.set_candidate(false);
    }

    /// Returns whether a planned stop is complete: the lease was released or
    /// was never held.
    pub fn is_stopped(&self) -> bool {
        self.stopping && (self.election.has_resigned() || self.election.leading_term().is_none())
    }

    /// Returns the term of this node while it is the coordinator.
    pub fn leading_term(&self) -> Option<Term> {
        self.election.leading_term()
    }

    /// Returns the term and holder of the lease as last seen.
    pub fn last_seen_holder(&self) -> Option<(Term, Option<&NodeIdentity>)> {
        self.election.last_seen_holder()
    }

    /// Returns the ownership record while this node is the coordinator.
    pub fn record(&self) -> Option<&OwnershipRecord> {
        self.ownership.record()
    }

    /// Returns and clears the notices for operators.
    pub fn take_notices(&mut self) -> Vec<Notice> {
        let mut notices = std::mem::take(&mut self.notices);
        notices.extend(self.ownership.take_notices());
        notices
    }

    /// Returns the latest time at which [`Coordinator::poll`] must be called
    /// next.
    pub fn next_wake(&self, now: Timestamp) -> Timestamp {
        let election = self.election.next_wake();
        let ownership = (self.election.holds_lease(now) && !self.stopping)
            .then(|| self.ownership.next_wake(now))
            .flatten();
        let longest = now + MAX_POLL_INTERVAL;
        [election, ownership]
            .into_iter()
            .flatten()
            .fold(longest, Timestamp::min)
    }

    /// Returns the calls to make now.
    pub fn poll(&mut self, now: Timestamp) -> Vec<Action> {
        let mut actions = Vec::new();
        if self.stopping && self.ownership.has_no_pending_orders() {
            self.election.resign(now);
        }
        actions.extend(self.election.poll(now));
        self.report_lapse(now);
        if self.election.holds_lease(now) && !self.stopping {
            let store_answers = self.election.recently_confirmed(now);
            actions.extend(self.ownership.poll(now, store_answers));
        }
        actions
    }

    /// Adds a notice when the lease of this node lapses.
    fn report_lapse(&mut self, now: Timestamp) {
        let Some(term) = self.election.leading_term() else {
            self.lapsed = false;
            return;
        };
        let lapsed = !self.election.holds_lease(now);
        if lapsed && !self.lapsed {
            self.notices.push(Notice::LeaseLapsed { term });
        }
        self.lapsed = lapsed;
    }

    /// Handles the result of a lease read.
    pub fn on_lease_read(
        &mut self,
        now: Timestamp,
        freshness: Freshness,
        result: ReadResult<CoordinatorLease>,
    ) {
        let change = self.election.on_read(now, freshness, result);
        self.apply_change(now, change);
    }

    /// Handles the result of a lease write.
    pub fn on_lease_write(
        &mut self,
        now: Timestamp,
        attempted: CoordinatorLease,
        result: WriteResult<CoordinatorLease>,
    ) {
        let change = self.election.on_write(now, attempted, result);
        self.apply_change(now, change);
    }

    /// Handles the result of a record read. The caller must make the returned
    /// call at once.
    pub fn on_record_read(
        &mut self,
        now: Timestamp,
        result: ReadResult<OwnershipRecord>,
    ) -> Option<Action> {
        match self.ownership.on_read(now, result) {
            ReadConsequence::None => None,
            ReadConsequence::Call(action) => Some(*action),
            ReadConsequence::Superseded => {
                let change = self.election.on_superseded(now);
                self.apply_change(now, change);
                None
            }
        }
    }

    /// Handles the result of a record write.
    pub fn on_record_write(
        &mut self,
        now: Timestamp,
        attempted: OwnershipRecord,
        result: WriteResult<OwnershipRecord>,
    ) {
        if self.ownership.on_write(now, attempted, result) {
            let change = self.election.on_superseded(now);
            self.apply_change(now, change);
        }
    }

    /// Handles a change of the record that a watch of the store reported.
    pub fn on_record_observed(&mut self, now: Timestamp, found: Versioned<OwnershipRecord>) {
        if self.ownership.on_observed(now, found) {
            let change = self.election.on_superseded(now);
            self.apply_change(now, change);
        }
    }

    /// Handles the result of an order.
    pub fn on_order(
        &mut self,
        now: Timestamp,
        order: &Order,
        result: Result<OrderReply, OrderFault>,
    ) {
        self.ownership.on_order(now, order, result);
    }

    /// Starts or ends a term after an election.
    fn apply_change(&mut self, now: Timestamp, change: Option<Change>) {
        match change {
            None => {}
            Some(Change::Elected { term, predecessor }) => {
                self.notices.push(Notice::Elected { term });
                self.ownership.begin_term(now, term, predecessor);
            }
            Some(Change::Deposed { term }) => {
                self.notices.push(Notice::Deposed { term });
                self.ownership.end_term();
            }
        }
    }
}
