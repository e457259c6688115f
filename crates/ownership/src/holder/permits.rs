//! Admitted requests, and whether they may still take effect.

use std::collections::{BTreeMap, BTreeSet};

use threadledge_types::session::{Grant, Refusal};
use threadledge_types::{Epoch, Point, ServiceId, Timestamp};

use super::held_grants::HeldGrants;

/// Admission of one request, to be returned with `Holder::finish`. Returning
/// copies of one permit more than once has no further effect.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Permit {
    id: u64,
    service: ServiceId,
    point: Point,
    epoch: Epoch,
}

impl Permit {
    /// Returns the service of the request.
    pub fn service(&self) -> &ServiceId {
        &self.service
    }

    /// Returns the point of the request's key.
    pub fn point(&self) -> Point {
        self.point
    }

    /// Returns the epoch under which the request was admitted.
    pub fn epoch(&self) -> Epoch {
        self.epoch
    }
}

/// State of the grant under which a request was admitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum PermitState {
    /// The grant is held.
    Held,
    /// The grant was taken away. The request may still take effect while the
    /// lease is valid.
    Releasing,
    /// The lease expired before or after the grant was taken away. The request
    /// must not take effect.
    Revoked,
}

/// An admitted request that has not finished.
#[derive(Clone, Debug)]
struct AdmittedRequest {
    grant: Grant,
    point: Point,
    state: PermitState,
    /// Time from which the request must have no effect.
    deadline: Option<Timestamp>,
}

impl AdmittedRequest {
    fn is_before_deadline(&self, now: Timestamp) -> bool {
        self.deadline.is_none_or(|deadline| now < deadline)
    }
}

/// Requests that were admitted and have not finished.
#[derive(Clone, Debug, Default)]
pub(super) struct Permits {
    /// Number of permits issued, which is the identifier of the last one.
    issued: u64,
    /// Requests that have not finished, by the identifier of their permit.
    in_flight: BTreeMap<u64, AdmittedRequest>,
}

impl Permits {
    /// Issues a permit for a request whose grant is held.
    pub fn issue(&mut self, grant: Grant, point: Point, deadline: Option<Timestamp>) -> Permit {
        self.issued += 1;
        let permit = Permit {
            id: self.issued,
            service: grant.service.clone(),
            point,
            epoch: grant.epoch,
        };
        let request = AdmittedRequest {
            grant,
            point,
            state: PermitState::Held,
            deadline,
        };
        self.in_flight.insert(self.issued, request);
        permit
    }

    pub fn finish(&mut self, permit: Permit) {
        self.in_flight.remove(&permit.id);
    }

    /// Checks whether the request may still take effect, not considering the
    /// lease.
    pub fn check(&self, now: Timestamp, permit: &Permit) -> Result<(), Refusal> {
        let request = self.in_flight.get(&permit.id);
        let request = request.ok_or(Refusal::WrongOwner)?;
        if request.state == PermitState::Revoked {
            return Err(Refusal::WrongOwner);
        }
        if !request.is_before_deadline(now) {
            return Err(Refusal::DeadlinePassed);
        }
        Ok(())
    }

    pub fn in_flight(&self) -> usize {
        self.in_flight.len()
    }

    /// Returns the grants that were taken away but still have requests that may
    /// take effect. A request that hangs past its deadline does not count.
    pub fn releasing(&self, now: Timestamp) -> Vec<Grant> {
        let requests = self
            .in_flight
            .values()
            .filter(|request| request.is_before_deadline(now));
        let releasing = requests.filter(|request| request.state == PermitState::Releasing);
        let grants: BTreeSet<&Grant> = releasing.map(|request| &request.grant).collect();
        grants.into_iter().cloned().collect()
    }

    /// Revokes requests under grants that were taken away, because the lease
    /// expired.
    pub fn revoke_releasing(&mut self) {
        for request in self.in_flight.values_mut() {
            if request.state == PermitState::Releasing {
                request.state = PermitState::Revoked;
            }
        }
    }

    /// Updates the state of every request from the grants held now.
    ///
    /// A request continues if its point is held under the same epoch, because
    /// the point had no other owner in between. Otherwise it may take effect
    /// only if the lease did not expire.
    pub fn update_states(&mut self, grants: &HeldGrants, lease_expired: bool) {
        for request in self.in_flight.values_mut() {
            let held = grants.covering(&request.grant.service, request.point);
            let held = held.filter(|held| held.epoch == request.grant.epoch);
            request.state = match (held, request.state) {
                (_, PermitState::Revoked) => PermitState::Revoked,
                (Some(held), _) => {
                    request.grant = held.clone();
                    PermitState::Held
                }
                (None, _) if lease_expired => PermitState::Revoked,
                (None, _) => PermitState::Releasing,
            };
        }
    }
}
