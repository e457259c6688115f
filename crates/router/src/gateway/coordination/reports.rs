//! Messages from gateways to the coordinator of a service: observed load,
//! owners that should not keep their keys, and requests for tokens of back ends
//! that name a limit.

use std::collections::BTreeMap;
use std::time::Duration;

use threadledge_coordination::TokenRequest;
use threadledge_types::Timestamp;
use threadledge_types::deployment::ServiceName;

use super::super::tokens::TokenReply;
use super::Coordination;

/// Interval between load reports.
const REPORT_INTERVAL: Duration = Duration::from_millis(500);

/// Interval after which a report is sent even if it is empty, so that the
/// coordinator and its peers know of this gateway.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(4);

impl Coordination {
    /// Reports at once to the coordinator of a service which back ends
    /// announced that they are leaving or requested backoff: requests for their
    /// keys are refused until other back ends hold them.
    pub(super) fn report_unavailable_owners(&mut self, now: Timestamp, service: &ServiceName) {
        let Some(coordinator) = self.coordinators.get_mut(service) else {
            return;
        };
        let report = self
            .dispatch
            .with(|dispatcher, now| dispatcher.unavailability_report(now, service));
        if coordinator.leading_term().is_some() {
            coordinator.add_load(now, &report);
            return;
        }
        let holder = coordinator
            .last_seen_holder()
            .and_then(|(_, holder)| holder);
        if let Some(address) = holder.and_then(|holder| holder.address) {
            let peers = &self.config.peers;
            peers.send_load(address, service.clone(), report);
        }
    }

    /// Reports the load that this gateway saw to each coordinator.
    pub(super) fn report_load(&mut self) {
        let now = self.clock.now();
        if now < self.next_report {
            return;
        }
        self.next_report = now + REPORT_INTERVAL;
        let sources = self.config.sources.clone();
        let relayed = sources.has_relay();
        let mut follower_load = if relayed {
            BTreeMap::new()
        } else {
            sources.drain_load()
        };
        let keepalive = now >= self.next_keepalive;
        if keepalive {
            self.next_keepalive = now + KEEPALIVE_INTERVAL;
        }
        for (service, coordinator) in &mut self.coordinators {
            let mut report = self
                .dispatch
                .with(|dispatcher, _now| dispatcher.take_load_report(service));
            if coordinator.leading_term().is_some() {
                coordinator.add_load(now, &report);
                continue;
            }
            if relayed {
                sources.queue_load(service, report);
                continue;
            }
            if let Some(follower_load) = follower_load.remove(service) {
                report.merge(follower_load);
            }
            let holder = coordinator
                .last_seen_holder()
                .and_then(|(_, holder)| holder);
            let Some(address) = holder.and_then(|holder| holder.address) else {
                continue;
            };
            self.config.peers.note_peer(address);
            if !report.is_empty() || keepalive {
                self.config
                    .peers
                    .send_load(address, service.clone(), report);
            }
        }
    }

    /// Answers another gateway's request for tokens of a service's back ends.
    pub(super) fn grant_tokens(
        &mut self,
        now: Timestamp,
        service: &ServiceName,
        requests: &[TokenRequest],
    ) -> TokenReply {
        let Some(coordinator) = self.coordinators.get_mut(service) else {
            return TokenReply::NotCoordinator { coordinator: None };
        };
        if let Some(grants) = coordinator.grant_tokens(now, requests) {
            return TokenReply::Granted { grants };
        }
        let holder = coordinator
            .last_seen_holder()
            .and_then(|(_, holder)| holder);
        let other = holder.filter(|holder| **holder != self.config.me);
        TokenReply::NotCoordinator {
            coordinator: other.and_then(|holder| holder.address),
        }
    }
}
