//! State of one back end, and the rules by which it admits, executes and
//! abandons work. Every step is recorded under the lock that decides it.

use std::collections::BTreeSet;
use std::time::Duration;

use parking_lot::Mutex;
use threadledge_ownership::holder::{Holder, Permit};
use threadledge_types::session::{Grant, LeaseRequest, LeaseResponse, LoadReport, Refusal};
use threadledge_types::{Epoch, Incarnation, Point, ServiceId, SessionId, Timestamp};

use super::degradation::{Degradation, DegradationState};
use super::load_meter::LoadMeter;
use super::service_time::ServiceTimes;
use super::settings::BackEndSettings;
use super::slots::Slots;
use crate::clock;
use crate::history::{Event, Recorder, RequestId};

/// One stand-in back end.
pub struct BackEnd {
    /// Settings.
    pub settings: BackEndSettings,
    /// Execution slots.
    pub slots: Slots,
    session: SessionId,
    admission: Admission,
    started: Timestamp,
    recorder: Recorder,
    inner: Mutex<Inner>,
}

/// State protected by the lock.
struct Inner {
    holder: Holder,
    service_times: ServiceTimes,
    meter: LoadMeter,
    degradation: DegradationState,
    claimed_grants: BTreeSet<Grant>,
    lease_end: Option<Timestamp>,
    report: LoadReport,
    reported: Timestamp,
}

/// Condition under which a back end executes a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Admission {
    /// Requires a grant with the request's epoch and a valid lease.
    #[default]
    GrantRequired,
    /// Executes every request, as baselines require.
    Unchecked,
}

/// A request whose work has started.
#[derive(Debug)]
pub struct StartedWork {
    /// The work.
    pub work: Work,
    /// Service time of the work.
    pub service_time: Duration,
    /// Whether the degradation drops the request at the end of its work.
    pub will_be_dropped: bool,
}

/// An admitted request.
#[derive(Debug)]
pub struct Work {
    request: RequestId,
    service: ServiceId,
    point: Point,
    epoch: Epoch,
    /// `None` if requests are admitted without a grant.
    permit: Option<Permit>,
}

impl Inner {
    fn may_commit(&self, now: Timestamp, work: &Work) -> Result<(), Refusal> {
        match &work.permit {
            Some(permit) => self.holder.may_commit(now, permit),
            None => Ok(()),
        }
    }

    fn finish(&mut self, work: Work) {
        if let Some(permit) = work.permit {
            self.holder.finish(permit);
        }
    }
}

impl BackEnd {
    /// Creates a back end whose process just started.
    pub fn new(settings: BackEndSettings, incarnation: Incarnation, recorder: Recorder) -> Self {
        let service_times =
            ServiceTimes::new(settings.service_time, settings.cold_start, settings.seed);
        let now = clock::now();
        BackEnd {
            slots: Slots::new(settings.slots, settings.queue),
            session: SessionId {
                back_end: settings.id.clone(),
                incarnation,
            },
            admission: Admission::default(),
            started: now,
            recorder,
            inner: Mutex::new(Inner {
                holder: Holder::new(settings.id.clone(), incarnation),
                service_times,
                meter: LoadMeter::default(),
                degradation: DegradationState::default(),
                claimed_grants: BTreeSet::new(),
                lease_end: None,
                report: LoadReport::default(),
                reported: now,
            }),
            settings,
        }
    }

    /// Sets the condition under which requests are executed.
    pub fn with_admission(self, admission: Admission) -> Self {
        BackEnd { admission, ..self }
    }

    /// Returns the session: the id and incarnation of the back end.
    pub fn session(&self) -> &SessionId {
        &self.session
    }

    /// Handles a lease request and records the changes to the grants that the
    /// back end believes to hold.
    pub fn lease(&self, request: LeaseRequest) -> LeaseResponse {
        let mut inner = self.inner.lock();
        let now = clock::now();
        self.refresh_report(&mut inner, now);
        let report = inner.report.clone();
        inner.holder.set_load(report);
        let response = inner.holder.handle(now, request);
        self.record_claims(&mut inner, now, &response.releasing);
        response
    }

    /// Returns the grants of the slices to prepare for.
    pub fn grants_to_prepare(&self) -> Vec<Grant> {
        self.inner
            .lock()
            .holder
            .slices_to_prepare()
            .cloned()
            .collect()
    }

    /// Marks a slice as ready, which the next lease response reports.
    pub fn mark_ready(&self, grant: &Grant) {
        self.inner.lock().holder.mark_ready(grant);
    }

    /// Starts to drain.
    pub fn drain(&self) {
        let mut inner = self.inner.lock();
        inner.holder.begin_drain();
        self.recorder.record(Event::DrainBegan {
            at: clock::now(),
            session: self.session.clone(),
        });
    }

    /// Returns the condition under which requests are executed.
    pub fn admission(&self) -> Admission {
        self.admission
    }

