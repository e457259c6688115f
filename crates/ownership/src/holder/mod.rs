//! The back end's side of sessions: the grants and the lease under which it
//! serves.
//!
//! This is the reference implementation for servers. A server calls
//! [`Holder::admit`] when a request arrives and [`Holder::may_commit`] at the
//! moment the request takes effect.

mod held_grants;
mod permits;

use std::collections::BTreeSet;

use threadledge_types::session::{
    Grant, GrantsUpdate, GrantsVersion, LeaseRequest, LeaseResponse, LeaseSequence, LoadReport,
    Refusal,
};
use threadledge_types::{BackEndId, Epoch, GroupId, Incarnation, Point, ServiceId, Timestamp};

use held_grants::HeldGrants;
pub use permits::Permit;
use permits::Permits;

/// State of one back-end process towards one group.
///
/// `now` is always read from the process's own monotonic clock.
#[derive(Clone, Debug)]
pub struct Holder {
    back_end: BackEndId,
    incarnation: Incarnation,
    /// Group of the first accepted request. Other groups are refused.
    group: Option<GroupId>,
    /// Sequence of the last accepted request, the highest so far.
    highest: LeaseSequence,
    /// Version of the grants held, as the leader numbers it.
    version: Option<GrantsVersion>,
    held: HeldGrants,
    permits: Permits,
    lease_end: Option<Timestamp>,
    /// Slices that the leader asked to prepare for.
    preparing: BTreeSet<Grant>,
    /// Of these, the slices that the process is ready to own.
    ready: BTreeSet<Grant>,
    draining: bool,
    load: LoadReport,
}

impl Holder {
    /// Creates the holder of a process that just started and holds nothing.
    /// `incarnation` must be larger than that of every earlier process of the
    /// same back end.
    pub fn new(back_end: BackEndId, incarnation: Incarnation) -> Self {
        Holder {
            back_end,
            incarnation,
            group: None,
            highest: LeaseSequence::default(),
            version: None,
            held: HeldGrants::default(),
            permits: Permits::default(),
            lease_end: None,
            preparing: BTreeSet::new(),
            ready: BTreeSet::new(),
            draining: false,
            load: LoadReport::default(),
        }
    }

    /// Returns the incarnation of this process.
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Returns whether the lease is valid at `now`.
    pub fn has_valid_lease(&self, now: Timestamp) -> bool {
        self.lease_end.is_some_and(|end| now < end)
    }

    /// Returns when the lease ends, if there ever was one.
    pub fn lease_end(&self) -> Option<Timestamp> {
        self.lease_end
    }

    /// Returns every grant held, whether or not the lease is valid.
    pub fn held_grants(&self) -> Vec<Grant> {
        self.held.all()
    }

    /// Returns the epoch under which the slice of a key is held, whether or not
    /// the lease is valid.
    pub fn held_epoch(&self, service: &ServiceId, point: Point) -> Option<Epoch> {
        let grant = self.held.covering(service, point)?;
        Some(grant.epoch)
    }

    /// Returns the slices that the leader asked this process to prepare for.
    pub fn slices_to_prepare(&self) -> impl Iterator<Item = &Grant> {
        self.preparing.iter()
    }

    /// Records that the process is ready to own a slice it was asked to
    /// prepare. Returns whether it was asked.
    pub fn mark_ready(&mut self, grant: &Grant) -> bool {
        let asked = self.preparing.contains(grant);
        if asked {
            self.ready.insert(grant.clone());
        }
        asked
    }

    /// Starts draining: announces that the process is shutting down. It serves
    /// what it holds until its grants are taken away.
    pub fn begin_drain(&mut self) {
        self.draining = true;
    }

    /// Returns whether the process is draining.
    pub fn is_draining(&self) -> bool {
        self.draining
    }

    /// Sets the load that the next responses report.
    pub fn set_load(&mut self, load: LoadReport) {
        self.load = load;
    }

    /// Processes a lease request and returns the response to it.
    pub fn handle(&mut self, now: Timestamp, request: LeaseRequest) -> LeaseResponse {
        self.revoke_if_lease_expired(now);
        let inquiry = request.grants == GrantsUpdate::Inquire;
        let taken = self.accepts(&request, inquiry);
        if taken {
            self.group = Some(request.group);
            self.highest = request.order;
        }
        if taken && !inquiry {
            self.apply_request(now, &request);
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
            held: inquiry.then(|| self.held.all()),
            draining: self.draining,
            load: self.load.clone(),
        }
    }

