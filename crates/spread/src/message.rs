//! Messages between the spreading cores of two routers.

use serde::{Deserialize, Serialize};
use threadledge_types::records::RecordDelta;
use threadledge_types::{GroupId, Revision};

/// One message; [`Settings::max_page_bytes`](crate::Settings::max_page_bytes)
/// bounds the changes in it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub enum SpreadMessage {
    /// Child to parent: asks for what is new.
    Pull(Pull),
    /// Parent to child: answers a pull.
    Answer(PullResponse),
    /// Parent to child: refuses a pull, because it serves enough children.
    /// The child tries the next candidate.
    Busy {
        /// Group of the pull.
        group: GroupId,
        /// Number of the pull.
        sequence: u64,
    },
    /// Parent to child: what is new, unasked. It confirms nothing, for the
    /// child cannot tell how long it was under way.
    Push(RecordDelta),
    /// Parent to child: more is new than fits a push; pull now.
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

/// Asks a parent for what is new.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Pull {
    /// Group whose records are meant.
    pub group: GroupId,
    /// Chosen by the child, echoed in the answer.
    pub sequence: u64,
    /// Revision of the child's copy.
    pub have: Revision,
    /// The parent is the child's first choice. A parent that serves enough
    /// children gives up another one for it.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub preferred: bool,
    /// Continues a transfer of several pages.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub resume: Option<Resume>,
}

/// Answers a pull.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct PullResponse {
    /// Group of the pull.
    pub group: GroupId,
    /// Number of the pull.
    pub sequence: u64,
    /// Age of the parent's own confirmation when it answered, in
    /// microseconds, drift added; `None` when it never had one.
    pub staleness_micros: Option<u64>,
    /// What is new; `None` when the child's copy is as new as the parent's.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub delta: Option<RecordDelta>,
    /// Where the next page begins; `None` when this is the last one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub resume: Option<Resume>,
    /// The delta goes on where the pull's `resume` pointed; if not, it is the
    /// first page of a new transfer.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub continued: bool,
}

/// Place in the parent's order of changes at which a transfer goes on. Only
/// the parent that issued it can read it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Resume {
    /// Revision of the parent when the transfer began.
    pub began: Revision,
    /// The transfer carries the whole state.
    pub full: bool,
    /// Index at which the last record sent had changed.
    pub index: u64,
    /// Place of that record among those that changed at the same index.
    pub ordinal: u32,
}
