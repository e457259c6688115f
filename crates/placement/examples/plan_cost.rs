//! Prints the cost of planning for increasing numbers of slices.
//!
//! `cargo run --release -p threadledge-placement --example plan_cost`

use std::collections::BTreeMap;
use std::hint::black_box;
use std::time::{Duration, Instant};

use k8s_openapi::apimachinery::pkg::apis::meta::v1::LabelSelector;
use threadledge_placement::{Action, Planner, PlannerSettings};
use threadledge_types::objects::{BackEndSpec, KeyedServiceSpec, PlacementPolicy};
use threadledge_types::records::{
    BackEndRecord, RecordChange, ServiceRecord, SessionRecord, SliceRecord,
};
use threadledge_types::session::{LoadReport, SliceRate};
use threadledge_types::{
    BackEndId, Epoch, Generation, Incarnation, Revision, ServiceId, SessionId, Slice, Timestamp,
};

const BACK_ENDS: u32 = 100;
const SIZES: [u32; 4] = [1_000, 10_000, 100_000, 1_000_000];
const NO_LIMIT: usize = usize::MAX;
const ROUNDS: u32 = 1_000;

struct Benchmark {
    planner: Planner,
    now: Timestamp,
    slices: BTreeMap<Slice, SliceRecord>,
    index: u64,
}

fn main() {
    println!(
        "{:>9} {:>10} {:>10} {:>10} {:>11} {:>10} {:>10} {:>9}",
        "slices", "observe", "assign", "loss", "one change", "report", "check", "memory"
    );
    println!(
        "{:>9} {:>10} {:>10} {:>10} {:>11} {:>10} {:>10} {:>9}",
        "", "ns/slice", "ns/slice", "ns/slice", "us", "ns/slice", "us", "B/slice"
    );
    for size in SIZES {
        measure(size);
    }
}

fn measure(size: u32) {
    let resident = resident_bytes();
    let mut benchmark = Benchmark::new(size);
    let per_slice = |elapsed: Duration, count: usize| elapsed.as_nanos() / count.max(1) as u128;

    let divided = Slice::divide(size);
    let observe = timed(|| {
        for slice in &divided {
            benchmark
                .planner
                .observe(&RecordChange::Slice(unowned(*slice)));
        }
    });
    let held = resident_bytes().saturating_sub(resident);
    for slice in divided {
        benchmark.slices.insert(slice, unowned(slice));
    }

    let mut actions = Vec::new();
    let assign = timed(|| actions = benchmark.planner.plan(benchmark.now, NO_LIMIT));
    benchmark.apply(&actions);
    // Freed here, so that the next measurement does not include it.
    actions = Vec::new();
    benchmark.pass(Duration::from_secs(60));

    let lost = benchmark.slices_of(7);
    let loss = timed(|| {
        for slice in &lost {
            benchmark
                .planner
                .observe(&RecordChange::Slice(unowned(*slice)));
        }
        actions = benchmark.planner.plan(benchmark.now, NO_LIMIT);
    });
    benchmark.apply(&actions);

    let one = benchmark.slices_of(3)[0];
    let mut one_change = Duration::ZERO;
    for _ in 0..ROUNDS {
        benchmark.now = benchmark.now + Duration::from_millis(1);
        one_change += timed(|| {
            benchmark
                .planner
                .observe(&RecordChange::Slice(unowned(one)));
            actions = benchmark.planner.plan(benchmark.now, NO_LIMIT);
        });
        benchmark.apply(&actions);
    }

    let (back_end, report) = benchmark.report(5);
    let reported = report.slice_rates.len();
    benchmark.now = benchmark.now + Duration::from_millis(500);
    let report = timed(|| {
        benchmark
            .planner
            .observe_load(benchmark.now, &back_end, &report)
    });

    // Proposals expire first, so that only the check is measured.
    benchmark.pass(Duration::from_secs(10));
    let (back_end, again) = benchmark.report(6);
    benchmark
        .planner
        .observe_load(benchmark.now, &back_end, &again);
    benchmark.now = benchmark.now + Duration::from_secs(2);
    let check = timed(|| {
        black_box(benchmark.planner.plan(benchmark.now, NO_LIMIT));
    });

    println!(
        "{size:>9} {:>10} {:>10} {:>10} {:>11.1} {:>10} {:>10.1} {:>9}",
        per_slice(observe, size as usize),
        per_slice(assign, size as usize),
        per_slice(loss, lost.len()),
        one_change.as_secs_f64() * 1e6 / f64::from(ROUNDS),
        per_slice(report, reported),
        check.as_secs_f64() * 1e6,
        held / u64::from(size),
    );
}

