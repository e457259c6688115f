//! Stands for the office of the ledger, holds it, and keeps the record of
//! machines that may hold shares.

use std::sync::Arc;
use std::time::Duration;

use futures::future::select;
use threadledge_coordination::action::{
    Condition, Freshness, ReadResult, StoreRevision, Versioned, WriteResult,
};
use threadledge_coordination::election::Change;
use threadledge_coordination::{Action, Term};
use threadledge_limits::ledger::LedgerElection;
use threadledge_limits::{HolderRecord, Ledger, Predecessor};
use threadledge_net::timer;
use threadledge_ports::Ports;
use threadledge_relay::Source;
use threadledge_types::Timestamp;
use threadledge_types::deployment::ServiceName;

use super::super::calls::{CallOutcome, execute, lease_after_write};
use super::super::sources::Sources;
use super::super::store_health::StoreHealth;
use super::Limits;

/// Name of the lease of the ledger, beside those of services.
const LEDGER: &str = "threadledge.tenant-limits";
/// Name of the record of machines that may hold shares.
const HOLDERS: &str = "holders";
/// Wait before the record is written again that was not.
const RECORD_RETRY: Duration = Duration::from_millis(200);
/// Longest wait for the election's next step.
const LONGEST_WAIT: Duration = Duration::from_secs(1);
/// Added to the time after which a follower of a relay takes over: relays see
/// the lease at first hand, and are few.
const FOLLOWER_PATIENCE: Duration = Duration::from_millis(700);

/// Loss of the ledger after which a follower of a relay looks for it in the
/// store itself.
const FOLLOWER_DOUBT: Duration = Duration::from_millis(2_500);

/// How well this machine is placed to keep the ledger.
#[derive(Clone, Copy, Debug)]
pub(in super::super) struct LedgerPlacement {
    /// Added to the time after which it takes over.
    pub(in super::super) takeover_delay: Duration,
}

/// Added to the time after which a machine with so many cores takes over the
/// ledger, which answers some hundreds of asks a second.
pub(in super::super) fn takeover_delay_for_cores(cores: f64) -> Duration {
    /// Longest such time, in seconds.
    const LONGEST_S: f64 = 0.5;
    /// The time of a machine with a whole core, in seconds.
    const WHOLE_CORE_S: f64 = 0.05;
    let by_cores = (WHOLE_CORE_S / cores.max(0.01)).min(LONGEST_S);
    Duration::try_from_secs_f64(by_cores).unwrap_or_default()
}

/// An election that was won; the ledger begins when the record is written.
#[derive(Clone, Copy, Debug)]
struct Won {
    term: Term,
    predecessor: Option<Predecessor>,
}

pub(super) struct LedgerKeeper {
    limits: Limits,
    ports: Ports,
    sources: Arc<Sources>,
    health: Arc<StoreHealth>,
    placement: LedgerPlacement,
    name: ServiceName,
    won: Option<Won>,
    /// Revision of the record as this ledger wrote it.
    revision: Option<StoreRevision>,
    next_record: Timestamp,
}

impl LedgerKeeper {
    pub(super) fn new(
        limits: Limits,
        ports: Ports,
        sources: Arc<Sources>,
        health: Arc<StoreHealth>,
        placement: LedgerPlacement,
    ) -> Self {
        LedgerKeeper {
            limits,
            ports,
            sources,
            health,
            placement,
            name: ServiceName::from(LEDGER),
            won: None,
            revision: None,
            next_record: Timestamp::ZERO,
        }
    }

    /// Runs for ever.
    pub(super) async fn run(mut self) {
        let shared = self.limits.shared.clone();
        loop {
            let changed = shared.changed.next();
            let told = self.sources.lease_changes().next();
            let in_use = self.limits.with(|state, _now| state.spender.has_limits());
            let holds = self
                .limits
                .with(|state, _now| state.election.leading_term());
            if !in_use && holds.is_none() {
                changed.await;
                continue;
            }
            self.look_around();
            self.tell_ledger();
            let action = self.poll();
            if let Some(action) = action {
                self.act(action).await;
                continue;
            }
            if self.keep_record().await {
                continue;
            }
            let deadline = shared.clock.instant(self.next_wake());
            // What it was shows in the next round.
            let _ = timer::timeout_at(deadline, select(changed, told)).await;
        }
    }

