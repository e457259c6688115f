//! Times of evidence, which may lie before the origin of a gateway's clock.

use std::time::Duration;

use threadledge_types::Timestamp;

/// A time on this gateway's clock, in microseconds from its origin.
///
/// Invariant: it may lie before the origin. What others saw before this
/// gateway started keeps its age; cut off at the origin, old news told on by a
/// gateway that had just started looked young, and took back crashes that came
/// after it (a request reached nine back ends too late in 30 s of random
/// restarts).
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Moment(i64);

impl Moment {
    /// The time so many milliseconds before `now`.
    pub(crate) fn ago(now: Timestamp, age_ms: u64) -> Self {
        let age = i64::try_from(age_ms)
            .unwrap_or(i64::MAX)
            .saturating_mul(1_000);
        Moment(Moment::from(now).0.saturating_sub(age))
    }

    /// Time from then until `now`, in milliseconds.
    pub(crate) fn age_ms(self, now: Timestamp) -> u64 {
        let age = Moment::from(now).0.saturating_sub(self.0);
        u64::try_from(age / 1_000).unwrap_or(0)
    }

    /// This time and so much more.
    pub(crate) fn after(self, duration: Duration) -> Self {
        let micros = i64::try_from(duration.as_micros()).unwrap_or(i64::MAX);
        Moment(self.0.saturating_add(micros))
    }
}

impl From<Timestamp> for Moment {
    fn from(timestamp: Timestamp) -> Self {
        Moment(i64::try_from(timestamp.as_micros()).unwrap_or(i64::MAX))
    }
}
