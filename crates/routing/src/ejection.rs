//! Outlier ejection: a back end that fails repeatedly is taken out of use on
//! passive evidence and readmitted gradually.
//!
//! A key has one owner, so an ejected back end's requests cannot go elsewhere:
//! ejection keeps callers from piling up behind a back end that does not
//! respond. Requests that can wait do so; after each ejection one request at a
//! time is let through as a probe. Health endpoints are not polled, because
//! they lag or mislead.

use std::time::Duration;

use threadledge_types::Timestamp;

/// Settings of ejection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EjectionPolicy {
    /// Consecutive failures after which the back end is ejected.
    pub failures: u32,
    /// Duration of the first ejection; it doubles with each failed probe.
    pub min_duration: Duration,
    /// Maximum duration of an ejection.
    pub max_duration: Duration,
    /// Successful probes, sent one at a time, after which the back end is
    /// readmitted.
    pub successes_to_readmit: u32,
}

/// Ejection state. While `Ejected`, no request is let through before `until`
/// and single probes afterwards.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    InUse {
        failures: u32,
    },
    Ejected {
        until: Timestamp,
        duration: Duration,
        successes: u32,
    },
}

/// Change of state caused by a success or failure.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EjectionChange {
    /// The back end is ejected, or its ejection was prolonged.
    Ejected,
    /// The back end is in full use again.
    Readmitted,
}

/// Ejection state of one back end.
#[derive(Clone, Debug)]
pub struct Ejection {
    policy: EjectionPolicy,
    state: State,
}

impl Ejection {
    /// Creates the state of a back end that is in use.
    pub fn new(policy: EjectionPolicy) -> Self {
        Ejection {
            policy,
            state: State::InUse { failures: 0 },
        }
    }

    /// Number of concurrent requests allowed, given the usual limit `full`.
    pub fn allowed(&self, now: Timestamp, full: u32) -> u32 {
        match self.state {
            State::InUse { .. } => full,
            State::Ejected { until, .. } if now < until => 0,
            State::Ejected { .. } => 1,
        }
    }

    /// Whether the back end is ejected or being probed for readmission.
    pub fn is_ejected(&self) -> bool {
        matches!(self.state, State::Ejected { .. })
    }

    /// Time from which the next probe is let through, if it lies ahead.
    pub fn closed_until(&self, now: Timestamp) -> Option<Timestamp> {
        match self.state {
            State::Ejected { until, .. } if now < until => Some(until),
            _ => None,
        }
    }

    /// Records a response of the back end; a refusal counts as well.
    pub fn on_success(&mut self) -> Option<EjectionChange> {
        match &mut self.state {
            State::InUse { failures } => {
                *failures = 0;
                None
            }
            State::Ejected { successes, .. } => {
                *successes += 1;
                if *successes < self.policy.successes_to_readmit {
                    return None;
                }
                self.state = State::InUse { failures: 0 };
                Some(EjectionChange::Readmitted)
            }
        }
    }

    /// Records a failure: the back end could not be connected to, dropped the
    /// connection or did not respond.
    pub fn on_failure(&mut self, now: Timestamp) -> Option<EjectionChange> {
        let duration = match self.state {
            State::InUse { failures } if failures + 1 < self.policy.failures => {
                self.state = State::InUse {
                    failures: failures + 1,
                };
                return None;
            }
            State::InUse { .. } => self.policy.min_duration,
            // Attempts that were sent before the ejection do not count again.
            State::Ejected { until, .. } if now < until => return None,
            State::Ejected { duration, .. } => (duration * 2).min(self.policy.max_duration),
        };
        self.state = State::Ejected {
            until: now + duration,
            duration,
            successes: 0,
        };
        Some(EjectionChange::Ejected)
    }
}
