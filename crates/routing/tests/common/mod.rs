//! Records and requests for tests.
#![allow(dead_code)]

pub mod overload_model;
pub mod world;

use std::collections::BTreeMap;
use std::time::Duration;

use threadledge_routing::{
    Attempt, Dispatcher, ExchangeId, Finish, HeaderLookup, RequestHead, Settings, Step,
};
use threadledge_types::objects::{
    BackEndSpec, KeySource, KeyedServiceSpec, PlacementPolicy, Priority, RouteRule,
};
use threadledge_types::records::{
    BackEndRecord, RecordChange, RecordDelta, ServiceRecord, SessionRecord, SliceRecord,
};
use threadledge_types::{
    BackEndId, Epoch, Generation, GroupId, Incarnation, RegionName, Revision, ServiceId, SessionId,
    Slice, Timestamp, ZoneName,
};

pub const NO_HEADERS: [(&str, &str); 0] = [];

pub fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

pub fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

pub fn route(name: &str, prefix: &str) -> RouteRule {
    RouteRule {
        name: name.to_owned(),
        path_prefix: prefix.to_owned(),
        methods: Vec::new(),
        key: KeySource::QueryParameter("key".to_owned()),
        repeatable: None,
        priority: Priority::Normal,
        deadline_ms: 2_000,
        may_queue: false,
    }
}

pub fn service(id: &str, host: &str, routes: Vec<RouteRule>) -> RecordChange {
    RecordChange::Service(Box::new(ServiceRecord {
        id: service_id(id),
        spec: KeyedServiceSpec {
            region: RegionName::from("luzon"),
            hosts: vec![host.to_owned()],
            back_end_selector: Default::default(),
            routes,
            placement: PlacementPolicy::default(),
        },
        resource_version: 1,
        object_generation: 1,
    }))
}

pub fn back_end(name: &str, slots: u32, connections: u32) -> RecordChange {
    let id = back_end_id(name);
    let port = 9_000 + id.name.bytes().map(u16::from).sum::<u16>();
    RecordChange::BackEnd(Box::new(BackEndRecord {
        id,
        labels: BTreeMap::new(),
        spec: BackEndSpec {
            address: ([127, 0, 0, 1], port).into(),
            control_address: ([127, 0, 0, 1], port + 1_000).into(),
            zone: ZoneName::from("a"),
            slots,
            connections,
        },
        resource_version: 1,
        object_generation: 1,
    }))
}

pub fn session(name: &str, incarnation: u64, draining: bool) -> RecordChange {
    RecordChange::Session(SessionRecord {
        id: session_id(name, incarnation),
        draining,
    })
}

pub fn slice(service: &str, slice: Slice, owner: Option<(&str, u64)>, index: u64) -> RecordChange {
    RecordChange::Slice(SliceRecord {
        service: service_id(service),
        slice,
        owner: owner.map(|(name, incarnation)| session_id(name, incarnation)),
        epoch: epoch(index),
        next: None,
    })
}

pub fn service_id(text: &str) -> ServiceId {
    ServiceId::try_from(text.to_owned()).expect("namespace/name")
}

pub fn back_end_id(text: &str) -> BackEndId {
    BackEndId::try_from(text.to_owned()).expect("namespace/name")
}

pub fn session_id(name: &str, incarnation: u64) -> SessionId {
    SessionId {
        back_end: back_end_id(name),
        incarnation: Incarnation(incarnation),
    }
}

pub fn revision(index: u64) -> Revision {
    Revision::new(Generation(1), index)
}

pub fn epoch(index: u64) -> Epoch {
    Epoch(revision(index))
}

pub fn full(to: u64, changes: Vec<RecordChange>) -> RecordDelta {
    RecordDelta {
        group: GroupId(0),
        from: Revision::NONE,
        to: revision(to),
        full: true,
        changes,
    }
}

pub fn delta(from: u64, changes: Vec<RecordChange>) -> RecordDelta {
    RecordDelta {
        group: GroupId(0),
        from: revision(from),
        to: revision(from + 1),
        full: false,
        changes,
    }
}

/// One service `a/s` on host `s.test` whose one slice `a/one` owns.
pub fn one_back_end(slots: u32, routes: Vec<RouteRule>) -> RecordDelta {
    let changes = vec![
        service("a/s", "s.test", routes),
        back_end("a/one", slots, 100),
        session("a/one", 1, false),
        slice("a/s", Slice::ALL, Some(("a/one", 1)), 1),
    ];
    full(1, changes)
}

pub fn dispatcher(settings: Settings, records: &RecordDelta) -> Dispatcher {
    let mut dispatcher = Dispatcher::new(settings, 7, at(0));
    dispatcher.apply(at(0), records).expect("first delta");
    dispatcher.set_accepting(true);
    dispatcher
}

pub fn head<'a>(method: &'a str, path: &'a str, headers: &'a dyn HeaderLookup) -> RequestHead<'a> {
    RequestHead {
        method,
        host: "s.test",
        path,
        query: Some("key=k"),
        headers,
        body_replayable: true,
    }
}

pub fn begin(dispatcher: &mut Dispatcher, now: u64, method: &str, path: &str) -> ExchangeId {
    dispatcher
        .begin(at(now), &head(method, path, &NO_HEADERS))
        .expect("admitted")
}

#[track_caller]
pub fn expect_send(dispatcher: &mut Dispatcher, now: u64, id: ExchangeId) -> Attempt {
    match dispatcher.next(at(now), id) {
        Step::Send(attempt) => attempt,
        step => panic!("expected an attempt, got {step:?}"),
    }
}

#[track_caller]
pub fn expect_wait(dispatcher: &mut Dispatcher, now: u64, id: ExchangeId) -> Timestamp {
    match dispatcher.next(at(now), id) {
        Step::Wait { until } => until,
        step => panic!("expected to wait, got {step:?}"),
    }
}

#[track_caller]
pub fn expect_finish(dispatcher: &mut Dispatcher, now: u64, id: ExchangeId) -> Finish {
    match dispatcher.next(at(now), id) {
        Step::Finish(finish) => finish,
        step => panic!("expected the end, got {step:?}"),
    }
}

/// One back end and two routes; requests under `/queued` may queue.
pub fn dispatcher_with_slots(slots: u32) -> Dispatcher {
    let mut queued = route("queued", "/queued");
    queued.may_queue = true;
    let records = one_back_end(slots, vec![queued, route("r", "/")]);
    let settings = Settings {
        slot_overcommit_percent: 100,
        ..Settings::default()
    };
    dispatcher(settings, &records)
}
