//! Joining of neighbouring slices that went cold.
//!
//! A split leaves pieces. Once they are cold, a piece is merged with a
//! neighbour of the same owner; where there is none, the piece first moves to
//! a neighbour's owner, within the churn budget.

use std::sync::Arc;

use threadledge_types::{Point, Timestamp};

use crate::action::Action;
use crate::loads::Loads;
use crate::planner::Round;
use crate::service::ServiceState;
use crate::slices::SliceState;
use crate::weight::{LINE_LENGTH, length};

/// Short slices read in one check.
const SHORT_SLICES_READ: usize = 16;
/// A slice shorter than this part of the usual length is a piece.
const PIECE_PART: f64 = 0.5;
/// Proposes merges of the shortest slices with a neighbour of the same owner,
/// and returns when to look again while there are pieces left.
pub(crate) fn merge_cold(
    state: &mut ServiceState,
    loads: &Loads,
    round: &mut Round<'_>,
) -> Option<Timestamp> {
    let usual = usual_length(state);
    let pieces: Vec<Point> = state
        .table
        .shortest_first()
        .take_while(|(length, _)| (*length as f64) < usual * PIECE_PART)
        .take(SHORT_SLICES_READ)
        .map(|(_, first)| first)
        .collect();
    if pieces.is_empty() {
        return None;
    }
    let usual_load = loads.scale.load(state.table.total()) * usual / LINE_LENGTH;
    for piece in pieces {
        round.work.slices += 1;
        if round.room > 0 {
            merge_piece(state, piece, usual_load, loads, round);
        }
    }
    Some(round.now + round.settings.min_merge_age)
}

/// Length of a slice when all are equal.
fn usual_length(state: &ServiceState) -> f64 {
    let count = state.policy.slices_per_back_end.max(1) as usize * state.receivers.len().max(1);
    LINE_LENGTH / count as f64
}

fn merge_piece(
    state: &mut ServiceState,
    piece: Point,
    usual_load: f64,
    loads: &Loads,
    round: &mut Round<'_>,
) {
    let Some(slice) = state.table.get(piece) else {
        return;
    };
    let above = state
        .table
        .after(slice.last)
        .map(|(first, _)| (piece, first));
    let below = state.table.before(piece).map(|(first, _)| (first, piece));
    let pair = [below, above]
        .into_iter()
        .flatten()
        .find(|(first, second)| may_merge(state, *first, *second, usual_load, loads, round));
    match pair {
        Some((first, second)) => propose_merge(state, first, second, round),
        None => bring_together(state, piece, usual_load, loads, round),
    }
}

/// Moves a cold piece to the owner of its shorter neighbour, so that they can
/// be merged later.
fn bring_together(
    state: &mut ServiceState,
    piece: Point,
    usual_load: f64,
    loads: &Loads,
    round: &mut Round<'_>,
) {
    let left = state.churn_left(round.now);
    let Some(slice) = state.table.get(piece) else {
        return;
    };
    let cold = loads.scale.load(slice.weight(piece)) <= usual_load;
    let affordable = length(slice.slice(piece)) as f64 <= left;
    if !cold || !affordable || !is_quiet(slice, round) || state.is_busy(piece) {
        return;
    }
    let Some(from) = slice
        .owner
        .as_ref()
        .map(|owner| Arc::clone(&owner.back_end))
    else {
        return;
    };
    let neighbours = [state.table.before(piece), state.table.after(slice.last)];
    let to = neighbours
        .into_iter()
        .flatten()
        .filter(|(first, _)| !state.is_busy(*first))
        .min_by_key(|(first, neighbour)| length(neighbour.slice(*first)))
        .and_then(|(_, neighbour)| neighbour.owner.as_ref())
        .map(|owner| Arc::clone(&owner.back_end))
        .filter(|to| *to != from && state.receivers.contains_key(to));
    if let Some(to) = to {
        state.spend_move(piece, &from, &to, round);
    }
}

fn is_quiet(slice: &SliceState, round: &Round<'_>) -> bool {
    round.now.since(slice.changed_at) >= round.settings.min_merge_age
}

fn may_merge(
    state: &ServiceState,
    first: Point,
    second: Point,
    usual_load: f64,
    loads: &Loads,
    round: &Round<'_>,
) -> bool {
    let (Some(low), Some(high)) = (state.table.get(first), state.table.get(second)) else {
        return false;
    };
    let together = low.weight(first).plus(high.weight(second));
    let adjacent = low.last.0.checked_add(1) == Some(second.0);
    let same_owner = low.owner.is_some() && low.owner == high.owner;
    let small = (length(low.slice(first)) + length(high.slice(second))) as f64
        <= usual_length(state) * (1.0 + PIECE_PART);
    adjacent
        && same_owner
        && small
        && is_quiet(low, round)
        && is_quiet(high, round)
        && !state.is_busy(first)
        && !state.is_busy(second)
        && loads.scale.load(together) <= usual_load * 2.0
}

fn propose_merge(state: &mut ServiceState, first: Point, second: Point, round: &mut Round<'_>) {
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
    state.propose(first, round.proposal_end(), None);
    state.propose(second, round.proposal_end(), None);
    round.push(action);
}
