//! Takes part in the election for the ledger, keeps the ledger's lease, and
//! maintains the record of machines that may hold shares.

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

/// Name of the ledger's lease, which is stored beside those of services.
const LEDGER: &str = "threadledge.tenant-limits";
const HOLDERS: &str = "holders";
/// Delay before a failed write of the record is retried.
const RECORD_RETRY: Duration = Duration::from_millis(200);
/// Longest wait before the election is polled again.
const LONGEST_WAIT: Duration = Duration::from_secs(1);
/// Additional takeover delay of a gateway that follows a relay. Relays see the
/// lease first-hand and are few, so they go first.
const FOLLOWER_PATIENCE: Duration = Duration::from_millis(700);

/// Time for which the ledger has to be unreachable before a follower of a relay
/// looks for it in the store itself.
const FOLLOWER_DOUBT: Duration = Duration::from_millis(2_500);

/// Suitability of this machine for keeping the ledger.
#[derive(Clone, Copy, Debug)]
pub(in super::super) struct LedgerPlacement {
    /// Delay added to the timeout after which this machine takes over the
    /// ledger.
    pub(in super::super) takeover_delay: Duration,
}

/// Takeover delay for a machine with this many cores. The ledger answers some
/// hundreds of quota requests per second, so machines with more cores come
/// first.
pub(in super::super) fn takeover_delay_for_cores(cores: f64) -> Duration {
    /// Upper bound of the delay, in seconds.
    const LONGEST_S: f64 = 0.5;
    /// Delay of a machine with one whole core, in seconds.
    const WHOLE_CORE_S: f64 = 0.05;
    let by_cores = (WHOLE_CORE_S / cores.max(0.01)).min(LONGEST_S);
    Duration::try_from_secs_f64(by_cores).unwrap_or_default()
}

/// An election won by this gateway. The ledger begins once the holder record is
/// written.
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
    /// Revision of the holder record as last written by this ledger.
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

    /// Runs the election and the record; never returns.
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
            // The next round finds out what ended the wait.
            let _ = timer::timeout_at(deadline, select(changed, told)).await;
        }
    }

    /// Returns the election's next call, if one is due. A gateway reads the
    /// store only while there is reason to doubt the ledger: reading all the
    /// time cost four billed calls per second or more and brought no
    /// information.
    fn poll(&self) -> Option<Action> {
        let patience = self.doubt_after();
        self.limits.with(|state, now| {
            let doubts = state.doubts_ledger(now, patience);
            doubts.then(|| state.election.poll(now)).flatten()
        })
    }

    /// Time for which the ledger has to be unreachable before this gateway
    /// checks the lease. Relays check first and pass the result on to their
    /// followers.
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

    /// Updates the known holder of the lease and whether this gateway may
    /// become a candidate.
    fn look_around(&self) {
        let source = self.sources.current();
        let relayed = matches!(source, Source::Relay { .. });
        let lease = self.sources.lease(&self.name);
        // A follower waits for the relay to report the lease instead of reading
        // the store.
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
            // An election issues no other calls.
            CallOutcome::RecordRead(_) | CallOutcome::RecordWrite(..) | CallOutcome::Order(..) => {
                None
            }
        };
        self.take_change(change);
    }

    /// Answers a stale lease read without a store call if this gateway follows
    /// a relay, which sends the lease with each of its answers.
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
        // Only the member that is looking for a relay calls the store.
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

    /// Writes the holder record if it is due. Returns whether it was.
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

    /// Takes over the holder record of the previous ledger and starts the new
    /// ledger.
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

    /// Adds new machines to the holder record.
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
                // An earlier write whose answer was lost took effect after all.
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

/// Minimum wait between steps, because other tasks share the thread.
const SHORTEST_WAIT: Duration = Duration::from_millis(1);
