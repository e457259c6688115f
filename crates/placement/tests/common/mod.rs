//! A model of the group's records in virtual time. It applies the planner's
//! actions, completes handovers and reports load.

#![allow(dead_code, reason = "each test file uses a part of the model")]

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use k8s_openapi::apimachinery::pkg::apis::meta::v1::LabelSelector;
use threadledge_placement::{Action, Planner, PlannerSettings};
use threadledge_types::objects::{BackEndSpec, KeyedServiceSpec, PlacementPolicy};
use threadledge_types::records::{
    BackEndRecord, RecordChange, ServiceRecord, SessionRecord, SliceRecord,
};
use threadledge_types::session::{HotPoint, LoadReport, SliceRate};
use threadledge_types::{
    BackEndId, Epoch, Generation, Incarnation, Point, Revision, ServiceId, SessionId, Slice,
    Timestamp,
};

pub const STEP: Duration = Duration::from_millis(500);
pub const NO_LIMIT: usize = 1_000_000;

/// Traffic of one service.
#[derive(Clone, Debug, Default)]
pub struct Traffic {
    /// Requests per second that are spread over all keys.
    pub spread: f64,
    /// Additional requests per second of hot keys.
    pub hot: BTreeMap<Point, f64>,
}

impl Traffic {
    pub fn of(&self, slice: Slice) -> f64 {
        let hot: f64 = self
            .hot
            .range(slice.first..=slice.last)
            .map(|(_, rate)| rate)
            .sum();
        self.spread * slice.share() + hot
    }

    fn hottest(&self, slice: Slice) -> Option<HotPoint> {
        self.hot
            .range(slice.first..=slice.last)
            .max_by(|left, right| left.1.total_cmp(right.1))
            .map(|(point, rate)| HotPoint {
                point: *point,
                per_second: *rate,
            })
    }
}

/// Records, traffic and the planner under test.
pub struct Model {
    pub planner: Planner,
    pub now: Timestamp,
    pub slices: BTreeMap<ServiceId, BTreeMap<Point, SliceRecord>>,
    pub sessions: BTreeMap<BackEndId, SessionRecord>,
    pub traffic: BTreeMap<ServiceId, Traffic>,
    /// Share of keys that changed owner, by service.
    pub churn: BTreeMap<ServiceId, f64>,
    /// All actions so far.
    pub actions: Vec<Action>,
    /// Number of steps by which reports are delayed.
    pub report_delay: usize,
    /// Back ends that send no report.
    pub unreporting: BTreeSet<BackEndId>,
    /// Configuration changes so far, for a new planner.
    configuration: Vec<RecordChange>,
    delayed_reports: VecDeque<Vec<(BackEndId, LoadReport)>>,
    index: u64,
}

impl Model {
    pub fn new() -> Self {
        Model::with(PlannerSettings::default())
    }

    pub fn with(settings: PlannerSettings) -> Self {
        Model {
            planner: Planner::new(settings, 7),
            now: Timestamp::from_millis(1_000),
            slices: BTreeMap::new(),
            sessions: BTreeMap::new(),
            traffic: BTreeMap::new(),
            churn: BTreeMap::new(),
            actions: Vec::new(),
            report_delay: 0,
            unreporting: BTreeSet::new(),
            configuration: Vec::new(),
            delayed_reports: VecDeque::new(),
            index: 0,
        }
    }

    /// Adds a service that selects `app=NAME`, with its slices unowned.
    pub fn service(&mut self, id: &ServiceId, slices: u32, placement: PlacementPolicy) {
        self.change_service(id, &id.name.clone(), placement);
        for slice in Slice::divide(slices) {
            let record = SliceRecord {
                service: id.clone(),
                slice,
                owner: None,
                epoch: Epoch::default(),
                next: None,
            };
            self.put_slice(record);
        }
    }

    pub fn change_service(&mut self, id: &ServiceId, app: &str, placement: PlacementPolicy) {
        let labels = BTreeMap::from([("app".to_owned(), app.to_owned())]);
        let spec = KeyedServiceSpec {
            region: "luzon".into(),
            hosts: vec![format!("{}.example", id.name)],
            back_end_selector: LabelSelector {
                match_labels: Some(labels),
                match_expressions: None,
            },
            routes: Vec::new(),
            placement,
        };
        self.observe(RecordChange::Service(Box::new(ServiceRecord {
            id: id.clone(),
            spec,
            resource_version: 1,
            object_generation: 1,
        })));
    }

    pub fn back_end(&mut self, id: &BackEndId, app: &str, slots: u32) {
        let spec = BackEndSpec {
            address: ([127, 0, 0, 1], 9_000).into(),
            control_address: ([127, 0, 0, 1], 9_001).into(),
            zone: "a".into(),
            slots,
            connections: 50,
        };
        self.observe(RecordChange::BackEnd(Box::new(BackEndRecord {
            id: id.clone(),
            labels: BTreeMap::from([("app".to_owned(), app.to_owned())]),
            spec,
            resource_version: 1,
            object_generation: 1,
        })));
    }

