//! What other routers, and paths that are lost, need to know of back ends.

use std::net::SocketAddr;

use threadledge_types::Timestamp;
use threadledge_types::deployment::{BackEndName, Distance, ServiceName};

use super::Dispatcher;

/// A back end to which requests of other routers may be forwarded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ForwardTarget {
    /// Its service.
    pub service: ServiceName,
    /// Address at which it accepts requests.
    pub address: SocketAddr,
    /// Distance between this router and the back end.
    pub distance: Distance,
    /// Number of connections that this router may have to it.
    pub connection_limit: usize,
}

impl Dispatcher {
    /// The back end to which a request of another router may be forwarded.
    /// `None` if this router would send it nothing itself: it is not
    /// registered, is leaving or asked for a backoff.
    pub fn forward_target(&self, now: Timestamp, name: &BackEndName) -> Option<ForwardTarget> {
        let state = self.back_ends.get(name)?;
        if !state.accepts_requests() || state.backoff_until(now).is_some() {
            return None;
        }
        let back_end = &state.back_end;
        Some(ForwardTarget {
            service: back_end.service.clone(),
            address: back_end.address,
            distance: self.settings.topology.distance(&back_end.zone),
            connection_limit: self.connection_limit(&back_end.service),
        })
    }

    /// The service of a registered back end, with the addresses of its back
    /// ends.
    pub fn service_addresses(&self, name: &BackEndName) -> Option<(ServiceName, Vec<SocketAddr>)> {
        let service = self.service_of_back_end(name)?;
        let back_ends = self.back_ends.of_service(&service);
        let addresses = back_ends.map(|state| state.back_end.address).collect();
        Some((service, addresses))
    }

    /// Distance of the back end at an address; `None` if none is registered
    /// there.
    pub fn distance_of(&self, address: SocketAddr) -> Option<Distance> {
        let mut all = self.back_ends.all();
        let state = all.find(|state| state.back_end.address == address)?;
        Some(self.settings.topology.distance(&state.back_end.zone))
    }

    /// Address of a registered back end.
    pub fn back_end_address(&self, name: &BackEndName) -> Option<SocketAddr> {
        let state = self.back_ends.get(name)?;
        Some(state.back_end.address)
    }
}
