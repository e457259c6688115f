//! What ends requests before their answers have left whole.

use super::report::CounterKind;

/// What ended a request before its answer had left whole.
#[derive(Clone, Copy, Debug)]
pub(super) enum Interruption {
    HungUp,
    /// The answer's body failed after some of the answer had left.
    Truncated,
    /// The answer's body failed before any of the answer had left.
    Unsent,
    Aborted,
}

impl Interruption {
    pub(super) fn count(self) -> CounterKind {
        match self {
            Interruption::HungUp => CounterKind::HungUp,
            Interruption::Truncated | Interruption::Unsent => CounterKind::Truncated,
            Interruption::Aborted => CounterKind::Aborted,
        }
    }

    /// As what the requests behind the interrupted one count.
    pub(super) fn count_queued(self) -> CounterKind {
        match self {
            Interruption::HungUp => CounterKind::HungUp,
            Interruption::Truncated | Interruption::Unsent => CounterKind::Abandoned,
            Interruption::Aborted => CounterKind::Aborted,
        }
    }
}