    pub fn open(&mut self, id: &BackEndId, incarnation: u64) {
        self.put_session(id, incarnation, false);
    }

    pub fn drain(&mut self, id: &BackEndId) {
        let incarnation = self.sessions[id].id.incarnation.0;
        self.put_session(id, incarnation, true);
    }

    fn put_session(&mut self, id: &BackEndId, incarnation: u64, draining: bool) {
        let session = SessionRecord {
            id: SessionId {
                back_end: id.clone(),
                incarnation: Incarnation(incarnation),
            },
            draining,
        };
        self.sessions.insert(id.clone(), session.clone());
        self.observe(RecordChange::Session(session));
    }

    /// Ends the session. Its slices lose their owner.
    pub fn end_session(&mut self, id: &BackEndId) {
        let Some(session) = self.sessions.remove(id) else {
            return;
        };
        for record in self.owned_by(id) {
            self.put_slice(SliceRecord {
                owner: None,
                ..record
            });
        }
        self.observe(RecordChange::SessionRemoved(session.id));
    }

    pub fn owned_by(&self, id: &BackEndId) -> Vec<SliceRecord> {
        self.records()
            .filter(|record| owner_of(record) == Some(id))
            .cloned()
            .collect()
    }

    pub fn records(&self) -> impl Iterator<Item = &SliceRecord> {
        self.slices.values().flat_map(BTreeMap::values)
    }

    pub fn share_of(&self, id: &BackEndId) -> f64 {
        self.owned_by(id)
            .iter()
            .map(|record| record.slice.share())
            .sum()
    }

    /// Returns the requests per second that `id` receives for `service`.
    pub fn rate_of(&self, service: &ServiceId, id: &BackEndId) -> f64 {
        let owned = self.slices[service]
            .values()
            .filter(|record| owner_of(record) == Some(id));
        owned
            .map(|record| self.traffic[service].of(record.slice))
            .sum()
    }

    /// Returns the ratio of the highest rate to the mean over open sessions.
    pub fn true_imbalance(&self, service: &ServiceId) -> f64 {
        let rates: Vec<f64> = self
            .sessions
            .keys()
            .map(|id| self.rate_of(service, id))
            .collect();
        let mean = rates.iter().sum::<f64>() / rates.len() as f64;
        rates.into_iter().fold(0.0, f64::max) / mean
    }

    /// Completes handovers, reports load, plans and applies the actions,
    /// `steps` times.
    pub fn run(&mut self, steps: usize) {
        self.run_with(steps, |_, rate| rate);
    }

    pub fn run_with(&mut self, steps: usize, mut distort: impl FnMut(&BackEndId, f64) -> f64) {
        for _ in 0..steps {
            self.now = self.now + STEP;
            self.complete_moves();
            self.report(&mut distort);
            self.plan(NO_LIMIT);
        }
    }

    pub fn plan(&mut self, max_actions: usize) -> Vec<Action> {
        let actions = self.planner.plan(self.now, max_actions);
        self.actions.extend(actions.iter().cloned());
        for action in &actions {
            self.apply(action);
        }
        actions
    }

    pub fn report(&mut self, distort: &mut impl FnMut(&BackEndId, f64) -> f64) {
        let mut rates: BTreeMap<BackEndId, Vec<SliceRate>> = self
            .sessions
            .keys()
            .map(|id| (id.clone(), Vec::new()))
            .collect();
        for (service, traffic) in &self.traffic {
            for record in self.slices[service].values() {
                let Some(owner) = owner_of(record) else {
                    continue;
                };
                let per_second = distort(owner, traffic.of(record.slice));
                let rate = SliceRate {
                    service: service.clone(),
                    slice: record.slice,
                    per_second,
                    hottest: traffic.hottest(record.slice),
                };
                if per_second > 0.0 || per_second.is_nan() {
                    rates.entry(owner.clone()).or_default().push(rate);
                }
            }
        }
        let reports = rates.into_iter().map(|(id, slice_rates)| {
            let report = LoadReport {
                slice_rates,
                ..LoadReport::default()
            };
            (id, report)
        });
        self.delayed_reports.push_back(reports.collect());
        while self.delayed_reports.len() > self.report_delay {
            for (id, report) in self.delayed_reports.pop_front().unwrap_or_default() {
                if self.unreporting.contains(&id) {
                    continue;
                }
                self.planner.observe_load(self.now, &id, &report);
            }
        }
    }

    pub fn complete_moves(&mut self) {
        let moving: Vec<SliceRecord> = self
            .records()
            .filter(|record| record.next.is_some())
            .cloned()
            .collect();
        for record in moving {
            let session = record
                .next
                .as_ref()
                .and_then(|next| self.sessions.get(next));
            let Some(session) = session else { continue };
            let owner = session.id.clone();
            self.set_owner(record, owner);
        }
    }

