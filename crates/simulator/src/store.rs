//! A model of the platform's object API, as the shell presents it to the
//! control core, and of its machine list.

use std::collections::{BTreeMap, VecDeque};

use crate::costs::json_bytes;
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

/// An accepted object, as its status shows.
#[derive(Clone, Debug)]
pub struct Acceptance {
    /// `metadata.generation` that was accepted.
    pub generation: i64,
    /// Revision at which it is in force.
    pub revision: Revision,
    /// When the status was written.
    pub at: Timestamp,
    /// Region whose group accepted it.
    pub region: usize,
}

/// Objects with versions, conditional writes and an outage switch.
#[derive(Clone, Debug, Default)]
pub struct StoreModel {
    version: u64,
    down: bool,
    /// Group writes that take effect without an answer from now on.
    lost_answers: u32,
    groups: BTreeMap<RegionName, GroupObject>,
    back_ends: BTreeMap<String, BackEndObject>,
    services: BTreeMap<String, KeyedServiceObject>,
    accepted: BTreeMap<ObjectRef, Acceptance>,
    /// Acceptances that nobody has taken note of yet, in order of time.
    new_acceptances: VecDeque<(ObjectRef, Acceptance)>,
    machines: MachineList,
    machines_bytes: u64,
    machines_down: bool,
}

impl StoreModel {
    /// Takes the store down or brings it back.
    pub fn set_down(&mut self, down: bool) {
        self.down = down;
    }

    /// Whether the store does not answer.
    pub fn is_down(&self) -> bool {
        self.down
    }

    /// Lets the next `count` group writes take effect without an answer.
    pub fn lose_answers(&mut self, count: u32) {
        self.lost_answers = count;
    }

    /// Takes the machine list down or brings it back.
    pub fn set_machines_down(&mut self, down: bool) {
        self.machines_down = down;
    }

    /// The machine list, if it answers.
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
        self.machines_bytes = json_bytes(&self.machines);
    }

    /// Writes a back end as its operator would.
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

    /// Writes a service as its operator would.
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

    /// The back end as it stands.
    pub fn back_end(&self, name: &str) -> Option<&BackEndObject> {
        self.back_ends.get(name)
    }

    /// The service as it stands.
    pub fn service(&self, name: &str) -> Option<&KeyedServiceObject> {
        self.services.get(name)
    }

    /// Everything, as a watcher sees it first.
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

    /// Takes a status from a region's group, unless the store is down.
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
            self.accepted.insert(object, acceptance);
        }
    }

    /// Latest acceptance of an object.
    pub fn acceptance(&self, object: &ObjectRef) -> Option<&Acceptance> {
        self.accepted.get(object)
    }

    /// Acceptances since the last call, in order of time.
    pub(crate) fn take_acceptances(&mut self) -> VecDeque<(ObjectRef, Acceptance)> {
        std::mem::take(&mut self.new_acceptances)
    }

    /// Version of the machine list, if it answers.
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
        if self.lost_answers > 0 {
            self.lost_answers -= 1;
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
