//! Whether a failure to connect to a back end says something about it.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use parking_lot::Mutex;
use threadledge_dispatch::Fault;
use threadledge_net::Instant;
use threadledge_types::deployment::{BackEndName, ServiceName};

use super::BackEndLinks;

/// Time for which the result of a control holds.
const CONTROL_VALIDITY: Duration = Duration::from_millis(200);
/// Other back ends of a service to which a connection is tried.
const CONTROLS: usize = 3;

/// Results of recent controls by service, each with its time.
#[derive(Debug, Default)]
pub(super) struct Controls {
    results: Mutex<HashMap<ServiceName, (Instant, bool)>>,
}

impl Controls {
    fn recent(&self, service: &ServiceName) -> Option<bool> {
        let results = self.results.lock();
        let (at, result) = results.get(service)?;
        (at.elapsed() < CONTROL_VALIDITY).then_some(*result)
    }

    fn record(&self, service: ServiceName, result: bool) {
        let mut results = self.results.lock();
        results.insert(service, (Instant::now(), result));
    }
}

impl BackEndLinks {
    /// Returns whether this gateway, which could not connect to a back end, can
    /// connect to another one of the same service. Invariant: a gateway that is
    /// cut off is no witness against a back end. While it still finds out which
    /// paths are lost, only a new connection shows that.
    pub(super) async fn is_witness(&self, name: &BackEndName) -> bool {
        let dispatch = &self.shared.dispatch;
        let service = dispatch.with(|dispatcher, _now| dispatcher.service_addresses(name));
        let Some((service, addresses)) = service else {
            return false;
        };
        let own = dispatch.with(|dispatcher, _now| dispatcher.back_end_address(name));
        if !self.shared.direct.lock().is_witness(&addresses) {
            return false;
        }
        let others = addresses
            .into_iter()
            .filter(|address| Some(*address) != own);
        let others: Vec<SocketAddr> = others.filter(|address| !self.is_lost(*address)).collect();
        if others.is_empty() {
            return true;
        }
        if let Some(result) = self.shared.controls.recent(&service) {
            return result;
        }
        let mut result = false;
        for address in others.into_iter().take(CONTROLS) {
            result = self.clone().check(address).await;
            if result {
                break;
            }
        }
        self.shared.controls.record(service, result);
        result
    }

    /// The fault of an attempt for which there is no way to a back end.
    pub(super) async fn no_way_to(&self, name: &BackEndName) -> Fault {
        match self.is_only_witness(name).await {
            true => Fault::Unreachable,
            false => Fault::CutOff,
        }
    }

    /// Returns whether this gateway alone can say that a back end has ended,
    /// because no other one answers. Others that it does not know may reach it.
    pub(super) async fn is_only_witness(&self, name: &BackEndName) -> bool {
        self.knows_enough_gateways() && self.is_witness(name).await
    }
}
