//! How well this router itself keeps up.

/// Highest score; timeouts are then this many times longer, plus once.
const MAX_SCORE: u32 = 8;

/// Evidence that this router is slow or badly connected. The worse it is, the
/// longer it waits before it blames others ("local health" of Lifeguard).
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct LocalHealth {
    score: u32,
}

impl LocalHealth {
    /// Something that others cannot be blamed for went wrong.
    pub(crate) fn worsen(&mut self, by: u32) {
        self.score = (self.score + by).min(MAX_SCORE);
    }

    /// A probe went well.
    pub(crate) fn improve(&mut self) {
        self.score = self.score.saturating_sub(1);
    }

    /// By how much timeouts are lengthened.
    pub(crate) fn multiplier(&self) -> u32 {
        self.score + 1
    }
}