impl Benchmark {
    fn new(size: u32) -> Self {
        let mut planner = Planner::new(PlannerSettings::default(), 1);
        for number in 0..BACK_ENDS {
            planner.observe(&RecordChange::BackEnd(Box::new(back_end_record(number))));
            planner.observe(&RecordChange::Session(SessionRecord {
                id: session(number),
                draining: false,
            }));
        }
        planner.observe(&RecordChange::Service(Box::new(service_record(size))));
        Benchmark {
            planner,
            now: Timestamp::from_millis(1_000),
            slices: BTreeMap::new(),
            index: 0,
        }
    }

    fn apply(&mut self, actions: &[Action]) {
        for action in actions {
            let Action::Assign { slice, to, .. } = action else {
                continue;
            };
            self.index += 1;
            let record = SliceRecord {
                owner: Some(to.clone()),
                epoch: Epoch(Revision::new(Generation(1), self.index)),
                ..unowned(*slice)
            };
            self.slices.insert(*slice, record.clone());
            self.planner.observe(&RecordChange::Slice(record));
        }
    }

    fn pass(&mut self, time: Duration) {
        self.now = self.now + time;
        black_box(self.planner.plan(self.now, NO_LIMIT));
    }

    fn slices_of(&self, number: u32) -> Vec<Slice> {
        let owner = Some(session(number));
        self.slices
            .values()
            .filter(|record| record.owner == owner)
            .map(|record| record.slice)
            .collect()
    }

    fn report(&self, number: u32) -> (BackEndId, LoadReport) {
        let slice_rates = self
            .slices_of(number)
            .into_iter()
            .map(|slice| SliceRate {
                service: service(),
                slice,
                per_second: 10.0,
                hottest: None,
            })
            .collect();
        let report = LoadReport {
            slice_rates,
            ..LoadReport::default()
        };
        (back_end(number), report)
    }
}

fn timed(work: impl FnOnce()) -> Duration {
    let start = Instant::now();
    work();
    start.elapsed()
}

/// Returns the resident memory of this process, or 0 where the system does not
/// report it.
fn resident_bytes() -> u64 {
    const PAGE: u64 = 4_096;
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split_whitespace().nth(1);
    pages.and_then(|pages| pages.parse().ok()).unwrap_or(0) * PAGE
}

fn service() -> ServiceId {
    ServiceId::new("hearts", "gallery")
}

fn back_end(number: u32) -> BackEndId {
    BackEndId::new("hearts", format!("gallery-{number:03}"))
}

fn session(number: u32) -> SessionId {
    SessionId {
        back_end: back_end(number),
        incarnation: Incarnation(1),
    }
}

fn unowned(slice: Slice) -> SliceRecord {
    SliceRecord {
        service: service(),
        slice,
        owner: None,
        epoch: Epoch::default(),
        next: None,
    }
}

fn labels() -> BTreeMap<String, String> {
    BTreeMap::from([("app".to_owned(), "gallery".to_owned())])
}

fn back_end_record(number: u32) -> BackEndRecord {
    BackEndRecord {
        id: back_end(number),
        labels: labels(),
        spec: BackEndSpec {
            address: ([127, 0, 0, 1], 9_000).into(),
            control_address: ([127, 0, 0, 1], 9_001).into(),
            zone: "a".into(),
            slots: 2,
            connections: 130,
        },
        resource_version: 1,
        object_generation: 1,
    }
}

fn service_record(size: u32) -> ServiceRecord {
    ServiceRecord {
        id: service(),
        spec: KeyedServiceSpec {
            region: "luzon".into(),
            hosts: vec!["gallery.example".to_owned()],
            back_end_selector: LabelSelector {
                match_labels: Some(labels()),
                match_expressions: None,
            },
            routes: Vec::new(),
            placement: PlacementPolicy {
                slices_per_back_end: size / BACK_ENDS,
                ..PlacementPolicy::default()
            },
        },
        resource_version: 1,
        object_generation: 1,
    }
}
