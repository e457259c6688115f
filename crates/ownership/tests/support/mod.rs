//! Builders shared by the tests.
#![allow(dead_code)]

use std::collections::BTreeMap;
use std::net::SocketAddr;

use threadledge_ownership::{
    Applied, Command, LeaderTerm, ObjectChange, SliceEvidence, StateMachine,
};
use threadledge_types::objects::{BackEndSpec, KeyedServiceSpec, PlacementPolicy};
use threadledge_types::records::{BackEndRecord, ServiceRecord, SliceRecord};
use threadledge_types::{
    BackEndId, Generation, GroupId, Incarnation, Revision, ServiceId, SessionId,
};

/// Group of every test.
pub const GROUP: GroupId = GroupId(7);
/// Namespace of every test object.
pub const NAMESPACE: &str = "partner";

pub fn service_id(name: &str) -> ServiceId {
    ServiceId::new(NAMESPACE, name)
}

pub fn back_end_id(name: &str) -> BackEndId {
    BackEndId::new(NAMESPACE, name)
}

pub fn session_id(name: &str, incarnation: u64) -> SessionId {
    SessionId {
        back_end: back_end_id(name),
        incarnation: Incarnation(incarnation),
    }
}

/// Returns the address numbered `number`.
pub fn address(number: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 10_000 + number))
}

/// Returns a back end with the label `pool`, whose two addresses are numbered
/// `number`.
pub fn back_end(name: &str, version: u64, number: u16, pool: &str) -> BackEndRecord {
    BackEndRecord {
        id: back_end_id(name),
        labels: BTreeMap::from([("pool".to_owned(), pool.to_owned())]),
        spec: BackEndSpec {
            address: address(number),
            control_address: address(number),
            zone: "a".into(),
            slots: 2,
            connections: 130,
        },
        resource_version: version,
        object_generation: 1,
    }
}

/// Returns a service that selects the back ends labelled with `pool`.
pub fn service(name: &str, version: u64, pool: &str, slices_per_back_end: u32) -> ServiceRecord {
    let selector = serde_json::json!({"matchLabels": {"pool": pool}});
    ServiceRecord {
        id: service_id(name),
        spec: KeyedServiceSpec {
            region: "luzon".into(),
            hosts: vec![format!("{name}.example")],
            back_end_selector: serde_json::from_value(selector).expect("a selector"),
            routes: Vec::new(),
            placement: PlacementPolicy {
                slices_per_back_end,
                ..PlacementPolicy::default()
            },
        },
        resource_version: version,
        object_generation: 1,
    }
}

pub fn put_back_end(record: BackEndRecord) -> Command {
    objects(vec![ObjectChange::PutBackEnd(Box::new(record))])
}

pub fn put_service(record: ServiceRecord) -> Command {
    objects(vec![ObjectChange::PutService(Box::new(record))])
}

pub fn objects(changes: Vec<ObjectChange>) -> Command {
    Command::ApplyObjects { changes }
}

/// Returns term `term` of the first generation.
pub fn term(term: u64) -> LeaderTerm {
    LeaderTerm {
        generation: Generation(1),
        term,
    }
}

/// A state machine that assigns revisions to its entries.
pub struct Log {
    pub machine: StateMachine,
    index: u64,
}

impl Log {
    pub fn new() -> Self {
        Log {
            machine: StateMachine::new(GROUP),
            index: 0,
        }
    }

    pub fn next_revision(&self) -> Revision {
        Revision::new(Generation(1), self.index + 1)
    }

    pub fn apply(&mut self, command: &Command) -> Applied {
        let revision = self.next_revision();
        self.index += 1;
        self.machine.apply(revision, command)
    }

    /// Applies a command that must not be rejected.
    pub fn accept(&mut self, command: &Command) -> Applied {
        let applied = self.apply(command);
        assert_eq!(applied.rejected, Vec::new(), "{command:?}");
        applied
    }

    /// Creates back ends `a` and `b` with open sessions, and service `s` with
    /// one slice.
    pub fn with_one_slice() -> Self {
        let mut log = Log::new();
        log.accept(&Command::BeginTerm(term(1)));
        for (number, name) in [(1, "a"), (2, "b")] {
            log.accept(&put_back_end(back_end(name, 1, number, "blue")));
            log.accept(&Command::OpenSession(session_id(name, 1)));
        }
        log.accept(&put_service(service("s", 1, "blue", 0)));
        log
    }

    /// Returns the slices of service `s`.
    pub fn slices(&self) -> Vec<SliceRecord> {
        self.machine.slices(&service_id("s")).collect()
    }

    /// Returns the only slice of service `s`.
    pub fn only_slice(&self) -> SliceRecord {
        let mut slices = self.slices().into_iter();
        slices.next().expect("a slice")
    }

    /// Assigns the only slice of service `s` to a session.
    pub fn assign(&mut self, to: &SessionId) -> SliceRecord {
        let command = assign(&self.only_slice(), to);
        self.accept(&command);
        self.only_slice()
    }

    pub fn evidence(&self, record: &SliceRecord, term: LeaderTerm) -> SliceEvidence {
        SliceEvidence {
            term,
            epoch: record.epoch,
            revision: self
                .machine
                .slice_revision(&record.key())
                .expect("the slice exists"),
        }
    }
}

pub fn assign(record: &SliceRecord, to: &SessionId) -> Command {
    Command::Assign {
        service: record.service.clone(),
        slice: record.slice,
        to: to.clone(),
        expected_epoch: record.epoch,
    }
}

pub fn begin_move(record: &SliceRecord, to: &BackEndId) -> Command {
    Command::BeginMove {
        service: record.service.clone(),
        slice: record.slice,
        to: to.clone(),
        expected_epoch: record.epoch,
    }
}

pub fn cancel_move(record: &SliceRecord) -> Command {
    Command::CancelMove {
        service: record.service.clone(),
        slice: record.slice,
        expected_epoch: record.epoch,
    }
}

pub fn complete_move(record: &SliceRecord, to: &SessionId, evidence: SliceEvidence) -> Command {
    Command::CompleteMove {
        service: record.service.clone(),
        slice: record.slice,
        to: to.clone(),
        evidence,
    }
}

pub fn release(record: &SliceRecord, evidence: SliceEvidence) -> Command {
    Command::Release {
        service: record.service.clone(),
        slice: record.slice,
        evidence,
    }
}
