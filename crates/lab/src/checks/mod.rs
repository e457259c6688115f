//! History checks: one module for each guarantee, and linearizability of the
//! assignment record.
//!
//! A check reads the collected history of a run and returns every breach it
//! finds. It never repairs or excuses: what cannot be told from the history
//! is written down at the check.

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

/// What a run may be held to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Guarantee {
    /// No key has more than one owner at any moment.
    SingleOwner,
    /// A done assignment survives every tolerated loss.
    DurableAssignment,
    /// Every caller gets the complete answer to its own request.
    OwnAnswer,
    /// What is said not to have run did not run.
    NotRun,
    /// A request that must not be repeated is carried out at most once.
    AtMostOnce,
    /// A leaving back end gets no new work after a few seconds.
    Draining,
    /// A planned stop cuts off no request in flight.
    PlannedStop,
    /// Accepted configuration is in force everywhere within seconds and never
    /// reverts.
    Configuration,
    /// The assignment record behaves as one register.
    Linearizable,
}

impl Guarantee {
    /// Short name in tables.
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

/// One breach of a guarantee.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Violation {
    /// Which guarantee.
    pub guarantee: Guarantee,
    /// When it shows, by the clock of the run.
    pub at: Timestamp,
    /// What was seen.
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

/// A check over a whole history.
pub type Check = fn(&History) -> Vec<Violation>;

/// Every check.
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

/// Runs every check.
pub fn check_all(history: &History) -> Vec<Violation> {
    ALL.iter().flat_map(|check| check(history)).collect()
}
