//! What became of the slices of a service, counted for the log: one line for
//! each kind of change in an entry, however many slices the entry changed.

use std::collections::BTreeMap;

use threadledge_placement::Planner;
use threadledge_types::ServiceId;
use threadledge_types::records::{RecordChange, SliceRecord};

use crate::output::Observation;

/// What became of a slice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum SliceChange {
    /// It had no owner and was given one.
    Assigned,
    /// Its handover began.
    MoveStarted,
    /// Its handover ended; the next owner owns it.
    MoveCompleted,
    /// Its handover was given up.
    MoveCancelled,
    /// A part of it became a slice of its own.
    Split,
    /// It was joined to the slice before it.
    Merged,
}

/// Counts the changes of one entry of the log.
#[derive(Debug, Default)]
pub(crate) struct SliceChanges {
    counts: BTreeMap<(ServiceId, SliceChange), u64>,
}

impl SliceChanges {
    /// Counts one change. `planner` must not have followed it yet: it holds
    /// the slice as it was before.
    pub fn count(&mut self, change: &RecordChange, planner: &Planner) {
        let (service, change) = match change {
            RecordChange::Slice(after) => {
                let before = planner.slice_record(&after.key());
                let change = before.and_then(|before| change_between(&before, after));
                (&after.service, change)
            }
            RecordChange::SliceRemoved(key) => {
                let before = planner.slice_record(key);
                // A service that was never used is divided anew without an
                // owner noticing.
                let merged = before.is_some_and(|before| before.owner.is_some());
                (&key.service, merged.then_some(SliceChange::Merged))
            }
            _ => return,
        };
        if let Some(change) = change {
            *self.counts.entry((service.clone(), change)).or_default() += 1;
        }
    }

    /// The counts as observations.
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