    /// The election's next call. A gateway looks at the store only while there
    /// is reason to doubt the ledger: looks at it all the time cost four calls
    /// a second and more, each paid for, and told nothing.
    fn poll(&self) -> Option<Action> {
        let patience = self.doubt_after();
        self.limits.with(|state, now| {
            let doubts = state.doubts_ledger(now, patience);
            doubts.then(|| state.election.poll(now)).flatten()
        })
    }

    /// Relays look first, and tell the others.
    fn doubt_after(&self) -> Duration {
        match self.sources.current() {
            Source::Relay { .. } => FOLLOWER_DOUBT,
            _ => Duration::ZERO,
        }
    }

    fn next_wake(&self) -> Timestamp {
        let patience = self.doubt_after();
        self.limits.with(|state, now| {
            let longest = now + LONGEST_WAIT;
            let doubts = state.doubts_ledger(now, patience);
            let election = state.election.next_wake().filter(|_| doubts);
            let election = election.unwrap_or(longest);
            let ledger = state.ledger.as_ref();
            let needed = ledger.is_some_and(|ledger| ledger.needs_record_update(now));
            let due = self.won.is_some() || needed;
            let record = if due { self.next_record } else { longest };
            election.min(record).min(longest).max(now + SHORTEST_WAIT)
        })
    }

    /// Takes in who holds the office, and whether this gateway may.
    fn look_around(&self) {
        let source = self.sources.current();
        let relayed = matches!(source, Source::Relay { .. });
        let lease = self.sources.lease(&self.name);
        // The relay will tell of the lease: no need to ask the store.
        let told = !relayed || lease.is_some();
        let settled = !matches!(source, Source::Starting { .. });
        let behind = match source {
            Source::Relay { .. } | Source::Joining { .. } | Source::Unavailable => {
                FOLLOWER_PATIENCE
            }
            Source::Store | Source::Starting { .. } => Duration::ZERO,
        };
        let heard = self.limits.with(|state, now| {
            let candidate = state.spender.has_limits() && !state.leaving;
            state.election.set_candidate(candidate && settled && told);
            state
                .election
                .set_takeover_delay(self.placement.takeover_delay + behind);
            let before = state.spender.term();
            let seen = state.election.last_seen_holder();
            let seen = seen.map(|(term, holder)| (term, holder.and_then(|one| one.address)));
            if let Some((term, address)) = seen {
                state.hear_of(now, term, address);
            }
            if let Some(Versioned { value, .. }) = lease {
                let address = value.holder.and_then(|holder| holder.address);
                state.hear_of(now, value.term, address);
            }
            before != state.spender.term()
        });
        if heard {
            self.limits.shared.wanted.notify();
        }
    }

    fn tell_ledger(&self) {
        let ledger = self.limits.with(|state, _now| {
            let ledger = state.ledger.as_ref();
            ledger.map(|ledger| (ledger.term(), ledger.has_full_rate()))
        });
        self.limits.shared.log.ledger(ledger);
    }

    async fn act(&mut self, action: Action) {
        let shared = self.limits.shared.clone();
        let started = shared.clock.now();
        let ended = match self.told(&action) {
            Some(result) => CallOutcome::LeaseRead(Freshness::Stale, result),
            None => {
                let asked = shared.clock.instant(started);
                let ended = execute(&self.ports, &self.name, action, asked).await;
                if ended.store_answered() {
                    self.health.record_answer(started);
                }
                if ended.store_failed() {
                    self.health.record_failure();
                }
                ended
            }
        };
        let change = match ended {
            CallOutcome::LeaseRead(freshness, result) => {
                if let ReadResult::Found(Some(found)) = &result {
                    self.sources.observe_lease(&self.name, found);
                }
                let read = |election: &mut threadledge_coordination::election::Election, now| {
                    election.on_read(now, freshness, result)
                };
                self.limits
                    .with(|state, now| read(&mut state.election, now))
            }
            CallOutcome::LeaseWrite(lease, result) => {
                if let Some(found) = lease_after_write(&lease, &result) {
                    self.sources.observe_lease(&self.name, &found);
                }
                self.limits
                    .with(|state, now| state.election.on_write(now, lease, result))
            }
            // An election asks for nothing else.
            CallOutcome::RecordRead(_) | CallOutcome::RecordWrite(..) | CallOutcome::Order(..) => {
                None
            }
        };
        self.take_change(change);
    }

