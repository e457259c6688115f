//! Back-end processes.

use std::net::SocketAddr;

use threadledge_ownership::{Holder, Permit};
use threadledge_types::{BackEndId, Epoch, Point, ServiceId};

use crate::clock::Clock;

/// One process at one address.
pub struct Process {
    pub address: SocketAddr,
    pub back_end: BackEndId,
    pub clock: Clock,
    pub holder: Holder,
    /// Real time until which the process is frozen.
    pub frozen_until: u64,
    pub permits: Vec<Permit>,
}

impl Process {
    /// Returns the epoch under which an effect on the key would be allowed now.
    pub fn could_commit(&self, real: u64, service: &ServiceId, point: Point) -> Option<Epoch> {
        let now = self.clock.read(real);
        if !self.holder.has_valid_lease(now) {
            return None;
        }
        let held = self.holder.held_epoch(service, point);
        let running = self.permits.iter().filter(|permit| {
            permit.service() == service
                && permit.point() == point
                && self.holder.may_commit(now, permit).is_ok()
        });
        running.map(Permit::epoch).chain(held).max()
    }
}
