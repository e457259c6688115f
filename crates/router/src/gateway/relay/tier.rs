//! The two tiers of relays: of a zone, and of the zones of a region.
//!
//! One relay of each region watches the store, and those of its other zones
//! follow it: calls to the store, and what it tells over the link between the
//! regions, grow with regions and not with zones.

use std::net::SocketAddr;
use std::time::Duration;

use threadledge_coordination::NodeIdentity;
use threadledge_relay::{Member, Settings};
use threadledge_types::Timestamp;

use crate::events::{EventId, emit};

/// For whom a gateway relays.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in super::super) enum Tier {
    /// For the gateways of its zone.
    Zone,
    /// For the relays of the other zones of its region.
    Region,
}

impl Tier {
    /// How long a poll is to be held, where it is not the usual time.
    pub(super) fn hold_ms(self, settings: &Settings) -> Option<u64> {
        match self {
            Tier::Zone => None,
            Tier::Region => u64::try_from(settings.max_hold.as_millis()).ok(),
        }
    }

    /// Tells that a member began or ceased to relay.
    pub(super) fn log_role_change(self, record: &str, relayed: bool, member: &Member) {
        match (self, relayed, member.is_relay()) {
            (Tier::Zone, false, true) => emit!(EventId::RelayTaken, zone = record),
            (Tier::Zone, true, false) => emit!(EventId::RelayPassedOn, zone = record),
            (Tier::Region, false, true) => emit!(EventId::RegionRelayTaken, record = record),
            (Tier::Region, true, false) => emit!(EventId::RegionRelayPassedOn, record = record),
            _ => {}
        }
    }

    /// Tells that a member found a relay that tells it what is new, or lost it.
    pub(super) fn log_source_change(
        self,
        before: Option<SocketAddr>,
        after: Option<SocketAddr>,
        silent: bool,
    ) {
        match (self, before, after) {
            (Tier::Zone, None, Some(relay)) => emit!(EventId::RelayFollowed, relay = %relay),
            (Tier::Zone, Some(relay), None) => {
                emit!(EventId::RelayLost, relay = %relay, silent = silent);
            }
            (Tier::Region, None, Some(relay)) => {
                emit!(EventId::RegionRelayFollowed, relay = %relay);
            }
            (Tier::Region, Some(relay), None) => {
                emit!(EventId::RegionRelayLost, relay = %relay, silent = silent);
            }
            _ => {}
        }
    }
}

/// What a member is made from.
#[derive(Clone, Debug)]
pub(in super::super) struct MemberConfig {
    pub(in super::super) me: NodeIdentity,
    pub(in super::super) settings: Settings,
    /// Time before it claims the record, so that members come in turn.
    pub(in super::super) takeover_delay: Duration,
}

impl MemberConfig {
    /// A member that starts now.
    pub(in super::super) fn start_member(&self, now: Timestamp) -> Member {
        let me = self.me.clone();
        Member::new(now, me, self.settings, self.takeover_delay, rand::random())
    }
}
