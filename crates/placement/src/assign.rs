//! Owners for slices that have none.

use std::sync::Arc;

use threadledge_types::{BackEndId, Point};

use crate::action::Action;
use crate::candidates::Candidates;
use crate::planner::Round;
use crate::service::ServiceState;
use crate::slices::SliceState;
use crate::transfers::Transfer;

/// Gives unowned slices to receivers.
///
/// A slice goes to the back end that was preparing for it, else to its last
/// owner if that is back, else to the least loaded. So a loss moves only the
/// lost share, and a restart moves nothing.
pub(crate) fn assign_unowned(state: &mut ServiceState, round: &mut Round<'_>) {
    if state.unowned.is_empty() || state.receivers.is_empty() || round.room == 0 {
        return;
    }
    let mut candidates = Candidates::of(state, round);
    while round.room > 0 {
        let Some(first) = state.unowned.first().copied() else {
            return;
        };
        round.work.slices += 1;
        if !assign(state, first, &mut candidates, round) {
            return;
        }
    }
}

fn assign(
    state: &mut ServiceState,
    first: Point,
    candidates: &mut Candidates,
    round: &mut Round<'_>,
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
    candidates.place(&to, weight);
    let transfer = Transfer {
        from: None,
        to,
        weight,
    };
    state.propose(first, round.proposal_end(), Some(transfer));
    round.push(action);
    true
}

/// The back end that need not be made ready first.
fn preferred(state: &ServiceState, slice: &SliceState) -> Option<Arc<BackEndId>> {
    [&slice.next, &slice.previous]
        .into_iter()
        .flatten()
        .find(|id| {
            state
                .receivers
                .get(*id)
                .is_some_and(|receiver| receiver.answers)
        })
        .cloned()
}
