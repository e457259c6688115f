//! Suspicions that are pending until they are refuted or expire.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use threadledge_types::{RouterId, Timestamp};

/// Number of independent reporters that reduces a suspicion to its minimum
/// timeout.
const REPORTERS_FOR_MIN: usize = 3;
/// Timeout of a suspicion with one reporter, as a multiple of the minimum.
const MAX_FACTOR: f64 = 1.5;

/// Factor by which the timeout is longer for a suspicion that only others
/// reported. Routers that observed the failure themselves decide first, so a
/// refutation has to reach only them in time, not every router.
const REPORTED_FACTOR: f64 = 2.0;
/// Multiple of its timeout after which this router pings a suspect that others
/// reported. By then, their gossip about the outcome should have arrived.
const CHECK_FACTOR: f64 = 1.5;

/// Pending suspicion of one member.
#[derive(Debug)]
struct Suspicion {
    began_at: Timestamp,
    min_timeout: Duration,
    reporters: BTreeSet<RouterId>,
    deadline: Timestamp,
    /// Whether this router observed the failure itself.
    observed: bool,
    /// When the member is next told that it is suspect here.
    reminder_at: Timestamp,
}

impl Suspicion {
    /// Returns the timeout. Each additional reporter shortens it, the first
    /// ones most.
    fn timeout(&self) -> Duration {
        let additional = self.reporters.len().saturating_sub(1) as f64;
        let needed = (REPORTERS_FOR_MIN - 1) as f64;
        let share = ((additional + 1.0).ln() / (needed + 1.0).ln()).min(1.0);
        let factor = MAX_FACTOR - (MAX_FACTOR - 1.0) * share;
        self.min_timeout.mul_f64(factor)
    }

    fn deadline(&self) -> Timestamp {
        let factor = if self.observed { 1.0 } else { REPORTED_FACTOR };
        self.began_at + self.timeout().mul_f64(factor)
    }

    /// Returns when the suspect is pinged for the first time.
    fn first_check(&self) -> Timestamp {
        self.began_at + self.timeout().mul_f64(CHECK_FACTOR)
    }
}

/// Pending suspicions, indexed by member, deadline and next reminder.
#[derive(Debug, Default)]
pub(crate) struct Suspicions {
    by_id: BTreeMap<RouterId, Suspicion>,
    by_deadline: BTreeSet<(Timestamp, RouterId)>,
    reminders: BTreeSet<(Timestamp, RouterId)>,
}

impl Suspicions {
    pub(crate) fn contains(&self, id: RouterId) -> bool {
        self.by_id.contains_key(&id)
    }

    /// Starts a suspicion, or adds a reporter to the pending one. Returns
    /// whether the reporter is new.
    pub(crate) fn add_report(
        &mut self,
        now: Timestamp,
        id: RouterId,
        reporter: RouterId,
        min_timeout: Duration,
    ) -> bool {
        let suspicion = self.by_id.entry(id).or_insert_with(|| Suspicion {
            began_at: now,
            min_timeout,
            reporters: BTreeSet::new(),
            deadline: Timestamp::ZERO,
            observed: false,
            reminder_at: Timestamp::ZERO,
        });
        if suspicion.reporters.len() >= REPORTERS_FOR_MIN {
            return false;
        }
        let is_new = suspicion.reporters.insert(reporter);
        if is_new {
            let check_at = suspicion.first_check();
            self.reschedule(id, Some(check_at));
        }
        is_new
    }

    /// Records that this router observed the failure itself, which shortens the
    /// timeout here.
    pub(crate) fn mark_observed(&mut self, id: RouterId) {
        if let Some(suspicion) = self.by_id.get_mut(&id) {
            suspicion.observed = true;
            self.reschedule(id, None);
        }
    }

    /// Schedules the next reminder to the member.
    pub(crate) fn schedule_reminder(&mut self, id: RouterId, at: Timestamp) {
        self.reschedule(id, Some(at));
    }

    /// Returns a member whose reminder is due, and removes the reminder.
    pub(crate) fn pop_reminder(&mut self, now: Timestamp) -> Option<RouterId> {
        let (at, id) = *self.reminders.first()?;
        if now < at {
            return None;
        }
        self.reminders.pop_first();
        Some(id)
    }

    /// Removes a suspicion without any other effect.
    pub(crate) fn clear(&mut self, id: RouterId) {
        let Some(suspicion) = self.by_id.remove(&id) else {
            return;
        };
        self.by_deadline.remove(&(suspicion.deadline, id));
        self.reminders.remove(&(suspicion.reminder_at, id));
    }

    /// Recomputes the deadline of a suspicion, and sets its reminder if one is
    /// given.
    fn reschedule(&mut self, id: RouterId, reminder_at: Option<Timestamp>) {
        let Some(suspicion) = self.by_id.get_mut(&id) else {
            return;
        };
        self.by_deadline.remove(&(suspicion.deadline, id));
        suspicion.deadline = suspicion.deadline();
        self.by_deadline.insert((suspicion.deadline, id));
        if let Some(at) = reminder_at {
            self.reminders.remove(&(suspicion.reminder_at, id));
            suspicion.reminder_at = at;
            self.reminders.insert((at, id));
        }
    }

    /// Returns a member whose suspicion has expired, and removes the suspicion.
    pub(crate) fn pop_expired(&mut self, now: Timestamp) -> Option<RouterId> {
        let (deadline, id) = *self.by_deadline.first()?;
        if now < deadline {
            return None;
        }
        self.clear(id);
        Some(id)
    }

    /// Restarts all suspicions, because this router was paused and messages
    /// missed in between are no evidence against others.
    pub(crate) fn restart_all(&mut self, now: Timestamp) {
        let ids: Vec<RouterId> = self.by_id.keys().copied().collect();
        for id in ids {
            if let Some(suspicion) = self.by_id.get_mut(&id) {
                suspicion.began_at = now;
            }
            self.reschedule(id, Some(now));
        }
    }

    /// Returns when the next suspicion expires or the next reminder is due.
    pub(crate) fn next_wakeup(&self) -> Option<Timestamp> {
        let deadline = self.by_deadline.first().map(|(at, _)| *at);
        let reminder = self.reminders.first().map(|(at, _)| *at);
        deadline.into_iter().chain(reminder).min()
    }
}
