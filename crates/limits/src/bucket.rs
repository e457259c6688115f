//! A token bucket whose rate and depth may change.

use std::time::Duration;

use threadledge_types::Timestamp;

/// Tokens that come at a rate, up to a depth. It begins empty: whoever starts
/// anew must not hand out what was handed out before.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Bucket {
    level: f64,
    at: Timestamp,
}

/// A rate in tokens a second and a depth in tokens.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Flow {
    pub(crate) rate: f64,
    pub(crate) depth: f64,
}

impl Bucket {
    pub(crate) fn empty(at: Timestamp) -> Self {
        Bucket { level: 0.0, at }
    }

    /// Lets the tokens in that came until `now`.
    pub(crate) fn refill(&mut self, now: Timestamp, flow: Flow) {
        let passed = now.since(self.at).as_secs_f64();
        self.at = self.at.max(now);
        self.level = (self.level + passed * flow.rate).min(flow.depth);
    }

    /// Takes up to `wanted` whole tokens.
    pub(crate) fn take(&mut self, wanted: u32) -> u32 {
        let taken = wanted.min(self.whole());
        self.level -= f64::from(taken);
        taken
    }

    /// Takes back what was not used, at the next refill up to the depth.
    pub(crate) fn put(&mut self, tokens: u32) {
        self.level += f64::from(tokens);
    }

    /// Whole tokens in it.
    pub(crate) fn whole(&self) -> u32 {
        // Rounding of many small refills must not withhold a token for ever.
        (self.level + 1e-9).clamp(0.0, f64::from(u32::MAX)) as u32
    }

    pub(crate) fn level(&self) -> f64 {
        self.level
    }

    /// Time until there are `tokens`; `None` if they never come.
    pub(crate) fn until(&self, tokens: f64, flow: Flow) -> Option<Duration> {
        let missing = tokens - self.level;
        if missing <= 0.0 {
            return Some(Duration::ZERO);
        }
        if flow.depth < tokens || flow.rate <= 0.0 {
            return None;
        }
        Duration::try_from_secs_f64(missing / flow.rate).ok()
    }
}
