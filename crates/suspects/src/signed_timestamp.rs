//! Timestamps of evidence, which may lie before the origin of a gateway's
//! clock.

use std::time::Duration;

use threadledge_types::Timestamp;

/// Time on this gateway's clock, in microseconds from its origin.
///
/// Invariant: the time may lie before the origin, so that observations made
/// before this gateway started keep their age. When such times were clamped to
/// the origin, old evidence passed on by a newly started gateway looked recent
/// and withdrew later crashes; in 30 s of random restarts a request still
/// reached nine back ends after it should have been held.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct SignedTimestamp(i64);

impl SignedTimestamp {
    /// Returns the time `age_ms` milliseconds before `now`.
    pub(crate) fn before_now(now: Timestamp, age_ms: u64) -> Self {
        let age = i64::try_from(age_ms)
            .unwrap_or(i64::MAX)
            .saturating_mul(1_000);
        SignedTimestamp(SignedTimestamp::from(now).0.saturating_sub(age))
    }

    /// Returns the time from this timestamp until `now`, in milliseconds.
    pub(crate) fn age_ms(self, now: Timestamp) -> u64 {
        let age = SignedTimestamp::from(now).0.saturating_sub(self.0);
        u64::try_from(age / 1_000).unwrap_or(0)
    }

    /// Returns this time plus a duration.
    pub(crate) fn plus(self, duration: Duration) -> Self {
        let micros = i64::try_from(duration.as_micros()).unwrap_or(i64::MAX);
        SignedTimestamp(self.0.saturating_add(micros))
    }
}

impl From<Timestamp> for SignedTimestamp {
    fn from(timestamp: Timestamp) -> Self {
        SignedTimestamp(i64::try_from(timestamp.as_micros()).unwrap_or(i64::MAX))
    }
}
