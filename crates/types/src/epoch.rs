//! Fencing epochs and revisions: the two numbers that only ever grow.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

/// Number of times a group was founded. Each founding is one conditional
/// write on the platform's group object, so no two foundings share a number.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Generation(pub u32);

/// Position in one group's replicated history: generation first, then log
/// index. A router never goes back to a lower revision.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Revision {
    /// Founding of the group.
    pub generation: Generation,
    /// Index in the log of that founding.
    pub index: u64,
}

impl Revision {
    /// The revision before any history.
    pub const NONE: Revision = Revision {
        generation: Generation(0),
        index: 0,
    };

    /// Builds a revision from its parts.
    pub const fn new(generation: Generation, index: u64) -> Self {
        Revision { generation, index }
    }
}

impl fmt::Display for Revision {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}.{}", self.generation.0, self.index)
    }
}

/// Fencing token of one assignment: the revision of the log entry that made
/// it. Epochs of a slice never repeat and only grow, because revisions do.
///
/// Text form, used in the `threadledge-epoch` header: `generation.index`.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Epoch(pub Revision);

impl fmt::Display for Epoch {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(formatter)
    }
}

/// The text is not `generation.index`.
#[derive(Debug, thiserror::Error, PartialEq, Eq)]
#[error("'{0}' is not an epoch; write generation.index, for example 1.42")]
pub struct ParseEpochError(String);

impl FromStr for Epoch {
    type Err = ParseEpochError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let error = || ParseEpochError(text.to_owned());
        let (generation, index) = text.split_once('.').ok_or_else(error)?;
        let generation = generation.parse().map_err(|_| error())?;
        let index = index.parse().map_err(|_| error())?;
        Ok(Epoch(Revision::new(Generation(generation), index)))
    }
}
