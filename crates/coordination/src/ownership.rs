//! The ownership record in the hands of the coordinator: which grants to
//! renew, what to take back and what to give out.
//!
//! The record in the store decides. A new owner is written there before it is
//! granted anything, on the condition that nobody else wrote:
//!
//! 1. the owner is asked to release under the next fence, or its hold is
//!    waited out;
//! 2. the next owner is written, under the same fence;
//! 3. the next owner is granted the keys.
//!
//! A coordinator that is lost before the second step leaves the former owner
//! in the record, and its successor grants it the keys again under a fence
//! that is at least that of the release.

mod arrivals;
mod draft;
mod former;
mod moves;
mod orders;
mod overdue;
mod store;
mod tracked;
mod writes;

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

use former::FormerOwners;
pub use orders::MAX_ORDERS_IN_FLIGHT;
use orders::under_way;
use overdue::OverdueWatch;
use tracked::{Tracked, owners};
use writes::WriteBudget;

/// What follows from a read of the record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReadConsequence {
    /// Nothing to do at once.
    None,
    /// This call is to be made at once.
    Call(Box<Action>),
    /// Another node has taken the record over.
    Superseded,
}

/// How far this node has come with the record.
#[derive(Debug)]
enum Phase {
    /// Another node coordinates.
    Idle,
    /// The record has to be read before it can be taken over.
    Reading,
    /// The record is being written for the first time in this term.
    Adopting,
    /// The record of this term is in the store.
    Active {
        record: OwnershipRecord,
        revision: StoreRevision,
    },
}

/// The record, and what is under way for each of its slices.
#[derive(Debug)]
pub struct Ownership {
    service: ServiceName,
    settings: Settings,
    holders: Holders,
    load: LoadMap,
    tokens: TokenBuckets,
    next_balancing: Timestamp,
    /// Until when a new coordinator waits for reports of load.
    load_awaited: Timestamp,
    term: Term,
    predecessor: Option<Predecessor>,
    phase: Phase,
    tracked: Vec<Tracked>,
    /// The record was taken since owners that may not keep keys were looked for.
    retracked: bool,
    former: FormerOwners,
    overdue: OverdueWatch,
    /// A call to the store is running.
    busy: bool,
    /// A write was not answered: the record is read back before the next one.
    read_back: bool,
    next_store_call: Timestamp,
    writes: WriteBudget,
    /// When the first back end was seen.
    first_seen: Option<Timestamp>,
    next_order: u64,
    notices: Vec<Notice>,
    /// To be told once the write that is under way is accepted.
    drafted: Vec<Notice>,
}

impl Ownership {
    /// Of a node that does not coordinate.
    pub fn new(service: ServiceName, settings: Settings) -> Self {
        Ownership {
            service,
            settings,
            holders: Holders::default(),
            load: LoadMap::default(),
            tokens: TokenBuckets::default(),
            next_balancing: Timestamp::ZERO,
            load_awaited: Timestamp::ZERO,
            term: Term::default(),
            predecessor: None,
            phase: Phase::Idle,
            tracked: Vec::new(),
            retracked: false,
            former: FormerOwners::default(),
            overdue: OverdueWatch::default(),
            busy: false,
            read_back: false,
            next_store_call: Timestamp::ZERO,
            writes: WriteBudget::default(),
            first_seen: None,
            next_order: 0,
            notices: Vec::new(),
            drafted: Vec::new(),
        }
    }

    /// Takes the back ends that are registered now, of all services.
    pub fn set_back_ends(&mut self, now: Timestamp, back_ends: &[BackEnd]) {
        let last_order = OrderId(self.next_order);
        let owners = owners(&self.tracked);
        let is_owner = |name: &BackEndName| owners.contains(name);
        let newcomers =
            self.holders
                .set_registered(now, &self.service, back_ends, last_order, is_owner);
        self.find_successors();
        for address in newcomers.addresses {
            self.ask_who_runs(now, address);
        }
        // One gateway tells: the one that decides by it.
        if !matches!(self.phase, Phase::Idle) {
            self.notices
                .extend(newcomers.shared.into_iter().map(Notice::AddressShared));
        }
        if self.first_seen.is_none() && !self.holders.is_empty() {
            self.first_seen = Some(now);
        }
    }

    /// Says whether cold back ends bear few requests.
    pub fn set_reduced_when_cold(&mut self, frail: bool) {
        self.holders.set_reduced_when_cold(frail);
    }

    /// Takes what a router saw of the load.
    pub fn add_load(&mut self, now: Timestamp, report: &LoadReport) {
        self.load.add(now, report);
        for name in &report.leaving {
            self.holders.on_leaving(name);
        }
        for resting in &report.resting {
            let left = Duration::from_millis(resting.left_ms);
            self.holders.on_resting(now, &resting.back_end, left);
        }
    }

