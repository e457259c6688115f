//! History checks: one module for each guarantee, and one for the
//! linearizability of the assignment record.
//!
//! A check reads the assembled history of a run and returns every violation it
//! finds. It never repairs the history or excuses a violation; the limits of
//! what it can detect are documented at the check.

pub mod answers;
pub mod at_most_once;
pub mod configuration;
pub mod draining;
pub mod durable;
pub mod linearizable;
pub mod not_run;
pub mod planned_stop;
mod segments;
pub mod single_owner;

pub(crate) use segments::by_segment;

use std::fmt;

use serde::{Deserialize, Serialize};
use threadledge_types::Timestamp;

use crate::history::History;

/// A guarantee that the runs are checked against.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Guarantee {
    /// No key has more than one owner at any moment.
    SingleOwner,
    /// A confirmed assignment survives every tolerated failure.
    DurableAssignment,
    /// Every caller gets the complete response to its own request.
    OwnAnswer,
    /// A request reported as not run was not executed.
    NotRun,
    /// A request that must not be repeated is executed at most once.
    AtMostOnce,
    /// A draining back end gets no new work after a time limit.
    Draining,
    /// A planned stop interrupts no request in flight.
    PlannedStop,
    /// Accepted configuration takes effect everywhere within a time limit and
    /// never reverts.
    Configuration,
    /// The assignment record behaves as one register.
    Linearizable,
}

impl Guarantee {
    /// Returns the name used in reports and tables.
    pub const fn as_str(self) -> &'static str {
        match self {
            Guarantee::SingleOwner => "single-owner",
            Guarantee::DurableAssignment => "durable-assignment",
            Guarantee::OwnAnswer => "own-answer",
            Guarantee::NotRun => "not-run",
            Guarantee::AtMostOnce => "at-most-once",
            Guarantee::Draining => "draining",
            Guarantee::PlannedStop => "planned-stop",
            Guarantee::Configuration => "configuration",
            Guarantee::Linearizable => "linearizable",
        }
    }
}

/// A violation of a guarantee.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Violation {
    /// The violated guarantee.
    pub guarantee: Guarantee,
    /// Time of the violation, by the clock of the run.
    pub at: Timestamp,
    /// Description of the observed events.
    pub detail: String,
}

impl Violation {
    pub(crate) fn new(guarantee: Guarantee, at: Timestamp, detail: impl Into<String>) -> Self {
        Violation {
            guarantee,
            at,
            detail: detail.into(),
        }
    }
}

impl fmt::Display for Violation {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "{} at {} us: {}",
            self.guarantee.as_str(),
            self.at.as_micros(),
            self.detail
        )
    }
}

/// A check of a whole history.
pub type Check = fn(&History) -> Vec<Violation>;

/// All checks.
pub const ALL: [Check; 9] = [
    single_owner::check,
    durable::check,
    answers::check,
    not_run::check,
    at_most_once::check,
    draining::check,
    planned_stop::check,
    configuration::check,
    linearizable::check,
];

/// Runs all checks and returns their violations.
pub fn check_all(history: &History) -> Vec<Violation> {
    ALL.iter().flat_map(|check| check(history)).collect()
}