    fn set_owner(&mut self, record: SliceRecord, owner: SessionId) {
        *self.churn.entry(record.service.clone()).or_default() += record.slice.share();
        self.index += 1;
        let epoch = Epoch(Revision::new(Generation(1), self.index));
        self.put_slice(SliceRecord {
            owner: Some(owner),
            epoch,
            next: None,
            ..record
        });
    }

    pub fn apply(&mut self, action: &Action) {
        let slice = action.slice();
        let record = self.slices[action.service()][&slice.first].clone();
        assert_eq!(record.slice, slice, "the planner sees the bounds that are");
        match action {
            Action::Assign { to, .. } => {
                assert_eq!(record.owner, None, "only unowned slices are assigned");
                assert!(!self.sessions[&to.back_end].draining);
                assert_eq!(self.sessions[&to.back_end].id, *to);
                assert_eq!(to.back_end.namespace, record.service.namespace);
                self.set_owner(record, to.clone());
            }
            Action::BeginMove { to, .. } => {
                assert!(record.owner.is_some() && record.next.is_none());
                assert!(!self.sessions[to].draining);
                assert_eq!(to.namespace, record.service.namespace);
                assert_ne!(owner_of(&record), Some(to));
                let next = Some(to.clone());
                self.put_slice(SliceRecord { next, ..record });
            }
            Action::CancelMove { .. } => {
                assert!(record.next.is_some());
                self.put_slice(SliceRecord {
                    next: None,
                    ..record
                });
            }
            Action::Split { at, .. } => {
                let (low, high) = slice.split_at(*at).expect("the point divides the slice");
                let lower = SliceRecord {
                    slice: low,
                    ..record.clone()
                };
                self.put_slice(lower);
                self.put_slice(SliceRecord {
                    slice: high,
                    ..record
                });
            }
            Action::Merge { second, .. } => {
                let upper = self.slices[action.service()][&second.first].clone();
                assert_eq!(upper.owner, record.owner);
                assert_eq!(record.slice.last.0 + 1, second.first.0);
                self.remove_slice(&upper);
                let slice = Slice {
                    first: slice.first,
                    last: second.last,
                };
                self.put_slice(SliceRecord { slice, ..record });
            }
        }
    }

    fn remove_slice(&mut self, record: &SliceRecord) {
        if let Some(slices) = self.slices.get_mut(&record.service) {
            slices.remove(&record.slice.first);
        }
        self.observe(RecordChange::SliceRemoved(record.key()));
    }

    pub fn put_slice(&mut self, record: SliceRecord) {
        self.slices
            .entry(record.service.clone())
            .or_default()
            .insert(record.slice.first, record.clone());
        self.observe(RecordChange::Slice(record));
    }

    pub fn observe(&mut self, change: RecordChange) {
        self.planner.observe(&change);
        let configures = matches!(
            change,
            RecordChange::Service(_) | RecordChange::BackEnd(_) | RecordChange::BackEndRemoved(_)
        );
        if configures {
            self.configuration.push(change);
        }
    }

    /// Simulates a new leader, whose planner knows only the records.
    pub fn replace_planner(&mut self) {
        self.planner = Planner::new(PlannerSettings::default(), 8);
        let sessions = self.sessions.values().cloned().map(RecordChange::Session);
        let slices = self.records().cloned().map(RecordChange::Slice);
        let changes: Vec<RecordChange> = self
            .configuration
            .iter()
            .cloned()
            .chain(sessions)
            .chain(slices)
            .collect();
        for change in &changes {
            self.planner.observe(change);
        }
    }

    pub fn churn_of(&self, service: &ServiceId) -> f64 {
        self.churn.get(service).copied().unwrap_or_default()
    }

    /// Resets the churn and the actions counted so far.
    pub fn reset_churn(&mut self) {
        self.churn.clear();
        self.actions.clear();
    }
}

pub fn owner_of(record: &SliceRecord) -> Option<&BackEndId> {
    record.owner.as_ref().map(|session| &session.back_end)
}

pub fn gallery() -> ServiceId {
    ServiceId::new("hearts", "gallery")
}

pub fn back_end(number: u32) -> BackEndId {
    BackEndId::new("hearts", format!("gallery-{number:02}"))
}

/// Creates a model of one service with `count` equal back ends that own the
/// usual number of slices, are warm and have nothing left to plan.
pub fn warm_model(count: u32, policy: PlacementPolicy, traffic: Traffic) -> Model {
    let mut model = Model::new();
    for number in 0..count {
        model.back_end(&back_end(number), "gallery", 2);
        model.open(&back_end(number), 1);
    }
    model.service(&gallery(), policy.slices_per_back_end * count, policy);
    model.traffic.insert(gallery(), traffic);
    model.run(60);
    model.reset_churn();
    model
}
