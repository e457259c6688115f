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
    #[error("the delta starts at {from}, the copy is at {have}; pull from {have}")]
    Gap {
        /// Revision of the copy.
        have: Revision,
        /// Revision the delta starts from.
        from: Revision,
    },
    /// The delta does not lead to a newer revision; a copy never goes back.
    #[error("the delta leads to {to}, the copy is at {have} already; drop the delta")]
    Stale {
        /// Revision of the copy.
        have: Revision,
        /// Revision the delta leads to.
        to: Revision,
    },
    /// The delta belongs to another group.
    #[error("the delta is of group {other}, the copy of group {group}; send it to group {other}")]
    OtherGroup {
        /// Group of the copy.
        group: GroupId,
        /// Group of the delta.
        other: GroupId,
    },
}
