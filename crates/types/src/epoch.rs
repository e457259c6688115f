//! Group generations, revisions and fencing epochs, all of which only increase.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

/// Number of times a consensus group was bootstrapped.
///
/// Each bootstrap is one conditional write to the platform's group object, so
/// no two bootstraps have the same number.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Generation(pub u32);

/// Position in a group's replicated history, ordered by generation, then by log
/// index. A router never goes back to a lower revision.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Revision {
    /// Generation of the group.
    pub generation: Generation,
    /// Index in the log of that generation.
    pub index: u64,
}

impl Revision {
    /// Revision before the first log entry.
    pub const NONE: Revision = Revision {
        generation: Generation(0),
        index: 0,
    };

    /// Builds a revision from a generation and a log index.
    pub const fn new(generation: Generation, index: u64) -> Self {
        Revision { generation, index }
    }
}

impl fmt::Display for Revision {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}.{}", self.generation.0, self.index)
    }
}

/// Fencing token of one assignment: the revision of the log entry that made it.
///
/// The epochs of a slice strictly increase, because revisions do. The text
/// form, used in the `threadledge-epoch` header, is `generation.index`.
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

/// Error for text that is not of the form `generation.index`.
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
