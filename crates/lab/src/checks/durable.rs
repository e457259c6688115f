//! An assignment that was told as done survives every tolerated loss.
//!
//! An assignment counts as told when a router showed it or its back end took
//! the grant. From then on, the fencing epoch of its points never goes down
//! for back ends, one epoch names one session, and after the time that
//! spreading may take no router shows an older assignment.

use std::collections::BTreeMap;
use std::time::Duration;

use threadledge_types::{Epoch, SessionId, Timestamp};

use super::segments::by_segment;
use super::{Guarantee, Violation};
use crate::history::{Belief, History, SliceSeen};

/// Time after which every router shows an assignment or a later one.
pub const SPREAD_BOUND: Duration = Duration::from_secs(5);

/// Runs the check.
pub fn check(history: &History) -> Vec<Violation> {
    let mut violations = grants_go_back(&history.beliefs);
    violations.extend(views_go_back(&history.slices));
    violations.extend(shared_epochs(history));
    violations
}

fn grants_go_back(beliefs: &[Belief]) -> Vec<Violation> {
    let segments = by_segment(beliefs, |belief| {
        (&belief.grant.service, belief.grant.slice)
    });
    let mut violations = Vec::new();
    for ((service, point), mut owners) in segments {
        owners.sort_by_key(|belief| belief.begin);
        let mut highest = Epoch::default();
        for belief in owners {
            if belief.grant.epoch < highest {
                violations.push(Violation::new(
                    Guarantee::DurableAssignment,
                    belief.begin,
                    format!(
                        "{service} from point {point}: {} was granted epoch {} after epoch {highest}",
                        belief.session, belief.grant.epoch
                    ),
                ));
            }
            highest = highest.max(belief.grant.epoch);
        }
    }
    violations
}

fn views_go_back(views: &[SliceSeen]) -> Vec<Violation> {
    let segments = by_segment(views, |view| (&view.service, view.slice));
    let mut violations = Vec::new();
    for ((service, point), mut seen) in segments {
        seen.sort_by_key(|view| view.end);
        let mut settled = Epoch::default();
        let mut waiting = 0;
        for view in &seen {
            while seen[waiting].end + SPREAD_BOUND < view.begin {
                settled = settled.max(seen[waiting].epoch);
                waiting += 1;
            }
            if view.epoch < settled {
                violations.push(Violation::new(
                    Guarantee::DurableAssignment,
                    view.end,
                    format!(
                        "{service} from point {point}: {} shows epoch {} though {settled} was done",
                        view.router, view.epoch
                    ),
                ));
            }
        }
    }
    violations
}

/// The same epoch of the same points never names two sessions.
fn shared_epochs(history: &History) -> Vec<Violation> {
    let segments = by_segment(&history.beliefs, |belief| {
        (&belief.grant.service, belief.grant.slice)
    });
    let mut violations = Vec::new();
    for ((service, point), owners) in segments {
        let mut holder: BTreeMap<Epoch, &SessionId> = BTreeMap::new();
        for belief in owners {
            let first = *holder.entry(belief.grant.epoch).or_insert(&belief.session);
            if first != &belief.session {
                violations.push(shared(service, point, belief, first, belief.begin));
            }
        }
    }
    violations
}

fn shared(
    service: &threadledge_types::ServiceId,
    point: threadledge_types::Point,
    belief: &Belief,
    first: &SessionId,
    at: Timestamp,
) -> Violation {
    Violation::new(
        Guarantee::DurableAssignment,
        at,
        format!(
            "{service} from point {point}: epoch {} was granted to {first} and to {}",
            belief.grant.epoch, belief.session
        ),
    )
}
