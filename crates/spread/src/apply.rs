//! Results of applying a delta.

use threadledge_types::{GroupId, Revision};

/// Revisions before and after a delta was applied.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Applied {
    /// Revision before.
    pub from: Revision,
    /// Revision afterwards.
    pub to: Revision,
}

/// Reason why a delta was not applied. The copy is unchanged.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ApplyError {
    /// The delta starts after the copy's revision, or in another generation.
    #[error("the copy is at {have} and the delta starts at {from}; pull from {have}")]
    Gap {
        /// Revision of the copy.
        have: Revision,
        /// Revision the delta starts from.
        from: Revision,
    },
    /// The delta does not lead to a newer revision; a copy never goes back.
    #[error("the copy is already at {have} and the delta leads to {to}; drop the delta")]
    Stale {
        /// Revision of the copy.
        have: Revision,
        /// Revision the delta leads to.
        to: Revision,
    },
    /// The delta belongs to another group.
    #[error(
        "the delta belongs to group {other} and the copy to group {group}; send it to group {other}"
    )]
    OtherGroup {
        /// Group of the copy.
        group: GroupId,
        /// Group of the delta.
        other: GroupId,
    },
}