    /// Answers routers that ask for tokens. Called only while the office is
    /// surely held; `confirmed`: nobody else can hold it yet.
    pub fn grant_tokens(
        &mut self,
        now: Timestamp,
        asks: &[TokenRequest],
        confirmed: bool,
    ) -> Vec<TokenGrant> {
        let earlier = self.predecessor.map(|predecessor| predecessor.orders_end);
        let sure = confirmed && earlier.is_none_or(|end| now >= end);
        asks.iter()
            .map(|ask| self.tokens.grant(now, ask, sure))
            .collect()
    }

    /// This node was elected.
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

    /// Another node was elected.
    pub fn end_term(&mut self) {
        self.phase = Phase::Idle;
        self.tracked.clear();
        self.former.clear();
        self.overdue.clear();
    }

    /// Whether another node coordinates.
    pub fn is_idle(&self) -> bool {
        matches!(self.phase, Phase::Idle)
    }

    /// What there is to tell operators.
    pub fn take_notices(&mut self) -> Vec<Notice> {
        std::mem::take(&mut self.notices)
    }

    /// The record of this term, once it is in the store.
    pub fn record(&self) -> Option<&OwnershipRecord> {
        match &self.phase {
            Phase::Active { record, .. } => Some(record),
            Phase::Idle | Phase::Reading | Phase::Adopting => None,
        }
    }

    /// Whether no order waits for its answer, and none may still arrive.
    pub fn quiet(&self) -> bool {
        let ended = |tracked: &Tracked| tracked.in_flight.is_none();
        self.tracked.iter().all(ended) && !self.overdue.any_overdue() && self.former.quiet()
    }

    /// What to do now. Called only while the office is surely held. Keys that
    /// their owner could keep are taken back only while the store answers: a
    /// key that nobody holds can be given out only by a write.
    pub fn poll(&mut self, now: Timestamp, store_answers: bool) -> Vec<Action> {
        let mut actions = Vec::new();
        if let Some(call) = self.store_call(now, store_answers) {
            self.busy = true;
            actions.push(call);
        }
        self.orders(now, &mut actions);
        actions
    }

    /// When to call [`Ownership::poll`] next, at the latest.
    pub fn next_wake(&self, now: Timestamp) -> Option<Timestamp> {
        if matches!(self.phase, Phase::Idle) {
            return None;
        }
        // An order that waits for earlier ones to the same back end is sent
        // when one of those ends, which wakes this node by itself.
        let under_way = under_way(&self.tracked);
        let has_room = |tracked: &&Tracked| {
            let count = tracked.owner().and_then(|owner| under_way.get(&owner.name));
            count.is_none_or(|count| *count < MAX_ORDERS_IN_FLIGHT)
        };
        let orders = self
            .tracked
            .iter()
            .filter(|_| matches!(self.phase, Phase::Active { .. }))
            .filter(|tracked| tracked.in_flight.is_none() && tracked.wants_order())
            .filter(has_room)
            .map(|tracked| tracked.next_order);
        let holds = self
            .tracked
            .iter()
            .filter_map(|tracked| self.release_over(tracked))
            .filter(|over| *over > now);
        let active = matches!(self.phase, Phase::Active { .. });
        let overdue = self.overdue.next_due().filter(|_| active);
        let waits = self.next_store_call > now || !active;
        let store = (!self.busy && waits).then_some(self.next_store_call);
        let may_write = self.writes.from(now);
        let write = (!self.busy && may_write > now).then_some(may_write);
        orders
            .chain(self.former.next_wake())
            .chain(overdue)
            .chain(holds)
            .chain(store)
            .chain(write)
            .chain(self.gathered(now))
            .min()
    }

    fn gathered(&self, now: Timestamp) -> Option<Timestamp> {
        let gathered = self.first_seen? + self.settings.registration_wait;
        (gathered > now).then_some(gathered)
    }

    fn store_call(&mut self, now: Timestamp, store_answers: bool) -> Option<Action> {
        if self.busy || now < self.next_store_call {
            return None;
        }
        match &self.phase {
            Phase::Idle => None,
            Phase::Reading | Phase::Adopting => Some(Action::ReadRecord),
            Phase::Active { .. } if self.read_back => Some(Action::ReadRecord),
            Phase::Active { record, .. } => {
                let next_fence = record.next_fence;
                let retracked = std::mem::take(&mut self.retracked);
                if self.holders.take_changed() || retracked {
                    self.take_back(now, next_fence, store_answers);
                }
                if store_answers {
                    self.start_balancing(now, next_fence);
                }
                if self.writes.from(now) > now || !self.wants_write(now) {
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

/// Time between two looks for owners with too much.
const BALANCING_PAUSE: Duration = Duration::from_millis(700);
/// Time after a take-over in which keys are not taken from their owners before
/// some load was reported: the earlier coordinator had divided them by load,
/// and by their number alone they look uneven.
const LOAD_PATIENCE: Duration = Duration::from_secs(4);
/// Longest time between two calls of [`Ownership::poll`] that the shell
/// should allow, so that cool-downs end in time.
pub const LONGEST_SLEEP: Duration = Duration::from_millis(500);
