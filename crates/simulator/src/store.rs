//! Model of the platform's object API, as the shell presents it to the control
//! core, and of its machine list.

use std::collections::{BTreeMap, VecDeque};

use crate::costs::json_length;
use threadledge_control::{
    AcceptanceResult, ConfigurationEvent, GroupObjectState, GroupObjectVersion, GroupWriteResult,
    Listing, ObjectRef, ObservedObject, StatusWrite,
};
use threadledge_membership::{Machine, MachineList};
use threadledge_types::objects::{BackEndObject, KeyedServiceObject};
use threadledge_types::{Generation, RegionName, Revision, RouterId, Timestamp};

/// The group object of one region.
#[derive(Clone, Debug)]
struct GroupObject {
    generation: Generation,
    founder: RouterId,
    version: u64,
}

/// The acceptance of an object, as shown in its status.
#[derive(Clone, Debug)]
pub struct Acceptance {
    /// The accepted `metadata.generation`.
    pub generation: i64,
    /// Revision at which it is in force.
    pub revision: Revision,
    /// Time at which the status was written.
    pub at: Timestamp,
    /// Region whose group accepted it.
    pub region: usize,
}

/// Objects with versions, conditional writes and simulated outages.
#[derive(Clone, Debug, Default)]
pub struct StoreModel {
    version: u64,
    down: bool,
    /// Number of following group writes that take effect without a response.
    responses_to_lose: u32,
    groups: BTreeMap<RegionName, GroupObject>,
    back_ends: BTreeMap<String, BackEndObject>,
    services: BTreeMap<String, KeyedServiceObject>,
    acceptances: BTreeMap<ObjectRef, Acceptance>,
    /// Acceptances that have not been processed yet, ordered by time.
    new_acceptances: VecDeque<(ObjectRef, Acceptance)>,
    machines: MachineList,
    machines_bytes: u64,
    machines_down: bool,
}

impl StoreModel {
    /// Starts or ends an outage of the store.
    pub fn set_down(&mut self, down: bool) {
        self.down = down;
    }

    /// Returns whether the store is unavailable.
    pub fn is_down(&self) -> bool {
        self.down
    }

    /// Lets the next `count` group writes take effect without a response.
    pub fn lose_responses(&mut self, count: u32) {
        self.responses_to_lose = count;
    }

    /// Starts or ends an outage of the machine list.
    pub fn set_machines_down(&mut self, down: bool) {
        self.machines_down = down;
    }

    /// Returns the machine list, unless it is unavailable.
    pub fn machines(&self) -> Option<MachineList> {
        (!self.machines_down).then(|| self.machines.clone())
    }

    /// Length of the machine list as JSON.
    pub fn machines_bytes(&self) -> u64 {
        self.machines_bytes
    }

    /// Replaces the machine list.
    pub fn set_machines(&mut self, machines: Vec<Machine>) {
        self.machines.version += 1;
        self.machines.machines = machines;
        self.machines_bytes = json_length(&self.machines);
    }

    /// Writes a back end, as its operator does.
    pub fn put_back_end(&mut self, mut object: BackEndObject) -> ConfigurationEvent {
        self.version += 1;
        let name = object.metadata.name.clone().unwrap_or_default();
        let former = self.back_ends.get(&name);
        let generation = former.map_or(0, |former| former.metadata.generation.unwrap_or(0));
        object.metadata.generation = Some(generation + 1);
        object.metadata.resource_version = Some(self.version.to_string());
        self.back_ends.insert(name, object.clone());
        ConfigurationEvent::BackEndChanged(observed_back_end(object))
    }

    /// Writes a service, as its operator does.
    pub fn put_service(&mut self, mut object: KeyedServiceObject) -> ConfigurationEvent {
        self.version += 1;
        let name = object.metadata.name.clone().unwrap_or_default();
        let former = self.services.get(&name);
        let generation = former.map_or(0, |former| former.metadata.generation.unwrap_or(0));
        object.metadata.generation = Some(generation + 1);
        object.metadata.resource_version = Some(self.version.to_string());
        self.services.insert(name, object.clone());
        ConfigurationEvent::ServiceChanged(observed_service(object))
    }

    /// Deletes a back end.
    pub fn delete_back_end(&mut self, name: &str) -> Option<ConfigurationEvent> {
        let object = self.back_ends.remove(name)?;
        self.version += 1;
        Some(ConfigurationEvent::Deleted {
            object: observed_back_end(object).object,
            resource_version: self.version,
        })
    }

