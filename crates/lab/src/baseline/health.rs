//! The health of one back end as determined by a router's polls.

use threadledge_types::SessionId;

/// Consecutive failed polls after which a back end is considered dead; more
/// than one, so that a single late response does not suffice.
pub const FAILURES_UNTIL_DEAD: u32 = 2;

/// Polled health of one back end.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Health {
    failures: u32,
    session: Option<SessionId>,
}

impl Health {
    /// Records the result of one poll: the session that responded, or `None`.
    pub fn record(&mut self, answer: Option<SessionId>) {
        match answer {
            Some(session) => {
                self.failures = 0;
                self.session = Some(session);
            }
            None => self.failures = self.failures.saturating_add(1),
        }
    }

    /// Returns whether it is considered alive and receives requests.
    pub fn is_alive(&self) -> bool {
        self.session.is_some() && self.failures < FAILURES_UNTIL_DEAD
    }

    /// Returns the session that responded last.
    pub fn session(&self) -> Option<&SessionId> {
        self.session.as_ref()
    }
}
