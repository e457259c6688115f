//! The back end's side of sessions: what it may serve, and until when.
//!
//! The reference implementation for servers. A server asks [`Holder::admit`]
//! when a request arrives and [`Holder::may_commit`] at the moment it carries
//! the request out.

mod holdings;
mod permits;

use std::collections::BTreeSet;

use threadledge_types::session::{
    Grant, GrantsUpdate, GrantsVersion, LeaseRequest, LeaseResponse, LeaseSequence, LoadReport,
    Refusal,
};
use threadledge_types::{BackEndId, Epoch, GroupId, Incarnation, Point, ServiceId, Timestamp};

use holdings::Holdings;
pub use permits::Permit;
use permits::Permits;

/// The state of one back end process towards one group.
///
/// `now` is always the process's own monotonic clock.
#[derive(Clone, Debug)]
pub struct Holder {
    back_end: BackEndId,
    incarnation: Incarnation,
    /// Group of the first request taken.
    group: Option<GroupId>,
    highest: LeaseSequence,
    version: Option<GrantsVersion>,
    holdings: Holdings,
    permits: Permits,
    lease_end: Option<Timestamp>,
    preparing: BTreeSet<Grant>,
    ready: BTreeSet<Grant>,
    draining: bool,
    load: LoadReport,
}

impl Holder {
    /// A process that just started: it holds nothing. `incarnation` must be
    /// larger than that of every earlier process of the same back end.
    pub fn new(back_end: BackEndId, incarnation: Incarnation) -> Self {
        Holder {
            back_end,
            incarnation,
            group: None,
            highest: LeaseSequence::default(),
            version: None,
            holdings: Holdings::default(),
            permits: Permits::default(),
            lease_end: None,
            preparing: BTreeSet::new(),
            ready: BTreeSet::new(),
            draining: false,
            load: LoadReport::default(),
        }
    }

    /// Life of this process.
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Whether the lease holds at `now`.
    pub fn has_valid_lease(&self, now: Timestamp) -> bool {
        self.lease_end.is_some_and(|end| now < end)
    }

    /// When the lease ends, if there ever was one.
    pub fn lease_end(&self) -> Option<Timestamp> {
        self.lease_end
    }

    /// Every grant held, whether or not the lease holds.
    pub fn held_grants(&self) -> Vec<Grant> {
        self.holdings.all()
    }

    /// Epoch under which the slice of a key is held, whether or not the lease
    /// holds.
    pub fn held_epoch(&self, service: &ServiceId, point: Point) -> Option<Epoch> {
        let grant = self.holdings.covering(service, point)?;
        Some(grant.epoch)
    }

    /// Slices that the leader asks to make ready for.
    pub fn slices_to_prepare(&self) -> impl Iterator<Item = &Grant> {
        self.preparing.iter()
    }

    /// Tells that the process is ready to own a slice it was asked to prepare.
    /// Returns whether it was asked.
    pub fn mark_ready(&mut self, grant: &Grant) -> bool {
        let asked = self.preparing.contains(grant);
        if asked {
            self.ready.insert(grant.clone());
        }
        asked
    }

    /// Announces that the process is leaving. It serves what it holds until
    /// its grants are taken away.
    pub fn begin_drain(&mut self) {
        self.draining = true;
    }

    /// Whether the process is leaving.
    pub fn is_draining(&self) -> bool {
        self.draining
    }

    /// Sets the load that the next responses report.
    pub fn set_load(&mut self, load: LoadReport) {
        self.load = load;
    }

    /// Takes a request of a leader and answers it.
    pub fn handle(&mut self, now: Timestamp, request: LeaseRequest) -> LeaseResponse {
        self.note_lapse(now);
        let inquiry = request.grants == GrantsUpdate::Inquire;
        let taken = self.takes(&request, inquiry);
        if taken {
            self.group = Some(request.group);
            self.highest = request.order;
        }
        if taken && !inquiry {
            self.carry_out(now, &request);
        }
        LeaseResponse {
            back_end: self.back_end.clone(),
            incarnation: self.incarnation,
            order: request.order,
            taken,
            highest: self.highest,
            holder_time: now,
            version: self.version,
            releasing: self.permits.releasing(now),
            ready: self.ready.iter().cloned().collect(),
            held: inquiry.then(|| self.holdings.all()),
            draining: self.draining,
            load: self.load.clone(),
        }
    }

    /// One owner: a request that was overtaken by a later one, of the same
    /// leader or of another, and one meant for another life of the process,
    /// change nothing, however late they arrive.
    fn takes(&self, request: &LeaseRequest, inquiry: bool) -> bool {
        let same_group = self.group.is_none_or(|group| group == request.group);
        let meant = match request.incarnation {
            Some(incarnation) => incarnation == self.incarnation,
            None => inquiry,
        };
        let meant = meant && request.back_end == self.back_end;
        same_group && meant && request.order > self.highest
    }

