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
const LONGEST_ASK: Duration = Duration::from_secs(1);

/// Exchanges that wait, by the assignment that refused them.
#[derive(Debug, Default)]
pub(crate) struct RefusingOwners {
    by_target: BTreeMap<Target, Waiters>,
}

/// Who waits for one owner. Forgotten when nobody does.
#[derive(Debug)]
struct Waiters {
    waiting: BTreeSet<ExchangeId>,
    asked: u32,
    ask_at: Timestamp,
}

/// What one that waits may do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Turn {
    /// The owner has answered another request meanwhile.
    Served,
    /// It asks for all, not before this time.
    Asks(Timestamp),
    /// Another one asks.
    Waits,
}

impl RefusingOwners {
    /// An exchange was refused after it had asked `asked` times.
    pub(crate) fn join(
        &mut self,
        now: Timestamp,
        target: Target,
        id: ExchangeId,
        asked: u32,
        shortest: Duration,
    ) {
        let waiters = self.by_target.entry(target).or_insert_with(|| Waiters {
            waiting: BTreeSet::new(),
            asked,
            ask_at: now + backoff(shortest, LONGEST_ASK, asked, id.0),
        });
        waiters.waiting.insert(id);
    }

    /// What `id` may do.
    pub(crate) fn turn(&self, target: Target, id: ExchangeId) -> Turn {
        match self.by_target.get(&target) {
            Some(waiters) if waiters.waiting.first() == Some(&id) => Turn::Asks(waiters.ask_at),
            Some(waiters) if waiters.waiting.contains(&id) => Turn::Waits,
            _ => Turn::Served,
        }
    }

    /// The next ask is due later: one is on its way, or there was no leave.
    /// Answers how often the owner has been asked.
    pub(crate) fn put_off(&mut self, now: Timestamp, target: Target, shortest: Duration) -> u32 {
        let Some(waiters) = self.by_target.get_mut(&target) else {
            return 0;
        };
        waiters.asked += 1;
        waiters.ask_at = now
            + backoff(
                shortest,
                LONGEST_ASK,
                waiters.asked,
                waiters.ask_at.as_micros(),
            );
        waiters.asked
    }

    /// An exchange waits no more. Answers who asks in its place from now on.
    pub(crate) fn leave(&mut self, target: Target, id: ExchangeId) -> Option<ExchangeId> {
        let waiters = self.by_target.get_mut(&target)?;
        let asked = waiters.waiting.first() == Some(&id);
        waiters.waiting.remove(&id);
        let next = waiters.waiting.first().copied();
        if next.is_none() {
            self.by_target.remove(&target);
        }
        next.filter(|_| asked)
    }

    /// The owner answers under this assignment: everyone may go on.
    pub(crate) fn served(&mut self, target: Target) -> BTreeSet<ExchangeId> {
        let waiters = self.by_target.remove(&target);
        waiters.map(|waiters| waiters.waiting).unwrap_or_default()
    }
}
