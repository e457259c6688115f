//! Gateways that may forward. A gateway knows few others by itself, and those
//! may all have lost their path to the same back end: each gateway that is asked
//! names others.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use parking_lot::Mutex;
use threadledge_net::Instant;
use threadledge_paths::{NextForwarder, Search};
use threadledge_types::deployment::ServiceName;

use super::{BackEndLinks, Target};
use crate::events::{EventId, emit};

/// How long a gateway is remembered after it was named.
const NAMED_FOR: Duration = Duration::from_secs(10);
/// Most gateways that are asked for one back end.
const MAX_KNOWN: usize = 32;

/// Gateways that must be known, in a fleet that has as many, before the failure
/// of all of them shows that a back end has ended.
const MIN_KNOWN: usize = 12;

/// Gateways that others named, with the time of the last mention. They are not
/// named on, so that one that has ended is forgotten.
#[derive(Debug, Default)]
pub(super) struct NamedGateways {
    named: Mutex<BTreeMap<SocketAddr, Instant>>,
}

impl NamedGateways {
    pub(super) fn note_named(&self, gateways: Vec<SocketAddr>) {
        let now = Instant::now();
        let mut named = self.named.lock();
        named.retain(|_, at| now.saturating_duration_since(*at) < NAMED_FOR);
        for gateway in gateways {
            if named.len() < MAX_KNOWN || named.contains_key(&gateway) {
                named.insert(gateway, now);
            }
        }
    }
}

impl BackEndLinks {
    /// Other gateways, those that this one hears of itself first.
    pub(super) fn known_gateways(&self) -> Vec<SocketAddr> {
        let mut known = self.shared.peers.most_recent();
        let own = self.shared.peers.own_address();
        let named = self.shared.gateways.named.lock();
        for gateway in named.keys() {
            if known.len() >= MAX_KNOWN {
                break;
            }
            if Some(*gateway) != own && !known.contains(gateway) {
                known.push(*gateway);
            }
        }
        known
    }

    /// Returns whether there is a gateway to ask for a back end.
    pub(super) fn may_forward(&self, target: &Target) -> bool {
        let next = self.next_forwarder(&target.service, target.address, Search::Brief);
        matches!(next, NextForwarder::Ask(_))
    }

    /// The gateway through which to reach a back end next.
    pub(super) fn next_forwarder(
        &self,
        service: &ServiceName,
        address: SocketAddr,
        search: Search,
    ) -> NextForwarder {
        let known = self.known_gateways();
        let now = self.shared.clock.now();
        let mut forwarders = self.shared.forwarders.lock();
        let next = forwarders.choose(now, service, address, &known, search);
        drop(forwarders);
        let is_verdict = matches!(next, NextForwarder::Confirmed { .. });
        if is_verdict && !self.knows_enough_gateways() {
            return NextForwarder::NoneLeft;
        }
        if let NextForwarder::Confirmed { missed, is_new } = next
            && is_new
        {
            emit!(
                EventId::BackEndMissedElsewhere,
                address = %address,
                asked = missed as u64,
            );
        }
        next
    }

    /// Records that a gateway does not answer.
    pub(super) fn on_unusable(&self, service: &ServiceName, forwarder: SocketAddr) {
        let now = self.shared.clock.now();
        let mut forwarders = self.shared.forwarders.lock();
        forwarders.on_unusable(now, service, forwarder);
    }

    /// Returns whether enough other gateways are known for their failures to
    /// prove something. A gateway without peers decides by itself.
    pub(super) fn knows_enough_gateways(&self) -> bool {
        if self.shared.peers.own_address().is_none() {
            return true;
        }
        let known = self.known_gateways().len();
        let dispatch = &self.shared.dispatch;
        let fleet = dispatch.with(|dispatcher, _now| dispatcher.router_count());
        let others = fleet.map_or(known, |fleet| fleet.saturating_sub(1) as usize);
        known >= others.min(MIN_KNOWN)
    }
}
