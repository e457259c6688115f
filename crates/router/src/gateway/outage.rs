//! Detects when the platform's store answers again after an outage.
//!
//! During an outage back ends cannot renew their registrations, and the
//! registrations lapse. Live back ends register again soon after the store's
//! return, so that until then a missing registration says nothing about its
//! back end.

use std::time::Duration;

use threadledge_types::Timestamp;

/// Shortest outage, in heartbeats, that can make a registration lapse. A
/// registration lapses after three missed heartbeats, of which the first may
/// have been sent in time and lost with the store.
const MIN_MISSED_HEARTBEATS: u32 = 2;
/// Time from the store's return until every live back end that can reach it has
/// registered again. The user documentation promises about two seconds.
const REREGISTRATION_TIME: Duration = Duration::from_secs(2);

/// The store's outages, derived from the times of its answers.
#[derive(Clone, Copy, Debug)]
pub struct OutageTracker {
    /// Shortest outage that can make a registration lapse.
    min_outage: Duration,
    /// When the store last answered.
    last_answer: Option<Timestamp>,
    /// The first answer after the last outage that was long enough.
    returned_at: Option<Timestamp>,
}

impl OutageTracker {
    /// Starts without an outage; back ends renew their registrations every
    /// `heartbeat`.
    pub fn new(heartbeat: Duration) -> Self {
        OutageTracker {
            min_outage: heartbeat * MIN_MISSED_HEARTBEATS,
            last_answer: None,
            returned_at: None,
        }
    }

    /// Records that the store answered this gateway or its relay at `at`.
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

    /// End of the grace period for registrations that disappeared; `None`:
    /// registrations that disappear now are gone.
    pub fn grace_until(&self, now: Timestamp) -> Option<Timestamp> {
        let until = self.returned_at? + REREGISTRATION_TIME;
        (now < until).then_some(until)
    }
}
