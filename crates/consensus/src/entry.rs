//! Entries of the log.

use serde::{Deserialize, Serialize};

use crate::members::Members;

/// One entry of the log.
#[derive(Clone, Debug, PartialEq, Hash, Serialize, Deserialize)]
pub struct Entry<C> {
    /// Position in the log, starting at 1.
    pub index: u64,
    /// Term of the leader that appended it.
    pub term: u64,
    /// Content of the entry.
    pub payload: Payload<C>,
}

/// Content of a log entry.
#[derive(Clone, Debug, PartialEq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Payload<C> {
    /// No content. Every new leader appends such an entry, whose commit also
    /// commits all entries before it.
    Empty,
    /// Application command.
    Command(C),
    /// Members of the group from this entry on.
    Members(Members),
}
