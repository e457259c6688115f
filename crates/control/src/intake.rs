//! Configuration intake: turns objects in the platform's API into log commands,
//! and applied commands into the status that operators see.
//!
//! Enforces the invariant *accepted configuration never reverts*. An object is
//! proposed only when its `resourceVersion` is above the applied one, the state
//! machine checks that again when it applies the command, and `Accepted` is
//! written only after the command was applied.
//!
//! Enforces as well that *no partner reaches another's traffic or servers*. A
//! host or an address that another object claims, accepted or about to be, is
//! rejected.

mod validation;

use std::collections::BTreeMap;
use std::time::Duration;

use threadledge_ownership::{Command, ObjectChange, StateMachine};
use threadledge_types::objects::{BackEndObject, KeyedServiceObject};
use threadledge_types::validation::{
    AddressClaims, HostClaims, validate_back_end, validate_service,
};
use threadledge_types::{RegionName, Revision, Timestamp};

use crate::input::{ConfigurationEvent, Listing, ObservedObject};
use crate::object_status::{ACCEPTED, AcceptanceResult, ObjectRef, StatusWrite, has_acceptance};
use crate::output::Observation;
use validation::{
    AppliedComparison, content_or_reject, is_applied, is_same_back_end, is_same_service,
    listed_or_withheld, record_or_reject, report_stale,
};

/// Maximum number of changes in one command, so that no log entry becomes very
/// large.
const MAX_CHANGES: usize = 256;
/// A proposal that was not applied within this time is made again.
const PROPOSAL_RETRY: Duration = Duration::from_secs(1);

/// Commands, statuses and observations that follow from an event.
#[derive(Debug, Default)]
pub struct IntakeActions {
    /// Commands to propose, in order.
    pub commands: Vec<Command>,
    /// Statuses that can be written immediately.
    pub statuses: Vec<StatusWrite>,
    /// Observations for the log.
    pub observations: Vec<Observation>,
}

/// A change that was proposed and has not been applied yet.
#[derive(Clone, Debug)]
struct PendingProposal {
    change: ObjectChange,
    /// `metadata.generation` of the object.
    object_generation: i64,
    proposed_at: Timestamp,
}

/// Configuration intake of one leader.
#[derive(Debug)]
pub struct ConfigurationIntake {
    region: RegionName,
    /// Hosts claimed by services.
    hosts: HostClaims,
    /// Addresses claimed by back ends.
    addresses: AddressClaims,
    /// Proposals that have not been applied yet.
    pending: BTreeMap<ObjectRef, PendingProposal>,
    /// Objects whose changes the current event proposes.
    pending_objects: Vec<ObjectRef>,
    /// Revision at which all applied configuration is in force.
    in_force: Revision,
}

impl ConfigurationIntake {
    /// Creates the intake for one region; services of other regions are left to
    /// their own routers.
    pub fn new(region: RegionName, machine: &StateMachine) -> Self {
        let mut intake = ConfigurationIntake {
            region,
            hosts: HostClaims::default(),
            addresses: AddressClaims::default(),
            pending: BTreeMap::new(),
            pending_objects: Vec::new(),
            in_force: Revision::NONE,
        };
        // Accepted objects passed these checks before.
        for record in machine.services() {
            let _ = intake.hosts.claim(record);
        }
        for record in machine.back_ends() {
            let _ = intake.addresses.claim(record);
        }
        intake
    }

    /// Validates one event against the applied state, which is in force at
    /// `in_force`.
    pub fn observe(
        &mut self,
        now: Timestamp,
        event: ConfigurationEvent,
        in_force: Revision,
        machine: &StateMachine,
    ) -> IntakeActions {
        self.in_force = in_force;
        let mut intake = IntakeActions::default();
        match event {
            ConfigurationEvent::BackEndsListed(listing) => {
                self.back_ends_listed(now, listing, machine, &mut intake);
            }
            ConfigurationEvent::ServicesListed(listing) => {
                self.services_listed(now, listing, machine, &mut intake);
            }
            ConfigurationEvent::BackEndChanged(observed) => {
                self.back_end_changed(now, observed, machine, &mut intake);
            }
            ConfigurationEvent::ServiceChanged(observed) => {
                self.service_changed(now, observed, machine, &mut intake);
            }
            ConfigurationEvent::Deleted {
                object,
                resource_version,
            } => self.deleted(now, object, resource_version),
        }
        let objects = std::mem::take(&mut self.pending_objects);
        intake.commands = self.commands_for(&objects);
        intake
    }