    /// Returns whether the request is accepted.
    ///
    /// Exclusive ownership: a request that arrives after a later one, of the
    /// same or another leader, is refused, and so is one meant for another
    /// incarnation of the process, however late it arrives.
    fn accepts(&self, request: &LeaseRequest, inquiry: bool) -> bool {
        let same_group = self.group.is_none_or(|group| group == request.group);
        let is_addressed = match request.incarnation {
            Some(incarnation) => incarnation == self.incarnation,
            None => inquiry,
        };
        let is_addressed = is_addressed && request.back_end == self.back_end;
        same_group && is_addressed && request.order > self.highest
    }

    /// Applies an accepted request that carries grants.
    fn apply_request(&mut self, now: Timestamp, request: &LeaseRequest) {
        let lease_expired = !self.has_valid_lease(now);
        if !self.update_grants(&request.grants) {
            // The leader assumes other grants than those held, so a lease on
            // them would be meaningless. The response reports the version held.
            return;
        }
        self.permits.update_states(&self.held, lease_expired);
        self.preparing = request.prepare.iter().cloned().collect();
        let preparing = &self.preparing;
        self.ready.retain(|grant| preparing.contains(grant));
        self.renew_lease(now, request);
    }

    /// Applies the update to the grants. Returns whether the holder is now at
    /// the version that the leader states.
    fn update_grants(&mut self, update: &GrantsUpdate) -> bool {
        match update {
            GrantsUpdate::Full { version, grants } => {
                self.held = HeldGrants::default();
                for grant in grants {
                    self.held.add(grant.clone());
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
                    self.held.remove(grant);
                }
                for grant in add {
                    self.held.add(grant.clone());
                }
                self.version = Some(*version);
                true
            }
            GrantsUpdate::Unchanged { version } => self.version == Some(*version),
            GrantsUpdate::Inquire => false,
        }
    }

    /// Extends the lease.
    ///
    /// Exclusive ownership: the lease starts at a reading of this process's
    /// clock that the leader had received before it sent the request, so no
    /// network delay can lengthen it. An expired lease becomes valid again only
    /// here, together with the leader's statement of what is held now.
    fn renew_lease(&mut self, now: Timestamp, request: &LeaseRequest) {
        let Some(echo) = request.echo.filter(|echo| *echo <= now) else {
            return;
        };
        let end = echo + std::time::Duration::from_millis(request.lease_ms);
        self.lease_end = self.lease_end.max(Some(end));
    }

    /// Revokes the requests admitted under grants that were taken away once the
    /// lease has expired, because another back end may own the slice by then.
    fn revoke_if_lease_expired(&mut self, now: Timestamp) {
        if !self.has_valid_lease(now) {
            self.permits.revoke_releasing();
        }
    }

    /// Admits a request for a key.
    ///
    /// # Errors
    ///
    /// Returns [`Refusal::WrongOwner`] unless the slice is held under exactly
    /// this epoch, and [`Refusal::LeaseLapsed`] if the lease has expired.
    pub fn admit(
        &mut self,
        now: Timestamp,
        service: &ServiceId,
        point: Point,
        epoch: Epoch,
    ) -> Result<Permit, Refusal> {
        self.admit_with_deadline(now, service, point, epoch, None)
    }

    /// Admits a request that must have no effect from `deadline` on. A slice
    /// that is taken away is released no later than the last such deadline,
    /// even if the request hangs. A request without a deadline delays the
    /// release until it finishes.
    ///
    /// # Errors
    ///
    /// Returns the errors of [`Holder::admit`], and
    /// [`Refusal::DeadlinePassed`].
    pub fn admit_with_deadline(
        &mut self,
        now: Timestamp,
        service: &ServiceId,
        point: Point,
        epoch: Epoch,
        deadline: Option<Timestamp>,
    ) -> Result<Permit, Refusal> {
        self.revoke_if_lease_expired(now);
        let grant = self.held.covering(service, point);
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

    /// Checks whether an admitted request may take effect now. Must be called
    /// right before the effect, however long the request waited or ran before.
    ///
    /// # Errors
    ///
    /// Returns [`Refusal::LeaseLapsed`], [`Refusal::WrongOwner`] or
    /// [`Refusal::DeadlinePassed`]. The request must then have no effect.
    pub fn may_commit(&self, now: Timestamp, permit: &Permit) -> Result<(), Refusal> {
        if !self.has_valid_lease(now) {
            return Err(Refusal::LeaseLapsed);
        }
        self.permits.check(now, permit)
    }

    /// Ends an admitted request, whether or not it had an effect.
    pub fn finish(&mut self, permit: Permit) {
        self.permits.finish(permit);
    }

    /// Returns the number of admitted requests that have not finished.
    pub fn in_flight(&self) -> usize {
        self.permits.in_flight()
    }
}
