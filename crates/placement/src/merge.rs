//! Merging of adjacent slices that are no longer hot.
//!
//! Splits leave short slices, called fragments. Once a fragment is cold, it is
//! merged with an adjacent slice of the same owner. If there is none, the
//! fragment is first moved to the owner of an adjacent slice, within the churn
//! budget.

use std::sync::Arc;

use threadledge_types::{Point, Timestamp};

use crate::action::Action;
use crate::loads::Loads;
use crate::planner::PlanContext;
use crate::service::ServiceState;
use crate::slices::SliceState;
use crate::weight::{KEY_SPACE_SIZE, length};

/// Maximum number of fragments processed in one check.
const MAX_FRAGMENTS_PER_CHECK: usize = 16;
/// Fraction of the target length below which a slice is a fragment.
const FRAGMENT_LENGTH_RATIO: f64 = 0.5;

/// Proposes merges of the shortest slices with an adjacent slice of the same
/// owner. Returns when to check again while there are fragments left.
pub(crate) fn merge_cold_fragments(
    state: &mut ServiceState,
    loads: &Loads,
    context: &mut PlanContext<'_>,
) -> Option<Timestamp> {
    let target_length = target_slice_length(state);
    let fragments: Vec<Point> = state
        .table
        .shortest_first()
        .take_while(|(length, _)| (*length as f64) < target_length * FRAGMENT_LENGTH_RATIO)
        .take(MAX_FRAGMENTS_PER_CHECK)
        .map(|(_, first)| first)
        .collect();
    if fragments.is_empty() {
        return None;
    }
    let target_load = loads.scale.load(state.table.total()) * target_length / KEY_SPACE_SIZE;
    for fragment in fragments {
        context.work.slices += 1;
        if context.remaining_actions > 0 {
            merge_fragment(state, fragment, target_load, loads, context);
        }
    }
    Some(context.now + context.settings.min_merge_age)
}

/// Returns the length that a slice has when all are equal.
fn target_slice_length(state: &ServiceState) -> f64 {
    let count = state.policy.slices_per_back_end.max(1) as usize * state.receivers.len().max(1);
    KEY_SPACE_SIZE / count as f64
}

/// Merges a fragment with an adjacent slice, or moves it next to one.
fn merge_fragment(
    state: &mut ServiceState,
    fragment: Point,
    target_load: f64,
    loads: &Loads,
    context: &mut PlanContext<'_>,
) {
    let Some(slice) = state.table.get(fragment) else {
        return;
    };
    let above = state
        .table
        .after(slice.last)
        .map(|(first, _)| (fragment, first));
    let below = state
        .table
        .before(fragment)
        .map(|(first, _)| (first, fragment));
    let pair = [below, above]
        .into_iter()
        .flatten()
        .find(|(first, second)| may_merge(state, *first, *second, target_load, loads, context));
    match pair {
        Some((first, second)) => propose_merge(state, first, second, context),
        None => move_to_owner_of_neighbour(state, fragment, target_load, loads, context),
    }
}

/// Moves a cold fragment to the owner of its shorter adjacent slice, so that
/// they can be merged later.
fn move_to_owner_of_neighbour(
    state: &mut ServiceState,
    fragment: Point,
    target_load: f64,
    loads: &Loads,
    context: &mut PlanContext<'_>,
) {
    let remaining_churn = state.remaining_churn(context.now);
    let Some(slice) = state.table.get(fragment) else {
        return;
    };
    let cold = loads.scale.load(slice.weight(fragment)) <= target_load;
    let affordable = length(slice.slice(fragment)) as f64 <= remaining_churn;
    if !cold || !affordable || !is_unchanged(slice, context) || state.has_pending_change(fragment) {
        return;
    }
    let Some(from) = slice
        .owner
        .as_ref()
        .map(|owner| Arc::clone(&owner.back_end))
    else {
        return;
    };
    let neighbours = [state.table.before(fragment), state.table.after(slice.last)];
    let to = neighbours
        .into_iter()
        .flatten()
        .filter(|(first, _)| !state.has_pending_change(*first))
        .min_by_key(|(first, neighbour)| length(neighbour.slice(*first)))
        .and_then(|(_, neighbour)| neighbour.owner.as_ref())
        .map(|owner| Arc::clone(&owner.back_end))
        .filter(|to| *to != from && state.receivers.contains_key(to));
    if let Some(to) = to {
        state.begin_budgeted_move(fragment, &from, &to, context);
    }
}

/// Returns whether the slice has been unchanged for the minimum merge age.
fn is_unchanged(slice: &SliceState, context: &PlanContext<'_>) -> bool {
    context.now.since(slice.changed_at) >= context.settings.min_merge_age
}

/// Returns whether two slices may be merged: adjacent, of one owner, short,
/// cold, unchanged, and without a pending change.
fn may_merge(
    state: &ServiceState,
    first: Point,
    second: Point,
    target_load: f64,
    loads: &Loads,
    context: &PlanContext<'_>,
) -> bool {
    let (Some(low), Some(high)) = (state.table.get(first), state.table.get(second)) else {
        return false;
    };
    let together = low.weight(first).plus(high.weight(second));
    let adjacent = low.last.0.checked_add(1) == Some(second.0);
    let same_owner = low.owner.is_some() && low.owner == high.owner;
    let small = (length(low.slice(first)) + length(high.slice(second))) as f64
        <= target_slice_length(state) * (1.0 + FRAGMENT_LENGTH_RATIO);
    adjacent
        && same_owner
        && small
        && is_unchanged(low, context)
        && is_unchanged(high, context)
        && !state.has_pending_change(first)
        && !state.has_pending_change(second)
        && loads.scale.load(together) <= target_load * 2.0
}

fn propose_merge(
    state: &mut ServiceState,
    first: Point,
    second: Point,
    context: &mut PlanContext<'_>,
) {
    let (Some(low), Some(high)) = (state.table.get(first), state.table.get(second)) else {
        return;
    };
    let action = Action::Merge {
        service: state.id.as_ref().clone(),
        first: low.slice(first),
        second: high.slice(second),
        expected_first_epoch: low.epoch,
        expected_second_epoch: high.epoch,
    };
    state.record_proposal(first, context.proposal_expiry(), None);
    state.record_proposal(second, context.proposal_expiry(), None);
    context.add_action(action);
}
