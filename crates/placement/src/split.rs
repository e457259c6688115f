//! Splitting of slices that are too hot or too large to be moved whole.

use threadledge_types::{Point, Slice};

use crate::action::Action;
use crate::planner::PlanContext;
use crate::service::ServiceState;
use crate::slices::SliceLoad;

/// Minimum fraction of a slice's rate that its hottest key must carry for the
/// slice to be split at that key. Otherwise the slice is halved.
const HOT_KEY_RATIO: f64 = 0.10;
/// A service is split into at most this many times its usual number of slices.
const MAX_SLICE_GROWTH: usize = 8;

/// Splits a hot slice beside its hottest key, so that repeated splits isolate
/// that key. Without such a key the slice is halved. Returns whether a split
/// was proposed.
pub(crate) fn split_hot(
    state: &mut ServiceState,
    first: Point,
    context: &mut PlanContext<'_>,
) -> bool {
    let Some(slice) = state.table.get(first) else {
        return false;
    };
    let range = slice.slice(first);
    match hot_key_boundary(range, slice.load).or_else(|| midpoint(range)) {
        Some(at) => split(state, range, at, context),
        None => false,
    }
}

/// Splits a slice in the middle. Returns whether a split was proposed.
pub(crate) fn split_large(
    state: &mut ServiceState,
    first: Point,
    context: &mut PlanContext<'_>,
) -> bool {
    let Some(range) = state.slice(first) else {
        return false;
    };
    match midpoint(range) {
        Some(at) => split(state, range, at, context),
        None => false,
    }
}

fn split(state: &mut ServiceState, slice: Slice, at: Point, context: &mut PlanContext<'_>) -> bool {
    let target_count =
        state.policy.slices_per_back_end.max(1) as usize * state.receivers.len().max(1);
    if context.remaining_actions == 0 || state.table.len() >= target_count * MAX_SLICE_GROWTH {
        return false;
    }
    let Some(expected_epoch) = state.table.get(slice.first).map(|slice| slice.epoch) else {
        return false;
    };
    state.record_proposal(slice.first, context.proposal_expiry(), None);
    context.add_action(Action::Split {
        service: state.id.as_ref().clone(),
        slice,
        at,
        expected_epoch,
    });
    true
}

/// Returns the point at which to split so that the hottest key ends up alone in
/// a slice: first before it, then after it.
fn hot_key_boundary(slice: Slice, load: SliceLoad) -> Option<Point> {
    let (point, rate) = load.hottest?;
    if (rate as f64) < load.rate as f64 * HOT_KEY_RATIO || !slice.contains(point) {
        return None;
    }
    if point > slice.first {
        return Some(point);
    }
    (point < slice.last).then(|| Point(point.0 + 1))
}

/// Returns the first point of the upper half, if the slice has two points.
fn midpoint(slice: Slice) -> Option<Point> {
    let at = Point(slice.first.0 + (slice.last.0 - slice.first.0) / 2 + 1);
    (slice.first < slice.last).then_some(at)
}