    /// Turns proposals that were applied since into statuses to write, and
    /// makes overdue ones again: a proposal is lost when the log is busy.
    pub fn tick(
        &mut self,
        now: Timestamp,
        in_force: Revision,
        machine: &StateMachine,
    ) -> IntakeActions {
        self.in_force = in_force;
        let mut intake = IntakeActions::default();
        let mut overdue = Vec::new();
        let objects: Vec<ObjectRef> = self.pending.keys().cloned().collect();
        for object in objects {
            let Some(pending) = self.pending.get_mut(&object) else {
                continue;
            };
            if is_applied(&pending.change, machine) {
                let accepted = pending.is_put().then_some(pending.object_generation);
                self.pending.remove(&object);
                if let Some(generation) = accepted {
                    self.accept(object, generation, &mut intake);
                }
            } else if now.since(pending.proposed_at) >= PROPOSAL_RETRY {
                pending.proposed_at = now;
                overdue.push(object);
            }
        }
        intake.commands = self.commands_for(&overdue);
        intake
    }

    /// Whether any proposal is pending.
    pub fn has_pending(&self) -> bool {
        !self.pending.is_empty()
    }

    /// Returns the commands that propose the pending changes of these objects.
    fn commands_for(&self, objects: &[ObjectRef]) -> Vec<Command> {
        let pending = objects.iter().filter_map(|object| self.pending.get(object));
        let changes: Vec<ObjectChange> = pending.map(|pending| pending.change.clone()).collect();
        let commands = changes.chunks(MAX_CHANGES);
        commands
            .map(|changes| Command::ApplyObjects {
                changes: changes.to_vec(),
            })
            .collect()
    }

    /// Handles a list of all back ends. Applied back ends that are missing from
    /// it are deleted, unless they are newer than the list.
    fn back_ends_listed(
        &mut self,
        now: Timestamp,
        listing: Listing<BackEndObject>,
        machine: &StateMachine,
        intake: &mut IntakeActions,
    ) {
        let kept = listed_or_withheld(&listing);
        for record in machine.back_ends() {
            let object = ObjectRef::BackEnd(record.id.clone());
            if !kept.contains(&object) && record.resource_version < listing.resource_version {
                self.deleted(now, object, listing.resource_version);
            }
        }
        for observed in listing.objects {
            self.back_end_changed(now, observed, machine, intake);
        }
    }

    /// Handles a list of all services. Applied services that are missing from
    /// it are deleted, unless they are newer than the list.
    fn services_listed(
        &mut self,
        now: Timestamp,
        listing: Listing<KeyedServiceObject>,
        machine: &StateMachine,
        intake: &mut IntakeActions,
    ) {
        let kept = listed_or_withheld(&listing);
        for record in machine.services() {
            let object = ObjectRef::Service(record.id.clone());
            if !kept.contains(&object) && record.resource_version < listing.resource_version {
                self.deleted(now, object, listing.resource_version);
            }
        }
        for observed in listing.objects {
            self.service_changed(now, observed, machine, intake);
        }
    }

    fn deleted(&mut self, now: Timestamp, object: ObjectRef, resource_version: u64) {
        let change = match object.clone() {
            ObjectRef::BackEnd(id) => {
                self.addresses.release(&id);
                ObjectChange::DeleteBackEnd {
                    id,
                    resource_version,
                }
            }
            ObjectRef::Service(id) => {
                self.hosts.release(&id);
                ObjectChange::DeleteService {
                    id,
                    resource_version,
                }
            }
        };
        self.propose(now, object, change, 0);
    }

