//! The two tiers of relaying: within a zone, and among the zones of a region.
//!
//! One relay of each region watches the store, and the relays of the region's
//! other zones follow it. Calls to the store, and its traffic over the link
//! between regions, therefore grow with the number of regions and not of zones.

use std::net::SocketAddr;
use std::time::Duration;

use threadledge_coordination::NodeIdentity;
use threadledge_relay::{Member, Settings};
use threadledge_types::Timestamp;

use crate::events::{EventId, emit};

/// The gateways that a relay serves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in super::super) enum Tier {
    /// The gateways of its zone.
    Zone,
    /// The relays of the other zones in its region.
    Region,
}

impl Tier {
    /// How long polls are held; `None` for the default.
    pub(super) fn hold_ms(self, settings: &Settings) -> Option<u64> {
        match self {
            Tier::Zone => None,
            Tier::Region => u64::try_from(settings.max_hold.as_millis()).ok(),
        }
    }

    /// Logs that a member became or ceased to be the relay.
    pub(super) fn log_role_change(self, record: &str, relayed: bool, member: &Member) {
        match (self, relayed, member.is_relay()) {
            (Tier::Zone, false, true) => emit!(EventId::RelayTaken, zone = record),
            (Tier::Zone, true, false) => emit!(EventId::RelayPassedOn, zone = record),
            (Tier::Region, false, true) => emit!(EventId::RegionRelayTaken, record = record),
            (Tier::Region, true, false) => emit!(EventId::RegionRelayPassedOn, record = record),
            _ => {}
        }
    }

    /// Logs that a member started to get updates from a relay, or lost it.
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

/// Configuration from which a relay [`Member`] is created.
#[derive(Clone, Debug)]
pub(in super::super) struct MemberConfig {
    pub(in super::super) me: NodeIdentity,
    pub(in super::super) settings: Settings,
    /// Delay before the member claims the record, so that members claim it one
    /// after the other.
    pub(in super::super) takeover_delay: Duration,
}

impl MemberConfig {
    /// Creates a member that starts now.
    pub(in super::super) fn start_member(&self, now: Timestamp) -> Member {
        let me = self.me.clone();
        Member::new(now, me, self.settings, self.takeover_delay, rand::random())
    }
}
