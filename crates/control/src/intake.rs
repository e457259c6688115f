//! From objects in the platform's API to commands in the log, and from
//! applied commands to the status operators see.
//!
//! Kept here: *accepted configuration never reverts*. An object is proposed
//! only when its `resourceVersion` is above the applied one, the state machine
//! checks that again when it applies the command, and `Accepted` is written
//! only after the command was applied.

use std::collections::{BTreeMap, BTreeSet};

use threadledge_ownership::{Command, ObjectChange, StateMachine};
use threadledge_types::objects::{
    ACCEPTED_CONDITION, AcceptanceStatus, BACK_END_KIND, BackEndObject, KEYED_SERVICE_KIND,
    KeyedServiceObject,
};
use threadledge_types::records::{BackEndRecord, ServiceRecord};
use threadledge_types::validation::{HostClaims, Problem, validate_back_end, validate_service};
use threadledge_types::{BackEndId, RegionName, Revision, ServiceId};

use crate::input::{ConfigurationEvent, Listing, ObservedObject};
use crate::output::Observation;

/// Condition status of an accepted object.
const TRUE: &str = "True";
/// Condition status of a rejected object.
const FALSE: &str = "False";

/// Names one configuration object.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ObjectRef {
    /// A back end.
    BackEnd(BackEndId),
    /// A service.
    Service(ServiceId),
}

impl ObjectRef {
    /// Kind, namespace and name for logs.
    pub fn describe(&self) -> String {
        match self {
            ObjectRef::BackEnd(id) => format!("{BACK_END_KIND} {id}"),
            ObjectRef::Service(id) => format!("{KEYED_SERVICE_KIND} {id}"),
        }
    }
}

/// What became of an object.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It is in force from this revision on.
    Accepted(Revision),
    /// It is not in force, for these problems; an earlier accepted version
    /// stays in force.
    Rejected(Vec<Problem>),
}

/// A status to be written to an object.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StatusWrite {
    /// Which object.
    pub object: ObjectRef,
    /// `metadata.generation` that was judged.
    pub observed_generation: i64,
    /// The judgement.
    pub verdict: Verdict,
}

/// What the intake of one event calls for.
#[derive(Debug, Default)]
pub struct Intake {
    /// Changes to propose, as one command.
    pub changes: Vec<ObjectChange>,
    /// Statuses that can be written at once.
    pub statuses: Vec<StatusWrite>,
    /// Facts for the log.
    pub observations: Vec<Observation>,
}

impl Intake {
    /// The changes as one command, if there are any.
    pub fn command(&mut self) -> Option<Command> {
        if self.changes.is_empty() {
            return None;
        }
        let changes = std::mem::take(&mut self.changes);
        Some(Command::ApplyObjects { changes })
    }
}

/// An object version that was proposed and not yet seen applied.
#[derive(Clone, Debug)]
struct Awaited {
    resource_version: u64,
    object_generation: i64,
    /// The record, if it is a service: its host claims count already.
    service: Option<ServiceRecord>,
}

/// Configuration intake of one leader.
#[derive(Debug)]
pub struct ConfigurationIntake {
    region: RegionName,
    awaited: BTreeMap<ObjectRef, Awaited>,
    /// Revision at which everything applied is in force.
    in_force: Revision,
}

impl ConfigurationIntake {
    /// Intake for one region; services of other regions are left to theirs.
    pub fn new(region: RegionName) -> Self {
        ConfigurationIntake {
            region,
            awaited: BTreeMap::new(),
            in_force: Revision::NONE,
        }
    }

    /// Judges one event against the applied state, which is in force at
    /// `in_force`.
    pub fn observe(
        &mut self,
        event: ConfigurationEvent,
        in_force: Revision,
        machine: &StateMachine,
    ) -> Intake {
        self.in_force = in_force;
        let mut intake = Intake::default();
        match event {
            ConfigurationEvent::BackEndsListed(listing) => {
                self.back_ends_listed(listing, machine, &mut intake);
            }
            ConfigurationEvent::ServicesListed(listing) => {
                self.services_listed(listing, machine, &mut intake);
            }
            ConfigurationEvent::BackEndChanged(observed) => {
                self.back_end_changed(observed, machine, &mut intake);
            }
            ConfigurationEvent::ServiceChanged(observed) => {
                self.service_changed(observed, machine, &mut intake);
            }
            ConfigurationEvent::Deleted {
                object,
                resource_version,
            } => self.deleted(object, resource_version, &mut intake),
        }
        intake
    }

