//! Suspicions that run until they are contradicted or confirmed by time.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use threadledge_types::{RouterId, Timestamp};

/// This many independent accusers shorten a suspicion to its least length.
const ACCUSERS_FOR_SHORTEST: usize = 3;
/// A suspicion with one accuser lasts this many times its least length.
const LONGEST_FACTOR: f64 = 1.5;

/// A suspicion that others brought lasts this many times as long here. Those
/// who saw the failure themselves decide first: a contradiction has to reach
/// only them in time, not every last router.
const HEARSAY_FACTOR: f64 = 2.0;
/// After this many times its length, a suspicion that others brought is
/// checked here: by then their news of the end should have arrived.
const CHECK_FACTOR: f64 = 1.5;

/// One member under suspicion.
#[derive(Debug)]
struct Suspicion {
    began_at: Timestamp,
    shortest: Duration,
    accusers: BTreeSet<RouterId>,
    deadline: Timestamp,
    /// This router is itself an accuser.
    first_hand: bool,
    /// When the member is told, or told again, that it is suspect here.
    reminder_at: Timestamp,
}

impl Suspicion {
    /// Each further accuser shortens the suspicion, the first ones most.
    fn length(&self) -> Duration {
        let further = self.accusers.len().saturating_sub(1) as f64;
        let most = (ACCUSERS_FOR_SHORTEST - 1) as f64;
        let share = ((further + 1.0).ln() / (most + 1.0).ln()).min(1.0);
        let factor = LONGEST_FACTOR - (LONGEST_FACTOR - 1.0) * share;
        self.shortest.mul_f64(factor)
    }

    fn deadline(&self) -> Timestamp {
        let factor = if self.first_hand { 1.0 } else { HEARSAY_FACTOR };
        self.began_at + self.length().mul_f64(factor)
    }

    fn first_check(&self) -> Timestamp {
        self.began_at + self.length().mul_f64(CHECK_FACTOR)
    }
}

/// All members under suspicion, in the order in which they run out.
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

    /// Begins a suspicion, or adds an accuser to the one that runs. Returns
    /// whether the accuser is news.
    pub(crate) fn accuse(
        &mut self,
        now: Timestamp,
        id: RouterId,
        accuser: RouterId,
        shortest: Duration,
    ) -> bool {
        let suspicion = self.by_id.entry(id).or_insert_with(|| Suspicion {
            began_at: now,
            shortest,
            accusers: BTreeSet::new(),
            deadline: Timestamp::ZERO,
            first_hand: false,
            reminder_at: Timestamp::ZERO,
        });
        if suspicion.accusers.len() >= ACCUSERS_FOR_SHORTEST {
            return false;
        }
        let news = suspicion.accusers.insert(accuser);
        if news {
            let check_at = suspicion.first_check();
            self.reschedule(id, Some(check_at));
        }
        news
    }

    /// Notes that this router itself saw the failure: it decides early.
    pub(crate) fn saw_failure(&mut self, id: RouterId) {
        if let Some(suspicion) = self.by_id.get_mut(&id) {
            suspicion.first_hand = true;
            self.reschedule(id, None);
        }
    }

    /// Notes that the member was told, and is to be told again at `at`.
    pub(crate) fn remind_at(&mut self, id: RouterId, at: Timestamp) {
        self.reschedule(id, Some(at));
    }

    /// Takes one member that is to be told again.
    pub(crate) fn take_reminder(&mut self, now: Timestamp) -> Option<RouterId> {
        let (at, id) = *self.reminders.first()?;
        if now < at {
            return None;
        }
        self.reminders.pop_first();
        Some(id)
    }

    /// Ends a suspicion without effect.
    pub(crate) fn clear(&mut self, id: RouterId) {
        let Some(suspicion) = self.by_id.remove(&id) else {
            return;
        };
        self.by_deadline.remove(&(suspicion.deadline, id));
        self.reminders.remove(&(suspicion.reminder_at, id));
    }

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

    /// Takes one member whose suspicion ran out.
    pub(crate) fn take_expired(&mut self, now: Timestamp) -> Option<RouterId> {
        let (deadline, id) = *self.by_deadline.first()?;
        if now < deadline {
            return None;
        }
        self.clear(id);
        Some(id)
    }

    /// Begins every suspicion anew: this router was paused, and what it did
    /// not hear meanwhile says nothing about others.
    pub(crate) fn restart_all(&mut self, now: Timestamp) {
        let ids: Vec<RouterId> = self.by_id.keys().copied().collect();
        for id in ids {
            if let Some(suspicion) = self.by_id.get_mut(&id) {
                suspicion.began_at = now;
            }
            self.reschedule(id, Some(now));
        }
    }

    /// When the next suspicion runs out or the next reminder is due.
    pub(crate) fn next_wakeup(&self) -> Option<Timestamp> {
        let deadline = self.by_deadline.first().map(|(at, _)| *at);
        let reminder = self.reminders.first().map(|(at, _)| *at);
        deadline.into_iter().chain(reminder).min()
    }
}
