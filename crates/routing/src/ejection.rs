//! Ejection of a back end on passive evidence, with a slow return.
//!
//! A key has one owner, so an ejected back end's requests cannot go
//! elsewhere: ejection stops callers from piling up behind a back end that
//! does not answer. Requests that can wait do so; one at a time is let
//! through after each ejection to see whether it answers. Health endpoints
//! are not asked, because they lag or mislead.

use std::time::Duration;

use threadledge_types::Timestamp;

/// Settings of ejection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EjectionPolicy {
    /// Failures in a row that eject.
    pub failures: u32,
    /// First duration; it doubles with each failed return.
    pub min_duration: Duration,
    /// Longest duration.
    pub max_duration: Duration,
    /// Successes, one request at a time, that end it.
    pub successes_to_readmit: u32,
}

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

/// What a report changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EjectionChange {
    /// The back end is ejected from now on, or again.
    Ejected,
    /// It is back.
    Readmitted,
}

/// Whether one back end is ejected.
#[derive(Clone, Debug)]
pub struct Ejection {
    policy: EjectionPolicy,
    state: State,
}

impl Ejection {
    /// A back end in use.
    pub fn new(policy: EjectionPolicy) -> Self {
        Ejection {
            policy,
            state: State::InUse { failures: 0 },
        }
    }

    /// Requests allowed at once out of `full`.
    pub fn allowed(&self, now: Timestamp, full: u32) -> u32 {
        match self.state {
            State::InUse { .. } => full,
            State::Ejected { until, .. } if now < until => 0,
            State::Ejected { .. } => 1,
        }
    }

    /// Whether the back end is not, or not fully, in use.
    pub fn is_ejected(&self) -> bool {
        matches!(self.state, State::Ejected { .. })
    }

    /// When the next request may be let through, if that lies ahead.
    pub fn closed_until(&self, now: Timestamp) -> Option<Timestamp> {
        match self.state {
            State::Ejected { until, .. } if now < until => Some(until),
            _ => None,
        }
    }

    /// The back end answered, be it with a refusal.
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

    /// The back end could not be connected to, broke off or did not answer.
    pub fn on_failure(&mut self, now: Timestamp) -> Option<EjectionChange> {
        let duration = match self.state {
            State::InUse { failures } if failures + 1 < self.policy.failures => {
                self.state = State::InUse {
                    failures: failures + 1,
                };
                return None;
            }
            State::InUse { .. } => self.policy.min_duration,
            // Failures of attempts sent before the ejection add nothing.
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
