//! Requests whose owner refused them as not its own.
//!
//! During a planned move a router may still know the former owner, or know the
//! next one before that has its grant. The requests wait, nothing of them
//! running anywhere, and go on when the slice has a newer epoch, or when the
//! owner has answered another request under the same one. Only the first that
//! waits asks the owner again, for all of them: neither many requests nor many
//! routers make a wave of refusals out of one move.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use threadledge_types::Timestamp;

use crate::attempt::ExchangeId;
use crate::backoff::backoff;
use crate::exchange::Target;

/// Longest wait between two asks of one owner.
const MAX_PROBE_BACKOFF: Duration = Duration::from_secs(1);

/// Exchanges that wait, by the assignment that refused them.
#[derive(Debug, Default)]
pub(crate) struct OwnerRefusals {
    by_target: BTreeMap<Target, Waiters>,
}

/// Who waits for one owner. Forgotten when nobody does.
#[derive(Debug)]
struct Waiters {
    waiting: BTreeSet<ExchangeId>,
    probes: u32,
    probe_at: Timestamp,
}

/// What one that waits may do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum WaiterAction {
    /// The owner has answered another request meanwhile.
    Resend,
    /// It asks for all, not before this time.
    Probe(Timestamp),
    /// Another one asks.
    Wait,
}

impl OwnerRefusals {
    /// An exchange was refused after it had asked `asked` times.
    pub(crate) fn join(
        &mut self,
        now: Timestamp,
        target: Target,
        id: ExchangeId,
        probes: u32,
        min_backoff: Duration,
    ) {
        let waiters = self.by_target.entry(target).or_insert_with(|| Waiters {
            waiting: BTreeSet::new(),
            probes,
            probe_at: now + backoff(min_backoff, MAX_PROBE_BACKOFF, probes, id.0),
        });
        waiters.waiting.insert(id);
    }

    /// What `id` may do.
    pub(crate) fn next_action(&self, target: Target, id: ExchangeId) -> WaiterAction {
        match self.by_target.get(&target) {
            Some(waiters) if waiters.waiting.first() == Some(&id) => {
                WaiterAction::Probe(waiters.probe_at)
            }
            Some(waiters) if waiters.waiting.contains(&id) => WaiterAction::Wait,
            _ => WaiterAction::Resend,
        }
    }

    /// The next ask is due later: one is on its way, or there was no leave.
    /// Answers how often the owner has been asked.
    pub(crate) fn schedule_next_probe(
        &mut self,
        now: Timestamp,
        target: Target,
        min_backoff: Duration,
    ) -> u32 {
        let Some(waiters) = self.by_target.get_mut(&target) else {
            return 0;
        };
        waiters.probes += 1;
        waiters.probe_at = now
            + backoff(
                min_backoff,
                MAX_PROBE_BACKOFF,
                waiters.probes,
                waiters.probe_at.as_micros(),
            );
        waiters.probes
    }

    /// An exchange waits no more. Answers who asks in its place from now on.
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

    /// The owner answers under this assignment: everyone may go on.
    pub(crate) fn release_all(&mut self, target: Target) -> BTreeSet<ExchangeId> {
        let waiters = self.by_target.remove(&target);
        waiters.map(|waiters| waiters.waiting).unwrap_or_default()
    }
}