    /// Turns proposals that were applied since into statuses to write.
    pub fn applied(&mut self, revision: Revision, machine: &StateMachine) -> Intake {
        let mut intake = Intake::default();
        let done: Vec<ObjectRef> = self
            .awaited
            .iter()
            .filter(|(object, awaited)| {
                applied_version(object, machine) >= Some(awaited.resource_version)
            })
            .map(|(object, _)| object.clone())
            .collect();
        for object in done {
            if let Some(awaited) = self.awaited.remove(&object) {
                accept(object, awaited.object_generation, revision, &mut intake);
            }
        }
        intake
    }

    /// Whether any proposal is awaited.
    pub fn is_waiting(&self) -> bool {
        !self.awaited.is_empty()
    }

    fn back_ends_listed(
        &mut self,
        listing: Listing<BackEndObject>,
        machine: &StateMachine,
        intake: &mut Intake,
    ) {
        let kept = kept_objects(&listing);
        for observed in listing.objects {
            self.back_end_changed(observed, machine, intake);
        }
        for record in machine.back_ends() {
            let object = ObjectRef::BackEnd(record.id.clone());
            if !kept.contains(&object) && record.resource_version < listing.resource_version {
                self.deleted(object, listing.resource_version, intake);
            }
        }
    }

    fn services_listed(
        &mut self,
        listing: Listing<KeyedServiceObject>,
        machine: &StateMachine,
        intake: &mut Intake,
    ) {
        let kept = kept_objects(&listing);
        for observed in listing.objects {
            self.service_changed(observed, machine, intake);
        }
        for record in machine.services() {
            let object = ObjectRef::Service(record.id.clone());
            if !kept.contains(&object) && record.resource_version < listing.resource_version {
                self.deleted(object, listing.resource_version, intake);
            }
        }
    }

    fn deleted(&mut self, object: ObjectRef, resource_version: u64, intake: &mut Intake) {
        self.awaited.remove(&object);
        intake.changes.push(match object {
            ObjectRef::BackEnd(id) => ObjectChange::DeleteBackEnd {
                id,
                resource_version,
            },
            ObjectRef::Service(id) => ObjectChange::DeleteService {
                id,
                resource_version,
            },
        });
    }

    fn back_end_changed(
        &mut self,
        observed: ObservedObject<BackEndObject>,
        machine: &StateMachine,
        intake: &mut Intake,
    ) {
        let reference = observed.object;
        let object = match observed.content {
            Ok(object) => object,
            Err(problem) => return reject(reference, observed.generation, vec![problem], intake),
        };
        let record = match validate_back_end(&object) {
            Ok(record) => record,
            Err(_) if has_verdict(&object.status, observed.generation, FALSE) => return,
            Err(problems) => return reject(reference, observed.generation, problems, intake),
        };
        let applied = machine.back_end(&record.id);
        if applied.is_some_and(|applied| applied.resource_version > record.resource_version) {
            return stale(&reference, intake);
        }
        if applied.is_some_and(|applied| same_back_end(applied, &record)) {
            let told = has_verdict(&object.status, observed.generation, TRUE);
            return self.already_applied(reference, observed.generation, told, intake);
        }
        let awaited = Awaited {
            resource_version: record.resource_version,
            object_generation: observed.generation,
            service: None,
        };
        self.awaited.insert(reference, awaited);
        intake
            .changes
            .push(ObjectChange::PutBackEnd(Box::new(record)));
    }

