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
const LEASE_NAME: &str = "threadledge.tenant-limits";
/// Name of the record of machines that may hold shares.
const HOLDER_RECORD: &str = "holders";
/// Delay before a failed write of the record is retried.
const RECORD_RETRY_DELAY: Duration = Duration::from_millis(200);
/// Longest wait before the election is polled again.
const MAX_WAIT: Duration = Duration::from_secs(1);
/// Additional takeover delay of a gateway that follows a relay. Relays see the
/// lease first-hand and are few, so they go first.
const FOLLOWER_TAKEOVER_DELAY: Duration = Duration::from_millis(700);

/// Time for which the ledger has to be unreachable before a follower of a relay
/// looks for it in the store itself.
const FOLLOWER_LEASE_CHECK_DELAY: Duration = Duration::from_millis(2_500);

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
    const MAX_DELAY_S: f64 = 0.5;
    /// Delay of a machine with one whole core, in seconds.
    const ONE_CORE_DELAY_S: f64 = 0.05;
    let delay_s = (ONE_CORE_DELAY_S / cores.max(0.01)).min(MAX_DELAY_S);
    Duration::try_from_secs_f64(delay_s).unwrap_or_default()
}

/// An election won by this gateway. The ledger begins once the holder record is
/// written.
#[derive(Clone, Copy, Debug)]
struct WonElection {
    term: Term,
    predecessor: Option<Predecessor>,
}