    /// Returns the current object of a back end.
    pub fn back_end(&self, name: &str) -> Option<&BackEndObject> {
        self.back_ends.get(name)
    }

    /// Returns the current object of a service.
    pub fn service(&self, name: &str) -> Option<&KeyedServiceObject> {
        self.services.get(name)
    }

    /// Returns the initial listings of a watch.
    pub fn listings(&self) -> [ConfigurationEvent; 2] {
        let back_ends = self.back_ends.values().cloned().map(observed_back_end);
        let services = self.services.values().cloned().map(observed_service);
        [
            ConfigurationEvent::BackEndsListed(Listing {
                objects: back_ends.collect(),
                withheld: Vec::new(),
                resource_version: self.version,
            }),
            ConfigurationEvent::ServicesListed(Listing {
                objects: services.collect(),
                withheld: Vec::new(),
                resource_version: self.version,
            }),
        ]
    }

    /// Writes a status from a region's group, unless the store is unavailable.
    pub fn write_status(&mut self, now: Timestamp, region: usize, write: StatusWrite) {
        if self.down {
            return;
        }
        if let AcceptanceResult::Accepted(revision) = write.acceptance {
            let acceptance = Acceptance {
                generation: write.observed_generation,
                revision,
                at: now,
                region,
            };
            let object = write.object;
            self.new_acceptances
                .push_back((object.clone(), acceptance.clone()));
            self.acceptances.insert(object, acceptance);
        }
    }

    /// Latest acceptance of an object.
    pub fn acceptance(&self, object: &ObjectRef) -> Option<&Acceptance> {
        self.acceptances.get(object)
    }

    /// Returns the acceptances since the last call, ordered by time.
    pub(crate) fn take_acceptances(&mut self) -> VecDeque<(ObjectRef, Acceptance)> {
        std::mem::take(&mut self.new_acceptances)
    }

    /// Returns the version of the machine list, unless it is unavailable.
    pub fn machines_version(&self) -> Option<u64> {
        (!self.machines_down).then_some(self.machines.version)
    }

    /// Reads a region's group object.
    pub fn read_group(&self, region: &RegionName) -> GroupObjectState {
        if self.down {
            return GroupObjectState::Unavailable;
        }
        match self.groups.get(region) {
            None => GroupObjectState::Absent,
            Some(object) => GroupObjectState::Present {
                generation: object.generation,
                founder: object.founder,
                version: GroupObjectVersion(object.version.to_string()),
            },
        }
    }

    /// Conditionally writes a region's group object.
    pub fn found_group(
        &mut self,
        region: &RegionName,
        founder: RouterId,
        generation: Generation,
        expected: Option<&GroupObjectVersion>,
    ) -> GroupWriteResult {
        if self.down {
            return GroupWriteResult::Unavailable;
        }
        let present = self.groups.get(region).map(|object| object.version);
        if present.map(|version| version.to_string()) != expected.map(|version| version.0.clone()) {
            return GroupWriteResult::Conflict;
        }
        self.version += 1;
        let object = GroupObject {
            generation,
            founder,
            version: self.version,
        };
        self.groups.insert(region.clone(), object);
        if self.responses_to_lose > 0 {
            self.responses_to_lose -= 1;
            return GroupWriteResult::Unavailable;
        }
        GroupWriteResult::Written
    }
}

fn observed_back_end(object: BackEndObject) -> ObservedObject<BackEndObject> {
    let name = object.metadata.name.clone().unwrap_or_default();
    let namespace = object.metadata.namespace.clone().unwrap_or_default();
    ObservedObject {
        object: ObjectRef::BackEnd(threadledge_types::BackEndId::new(namespace, name)),
        generation: object.metadata.generation.unwrap_or(0),
        content: Ok(object),
    }
}

fn observed_service(object: KeyedServiceObject) -> ObservedObject<KeyedServiceObject> {
    let name = object.metadata.name.clone().unwrap_or_default();
    let namespace = object.metadata.namespace.clone().unwrap_or_default();
    ObservedObject {
        object: ObjectRef::Service(threadledge_types::ServiceId::new(namespace, name)),
        generation: object.metadata.generation.unwrap_or(0),
        content: Ok(object),
    }
}
