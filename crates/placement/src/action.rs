//! What the planner proposes.

use serde::{Deserialize, Serialize};
use threadledge_types::{BackEndId, Epoch, Point, ServiceId, SessionId, Slice};

/// One proposal. Each carries the epoch that the planner saw, so that the
/// state machine can refuse it when the slice has changed since.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Action {
    /// Give an unowned slice an owner.
    Assign {
        /// Which service.
        service: ServiceId,
        /// Which slice.
        slice: Slice,
        /// The owner.
        to: SessionId,
        /// Epoch of the slice as seen.
        expected_epoch: Epoch,
    },
    /// Start handing an owned slice over.
    BeginMove {
        /// Which service.
        service: ServiceId,
        /// Which slice.
        slice: Slice,
        /// The next owner.
        to: BackEndId,
        /// Epoch of the slice as seen.
        expected_epoch: Epoch,
    },
    /// Give up a handover whose next owner may no longer take the slice.
    CancelMove {
        /// Which service.
        service: ServiceId,
        /// Which slice.
        slice: Slice,
        /// Epoch of the slice as seen.
        expected_epoch: Epoch,
    },
    /// Divide a slice; both parts keep their owner.
    Split {
        /// Which service.
        service: ServiceId,
        /// Which slice.
        slice: Slice,
        /// First point of the upper part.
        at: Point,
        /// Epoch of the slice as seen.
        expected_epoch: Epoch,
    },
    /// Join two neighbouring slices of one owner.
    Merge {
        /// Which service.
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
    /// The service the action belongs to.
    pub fn service(&self) -> &ServiceId {
        match self {
            Action::Assign { service, .. }
            | Action::BeginMove { service, .. }
            | Action::CancelMove { service, .. }
            | Action::Split { service, .. }
            | Action::Merge { service, .. } => service,
        }
    }

    /// The slice the action is about; the lower one of a merge.
    pub fn slice(&self) -> Slice {
        match self {
            Action::Assign { slice, .. }
            | Action::BeginMove { slice, .. }
            | Action::CancelMove { slice, .. }
            | Action::Split { slice, .. } => *slice,
            Action::Merge { first, .. } => *first,
        }
    }

    /// First points of all slices the action is about.
    pub(crate) fn touched(&self) -> impl Iterator<Item = Point> {
        let second = match self {
            Action::Merge { second, .. } => Some(second.first),
            _ => None,
        };
        std::iter::once(self.slice().first).chain(second)
    }
}
