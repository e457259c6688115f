//! Coordinates the retries of requests that an owner refused because it does
//! not consider the slice its own.
//!
//! During a planned move a router may still know the former owner, or know the
//! next one before that has its grant. The refused requests wait with nothing
//! of them running anywhere. They are resent when the slice has a newer epoch,
//! or when the owner has accepted another request under the same epoch. Only
//! the first waiting request probes the owner, on behalf of all, so that
//! neither many requests nor many routers turn one move into a wave of
//! refusals.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use threadledge_types::Timestamp;

use crate::attempt::ExchangeId;
use crate::backoff::backoff;
use crate::exchange::Target;

/// Maximum backoff between two probes of one owner.
const MAX_PROBE_BACKOFF: Duration = Duration::from_secs(1);

/// Waiting exchanges, by the assignment that refused them.
#[derive(Debug, Default)]
pub(crate) struct OwnerRefusals {
    by_target: BTreeMap<Target, Waiters>,
}

/// Exchanges that wait for one owner. The entry is removed when none is left.
#[derive(Debug)]
struct Waiters {
    waiting: BTreeSet<ExchangeId>,
    probes: u32,
    probe_at: Timestamp,
}

/// What a waiting exchange may do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum WaiterAction {
    /// Resend: the owner has accepted another request in the meantime.
    Resend,
    /// Probe the owner for all waiting exchanges, not before this time.
    Probe(Timestamp),
    /// Wait, because another exchange probes the owner.
    Wait,
}

impl OwnerRefusals {
    /// Adds an exchange that was refused. `probes` is the number of probes that
    /// the owner has got so far.
    pub(crate) fn join(
        &mut self,
        now: Timestamp,
        target: Target,
        id: ExchangeId,
        probes: u32,
        initial_backoff: Duration,
    ) {
        let waiters = self.by_target.entry(target).or_insert_with(|| Waiters {
            waiting: BTreeSet::new(),
            probes,
            probe_at: now + backoff(initial_backoff, MAX_PROBE_BACKOFF, probes, id.0),
        });
        waiters.waiting.insert(id);
    }

    /// Returns what the exchange `id` may do.
    pub(crate) fn next_action(&self, target: Target, id: ExchangeId) -> WaiterAction {
        match self.by_target.get(&target) {
            Some(waiters) if waiters.waiting.first() == Some(&id) => {
                WaiterAction::Probe(waiters.probe_at)
            }
            Some(waiters) if waiters.waiting.contains(&id) => WaiterAction::Wait,
            _ => WaiterAction::Resend,
        }
    }

    /// Postpones the next probe, because one is being sent or the retry budget
    /// is empty. Returns the number of probes so far.
    pub(crate) fn schedule_next_probe(
        &mut self,
        now: Timestamp,
        target: Target,
        initial_backoff: Duration,
    ) -> u32 {
        let Some(waiters) = self.by_target.get_mut(&target) else {
            return 0;
        };
        waiters.probes += 1;
        waiters.probe_at = now
            + backoff(
                initial_backoff,
                MAX_PROBE_BACKOFF,
                waiters.probes,
                waiters.probe_at.as_micros(),
            );
        waiters.probes
    }

    /// Removes a waiting exchange. Returns the one that probes in its place
    /// from now on, if that changed.
    pub(crate) fn leave(&mut self, target: Target, id: ExchangeId) -> Option<ExchangeId> {
        let waiters = self.by_target.get_mut(&target)?;
        let was_probing = waiters.waiting.first() == Some(&id);
        waiters.waiting.remove(&id);
        let next = waiters.waiting.first().copied();
        if next.is_none() {
            self.by_target.remove(&target);
        }
        next.filter(|_| was_probing)
    }

    /// Removes and returns all exchanges that wait for this assignment, because
    /// the owner accepts requests under it.
    pub(crate) fn release_all(&mut self, target: Target) -> BTreeSet<ExchangeId> {
        let waiters = self.by_target.remove(&target);
        waiters.map(|waiters| waiters.waiting).unwrap_or_default()
    }
}
