//! Counts changes of slices for the log: one line for each kind of change in a
//! log entry, however many slices the entry changed.

use std::collections::BTreeMap;

use threadledge_placement::Planner;
use threadledge_types::ServiceId;
use threadledge_types::records::{RecordChange, SliceRecord};

use crate::output::Observation;

/// Kind of change of a slice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum SliceChange {
    /// A slice without an owner was assigned to one.
    Assigned,
    /// The handover of a slice started.
    MoveStarted,
    /// The handover of a slice was completed; the next owner owns it.
    MoveCompleted,
    /// The handover of a slice was cancelled.
    MoveCancelled,
    /// A part of a slice became a separate slice.
    Split,
    /// A slice was merged into the preceding one.
    Merged,
}

/// Counts of the changes in one log entry.
#[derive(Debug, Default)]
pub(crate) struct SliceChanges {
    counts: BTreeMap<(ServiceId, SliceChange), u64>,
}

impl SliceChanges {
    /// Counts one change. Call this before `planner` observes the change,
    /// because the previous state of the slice is read from it.
    pub fn count(&mut self, change: &RecordChange, planner: &Planner) {
        let (service, change) = match change {
            RecordChange::Slice(after) => {
                let before = planner.slice_record(&after.key());
                let change = before.and_then(|before| change_between(&before, after));
                (&after.service, change)
            }
            RecordChange::SliceRemoved(key) => {
                let before = planner.slice_record(key);
                // A service that was never used may be divided again; no owner
                // is affected, so this is not counted.
                let merged = before.is_some_and(|before| before.owner.is_some());
                (&key.service, merged.then_some(SliceChange::Merged))
            }
            _ => return,
        };
        if let Some(change) = change {
            *self.counts.entry((service.clone(), change)).or_default() += 1;
        }
    }

    /// Converts the counts to observations.
    pub fn into_observations(self) -> impl Iterator<Item = Observation> {
        self.counts
            .into_iter()
            .map(|((service, change), slices)| Observation::Slices {
                service,
                change,
                slices,
            })
    }
}

/// Returns the kind of change between two records of a slice, if it is counted.
fn change_between(before: &SliceRecord, after: &SliceRecord) -> Option<SliceChange> {
    match (&before.next, &after.next) {
        (None, Some(_)) => return Some(SliceChange::MoveStarted),
        (Some(next), None) => {
            let owner = after.owner.as_ref();
            let completed = owner.is_some_and(|owner| owner.back_end == *next);
            return Some(if completed {
                SliceChange::MoveCompleted
            } else {
                SliceChange::MoveCancelled
            });
        }
        _ => {}
    }
    match (&before.owner, &after.owner) {
        (None, Some(_)) => Some(SliceChange::Assigned),
        (Some(_), Some(_)) if after.slice.last < before.slice.last => Some(SliceChange::Split),
        _ => None,
    }
}
