//! Model of a back end that owns keys: the reference holder with its own clock,
//! preparation time and load.

use std::net::SocketAddr;
use std::time::Duration;

use threadledge_ownership::Holder;
use threadledge_types::records::SliceRecord;
use threadledge_types::session::{
    Grant, HotPoint, LeaseRequest, LeaseResponse, LoadReport, SliceRate,
};
use threadledge_types::{BackEndId, Epoch, Incarnation, Point, ServiceId, Timestamp};

use crate::clock::ModelClock;
use crate::network::Place;

/// Request rates that the back ends of a world report.
#[derive(Clone, Debug, Default)]
pub struct RequestRates {
    /// Requests per second to each service, spread evenly over its keys.
    pub base: Vec<(ServiceId, f64)>,
    /// Hot keys, each with its requests per second.
    pub hot: Vec<(ServiceId, Point, f64)>,
}

/// A back end: its machine, and its process while one runs.
#[derive(Debug)]
pub struct BackEndModel {
    /// Id of the back end.
    pub id: BackEndId,
    /// Region and zone of its machine.
    pub place: Place,
    /// Address at which it takes lease requests.
    pub control_address: SocketAddr,
    /// Its process, if one runs.
    pub process: Option<Process>,
    next_incarnation: u64,
}

/// One incarnation of a back end.
#[derive(Debug)]
pub struct Process {
    /// The reference holder.
    pub holder: Holder,
    clock: ModelClock,
    /// A frozen process neither receives nor does anything.
    pub frozen: bool,
    /// Requests that arrived while the process was frozen.
    pub deferred_events: Vec<crate::event::Event>,
}

impl BackEndModel {
    /// Creates a back end without a process.
    pub fn new(id: BackEndId, place: Place, control_address: SocketAddr) -> Self {
        BackEndModel {
            id,
            place,
            control_address,
            process: None,
            next_incarnation: 1,
        }
    }

    /// Starts a process, replacing any earlier one.
    pub fn start(&mut self, clock: ModelClock) {
        let incarnation = Incarnation(self.next_incarnation);
        self.next_incarnation += 1;
        self.process = Some(Process {
            holder: Holder::new(self.id.clone(), incarnation),
            clock,
            frozen: false,
            deferred_events: Vec::new(),
        });
    }

    /// Returns whether a process runs and is not frozen.
    pub fn is_running(&self) -> bool {
        self.process.as_ref().is_some_and(|process| !process.frozen)
    }

    /// Returns whether the back end would serve a request for the first point
    /// of the slice now, under the epoch that a router assumes.
    pub fn would_serve(&self, now: Timestamp, slice: &SliceRecord, epoch: Epoch) -> bool {
        let Some(process) = self.process.as_ref().filter(|process| !process.frozen) else {
            return false;
        };
        process.holds(now, &slice.service, slice.slice.first, Some(epoch))
    }
}

impl Process {
    /// Reads the process's own clock.
    pub fn local_time(&self, now: Timestamp) -> Timestamp {
        self.clock.read(now)
    }

    /// Handles a lease request.
    pub fn handle(
        &mut self,
        now: Timestamp,
        request: LeaseRequest,
        request_rates: &RequestRates,
    ) -> LeaseResponse {
        let local = self.local_time(now);
        let load = load_report(&self.holder.held_grants(), request_rates);
        self.holder.set_load(load);
        self.holder.handle(local, request)
    }

    /// Returns whether the process considers itself the owner of the point now;
    /// with `epoch`, under exactly that epoch.
    pub fn holds(
        &self,
        now: Timestamp,
        service: &ServiceId,
        point: Point,
        epoch: Option<Epoch>,
    ) -> bool {
        if !self.holder.has_valid_lease(self.local_time(now)) {
            return false;
        }
        let held = self.holder.held_epoch(service, point);
        held.is_some_and(|held| epoch.is_none_or(|epoch| epoch == held))
    }

    /// Returns the grants that the process may act on now.
    pub fn valid_grants(&self, now: Timestamp) -> Vec<Grant> {
        if self.holder.has_valid_lease(self.local_time(now)) {
            self.holder.held_grants()
        } else {
            Vec::new()
        }
    }
}

/// Time that a simulated back end needs to prepare a slice.
pub const PREPARATION_TIME: Duration = Duration::from_millis(30);

fn load_report(grants: &[Grant], request_rates: &RequestRates) -> LoadReport {
    let mut rates = Vec::new();
    for grant in grants {
        let base = request_rates
            .base
            .iter()
            .find(|(id, _)| *id == grant.service);
        let mut per_second = base.map_or(0.0, |(_, rate)| rate * grant.slice.share());
        let mut hottest: Option<HotPoint> = None;
        for (service, point, rate) in &request_rates.hot {
            if *service != grant.service || !grant.slice.contains(*point) {
                continue;
            }
            per_second += rate;
            if hottest.as_ref().is_none_or(|hot| hot.per_second < *rate) {
                hottest = Some(HotPoint {
                    point: *point,
                    per_second: *rate,
                });
            }
        }
        if per_second > 0.0 {
            rates.push(SliceRate {
                service: grant.service.clone(),
                slice: grant.slice,
                per_second,
                hottest,
            });
        }
    }
    LoadReport {
        running: 0,
        queued: 0,
        slice_rates: rates,
    }
}
