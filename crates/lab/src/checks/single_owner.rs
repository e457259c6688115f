//! Checks that no key has more than one owner at any time.
//!
//! No two sessions may claim the same point at the same time, and a request may
//! only be executed by a session that claims its point from the start of the
//! work until it takes effect.

use std::collections::BTreeMap;

use threadledge_types::{SessionId, Timestamp};

use super::segments::by_segment;
use super::{Guarantee, Violation};
use crate::history::{Execution, History, OwnershipClaim};

/// Returns a violation for each overlap of two sessions' claims, and for each
/// execution without a claim.
pub fn check(history: &History) -> Vec<Violation> {
    let mut violations = overlapping_claims(&history.claims);
    violations.extend(executions_without_claim(history));
    violations
}

/// Finds claims that overlap with a claim of another session.
fn overlapping_claims(claims: &[OwnershipClaim]) -> Vec<Violation> {
    let segments = by_segment(claims, |claim| (&claim.grant.service, claim.grant.slice));
    let mut violations = Vec::new();
    for ((service, point), mut owners) in segments {
        owners.sort_by_key(|claim| claim.begin);
        let mut latest: BTreeMap<&SessionId, Timestamp> = BTreeMap::new();
        for claim in owners {
            latest.retain(|_, end| *end > claim.begin);
            if let Some(other) = latest.keys().find(|other| **other != &claim.session) {
                violations.push(Violation::new(
                    Guarantee::SingleOwner,
                    claim.begin,
                    format!(
                        "{service} from point {point}: {} and {other} both believe that they own it",
                        claim.session
                    ),
                ));
            }
            let end = latest.entry(&claim.session).or_insert(claim.end);
            *end = (*end).max(claim.end);
        }
    }
    violations
}

/// Finds executions that no claim of their session covers.
fn executions_without_claim(history: &History) -> Vec<Violation> {
    let mut by_session: BTreeMap<&SessionId, Vec<&OwnershipClaim>> = BTreeMap::new();
    for claim in &history.claims {
        by_session.entry(&claim.session).or_default().push(claim);
    }
    let mut violations = Vec::new();
    for execution in &history.executions {
        let claims = by_session
            .get(&execution.session)
            .map_or(&[][..], |all| all);
        if !is_covered(claims, execution) {
            violations.push(Violation::new(
                Guarantee::SingleOwner,
                execution.begin,
                format!(
                    "{} carried out request {} at point {} under epoch {} without owning it",
                    execution.session, execution.request, execution.point, execution.epoch
                ),
            ));
        }
    }
    violations
}

/// Returns whether the session claimed the point under the epoch throughout the
/// execution. A split replaces a grant with its parts under the same epoch at
/// one instant, so adjoining claims count as continuous.
fn is_covered(claims: &[&OwnershipClaim], execution: &Execution) -> bool {
    // An execution that never took effect only needs a claim at its start.
    let needed_until = match execution.end {
        Some(end) if execution.completed => end,
        _ => execution.begin,
    };
    let matching = claims.iter().filter(|claim| {
        claim.grant.service == execution.service
            && claim.grant.epoch == execution.epoch
            && claim.grant.slice.contains(execution.point)
    });
    // Claims are ordered by start time.
    let mut claimed_until = execution.begin;
    let mut claimed = false;
    for claim in matching {
        if claim.begin <= claimed_until && claim.end > claimed_until {
            claimed_until = claim.end;
            claimed = true;
        }
    }
    claimed && needed_until < claimed_until
}
