//! What a router believes about one back end from polling its health.

use threadledge_types::SessionId;

/// Polls that must fail in a row before a back end counts as dead: one late
/// answer is no death.
pub const FAILURES_UNTIL_DEAD: u32 = 2;

/// Polled health of one back end.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Health {
    failures: u32,
    session: Option<SessionId>,
}

impl Health {
    /// Takes the result of one poll: the life that answered, or nothing.
    pub fn take(&mut self, answer: Option<SessionId>) {
        match answer {
            Some(session) => {
                self.failures = 0;
                self.session = Some(session);
            }
            None => self.failures = self.failures.saturating_add(1),
        }
    }

    /// Whether requests are sent to it.
    pub fn is_alive(&self) -> bool {
        self.session.is_some() && self.failures < FAILURES_UNTIL_DEAD
    }

    /// The life that answered last.
    pub fn session(&self) -> Option<&SessionId> {
        self.session.as_ref()
    }
}
