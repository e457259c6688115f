//! Records and random changes shared by the tests.
#![allow(dead_code)]

pub mod network;

use std::collections::BTreeMap;

use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use threadledge_spread::Replica;
use threadledge_types::objects::{BackEndSpec, KeyedServiceSpec, PlacementPolicy};
use threadledge_types::records::{
    BackEndRecord, RecordChange, ServiceRecord, SessionRecord, SliceKey, SliceRecord,
};
use threadledge_types::{
    BackEndId, Epoch, Generation, GroupId, Incarnation, Point, Revision, RouterId, RouterIdentity,
    ServiceId, SessionId, Slice,
};

pub const GROUP: GroupId = GroupId(1);

pub fn revision(generation: u32, index: u64) -> Revision {
    Revision::new(Generation(generation), index)
}

pub fn random(seed: u64) -> ChaCha8Rng {
    ChaCha8Rng::seed_from_u64(seed)
}

pub fn service_id(number: u64) -> ServiceId {
    ServiceId::new("kauri", format!("service-{number}"))
}

pub fn back_end_id(number: u64) -> BackEndId {
    BackEndId::new("kauri", format!("back-end-{number}"))
}

pub fn session_id(number: u64, incarnation: u64) -> SessionId {
    SessionId {
        back_end: back_end_id(number),
        incarnation: Incarnation(incarnation),
    }
}

pub fn service(number: u64, version: u64) -> RecordChange {
    RecordChange::Service(Box::new(ServiceRecord {
        id: service_id(number),
        spec: KeyedServiceSpec {
            region: "nz-north".into(),
            hosts: vec![format!("service-{number}.example")],
            back_end_selector: Default::default(),
            routes: Vec::new(),
            placement: PlacementPolicy::default(),
        },
        resource_version: version,
        object_generation: 1,
    }))
}

pub fn back_end(number: u64, version: u64) -> RecordChange {
    RecordChange::BackEnd(Box::new(BackEndRecord {
        id: back_end_id(number),
        labels: BTreeMap::from([("tier".to_owned(), "orders".to_owned())]),
        spec: BackEndSpec {
            address: "127.0.0.1:8000".parse().expect("an address"),
            control_address: "127.0.0.1:8001".parse().expect("an address"),
            zone: "a".into(),
            slots: 3,
            connections: 50,
        },
        resource_version: version,
        object_generation: 1,
    }))
}

pub fn session(number: u64, incarnation: u64, draining: bool) -> RecordChange {
    RecordChange::Session(SessionRecord {
        id: session_id(number, incarnation),
        draining,
    })
}

pub fn slice(service: u64, first: u64, epoch: Revision) -> RecordChange {
    RecordChange::Slice(SliceRecord {
        service: service_id(service),
        slice: Slice {
            first: Point(first),
            last: Point(first + 9),
        },
        owner: Some(session_id(first % 5, 1)),
        epoch: Epoch(epoch),
        next: None,
    })
}

pub fn slice_removed(service: u64, first: u64) -> RecordChange {
    RecordChange::SliceRemoved(SliceKey {
        service: service_id(service),
        first: Point(first),
    })
}

/// Returns a few random changes for one committed entry.
pub fn random_entry(random: &mut ChaCha8Rng, at: Revision) -> Vec<RecordChange> {
    let count = random.random_range(1..4);
    (0..count).map(|_| random_change(random, at)).collect()
}

fn random_change(random: &mut ChaCha8Rng, at: Revision) -> RecordChange {
    let number = random.random_range(0..4);
    let first = random.random_range(0..30) * 10;
    let version = random.next_u64() % 3;
    match random.random_range(0..16) {
        0 => service(number, version),
        1 => RecordChange::ServiceRemoved(service_id(number)),
        2 => back_end(number, version),
        3 => RecordChange::BackEndRemoved(back_end_id(number)),
        4 => session(number, version, version == 1),
        5 => RecordChange::SessionRemoved(session_id(number, version)),
        6..9 => slice_removed(number, first),
        _ => slice(number, first, at),
    }
}

/// Returns all records of a replica, for comparison.
pub fn contents(replica: &Replica) -> Vec<RecordChange> {
    let services = replica.services().cloned().map(Box::new);
    let back_ends = replica.back_ends().cloned().map(Box::new);
    let sessions = replica.sessions().cloned();
    services
        .map(RecordChange::Service)
        .chain(back_ends.map(RecordChange::BackEnd))
        .chain(sessions.map(RecordChange::Session))
        .chain(replica.slices().map(RecordChange::Slice))
        .collect()
}

pub fn router(number: u64) -> RouterIdentity {
    RouterIdentity {
        id: RouterId(number),
        machine: format!("machine-{number}").as_str().into(),
        incarnation: Incarnation(1),
        region: "nz-north".into(),
        zone: "a".into(),
        peer_address: "127.0.0.1:7000".parse().expect("an address"),
        caller_address: "127.0.0.1:7001".parse().expect("an address"),
    }
}
