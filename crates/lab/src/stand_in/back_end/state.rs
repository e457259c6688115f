//! What one back end knows, and the rules by which it admits, carries out and
//! abandons work. Every step is recorded under the lock that decides it.

use std::collections::BTreeSet;
use std::time::Duration;

use parking_lot::Mutex;
use threadledge_ownership::holder::{Holder, Permit};
use threadledge_types::session::{Grant, LeaseRequest, LeaseResponse, LoadReport, Refusal};
use threadledge_types::{Epoch, Incarnation, Point, ServiceId, SessionId, Timestamp};

use super::load_meter::LoadMeter;
use super::service_time::ServiceTimes;
use super::settings::BackEndSettings;
use super::sickness::{Ailing, Sickness};
use super::slots::Slots;
use crate::clock;
use crate::history::{Event, Recorder, RequestId};

/// One stand-in back end.
pub struct BackEnd {
    /// Its settings.
    pub settings: BackEndSettings,
    /// Its slots.
    pub slots: Slots,
    session: SessionId,
    admission: Admission,
    started: Timestamp,
    recorder: Recorder,
    inner: Mutex<Inner>,
}

struct Inner {
    holder: Holder,
    service_times: ServiceTimes,
    meter: LoadMeter,
    ailing: Ailing,
    believed: BTreeSet<Grant>,
    lease_end: Option<Timestamp>,
    report: LoadReport,
    reported: Timestamp,
}

/// What a back end asks for before it carries out a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Admission {
    /// A grant with the request's epoch and a lease that holds.
    #[default]
    ByGrant,
    /// Nothing: whatever comes is carried out, as baselines need it.
    Anything,
}

/// One request whose work has begun.
#[derive(Debug)]
pub struct Begun {
    /// The work.
    pub work: Work,
    /// How long it takes.
    pub takes: Duration,
    /// Whether it is dropped at its end, by sickness.
    pub is_dropped: bool,
}

/// One admitted request.
#[derive(Debug)]
pub struct Work {
    request: RequestId,
    service: ServiceId,
    point: Point,
    epoch: Epoch,
    /// `None` when nothing was asked for.
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
    /// A back end whose process just started.
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
                ailing: Ailing::default(),
                believed: BTreeSet::new(),
                lease_end: None,
                report: LoadReport::default(),
                reported: now,
            }),
            settings,
        }
    }

    /// The same with another rule of admission.
    pub fn admitting(self, admission: Admission) -> Self {
        BackEnd { admission, ..self }
    }

    /// This life of the back end.
    pub fn session(&self) -> &SessionId {
        &self.session
    }

    /// Takes a lease request and records what it changed in what the back end
    /// believes to own.
    pub fn lease(&self, request: LeaseRequest) -> LeaseResponse {
        let mut inner = self.inner.lock();
        let now = clock::now();
        self.refresh_report(&mut inner, now);
        let report = inner.report.clone();
        inner.holder.set_load(report);
        let response = inner.holder.handle(now, request);
        self.record_belief(&mut inner, now, &response.releasing);
        response
    }

    /// Slices to make ready for.
    pub fn preparing(&self) -> Vec<Grant> {
        self.inner
            .lock()
            .holder
            .slices_to_prepare()
            .cloned()
            .collect()
    }

    /// Tells the leader, by the next answer, that a slice is ready.
    pub fn mark_ready(&self, grant: &Grant) {
        self.inner.lock().holder.mark_ready(grant);
    }

    /// Begins to leave.
    pub fn drain(&self) {
        let mut inner = self.inner.lock();
        inner.holder.begin_drain();
        self.recorder.record(Event::DrainBegan {
            at: clock::now(),
            session: self.session.clone(),
        });
    }

    /// What it asks for before it carries out a request.
    pub fn admission(&self) -> Admission {
        self.admission
    }

    /// Falls sick, or recovers.
    pub fn set_sickness(&self, sickness: Sickness) {
        self.inner.lock().ailing.set(sickness);
    }

    /// Whether it is leaving.
    pub fn draining(&self) -> bool {
        self.inner.lock().holder.is_draining()
    }

    /// Load as the load endpoint tells it: as old as the settings allow.
    pub fn load(&self) -> LoadReport {
        let mut inner = self.inner.lock();
        let now = clock::now();
        self.refresh_report(&mut inner, now);
        inner.report.clone()
    }

    /// Admits a request, before it waits for a slot.
    ///
    /// # Errors
    ///
    /// The refusal to send; nothing ran.
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
            Admission::ByGrant => Some(inner.holder.admit(now, service, point, epoch)?),
            Admission::Anything => None,
        };
        Ok(Work {
            request,
            service: service.clone(),
            point,
            epoch,
            permit,
        })
    }

    /// Begins the work of an admitted request that has a slot, and draws how
    /// long it takes. On refusal the work is over.
    ///
    /// # Errors
    ///
    /// The refusal to send; nothing ran.
    pub fn begin(&self, work: Work) -> Result<Begun, Refusal> {
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
        let takes = inner.service_times.next(now.since(self.started));
        Ok(Begun {
            work,
            takes: inner.ailing.slowed(takes),
            is_dropped: inner.ailing.next_is_dropped(),
        })
    }

    /// Lets the work take effect, if the back end still owns the key.
    ///
    /// # Errors
    ///
    /// The refusal to send; the work had no effect.
    pub fn take_effect(&self, work: Work) -> Result<(), Refusal> {
        let mut inner = self.inner.lock();
        let now = clock::now();
        let allowed = inner.may_commit(now, &work);
        self.record_end(now, work.request, allowed.is_ok());
        inner.finish(work);
        allowed
    }

    /// Abandons work that had begun, without effect.
    pub fn abandon(&self, work: Work) {
        let mut inner = self.inner.lock();
        self.record_end(clock::now(), work.request, false);
        inner.finish(work);
    }

    /// Gives up a request that was admitted and never began.
    pub fn give_up(&self, work: Work) {
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

    /// Grants that were taken away count as believed while the leader was
    /// told that they still have requests running.
    fn record_belief(&self, inner: &mut Inner, now: Timestamp, releasing: &[Grant]) {
        let mut believed: BTreeSet<Grant> = inner.holder.held_grants().into_iter().collect();
        believed.extend(releasing.iter().cloned());
        let lease_end = inner.holder.lease_end();
        if let Some(until) = lease_end.filter(|_| lease_end != inner.lease_end) {
            self.recorder.record(Event::LeaseExtended {
                at: now,
                session: self.session.clone(),
                until,
            });
        }
        for grant in inner.believed.difference(&believed) {
            self.recorder.record(Event::GrantReleased {
                at: now,
                session: self.session.clone(),
                grant: grant.clone(),
            });
        }
        for grant in believed.difference(&inner.believed) {
            self.recorder.record(Event::GrantTaken {
                at: now,
                session: self.session.clone(),
                grant: grant.clone(),
            });
        }
        inner.believed = believed;
        inner.lease_end = lease_end;
    }

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
