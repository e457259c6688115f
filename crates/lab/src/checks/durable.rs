//! Checks that a confirmed assignment survives every tolerated failure.
//!
//! An assignment counts as confirmed when a router reported it or its back end
//! accepted the grant. From then on, the fencing epoch of its points never
//! decreases for back ends, one epoch belongs to one session, and once the
//! propagation time has passed no router reports an older assignment.

use std::collections::BTreeMap;
use std::time::Duration;

use threadledge_types::{Epoch, SessionId, Timestamp};

use super::segments::by_segment;
use super::{Guarantee, Violation};
use crate::history::{History, OwnershipClaim, SliceSeen};

/// Maximum time until every router reports an assignment or a newer one.
pub const PROPAGATION_BOUND: Duration = Duration::from_secs(5);

/// Returns a violation for each decreasing epoch of a grant or a router's view,
/// and for each epoch granted to two sessions.
pub fn check(history: &History) -> Vec<Violation> {
    let mut violations = decreasing_grant_epochs(&history.claims);
    violations.extend(decreasing_view_epochs(&history.slices));
    violations.extend(epochs_with_two_sessions(history));
    violations
}

/// Finds grants with a lower epoch than an earlier grant of the same points.
fn decreasing_grant_epochs(claims: &[OwnershipClaim]) -> Vec<Violation> {
    let segments = by_segment(claims, |claim| (&claim.grant.service, claim.grant.slice));
    let mut violations = Vec::new();
    for ((service, point), mut owners) in segments {
        owners.sort_by_key(|claim| claim.begin);
        let mut highest = Epoch::default();
        for claim in owners {
            if claim.grant.epoch < highest {
                violations.push(Violation::new(
                    Guarantee::DurableAssignment,
                    claim.begin,
                    format!(
                        "{service} from point {point}: {} was granted epoch {} after epoch {highest}",
                        claim.session, claim.grant.epoch
                    ),
                ));
            }
            highest = highest.max(claim.grant.epoch);
        }
    }
    violations
}

/// Finds router views with a lower epoch than one that must have propagated
/// before.
fn decreasing_view_epochs(views: &[SliceSeen]) -> Vec<Violation> {
    let segments = by_segment(views, |view| (&view.service, view.slice));
    let mut violations = Vec::new();
    for ((service, point), mut seen) in segments {
        seen.sort_by_key(|view| view.end);
        let mut settled = Epoch::default();
        let mut waiting = 0;
        for view in &seen {
            while seen[waiting].end + PROPAGATION_BOUND < view.begin {
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

/// Finds epochs that were granted to two sessions for the same points.
fn epochs_with_two_sessions(history: &History) -> Vec<Violation> {
    let segments = by_segment(&history.claims, |claim| {
        (&claim.grant.service, claim.grant.slice)
    });
    let mut violations = Vec::new();
    for ((service, point), owners) in segments {
        let mut holder: BTreeMap<Epoch, &SessionId> = BTreeMap::new();
        for claim in owners {
            let first = *holder.entry(claim.grant.epoch).or_insert(&claim.session);
            if first != &claim.session {
                violations.push(shared_epoch_violation(
                    service,
                    point,
                    claim,
                    first,
                    claim.begin,
                ));
            }
        }
    }
    violations
}

fn shared_epoch_violation(
    service: &threadledge_types::ServiceId,
    point: threadledge_types::Point,
    claim: &OwnershipClaim,
    first: &SessionId,
    at: Timestamp,
) -> Violation {
    Violation::new(
        Guarantee::DurableAssignment,
        at,
        format!(
            "{service} from point {point}: epoch {} was granted to {first} and to {}",
            claim.grant.epoch, claim.session
        ),
    )
}
