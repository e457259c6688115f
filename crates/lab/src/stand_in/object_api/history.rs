//! What the stand-in did, for the history checks.

use serde::{Deserialize, Serialize};
use threadledge_types::Timestamp;

/// What was done.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum HistoryOperation {
    /// An object was created.
    Create,
    /// An object was replaced.
    Replace,
    /// The status of an object was replaced.
    ReplaceStatus,
    /// An object was deleted.
    Delete,
    /// The store went back to an earlier version.
    Restore,
    /// Earlier versions were forgotten.
    Compact,
}

/// One line of the history.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HistoryEntry {
    /// When it took effect, or was refused.
    pub at: Timestamp,
    /// What was done.
    pub operation: HistoryOperation,
    /// Which object, as `kind namespace/name`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub object: Option<String>,
    /// Who asked, if principals are known.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub principal: Option<String>,
    /// Version that the writer expected.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub expected_version: Option<u64>,
    /// Version of the store before.
    pub version_before: u64,
    /// Version of the store afterwards; the same if nothing changed.
    pub version_after: u64,
    /// HTTP status of the answer.
    pub status: u16,
    /// Whether the answer was sent.
    pub answered: bool,
}
