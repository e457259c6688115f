//! Actions that the planner proposes.

use serde::{Deserialize, Serialize};
use threadledge_types::{BackEndId, Epoch, Point, ServiceId, SessionId, Slice};

/// One proposed action. It carries the epoch that the planner saw, so that the
/// state machine can reject it if the slice has changed since.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Action {
    /// Assign an unowned slice to an owner.
    Assign {
        /// Service that the slice belongs to.
        service: ServiceId,
        /// The slice to change.
        slice: Slice,
        /// The owner.
        to: SessionId,
        /// Epoch of the slice as seen.
        expected_epoch: Epoch,
    },
    /// Start the handover of an owned slice.
    BeginMove {
        /// Service that the slice belongs to.
        service: ServiceId,
        /// The slice to change.
        slice: Slice,
        /// The next owner.
        to: BackEndId,
        /// Epoch of the slice as seen.
        expected_epoch: Epoch,
    },
    /// Cancel a handover whose next owner may no longer receive the slice.
    CancelMove {
        /// Service that the slice belongs to.
        service: ServiceId,
        /// The slice to change.
        slice: Slice,
        /// Epoch of the slice as seen.
        expected_epoch: Epoch,
    },
    /// Split a slice. Both parts keep their owner.
    Split {
        /// Service that the slice belongs to.
        service: ServiceId,
        /// The slice to change.
        slice: Slice,
        /// First point of the upper part.
        at: Point,
        /// Epoch of the slice as seen.
        expected_epoch: Epoch,
    },
    /// Merge two adjacent slices of one owner.
    Merge {
        /// Service that the slices belong to.
        service: ServiceId,
        /// The lower slice.
        first: Slice,
        /// The upper slice.
        second: Slice,
        /// Epoch of the lower slice as seen.
        expected_first_epoch: Epoch,
        /// Epoch of the upper slice as seen.
        expected_second_epoch: Epoch,
    },
}

impl Action {
    /// Returns the service of the action.
    pub fn service(&self) -> &ServiceId {
        match self {
            Action::Assign { service, .. }
            | Action::BeginMove { service, .. }
            | Action::CancelMove { service, .. }
            | Action::Split { service, .. }
            | Action::Merge { service, .. } => service,
        }
    }

    /// Returns the slice of the action, which is the lower one for a merge.
    pub fn slice(&self) -> Slice {
        match self {
            Action::Assign { slice, .. }
            | Action::BeginMove { slice, .. }
            | Action::CancelMove { slice, .. }
            | Action::Split { slice, .. } => *slice,
            Action::Merge { first, .. } => *first,
        }
    }

    /// Returns the first points of all slices that the action affects.
    pub(crate) fn affected_slices(&self) -> impl Iterator<Item = Point> {
        let second = match self {
            Action::Merge { second, .. } => Some(second.first),
            _ => None,
        };
        std::iter::once(self.slice().first).chain(second)
    }
}
