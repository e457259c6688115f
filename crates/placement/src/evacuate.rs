//! Moves away from owners that may not keep their slices, and handovers
//! given up because the next owner may no longer take them.

use std::sync::Arc;

use threadledge_types::{BackEndId, Point};

use crate::action::Action;
use crate::candidates::Candidates;
use crate::planner::Round;
use crate::service::ServiceState;
use crate::transfers::Transfer;

/// A back end with many slices gives up one part in this many at once, so that
/// the time to drain grows with the logarithm of their number.
const EVACUATION_ROUNDS: usize = 4;

/// Cancels handovers to back ends that may no longer take slices.
pub(crate) fn cancel_stranded(state: &mut ServiceState, round: &mut Round<'_>) {
    let stranded: Vec<Point> = state
        .stranded
        .iter()
        .copied()
        .filter(|first| !state.pending.contains_key(first))
        .take(round.room)
        .collect();
    for first in stranded {
        round.work.slices += 1;
        let Some(slice) = state.table.get(first) else {
            continue;
        };
        if slice.owner.is_none() {
            // Assignment decides anew; there is no handover to cancel.
            continue;
        }
        let action = Action::CancelMove {
            service: state.id.as_ref().clone(),
            slice: slice.slice(first),
            expected_epoch: slice.epoch,
        };
        state.propose(first, round.proposal_end(), None);
        round.push(action);
    }
}

/// Begins moves away from owners that are draining or no longer selected.
///
/// A bounded number runs at once from each, hottest keys first, spread over
/// all receivers: the source lets go one by one and no receiver is stormed.
pub(crate) fn evacuate(state: &mut ServiceState, round: &mut Round<'_>) {
    if state.leaving.is_empty() || state.receivers.is_empty() || round.room == 0 {
        return;
    }
    let mut candidates = Candidates::of(state, round);
    let leaving: Vec<Arc<BackEndId>> = state.leaving.iter().cloned().collect();
    for from in leaving {
        for first in next_to_leave(state, &from, round) {
            round.work.slices += 1;
            let Some(to) = candidates.best() else {
                return;
            };
            begin_move(state, first, &from, &to, round);
            if let Some(slice) = state.table.get(first) {
                candidates.place(&to, slice.weight(first));
            }
        }
    }
}

fn next_to_leave(state: &ServiceState, from: &BackEndId, round: &Round<'_>) -> Vec<Point> {
    let Some(holding) = state.holdings.get(from) else {
        return Vec::new();
    };
    let most = round
        .settings
        .max_evacuations_per_back_end
        .max(holding.count() / EVACUATION_ROUNDS)
        .saturating_sub(holding.outbound_count)
        .min(round.room);
    holding
        .densest_first()
        .filter(|first| !state.is_busy(*first))
        .take(most)
        .collect()
}

/// Proposes the handover of one slice.
pub(crate) fn begin_move(
    state: &mut ServiceState,
    first: Point,
    from: &Arc<BackEndId>,
    to: &Arc<BackEndId>,
    round: &mut Round<'_>,
) {
    let Some(slice) = state.table.get(first) else {
        return;
    };
    let action = Action::BeginMove {
        service: state.id.as_ref().clone(),
        slice: slice.slice(first),
        to: to.as_ref().clone(),
        expected_epoch: slice.epoch,
    };
    let transfer = Transfer {
        from: Some(Arc::clone(from)),
        to: Arc::clone(to),
        weight: slice.weight(first),
    };
    state.propose(first, round.proposal_end(), Some(transfer));
    round.push(action);
}
