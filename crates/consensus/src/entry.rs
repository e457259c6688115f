//! Entries of the log.

use serde::{Deserialize, Serialize};

use crate::members::Members;

/// One entry of the log.
#[derive(Clone, Debug, PartialEq, Hash, Serialize, Deserialize)]
pub struct Entry<C> {
    /// Position in the log; the first is 1.
    pub index: u64,
    /// Term of the leader that appended it.
    pub term: u64,
    /// Content.
    pub payload: Payload<C>,
}

/// Content of an entry.
#[derive(Clone, Debug, PartialEq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Payload<C> {
    /// Nothing: appended by each new leader to commit what came before.
    Empty,
    /// A command of the application.
    Command(C),
    /// The members of the group from this entry on.
    Members(Members),
}