    /// Sets or clears a degradation.
    pub fn set_degradation(&self, degradation: Degradation) {
        self.inner.lock().degradation.set(degradation);
    }

    /// Returns whether it is draining.
    pub fn draining(&self) -> bool {
        self.inner.lock().holder.is_draining()
    }

    /// Returns the load report of the load endpoint, which may be as old as
    /// the settings allow.
    pub fn load(&self) -> LoadReport {
        let mut inner = self.inner.lock();
        let now = clock::now();
        self.refresh_report(&mut inner, now);
        inner.report.clone()
    }

    /// Admits a request before it waits for a slot.
    ///
    /// # Errors
    ///
    /// Returns the refusal to send; nothing was executed.
    pub fn admit(
        &self,
        request: RequestId,
        service: &ServiceId,
        point: Point,
        epoch: Epoch,
    ) -> Result<Work, Refusal> {
        let mut inner = self.inner.lock();
        let now = clock::now();
        inner.meter.count(now, service, point);
        let permit = match self.admission {
            Admission::GrantRequired => Some(inner.holder.admit(now, service, point, epoch)?),
            Admission::Unchecked => None,
        };
        Ok(Work {
            request,
            service: service.clone(),
            point,
            epoch,
            permit,
        })
    }

    /// Starts the work of an admitted request that has a slot, and draws its
    /// service time. On refusal the work is finished.
    ///
    /// # Errors
    ///
    /// Returns the refusal to send; nothing was executed.
    pub fn begin(&self, work: Work) -> Result<StartedWork, Refusal> {
        let mut inner = self.inner.lock();
        let now = clock::now();
        if let Err(refusal) = inner.may_commit(now, &work) {
            inner.finish(work);
            return Err(refusal);
        }
        self.recorder.record(Event::ExecutionBegan {
            at: now,
            session: self.session.clone(),
            request: work.request,
            service: work.service.clone(),
            point: work.point,
            epoch: work.epoch,
        });
        let service_time = inner.service_times.next(now.since(self.started));
        Ok(StartedWork {
            work,
            service_time: inner.degradation.slow_down(service_time),
            will_be_dropped: inner.degradation.drop_next(),
        })
    }

    /// Commits the work if the back end still owns the key.
    ///
    /// # Errors
    ///
    /// Returns the refusal to send; the work had no effect.
    pub fn commit(&self, work: Work) -> Result<(), Refusal> {
        let mut inner = self.inner.lock();
        let now = clock::now();
        let allowed = inner.may_commit(now, &work);
        self.record_end(now, work.request, allowed.is_ok());
        inner.finish(work);
        allowed
    }

    /// Abandons started work without effect.
    pub fn abandon(&self, work: Work) {
        let mut inner = self.inner.lock();
        self.record_end(clock::now(), work.request, false);
        inner.finish(work);
    }

    /// Cancels an admitted request whose work never started.
    pub fn cancel(&self, work: Work) {
        self.inner.lock().finish(work);
    }

    fn record_end(&self, at: Timestamp, request: RequestId, completed: bool) {
        self.recorder.record(Event::ExecutionEnded {
            at,
            session: self.session.clone(),
            request,
            completed,
        });
    }

    /// Records the changes of the lease and of the believed grants. Revoked
    /// grants count as believed while the lease response reports that requests
    /// under them are still in flight.
    fn record_claims(&self, inner: &mut Inner, now: Timestamp, releasing: &[Grant]) {
        let mut claimed_grants: BTreeSet<Grant> = inner.holder.held_grants().into_iter().collect();
        claimed_grants.extend(releasing.iter().cloned());
        let lease_end = inner.holder.lease_end();
        if let Some(until) = lease_end.filter(|_| lease_end != inner.lease_end) {
            self.recorder.record(Event::LeaseExtended {
                at: now,
                session: self.session.clone(),
                until,
            });
        }
        for grant in inner.claimed_grants.difference(&claimed_grants) {
            self.recorder.record(Event::GrantReleased {
                at: now,
                session: self.session.clone(),
                grant: grant.clone(),
            });
        }
        for grant in claimed_grants.difference(&inner.claimed_grants) {
            self.recorder.record(Event::GrantTaken {
                at: now,
                session: self.session.clone(),
                grant: grant.clone(),
            });
        }
        inner.claimed_grants = claimed_grants;
        inner.lease_end = lease_end;
    }

    /// Rebuilds the load report if it is older than the settings allow.
    fn refresh_report(&self, inner: &mut Inner, now: Timestamp) {
        if now.since(inner.reported) < self.settings.report_lag() {
            return;
        }
        let held = inner.holder.held_grants();
        inner.report = LoadReport {
            running: self.slots.running(),
            queued: self.slots.waiting(),
            slice_rates: inner.meter.rates(now, &held),
        };
        inner.reported = now;
    }
}
