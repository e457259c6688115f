//! Local health score of this router.

/// Maximum score. Timeouts are multiplied by the score plus one.
const MAX_SCORE: u32 = 8;

/// Score that rises with evidence that this router is slow or poorly connected
/// ("local health" in Lifeguard). The higher it is, the longer this router
/// waits before it suspects others.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct LocalHealth {
    score: u32,
}

impl LocalHealth {
    /// Raises the score after a failure that may be this router's own.
    pub(crate) fn worsen(&mut self, by: u32) {
        self.score = (self.score + by).min(MAX_SCORE);
    }

    /// Lowers the score after a successful probe.
    pub(crate) fn improve(&mut self) {
        self.score = self.score.saturating_sub(1);
    }

    /// Returns the factor by which timeouts are multiplied.
    pub(crate) fn multiplier(&self) -> u32 {
        self.score + 1
    }
}