    /// The relay tells the lease with each of its answers.
    fn told(
        &self,
        action: &Action,
    ) -> Option<ReadResult<threadledge_coordination::CoordinatorLease>> {
        if !matches!(action, Action::ReadLease(Freshness::Stale)) {
            return None;
        }
        if self.sources.has_relay() {
            return Some(ReadResult::Found(self.sources.lease(&self.name)));
        }
        // The member that looks for a relay tries the store.
        self.sources.is_waiting().then_some(ReadResult::Failed)
    }

    fn take_change(&mut self, change: Option<Change>) {
        match change {
            Some(Change::Elected { term, predecessor }) => {
                let predecessor = predecessor.map(|earlier| Predecessor {
                    lease_end: earlier.orders_end,
                });
                self.won = Some(Won { term, predecessor });
                self.next_record = Timestamp::ZERO;
                self.limits.with(|state, _now| state.ledger = None);
            }
            Some(Change::Deposed { .. }) => {
                self.won = None;
                self.limits.with(|state, _now| state.ledger = None);
            }
            None => {}
        }
    }

    /// Writes the record if it is due. Says whether it was.
    async fn keep_record(&mut self) -> bool {
        let now = self.limits.shared.clock.now();
        if now < self.next_record {
            return false;
        }
        let (leading, record) = self.limits.with(|state, now| {
            let ledger = state.ledger.as_mut();
            let record = ledger.and_then(|ledger| ledger.record_to_write(now));
            (state.election.leading_term(), record)
        });
        self.won = self.won.filter(|won| leading == Some(won.term));
        if let Some(won) = self.won {
            self.next_record = now + RECORD_RETRY;
            self.begin(won).await;
            return true;
        }
        let (Some(record), Some(revision)) = (record, self.revision) else {
            return false;
        };
        self.next_record = now + RECORD_RETRY;
        self.extend(record, revision).await;
        true
    }

    /// Takes the record over from the ledger before, and begins.
    async fn begin(&mut self, won: Won) {
        let holders = self.ports.limit_holders.clone();
        let ReadResult::Found(found) = holders.read(HOLDERS, Freshness::Linearizable).await else {
            return;
        };
        let condition = match &found {
            Some(found) => Condition::Revision(found.revision),
            None => Condition::Absent,
        };
        let found = found.map(|found| found.value);
        if found.as_ref().is_some_and(|found| found.term > won.term) {
            self.overtaken();
            return;
        }
        let mut record = HolderRecord {
            term: won.term,
            ..found.clone().unwrap_or_default()
        };
        let machine = self.limits.with(|state, _now| state.me.node.clone());
        record.machines.insert(machine.clone());
        record.ledgers.insert(machine.clone());
        let result = holders.write(HOLDERS, &record, condition).await;
        let WriteResult::Accepted(revision) = result else {
            return;
        };
        self.revision = Some(revision);
        self.won = None;
        self.limits.with(|state, now| {
            if state.election.leading_term() != Some(won.term) {
                return;
            }
            let office = LedgerElection {
                term: won.term,
                predecessor: won.predecessor,
                found,
                written: record,
                machine,
            };
            let mut ledger = Ledger::new(now, state.settings.clone(), office);
            ledger.set_limits(now, state.limits.clone());
            state.ledger = Some(ledger);
        });
        self.limits.shared.wanted.notify();
    }

    /// Writes machines that are new into the record.
    async fn extend(&mut self, record: HolderRecord, revision: StoreRevision) {
        let holders = self.ports.limit_holders.clone();
        let condition = Condition::Revision(revision);
        match holders.write(HOLDERS, &record, condition).await {
            WriteResult::Accepted(revision) => {
                self.revision = Some(revision);
                self.limits.with(|state, _now| {
                    let ledger = state.ledger.as_mut();
                    if let Some(ledger) = ledger.filter(|ledger| ledger.term() == record.term) {
                        ledger.on_record_written(record);
                    }
                });
            }
            WriteResult::Conflict(Some(found)) if found.value.term <= record.term => {
                // A write whose answer was lost took effect after all.
                self.revision = Some(found.revision);
            }
            WriteResult::Conflict(_) => self.overtaken(),
            WriteResult::NotDone | WriteResult::Unknown => {}
        }
    }

    fn overtaken(&mut self) {
        let change = self
            .limits
            .with(|state, now| state.election.on_superseded(now));
        self.take_change(change);
    }
}

/// Shortest wait for the next step: other tasks share the thread.
const SHORTEST_WAIT: Duration = Duration::from_millis(1);
