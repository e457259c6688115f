//! Messages between the spread nodes of two routers.

use serde::{Deserialize, Serialize};
use threadledge_types::records::RecordDelta;
use threadledge_types::{GroupId, Revision};

/// A message between spread nodes. The changes in it are bounded by
/// [`Settings::max_page_bytes`](crate::Settings::max_page_bytes).
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub enum SpreadMessage {
    /// Child to parent: requests changes.
    Pull(Pull),
    /// Parent to child: answers a pull.
    Answer(PullResponse),
    /// Parent to child: refuses a pull because it has enough children. The
    /// child tries the next candidate.
    Busy {
        /// Group of the pull.
        group: GroupId,
        /// Sequence number of the pull.
        sequence: u64,
    },
    /// Parent to child: sends changes without a pull. It confirms nothing,
    /// because the child cannot tell how long the message was in transit.
    Push(RecordDelta),
    /// Parent to child: there are more changes than fit into a push; pull now.
    Advanced {
        /// Group that advanced.
        group: GroupId,
        /// Revision of the parent.
        revision: Revision,
    },
}

impl SpreadMessage {
    /// Group the message belongs to.
    pub fn group(&self) -> GroupId {
        match self {
            SpreadMessage::Pull(pull) => pull.group,
            SpreadMessage::Answer(answer) => answer.group,
            SpreadMessage::Busy { group, .. } | SpreadMessage::Advanced { group, .. } => *group,
            SpreadMessage::Push(delta) => delta.group,
        }
    }
}

/// Requests the changes since a revision from a parent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Pull {
    /// Group of the records.
    pub group: GroupId,
    /// Sequence number chosen by the child and echoed in the answer.
    pub sequence: u64,
    /// Revision of the child's copy.
    pub have: Revision,
    /// Whether the parent is the child's first choice. A parent that has enough
    /// children drops another one for it.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub preferred: bool,
    /// Position at which a transfer of several pages continues.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub resume: Option<Resume>,
}

/// Response to a pull.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct PullResponse {
    /// Group of the pull.
    pub group: GroupId,
    /// Sequence number of the pull.
    pub sequence: u64,
    /// Age of the parent's own confirmation when it answered, in microseconds,
    /// with the clock drift added; `None` if it never had one.
    pub staleness_micros: Option<u64>,
    /// The changes; `None` when the child's copy is as new as the parent's.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub delta: Option<RecordDelta>,
    /// Where the next page begins; `None` when this is the last one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub resume: Option<Resume>,
    /// Whether the delta continues at the pull's `resume`; if not, it is the
    /// first page of a new transfer.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub continued: bool,
}

/// Position in the parent's change log at which a transfer continues. Only the
/// parent that issued it can interpret it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Resume {
    /// Revision of the parent when the transfer began.
    pub began: Revision,
    /// Whether the transfer carries the full state.
    pub full: bool,
    /// Index at which the last record sent had changed.
    pub index: u64,
    /// Ordinal of that record among those that changed at the same index.
    pub ordinal: u32,
}
