//! Reasons why a request ends before its whole response was sent.

use super::report::CounterKind;

/// Reason why a request ended before its whole response was sent.
#[derive(Clone, Copy, Debug)]
pub(super) enum Interruption {
    /// The caller disconnected or stopped reading.
    HungUp,
    /// The response body failed after part of the response was sent.
    Truncated,
    /// The response body failed before any of the response was sent.
    Unsent,
    /// The drain timeout passed.
    Aborted,
}

impl Interruption {
    /// Returns the counter for the interrupted request itself.
    pub(super) fn count(self) -> CounterKind {
        match self {
            Interruption::HungUp => CounterKind::HungUp,
            Interruption::Truncated | Interruption::Unsent => CounterKind::Truncated,
            Interruption::Aborted => CounterKind::Aborted,
        }
    }

    /// Returns the counter for the requests behind the interrupted one.
    pub(super) fn count_queued(self) -> CounterKind {
        match self {
            Interruption::HungUp => CounterKind::HungUp,
            Interruption::Truncated | Interruption::Unsent => CounterKind::Abandoned,
            Interruption::Aborted => CounterKind::Aborted,
        }
    }
}
