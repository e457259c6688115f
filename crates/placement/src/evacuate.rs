//! Moves slices away from owners that may not keep them, and cancels handovers
//! whose next owner may no longer receive the slice.

use std::sync::Arc;

use threadledge_types::{BackEndId, Point};

use crate::action::Action;
use crate::candidates::Candidates;
use crate::planner::PlanContext;
use crate::service::ServiceState;
use crate::transfers::Transfer;

/// Divisor of a back end's number of slices that gives how many may move away
/// at once, so that the time to drain grows with the logarithm of that number.
const EVACUATION_DIVISOR: usize = 4;

/// Cancels handovers to back ends that may no longer receive slices.
pub(crate) fn cancel_invalid_moves(state: &mut ServiceState, context: &mut PlanContext<'_>) {
    let invalid_moves: Vec<Point> = state
        .invalid_moves
        .iter()
        .copied()
        .filter(|first| !state.pending.contains_key(first))
        .take(context.remaining_actions)
        .collect();
    for first in invalid_moves {
        context.work.slices += 1;
        let Some(slice) = state.table.get(first) else {
            continue;
        };
        if slice.owner.is_none() {
            // There is no handover to cancel. The slice will be assigned again.
            continue;
        }
        let action = Action::CancelMove {
            service: state.id.as_ref().clone(),
            slice: slice.slice(first),
            expected_epoch: slice.epoch,
        };
        state.record_proposal(first, context.proposal_expiry(), None);
        context.add_action(action);
    }
}

/// Begins moves away from owners that are draining or no longer selected.
///
/// Only a bounded number runs at once for each owner, hottest keys first,
/// spread over all receivers, so that the source releases slices gradually and
/// no receiver is overloaded.
pub(crate) fn evacuate(state: &mut ServiceState, context: &mut PlanContext<'_>) {
    if state.ineligible_owners.is_empty()
        || state.receivers.is_empty()
        || context.remaining_actions == 0
    {
        return;
    }
    let mut candidates = Candidates::new(state, context);
    let ineligible_owners: Vec<Arc<BackEndId>> = state.ineligible_owners.iter().cloned().collect();
    for from in ineligible_owners {
        for first in next_slices_to_evacuate(state, &from, context) {
            context.work.slices += 1;
            let Some(to) = candidates.best() else {
                return;
            };
            begin_move(state, first, &from, &to, context);
            if let Some(slice) = state.table.get(first) {
                candidates.add_slice(&to, slice.weight(first));
            }
        }
    }
}

/// Returns the slices whose moves away from `from` may begin now.
fn next_slices_to_evacuate(
    state: &ServiceState,
    from: &BackEndId,
    context: &PlanContext<'_>,
) -> Vec<Point> {
    let Some(allocation) = state.allocations.get(from) else {
        return Vec::new();
    };
    let limit = context
        .settings
        .max_evacuations_per_back_end
        .max(allocation.count() / EVACUATION_DIVISOR)
        .saturating_sub(allocation.outbound_count)
        .min(context.remaining_actions);
    allocation
        .densest_first()
        .filter(|first| !state.has_pending_change(*first))
        .take(limit)
        .collect()
}

/// Proposes the handover of one slice.
pub(crate) fn begin_move(
    state: &mut ServiceState,
    first: Point,
    from: &Arc<BackEndId>,
    to: &Arc<BackEndId>,
    context: &mut PlanContext<'_>,
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
    state.record_proposal(first, context.proposal_expiry(), Some(transfer));
    context.add_action(action);
}