    fn back_end_changed(
        &mut self,
        now: Timestamp,
        observed: ObservedObject<BackEndObject>,
        machine: &StateMachine,
        intake: &mut IntakeActions,
    ) {
        let Some(object) = content_or_reject(&observed, intake) else {
            return;
        };
        let claimed = validate_back_end(object)
            .and_then(|record| self.addresses.claim(&record).map(|()| record));
        let validated = record_or_reject(&observed, &object.status, claimed, intake);
        let Some(record) = validated else { return };
        let applied = machine.back_end(&record.id);
        let comparison = AppliedComparison {
            applied: applied.map(|applied| applied.resource_version),
            offered: record.resource_version,
            is_unchanged: applied.is_some_and(|applied| is_same_back_end(applied, &record)),
            is_status_accepted: has_acceptance(&object.status, observed.generation, ACCEPTED),
        };
        let change = ObjectChange::PutBackEnd(Box::new(record));
        self.propose_if_newer(
            now,
            observed.object,
            observed.generation,
            comparison,
            change,
            intake,
        );
    }

    fn service_changed(
        &mut self,
        now: Timestamp,
        observed: ObservedObject<KeyedServiceObject>,
        machine: &StateMachine,
        intake: &mut IntakeActions,
    ) {
        let Some(object) = content_or_reject(&observed, intake) else {
            return;
        };
        if object.spec.region != self.region {
            return;
        }
        let claimed =
            validate_service(object).and_then(|record| self.hosts.claim(&record).map(|()| record));
        let validated = record_or_reject(&observed, &object.status, claimed, intake);
        let Some(record) = validated else { return };
        let applied = machine.service(&record.id);
        let comparison = AppliedComparison {
            applied: applied.map(|applied| applied.resource_version),
            offered: record.resource_version,
            is_unchanged: applied.is_some_and(|applied| is_same_service(applied, &record)),
            is_status_accepted: has_acceptance(&object.status, observed.generation, ACCEPTED),
        };
        let change = ObjectChange::PutService(Box::new(record));
        self.propose_if_newer(
            now,
            observed.object,
            observed.generation,
            comparison,
            change,
            intake,
        );
    }

    /// Proposes a valid object, unless the state already holds this or a later
    /// version.
    fn propose_if_newer(
        &mut self,
        now: Timestamp,
        object: ObjectRef,
        generation: i64,
        comparison: AppliedComparison,
        change: ObjectChange,
        intake: &mut IntakeActions,
    ) {
        if comparison.applied > Some(comparison.offered) {
            report_stale(&object, intake);
        } else if comparison.is_unchanged {
            self.write_missing_status(object, generation, comparison.is_status_accepted, intake);
        } else {
            self.propose(now, object, change, generation);
        }
    }

    /// Writes the status of an object that the state already holds, if that is
    /// missing, for example because an earlier leader was lost before it wrote
    /// it.
    fn write_missing_status(
        &mut self,
        reference: ObjectRef,
        generation: i64,
        is_status_accepted: bool,
        intake: &mut IntakeActions,
    ) {
        if !is_status_accepted && !self.pending.contains_key(&reference) {
            self.accept(reference, generation, intake);
        }
    }

    /// Records a change as pending, to be proposed with the current event.
    fn propose(
        &mut self,
        now: Timestamp,
        object: ObjectRef,
        change: ObjectChange,
        object_generation: i64,
    ) {
        let pending = PendingProposal {
            change,
            object_generation,
            proposed_at: now,
        };
        self.pending.insert(object.clone(), pending);
        self.pending_objects.push(object);
    }

    /// Reports an object as accepted.
    fn accept(&self, object: ObjectRef, generation: i64, intake: &mut IntakeActions) {
        intake.observations.push(Observation::ObjectAccepted {
            object: object.describe(),
            revision: self.in_force,
        });
        intake.statuses.push(StatusWrite {
            object,
            observed_generation: generation,
            acceptance: AcceptanceResult::Accepted(self.in_force),
        });
    }
}

impl PendingProposal {
    fn is_put(&self) -> bool {
        matches!(
            self.change,
            ObjectChange::PutBackEnd(_) | ObjectChange::PutService(_)
        )
    }
}
