//! A model of a server that owns keys: the reference holder with a clock of
//! its own, warm-up and load.

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

/// Rates of requests, as the world's callers make them.
#[derive(Clone, Debug, Default)]
pub struct Traffic {
    /// Requests a second to each service, spread evenly over its keys.
    pub base: Vec<(ServiceId, f64)>,
    /// Keys that stand out, with their requests a second.
    pub hot: Vec<(ServiceId, Point, f64)>,
}

/// One server.
#[derive(Debug)]
pub struct BackEndModel {
    /// Which back end.
    pub id: BackEndId,
    /// Where it stands.
    pub place: Place,
    /// Its control address.
    pub control_address: SocketAddr,
    /// Its process, if it runs.
    pub process: Option<Process>,
    next_incarnation: u64,
}

/// One life of a server.
#[derive(Debug)]
pub struct Process {
    /// The reference holder.
    pub holder: Holder,
    clock: ModelClock,
    /// Frozen: neither sees nor does anything.
    pub frozen: bool,
    /// Requests that came in while it was frozen.
    pub held_back: Vec<crate::event::Event>,
}

impl BackEndModel {
    /// A server that does not run yet.
    pub fn new(id: BackEndId, place: Place, control_address: SocketAddr) -> Self {
        BackEndModel {
            id,
            place,
            control_address,
            process: None,
            next_incarnation: 1,
        }
    }

    /// Starts a process, in place of any other.
    pub fn start(&mut self, clock: ModelClock) {
        let incarnation = Incarnation(self.next_incarnation);
        self.next_incarnation += 1;
        self.process = Some(Process {
            holder: Holder::new(self.id.clone(), incarnation),
            clock,
            frozen: false,
            held_back: Vec::new(),
        });
    }

    /// Whether a process runs and is not frozen.
    pub fn is_running(&self) -> bool {
        self.process.as_ref().is_some_and(|process| !process.frozen)
    }

    /// Whether the server would carry out a request for the point now, under
    /// the epoch that a router believes in.
    pub fn would_serve(&self, now: Timestamp, slice: &SliceRecord, epoch: Epoch) -> bool {
        let Some(process) = self.process.as_ref().filter(|process| !process.frozen) else {
            return false;
        };
        process.holds(now, &slice.service, slice.slice.first, Some(epoch))
    }
}

impl Process {
    /// The process's own clock.
    pub fn local(&self, now: Timestamp) -> Timestamp {
        self.clock.read(now)
    }

    /// Takes a lease request.
    pub fn handle(
        &mut self,
        now: Timestamp,
        request: LeaseRequest,
        traffic: &Traffic,
    ) -> LeaseResponse {
        let local = self.local(now);
        let load = report(&self.holder.held_grants(), traffic);
        self.holder.set_load(load);
        self.holder.handle(local, request)
    }

    /// Whether the process believes that it owns the point now; with `epoch`,
    /// under exactly that epoch.
    pub fn holds(
        &self,
        now: Timestamp,
        service: &ServiceId,
        point: Point,
        epoch: Option<Epoch>,
    ) -> bool {
        if !self.holder.has_valid_lease(self.local(now)) {
            return false;
        }
        let held = self.holder.held_epoch(service, point);
        held.is_some_and(|held| epoch.is_none_or(|epoch| epoch == held))
    }

    /// Grants that the process may act on now.
    pub fn valid_grants(&self, now: Timestamp) -> Vec<Grant> {
        if self.holder.has_valid_lease(self.local(now)) {
            self.holder.held_grants()
        } else {
            Vec::new()
        }
    }
}

/// Time a model server needs to make itself ready for a slice.
pub const PREPARATION: Duration = Duration::from_millis(30);

fn report(grants: &[Grant], traffic: &Traffic) -> LoadReport {
    let mut rates = Vec::new();
    for grant in grants {
        let base = traffic.base.iter().find(|(id, _)| *id == grant.service);
        let mut per_second = base.map_or(0.0, |(_, rate)| rate * grant.slice.share());
        let mut hottest: Option<HotPoint> = None;
        for (service, point, rate) in &traffic.hot {
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
