//! Compares single objects with the applied state and reports rejections.

use std::collections::BTreeSet;

use threadledge_ownership::{ObjectChange, StateMachine};
use threadledge_types::objects::AcceptanceStatus;
use threadledge_types::records::{BackEndRecord, ServiceRecord};
use threadledge_types::validation::Problem;

use super::IntakeActions;
use crate::input::{Listing, ObservedObject};
use crate::object_status::{AcceptanceResult, ObjectRef, REJECTED, StatusWrite, has_acceptance};
use crate::output::Observation;

/// Comparison of a valid object with the applied state.
pub(super) struct AppliedComparison {
    /// Applied version of the object, if any.
    pub(super) applied: Option<u64>,
    /// Version of the observed object.
    pub(super) offered: u64,
    /// Whether the applied version has the same content.
    pub(super) is_unchanged: bool,
    /// Whether the object's status already says that it is accepted.
    pub(super) is_status_accepted: bool,
}

/// Returns the object if it can be read; otherwise rejects it.
pub(super) fn content_or_reject<'a, K>(
    observed: &'a ObservedObject<K>,
    intake: &mut IntakeActions,
) -> Option<&'a K> {
    match &observed.content {
        Ok(object) => Some(object),
        Err(problem) => {
            let problems = vec![problem.clone()];
            reject(
                observed.object.clone(),
                observed.generation,
                problems,
                intake,
            );
            None
        }
    }
}

/// Returns the record if the object is valid; otherwise rejects the object,
/// unless its status says so already.
pub(super) fn record_or_reject<K, R>(
    observed: &ObservedObject<K>,
    status: &Option<AcceptanceStatus>,
    claimed: Result<R, Vec<Problem>>,
    intake: &mut IntakeActions,
) -> Option<R> {
    match claimed {
        Ok(record) => Some(record),
        Err(_) if has_acceptance(status, observed.generation, REJECTED) => None,
        Err(problems) => {
            reject(
                observed.object.clone(),
                observed.generation,
                problems,
                intake,
            );
            None
        }
    }
}

/// Returns the objects that the store still has.
pub(super) fn listed_or_withheld<K>(listing: &Listing<K>) -> BTreeSet<ObjectRef> {
    let listed = listing.objects.iter().map(|observed| &observed.object);
    listed.chain(&listing.withheld).cloned().collect()
}

/// Whether the state holds the change or a later one.
pub(super) fn is_applied(change: &ObjectChange, machine: &StateMachine) -> bool {
    match change {
        ObjectChange::PutBackEnd(record) => machine
            .back_end(&record.id)
            .is_some_and(|applied| applied.resource_version >= record.resource_version),
        ObjectChange::PutService(record) => machine
            .service(&record.id)
            .is_some_and(|applied| applied.resource_version >= record.resource_version),
        ObjectChange::DeleteBackEnd {
            id,
            resource_version,
        } => {
            let applied = machine.back_end(id);
            machine.is_retiring(id)
                || applied.is_none_or(|applied| applied.resource_version > *resource_version)
        }
        ObjectChange::DeleteService {
            id,
            resource_version,
        } => machine
            .service(id)
            .is_none_or(|applied| applied.resource_version > *resource_version),
    }
}

/// Whether both records have the same content. A write to an object's status
/// raises its version without changing the content; such a version needs no
/// command.
pub(super) fn is_same_back_end(applied: &BackEndRecord, offered: &BackEndRecord) -> bool {
    applied.spec == offered.spec
        && applied.labels == offered.labels
        && applied.object_generation == offered.object_generation
}

pub(super) fn is_same_service(applied: &ServiceRecord, offered: &ServiceRecord) -> bool {
    applied.spec == offered.spec && applied.object_generation == offered.object_generation
}

pub(super) fn reject(
    reference: ObjectRef,
    generation: i64,
    problems: Vec<Problem>,
    intake: &mut IntakeActions,
) {
    let lines: Vec<String> = problems.iter().map(ToString::to_string).collect();
    intake.observations.push(Observation::ObjectRejected {
        object: reference.describe(),
        message: lines.join("; "),
    });
    intake.statuses.push(StatusWrite {
        object: reference,
        observed_generation: generation,
        acceptance: AcceptanceResult::Rejected(problems),
    });
}

pub(super) fn report_stale(reference: &ObjectRef, intake: &mut IntakeActions) {
    intake.observations.push(Observation::StoreReverted {
        object: reference.describe(),
    });
}