    fn carry_out(&mut self, now: Timestamp, request: &LeaseRequest) {
        let lapsed = !self.has_valid_lease(now);
        if !self.update(&request.grants) {
            // The leader's idea of the grants is not what is held: a lease on
            // it would mean nothing. The answer tells the version held.
            return;
        }
        self.permits.refresh(&self.holdings, lapsed);
        self.preparing = request.prepare.iter().cloned().collect();
        let preparing = &self.preparing;
        self.ready.retain(|grant| preparing.contains(grant));
        self.renew(now, request);
    }

    /// Takes over the grants. Returns whether the holder now is at the
    /// version that the leader states.
    fn update(&mut self, update: &GrantsUpdate) -> bool {
        match update {
            GrantsUpdate::Full { version, grants } => {
                self.holdings = Holdings::default();
                for grant in grants {
                    self.holdings.add(grant.clone());
                }
                self.version = Some(*version);
                true
            }
            GrantsUpdate::Delta {
                base,
                version,
                add,
                remove,
            } => {
                if self.version != Some(*base) {
                    return false;
                }
                for grant in remove {
                    self.holdings.remove(grant);
                }
                for grant in add {
                    self.holdings.add(grant.clone());
                }
                self.version = Some(*version);
                true
            }
            GrantsUpdate::Unchanged { version } => self.version == Some(*version),
            GrantsUpdate::Inquire => false,
        }
    }

    /// One owner: the lease runs from a reading of the own clock that the
    /// leader had received before it sent the request, so no delay lengthens
    /// it. A lapsed lease comes back only here, together with the leader's
    /// word on what is held now.
    fn renew(&mut self, now: Timestamp, request: &LeaseRequest) {
        let Some(echo) = request.echo.filter(|echo| *echo <= now) else {
            return;
        };
        let end = echo + std::time::Duration::from_millis(request.lease_ms);
        self.lease_end = self.lease_end.max(Some(end));
    }

    /// Work under grants that were taken away may end only while the lease
    /// lasts; once it lapsed, somebody else may own the slice.
    fn note_lapse(&mut self, now: Timestamp) {
        if !self.has_valid_lease(now) {
            self.permits.void_releasing();
        }
    }

    /// Admits a request for a key.
    ///
    /// # Errors
    ///
    /// [`Refusal::WrongOwner`] unless the slice is held under exactly this
    /// epoch, [`Refusal::LeaseLapsed`] if the lease has run out.
    pub fn admit(
        &mut self,
        now: Timestamp,
        service: &ServiceId,
        point: Point,
        epoch: Epoch,
    ) -> Result<Permit, Refusal> {
        self.admit_with_deadline(now, service, point, epoch, None)
    }

    /// Admits a request that may have no effect from `deadline` on. A slice
    /// that is taken away is released no later than the last such deadline,
    /// even if the work hangs; without one it waits for the work to finish.
    ///
    /// # Errors
    ///
    /// As [`Holder::admit`], and [`Refusal::DeadlinePassed`].
    pub fn admit_with_deadline(
        &mut self,
        now: Timestamp,
        service: &ServiceId,
        point: Point,
        epoch: Epoch,
        deadline: Option<Timestamp>,
    ) -> Result<Permit, Refusal> {
        self.note_lapse(now);
        let grant = self.holdings.covering(service, point);
        let grant = grant.filter(|grant| grant.epoch == epoch);
        let grant = grant.ok_or(Refusal::WrongOwner)?.clone();
        if !self.has_valid_lease(now) {
            return Err(Refusal::LeaseLapsed);
        }
        if deadline.is_some_and(|deadline| deadline <= now) {
            return Err(Refusal::DeadlinePassed);
        }
        Ok(self.permits.issue(grant, point, deadline))
    }

    /// Whether the admitted work may be carried out at this moment. To be
    /// asked right before its effect, however long it waited or ran before.
    ///
    /// # Errors
    ///
    /// [`Refusal::LeaseLapsed`], [`Refusal::WrongOwner`] or
    /// [`Refusal::DeadlinePassed`]; the work must then have no effect.
    pub fn may_commit(&self, now: Timestamp, permit: &Permit) -> Result<(), Refusal> {
        if !self.has_valid_lease(now) {
            return Err(Refusal::LeaseLapsed);
        }
        self.permits.check(now, permit)
    }

    /// The admitted work ended, with or without effect.
    pub fn finish(&mut self, permit: Permit) {
        self.permits.finish(permit);
    }

    /// Number of admitted requests that have not finished.
    pub fn in_flight(&self) -> usize {
        self.permits.running()
    }
}
