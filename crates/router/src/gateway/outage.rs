//! When the platform's store answered again after it had been away.
//!
//! While the store is away, back ends cannot renew their registrations, and
//! registrations lapse. Back ends that live register again soon after the
//! store's return, so that until then a registration that went says nothing.

use std::time::Duration;

use threadledge_types::Timestamp;

/// Heartbeats that must be missed before a registration can lapse for the
/// store's silence alone: three, of which the first may have been sent in time
/// and lost with the store.
const MIN_MISSED_HEARTBEATS: u32 = 2;
/// Time from the store's return until every back end that lives and reaches it
/// has registered again. The users' pages state about two seconds.
const REREGISTRATION_TIME: Duration = Duration::from_secs(2);

/// The store's silences, as the times of its answers show them.
#[derive(Clone, Copy, Debug)]
pub struct OutageTracker {
    /// Shortest silence in which a registration can lapse.
    min_outage: Duration,
    /// The store surely answered at that time.
    last_answer: Option<Timestamp>,
    /// The first answer after the last silence that was long enough.
    returned_at: Option<Timestamp>,
}

impl OutageTracker {
    /// No silence yet; back ends renew their registrations every `heartbeat`.
    pub fn new(heartbeat: Duration) -> Self {
        OutageTracker {
            min_outage: heartbeat * MIN_MISSED_HEARTBEATS,
            last_answer: None,
            returned_at: None,
        }
    }

    /// The store surely answered, this gateway or its relay, at `at`.
    pub fn record_answer(&mut self, at: Timestamp) {
        let Some(last_answer) = self.last_answer else {
            self.last_answer = Some(at);
            return;
        };
        if at <= last_answer {
            return;
        }
        if at.since(last_answer) >= self.min_outage {
            self.returned_at = Some(at);
        }
        self.last_answer = Some(at);
    }

    /// Until when registrations that went are awaited; `None`: one that goes
    /// now is gone.
    pub fn grace_until(&self, now: Timestamp) -> Option<Timestamp> {
        let until = self.returned_at? + REREGISTRATION_TIME;
        (now < until).then_some(until)
    }
}
