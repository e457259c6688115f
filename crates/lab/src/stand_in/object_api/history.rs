//! The log of writes and faults that the tests check.

use serde::{Deserialize, Serialize};
use threadledge_types::Timestamp;

/// Kind of a recorded operation.
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
    /// An earlier version of the store was restored.
    Restore,
    /// Earlier versions were compacted.
    Compact,
}

/// One entry of the history.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HistoryEntry {
    /// Time at which it took effect or was rejected.
    pub at: Timestamp,
    /// Kind of operation.
    pub operation: HistoryOperation,
    /// The object, as `kind namespace/name`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub object: Option<String>,
    /// Name of the requesting principal, if tokens are configured.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub principal: Option<String>,
    /// Version that the writer expected.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub expected_version: Option<u64>,
    /// Version of the store before.
    pub version_before: u64,
    /// Version of the store afterwards; the same if nothing changed.
    pub version_after: u64,
    /// HTTP status of the response.
    pub status: u16,
    /// Whether the response was sent.
    pub answered: bool,
}
