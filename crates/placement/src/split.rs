//! Division of slices that are too hot or too large to be moved whole.

use threadledge_types::{Point, Slice};

use crate::action::Action;
use crate::planner::Round;
use crate::service::ServiceState;
use crate::slices::SliceLoad;

/// A key that carries at least this part of its slice's rate is where the
/// slice is cut; otherwise the slice is halved.
const HOT_KEY_PART: f64 = 0.10;
/// A service is split into at most this many times its usual slices.
const LARGEST_GROWTH: usize = 8;

/// Splits a hot slice around its hottest key, down to that one key. Returns
/// whether a split was proposed.
pub(crate) fn split_hot(state: &mut ServiceState, first: Point, round: &mut Round<'_>) -> bool {
    let Some(slice) = state.table.get(first) else {
        return false;
    };
    let range = slice.slice(first);
    match around_hot_key(range, slice.load).or_else(|| half(range)) {
        Some(at) => split(state, range, at, round),
        None => false,
    }
}

/// Halves a slice. Returns whether a split was proposed.
pub(crate) fn split_large(state: &mut ServiceState, first: Point, round: &mut Round<'_>) -> bool {
    let Some(range) = state.slice(first) else {
        return false;
    };
    match half(range) {
        Some(at) => split(state, range, at, round),
        None => false,
    }
}

fn split(state: &mut ServiceState, slice: Slice, at: Point, round: &mut Round<'_>) -> bool {
    let usual = state.policy.slices_per_back_end.max(1) as usize * state.receivers.len().max(1);
    if round.room == 0 || state.table.len() >= usual * LARGEST_GROWTH {
        return false;
    }
    let Some(expected_epoch) = state.table.get(slice.first).map(|slice| slice.epoch) else {
        return false;
    };
    state.propose(slice.first, round.proposal_end(), None);
    round.push(Action::Split {
        service: state.id.as_ref().clone(),
        slice,
        at,
        expected_epoch,
    });
    true
}

/// Where to cut so that the hottest key comes to stand alone: first before
/// it, then behind it.
fn around_hot_key(slice: Slice, load: SliceLoad) -> Option<Point> {
    let (point, rate) = load.hottest?;
    if (rate as f64) < load.rate as f64 * HOT_KEY_PART || !slice.contains(point) {
        return None;
    }
    if point > slice.first {
        return Some(point);
    }
    (point < slice.last).then(|| Point(point.0 + 1))
}

fn half(slice: Slice) -> Option<Point> {
    let at = Point(slice.first.0 + (slice.last.0 - slice.first.0) / 2 + 1);
    (slice.first < slice.last).then_some(at)
}
