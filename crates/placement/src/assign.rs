//! Assignment of slices that have no owner.

use std::sync::Arc;

use threadledge_types::{BackEndId, Point};

use crate::action::Action;
use crate::candidates::Candidates;
use crate::planner::PlanContext;
use crate::service::ServiceState;
use crate::slices::SliceState;
use crate::transfers::Transfer;

/// Assigns unowned slices to receivers.
///
/// A slice is assigned to the back end that was preparing for it, otherwise to
/// its last owner if that is back, otherwise to the least loaded receiver. So
/// the loss of a back end moves only its share of the slices, and a restart
/// moves nothing.
pub(crate) fn assign_unowned(state: &mut ServiceState, context: &mut PlanContext<'_>) {
    if state.unowned.is_empty() || state.receivers.is_empty() || context.remaining_actions == 0 {
        return;
    }
    let mut candidates = Candidates::new(state, context);
    while context.remaining_actions > 0 {
        let Some(first) = state.unowned.first().copied() else {
            return;
        };
        context.work.slices += 1;
        if !assign(state, first, &mut candidates, context) {
            return;
        }
    }
}

/// Proposes an owner for one slice. Returns false if no receiver can take it.
fn assign(
    state: &mut ServiceState,
    first: Point,
    candidates: &mut Candidates,
    context: &mut PlanContext<'_>,
) -> bool {
    let Some(slice) = state.table.get(first) else {
        state.unowned.remove(&first);
        return true;
    };
    let weight = slice.weight(first);
    let Some(to) = preferred(state, slice).or_else(|| candidates.best_for(weight)) else {
        return false;
    };
    let Some(receiver) = state.receivers.get(&to) else {
        return false;
    };
    let action = Action::Assign {
        service: state.id.as_ref().clone(),
        slice: slice.slice(first),
        to: receiver.session.clone(),
        expected_epoch: slice.epoch,
    };
    candidates.add_slice(&to, weight);
    let transfer = Transfer {
        from: None,
        to,
        weight,
    };
    state.record_proposal(first, context.proposal_expiry(), Some(transfer));
    context.add_action(action);
    true
}

/// Returns a back end that does not have to prepare first: the next owner or
/// the last one.
fn preferred(state: &ServiceState, slice: &SliceState) -> Option<Arc<BackEndId>> {
    [&slice.next, &slice.previous]
        .into_iter()
        .flatten()
        .find(|id| {
            state
                .receivers
                .get(*id)
                .is_some_and(|receiver| receiver.reachable)
        })
        .cloned()
}
