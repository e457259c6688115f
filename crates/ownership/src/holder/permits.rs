//! Admitted work and whether it may still have an effect.

use std::collections::{BTreeMap, BTreeSet};

use threadledge_types::session::{Grant, Refusal};
use threadledge_types::{Epoch, Point, ServiceId, Timestamp};

use super::holdings::Holdings;

/// Admission of one request. Given back with `Holder::finish`; giving back
/// copies of one permit more than once changes nothing.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Permit {
    number: u64,
    service: ServiceId,
    point: Point,
    epoch: Epoch,
}

impl Permit {
    /// Service of the request.
    pub fn service(&self) -> &ServiceId {
        &self.service
    }

    /// Point of the request's key.
    pub fn point(&self) -> Point {
        self.point
    }

    /// Epoch under which it was admitted.
    pub fn epoch(&self) -> Epoch {
        self.epoch
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Standing {
    /// The grant is held.
    Held,
    /// The grant was taken away; the work may still end.
    Releasing,
    /// The lease lapsed after or before the grant was taken away.
    Void,
}

#[derive(Clone, Debug)]
struct Running {
    grant: Grant,
    point: Point,
    standing: Standing,
    /// From then on the work may have no effect.
    deadline: Option<Timestamp>,
}

impl Running {
    fn in_time(&self, now: Timestamp) -> bool {
        self.deadline.is_none_or(|deadline| now < deadline)
    }
}

/// Work that was admitted and has not finished.
#[derive(Clone, Debug, Default)]
pub(super) struct Permits {
    issued: u64,
    running: BTreeMap<u64, Running>,
}

impl Permits {
    pub fn issue(&mut self, grant: Grant, point: Point, deadline: Option<Timestamp>) -> Permit {
        self.issued += 1;
        let permit = Permit {
            number: self.issued,
            service: grant.service.clone(),
            point,
            epoch: grant.epoch,
        };
        let running = Running {
            grant,
            point,
            standing: Standing::Held,
            deadline,
        };
        self.running.insert(self.issued, running);
        permit
    }

    pub fn finish(&mut self, permit: Permit) {
        self.running.remove(&permit.number);
    }

    /// Whether the work may still have an effect, the lease aside.
    pub fn check(&self, now: Timestamp, permit: &Permit) -> Result<(), Refusal> {
        let running = self.running.get(&permit.number);
        let running = running.ok_or(Refusal::WrongOwner)?;
        if running.standing == Standing::Void {
            return Err(Refusal::WrongOwner);
        }
        if !running.in_time(now) {
            return Err(Refusal::DeadlinePassed);
        }
        Ok(())
    }

    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Grants that were taken away but still have work that may end. Work
    /// that hangs past its deadline does not hold them up.
    pub fn releasing(&self, now: Timestamp) -> Vec<Grant> {
        let running = self.running.values().filter(|running| running.in_time(now));
        let releasing = running.filter(|running| running.standing == Standing::Releasing);
        let grants: BTreeSet<&Grant> = releasing.map(|running| &running.grant).collect();
        grants.into_iter().cloned().collect()
    }

    /// The lease lapsed: work under grants taken away must not end any more.
    pub fn void_releasing(&mut self) {
        for running in self.running.values_mut() {
            if running.standing == Standing::Releasing {
                running.standing = Standing::Void;
            }
        }
    }

    /// Compares running work with the grants held now. Under a grant held
    /// with the same epoch it goes on: the point had no other owner in
    /// between. Otherwise it may end only if the lease did not lapse.
    pub fn refresh(&mut self, holdings: &Holdings, lapsed: bool) {
        for running in self.running.values_mut() {
            let held = holdings.covering(&running.grant.service, running.point);
            let held = held.filter(|held| held.epoch == running.grant.epoch);
            running.standing = match (held, running.standing) {
                (_, Standing::Void) => Standing::Void,
                (Some(held), _) => {
                    running.grant = held.clone();
                    Standing::Held
                }
                (None, _) if lapsed => Standing::Void,
                (None, _) => Standing::Releasing,
            };
        }
    }
}