/// Task that takes part in the election and keeps the ledger.
pub(super) struct LedgerKeeper {
    limits: Limits,
    ports: Ports,
    sources: Arc<Sources>,
    health: Arc<StoreHealth>,
    placement: LedgerPlacement,
    name: ServiceName,
    won: Option<WonElection>,
    /// Revision of the holder record as last written by this ledger.
    revision: Option<StoreRevision>,
    next_record_write: Timestamp,
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
            name: ServiceName::from(LEASE_NAME),
            won: None,
            revision: None,
            next_record_write: Timestamp::ZERO,
        }
    }

    /// Runs the election and the record; never returns.
    pub(super) async fn run(mut self) {
        let shared = self.limits.shared.clone();
        loop {
            let changed = shared.changed.next();
            let lease_changed = self.sources.lease_changes().next();
            let has_limits = self
                .limits
                .with(|state, _now| state.rate_limiter.has_limits());
            let leading_term = self
                .limits
                .with(|state, _now| state.election.leading_term());
            if !has_limits && leading_term.is_none() {
                changed.await;
                continue;
            }
            self.update_election();
            self.log_ledger();
            let action = self.poll();
            if let Some(action) = action {
                self.execute_action(action).await;
                continue;
            }
            if self.write_record_if_due().await {
                continue;
            }
            let deadline = shared.clock.instant(self.next_wake());
            // The next round finds out what ended the wait.
            let _ = timer::timeout_at(deadline, select(changed, lease_changed)).await;
        }
    }

    /// Returns the election's next call, if one is due. A gateway reads the
    /// store only while there is reason to doubt the ledger: reading all the
    /// time cost four billed calls per second or more and brought no
    /// information.
    fn poll(&self) -> Option<Action> {
        let min_unreachable = self.lease_check_delay();
        self.limits.with(|state, now| {
            let check_lease = state.should_check_lease(now, min_unreachable);
            check_lease.then(|| state.election.poll(now)).flatten()
        })
    }

    /// Time for which the ledger has to be unreachable before this gateway
    /// checks the lease. Relays check first and pass the result on to their
    /// followers.
    fn lease_check_delay(&self) -> Duration {
        match self.sources.current() {
            Source::Relay { .. } => FOLLOWER_LEASE_CHECK_DELAY,
            _ => Duration::ZERO,
        }
    }

    fn next_wake(&self) -> Timestamp {
        let min_unreachable = self.lease_check_delay();
        self.limits.with(|state, now| {
            let longest = now + MAX_WAIT;
            let check_lease = state.should_check_lease(now, min_unreachable);
            let election = state.election.next_wake().filter(|_| check_lease);
            let election = election.unwrap_or(longest);
            let ledger = state.ledger.as_ref();
            let needed = ledger.is_some_and(|ledger| ledger.needs_record_update(now));
            let due = self.won.is_some() || needed;
            let record = if due { self.next_record_write } else { longest };
            election.min(record).min(longest).max(now + MIN_WAIT)
        })
    }

    /// Updates the known holder of the lease and whether this gateway may
    /// become a candidate.
    fn update_election(&self) {
        let source = self.sources.current();
        let follows_relay = matches!(source, Source::Relay { .. });
        let lease = self.sources.lease(&self.name);
        // A follower waits for the relay to report the lease instead of reading
        // the store.
        let lease_known = !follows_relay || lease.is_some();
        let started = !matches!(source, Source::Starting { .. });
        let follower_delay = match source {
            Source::Relay { .. } | Source::Joining { .. } | Source::Unavailable => {
                FOLLOWER_TAKEOVER_DELAY
            }
            Source::Store | Source::Starting { .. } => Duration::ZERO,
        };
        let term_changed = self.limits.with(|state, now| {
            let candidate = state.rate_limiter.has_limits() && !state.stopping;
            state
                .election
                .set_candidate(candidate && started && lease_known);
            state
                .election
                .set_takeover_delay(self.placement.takeover_delay + follower_delay);
            let before = state.rate_limiter.term();
            let seen = state.election.last_seen_holder();
            let seen = seen.map(|(term, holder)| (term, holder.and_then(|one| one.address)));
            if let Some((term, address)) = seen {
                state.observe_holder(now, term, address);
            }
            if let Some(Versioned { value, .. }) = lease {
                let address = value.holder.and_then(|holder| holder.address);
                state.observe_holder(now, value.term, address);
            }
            before != state.rate_limiter.term()
        });
        if term_changed {
            self.limits.shared.quota_needed.notify();
        }
    }

    fn log_ledger(&self) {
        let ledger = self.limits.with(|state, _now| {
            let ledger = state.ledger.as_ref();
            ledger.map(|ledger| (ledger.term(), ledger.has_full_rate()))
        });
        self.limits.shared.log.log_ledger(ledger);
    }

    async fn execute_action(&mut self, action: Action) {
        let shared = self.limits.shared.clone();
        let started = shared.clock.now();
        let outcome = match self.lease_from_relay(&action) {
            Some(result) => CallOutcome::LeaseRead(Freshness::Stale, result),
            None => {
                let sent_at = shared.clock.instant(started);
                let outcome = execute(&self.ports, &self.name, action, sent_at).await;
                if outcome.store_answered() {
                    self.health.record_answer(started);
                }
                if outcome.store_failed() {
                    self.health.record_failure();
                }
                outcome
            }
        };
        let change = match outcome {
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
        self.apply_change(change);
    }

    /// Answers a stale lease read without a store call if this gateway follows
    /// a relay, which sends the lease with each of its answers.
    fn lease_from_relay(
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

    fn apply_change(&mut self, change: Option<Change>) {
        match change {
            Some(Change::Elected { term, predecessor }) => {
                let predecessor = predecessor.map(|earlier| Predecessor {
                    lease_end: earlier.orders_end,
                });
                self.won = Some(WonElection { term, predecessor });
                self.next_record_write = Timestamp::ZERO;
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
    async fn write_record_if_due(&mut self) -> bool {
        let now = self.limits.shared.clock.now();
        if now < self.next_record_write {
            return false;
        }
        let (leading, record) = self.limits.with(|state, now| {
            let ledger = state.ledger.as_mut();
            let record = ledger.and_then(|ledger| ledger.record_to_write(now));
            (state.election.leading_term(), record)
        });
        self.won = self.won.filter(|won| leading == Some(won.term));
        if let Some(won) = self.won {
            self.next_record_write = now + RECORD_RETRY_DELAY;
            self.begin_ledger(won).await;
            return true;
        }
        let (Some(record), Some(revision)) = (record, self.revision) else {
            return false;
        };
        self.next_record_write = now + RECORD_RETRY_DELAY;
        self.extend_record(record, revision).await;
        true
    }

    /// Takes over the holder record of the previous ledger and starts the new
    /// ledger.
    async fn begin_ledger(&mut self, won: WonElection) {
        let holders = self.ports.limit_holders.clone();
        let ReadResult::Found(found) = holders.read(HOLDER_RECORD, Freshness::Linearizable).await
        else {
            return;
        };
        let condition = match &found {
            Some(found) => Condition::Revision(found.revision),
            None => Condition::Absent,
        };
        let found = found.map(|found| found.value);
        if found.as_ref().is_some_and(|found| found.term > won.term) {
            self.on_superseded();
            return;
        }
        let mut record = HolderRecord {
            term: won.term,
            ..found.clone().unwrap_or_default()
        };
        let machine = self.limits.with(|state, _now| state.me.node.clone());
        record.machines.insert(machine.clone());
        record.ledgers.insert(machine.clone());
        let result = holders.write(HOLDER_RECORD, &record, condition).await;
        let WriteResult::Accepted(revision) = result else {
            return;
        };
        self.revision = Some(revision);
        self.won = None;
        self.limits.with(|state, now| {
            if state.election.leading_term() != Some(won.term) {
                return;
            }
            let ledger_election = LedgerElection {
                term: won.term,
                predecessor: won.predecessor,
                found,
                written: record,
                machine,
            };
            let mut ledger = Ledger::new(now, state.settings.clone(), ledger_election);
            ledger.set_limits(now, state.limits.clone());
            state.ledger = Some(ledger);
        });
        self.limits.shared.quota_needed.notify();
    }

    /// Adds new machines to the holder record.
    async fn extend_record(&mut self, record: HolderRecord, revision: StoreRevision) {
        let holders = self.ports.limit_holders.clone();
        let condition = Condition::Revision(revision);
        match holders.write(HOLDER_RECORD, &record, condition).await {
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
            WriteResult::Conflict(_) => self.on_superseded(),
            WriteResult::NotDone | WriteResult::Unknown => {}
        }
    }

    fn on_superseded(&mut self) {
        let change = self
            .limits
            .with(|state, now| state.election.on_superseded(now));
        self.apply_change(change);
    }
}

/// Minimum wait between steps, because other tasks share the thread.
const MIN_WAIT: Duration = Duration::from_millis(1);
