//! What ends requests before their answers have left whole.

use super::report::Count;

/// What ended a request before its answer had left whole.
#[derive(Clone, Copy, Debug)]
pub(super) enum Interruption {
    HungUp,
    /// The answer's body failed after some of the answer had left.
    Truncated,
    /// The answer's body failed before any of the answer had left.
    Unsent,
    Cut,
}

impl Interruption {
    pub(super) fn count(self) -> Count {
        match self {
            Interruption::HungUp => Count::HungUp,
            Interruption::Truncated | Interruption::Unsent => Count::Truncated,
            Interruption::Cut => Count::Aborted,
        }
    }

    /// As what the requests behind the interrupted one count.
    pub(super) fn count_behind(self) -> Count {
        match self {
            Interruption::HungUp => Count::HungUp,
            Interruption::Truncated | Interruption::Unsent => Count::Abandoned,
            Interruption::Cut => Count::Aborted,
        }
    }
}