    fn service_changed(
        &mut self,
        observed: ObservedObject<KeyedServiceObject>,
        machine: &StateMachine,
        intake: &mut Intake,
    ) {
        let reference = observed.object;
        let object = match observed.content {
            Ok(object) => object,
            Err(problem) => return reject(reference, observed.generation, vec![problem], intake),
        };
        if object.spec.region != self.region {
            return;
        }
        let claimed = validate_service(&object)
            .and_then(|record| self.claim_hosts(&record, machine).map(|()| record));
        let record = match claimed {
            Ok(record) => record,
            Err(_) if has_verdict(&object.status, observed.generation, FALSE) => return,
            Err(problems) => return reject(reference, observed.generation, problems, intake),
        };
        let applied = machine.service(&record.id);
        if applied.is_some_and(|applied| applied.resource_version > record.resource_version) {
            return stale(&reference, intake);
        }
        if applied.is_some_and(|applied| same_service(applied, &record)) {
            let told = has_verdict(&object.status, observed.generation, TRUE);
            return self.already_applied(reference, observed.generation, told, intake);
        }
        let awaited = Awaited {
            resource_version: record.resource_version,
            object_generation: observed.generation,
            service: Some(record.clone()),
        };
        self.awaited.insert(reference, awaited);
        intake
            .changes
            .push(ObjectChange::PutService(Box::new(record)));
    }

    /// The state holds what the object says. Only its status may be missing,
    /// for example because an earlier leader was lost before it wrote it.
    fn already_applied(
        &mut self,
        reference: ObjectRef,
        generation: i64,
        told: bool,
        intake: &mut Intake,
    ) {
        if !told && !self.awaited.contains_key(&reference) {
            accept(reference, generation, self.in_force, intake);
        }
    }

    /// Kept here: *no partner can shadow another's traffic*. A host that
    /// another service claims, accepted or about to be, is refused.
    fn claim_hosts(
        &self,
        record: &ServiceRecord,
        machine: &StateMachine,
    ) -> Result<(), Vec<Problem>> {
        let mut claims = HostClaims::default();
        let awaited = self.awaited.values().flat_map(|awaited| &awaited.service);
        for other in machine.services().chain(awaited) {
            if other.id != record.id {
                // A later claim of the same host was refused when it came.
                let _ = claims.claim(other);
            }
        }
        claims.claim(record)
    }
}

/// Objects that the store still has.
fn kept_objects<K>(listing: &Listing<K>) -> BTreeSet<ObjectRef> {
    let listed = listing.objects.iter().map(|observed| &observed.object);
    listed.chain(&listing.withheld).cloned().collect()
}

fn applied_version(object: &ObjectRef, machine: &StateMachine) -> Option<u64> {
    match object {
        ObjectRef::BackEnd(id) => machine.back_end(id).map(|record| record.resource_version),
        ObjectRef::Service(id) => machine.service(id).map(|record| record.resource_version),
    }
}

/// A write to an object's status raises its version without changing what it
/// asks for; such a version needs no command.
fn same_back_end(applied: &BackEndRecord, offered: &BackEndRecord) -> bool {
    applied.spec == offered.spec
        && applied.labels == offered.labels
        && applied.object_generation == offered.object_generation
}

fn same_service(applied: &ServiceRecord, offered: &ServiceRecord) -> bool {
    applied.spec == offered.spec && applied.object_generation == offered.object_generation
}

fn accept(object: ObjectRef, generation: i64, revision: Revision, intake: &mut Intake) {
    intake.observations.push(Observation::ObjectAccepted {
        object: object.describe(),
        revision,
    });
    intake.statuses.push(StatusWrite {
        object,
        observed_generation: generation,
        verdict: Verdict::Accepted(revision),
    });
}

fn reject(reference: ObjectRef, generation: i64, problems: Vec<Problem>, intake: &mut Intake) {
    let lines: Vec<String> = problems.iter().map(ToString::to_string).collect();
    intake.observations.push(Observation::ObjectRejected {
        object: reference.describe(),
        message: lines.join("; "),
    });
    intake.statuses.push(StatusWrite {
        object: reference,
        observed_generation: generation,
        verdict: Verdict::Rejected(problems),
    });
}

fn stale(reference: &ObjectRef, intake: &mut Intake) {
    intake.observations.push(Observation::StoreReverted {
        object: reference.describe(),
    });
}

/// Whether the object's status says already what it would be told.
fn has_verdict(status: &Option<AcceptanceStatus>, generation: i64, verdict: &str) -> bool {
    let conditions = status.iter().flat_map(|status| &status.conditions);
    conditions
        .filter(|condition| condition.type_ == ACCEPTED_CONDITION)
        .any(|condition| {
            condition.observed_generation == Some(generation) && condition.status == verdict
        })
}
