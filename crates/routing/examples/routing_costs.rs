//! Measures the cost of the data path's decisions: memory per slice, owner
//! lookups, deltas, and complete exchanges without I/O.
//!
//! `cargo run --release -p threadledge-routing --example routing_costs
//! [SLICES]`

use std::collections::BTreeMap;
use std::hint::black_box;
use std::time::{Duration, Instant};

use threadledge_routing::backoff::splitmix64;
use threadledge_routing::{
    AttemptEvent, Dispatcher, RequestHead, RoutingTable, SendDecision, Settings, Step,
};
use threadledge_types::objects::{
    BackEndSpec, KeySource, KeyedServiceSpec, PlacementPolicy, Priority, RouteRule,
};
use threadledge_types::records::{
    BackEndRecord, RecordChange, RecordDelta, ServiceRecord, SessionRecord, SliceRecord,
};
use threadledge_types::{
    BackEndId, Epoch, Generation, GroupId, Incarnation, Point, RegionName, Revision, ServiceId,
    SessionId, Slice, Timestamp, ZoneName,
};

const DEFAULT_SLICES: u32 = 1_000_000;
const BACK_ENDS: u32 = 1_000;
const LOOKUPS: u64 = 2_000_000;
const DELTAS: u64 = 200_000;
const EXCHANGES: u64 = 200_000;
/// Bytes per page, the unit of `/proc/self/statm`.
const PAGE: u64 = 4_096;

fn main() {
    let slices = std::env::args().nth(1);
    let slices = slices.map_or(DEFAULT_SLICES, |text| text.parse().expect("a number"));
    measure_table(slices);
    measure_exchanges(slices);
}

fn measure_table(slices: u32) {
    let records = all_records(slices);
    let before = resident_bytes();
    let start = Instant::now();
    let mut table = RoutingTable::new();
    table.apply(&records).expect("first");
    let applied = start.elapsed();
    let grown = resident_bytes().saturating_sub(before);
    let looked_up = time_lookups(&table);
    let changed = time_deltas(&mut table, slices);
    println!(
        "{slices} slices: full state {applied:?}, {} bytes a slice, \
         {looked_up} ns a lookup, {changed} ns a delta of one slice",
        grown / u64::from(slices),
    );
}

#[inline(never)]
fn time_lookups(table: &RoutingTable) -> u128 {
    let service = service_id();
    let start = Instant::now();
    for number in 0..LOOKUPS {
        black_box(table.owner(&service, Point(splitmix64(number))));
    }
    start.elapsed().as_nanos() / u128::from(LOOKUPS)
}

fn time_deltas(table: &mut RoutingTable, slices: u32) -> u128 {
    let parts = Slice::divide(slices);
    let deltas: Vec<RecordDelta> = (0..DELTAS)
        .map(|number| {
            let draw = splitmix64(number);
            let part = parts[draw as usize % parts.len()];
            let owner = (draw >> 32) as u32 % BACK_ENDS;
            let change = slice(part, owner, number + 2);
            records(number + 1, number + 2, false, vec![change])
        })
        .collect();
    let start = Instant::now();
    for delta in &deltas {
        table.apply(delta).expect("in order");
    }
    start.elapsed().as_nanos() / u128::from(DELTAS)
}

fn measure_exchanges(slices: u32) {
    let mut dispatcher = Dispatcher::new(Settings::default(), 1, Timestamp::ZERO);
    dispatcher
        .apply(Timestamp::ZERO, &all_records(slices))
        .expect("first");
    dispatcher.set_accepting(true);
    let start = Instant::now();
    for number in 0..EXCHANGES {
        run_exchange(&mut dispatcher, number);
    }
    let nanos = start.elapsed().as_nanos() / u128::from(EXCHANGES);
    println!("{slices} slices: {nanos} ns for all decisions of one answered exchange");
}

#[inline(never)]
fn run_exchange(dispatcher: &mut Dispatcher, number: u64) {
    let now = Timestamp::ZERO + Duration::from_micros(number * 10);
    let path = format!("/gallery/member-{number}/near");
    let headers: [(&str, &str); 0] = [];
    let head = RequestHead {
        method: "GET",
        host: "gallery.luzon.test:8080",
        path: &path,
        query: Some("page=1"),
        headers: &headers,
        body_replayable: true,
    };
    let id = dispatcher.begin(now, &head).expect("admitted");
    let Step::Send(attempt) = dispatcher.next(now, id) else {
        panic!("a slot is free");
    };
    let decision = dispatcher.start_sending(now, id, attempt.number);
    assert!(matches!(decision, SendDecision::Proceed { .. }));
    let later = now + Duration::from_micros(5);
    dispatcher.on_event(later, id, attempt.number, AttemptEvent::Completed);
    while !matches!(dispatcher.next(later, id), Step::Finish(_)) {}
    black_box(dispatcher.take_wakeups());
}

fn all_records(slices: u32) -> RecordDelta {
    let mut changes = vec![service()];
    for number in 0..BACK_ENDS {
        changes.push(back_end(number));
        changes.push(RecordChange::Session(SessionRecord {
            id: session_id(number),
            draining: false,
        }));
    }
    for (number, part) in (0..).zip(Slice::divide(slices)) {
        changes.push(slice(part, number % BACK_ENDS, 1));
    }
    records(0, 1, true, changes)
}

fn records(from: u64, to: u64, full: bool, changes: Vec<RecordChange>) -> RecordDelta {
    RecordDelta {
        group: GroupId(0),
        from: revision(from),
        to: revision(to),
        full,
        changes,
    }
}

fn revision(index: u64) -> Revision {
    Revision::new(Generation(1), index)
}

fn service_id() -> ServiceId {
    ServiceId::new("kasamahan", "gallery")
}

fn session_id(number: u32) -> SessionId {
    SessionId {
        back_end: BackEndId::new("kasamahan", format!("gallery-{number}")),
        incarnation: Incarnation(1_764_660_000_000),
    }
}

fn service() -> RecordChange {
    let route = RouteRule {
        name: "gallery".to_owned(),
        path_prefix: "/gallery".to_owned(),
        methods: Vec::new(),
        key: KeySource::PathSegment(1),
        repeatable: None,
        priority: Priority::Normal,
        deadline_ms: 2_000,
        may_queue: false,
    };
    RecordChange::Service(Box::new(ServiceRecord {
        id: service_id(),
        spec: KeyedServiceSpec {
            region: RegionName::from("luzon"),
            hosts: vec!["gallery.luzon.test".to_owned()],
            back_end_selector: Default::default(),
            routes: vec![route],
            placement: PlacementPolicy::default(),
        },
        resource_version: 1,
        object_generation: 1,
    }))
}

fn back_end(number: u32) -> RecordChange {
    RecordChange::BackEnd(Box::new(BackEndRecord {
        id: session_id(number).back_end,
        labels: BTreeMap::new(),
        spec: BackEndSpec {
            address: ([127, 0, 0, 1], 9_000).into(),
            control_address: ([127, 0, 0, 1], 9_001).into(),
            zone: ZoneName::from("a"),
            slots: 2,
            connections: 130,
        },
        resource_version: 1,
        object_generation: 1,
    }))
}

fn slice(part: Slice, owner: u32, index: u64) -> RecordChange {
    RecordChange::Slice(SliceRecord {
        service: service_id(),
        slice: part,
        owner: Some(session_id(owner)),
        epoch: Epoch(revision(index)),
        next: None,
    })
}

fn resident_bytes() -> u64 {
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm.split_whitespace().nth(1);
    pages.and_then(|text| text.parse().ok()).unwrap_or(0) * PAGE
}
