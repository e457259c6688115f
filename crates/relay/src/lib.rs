//! Selects the gateway of a zone that watches the store for the others.
//!
//! Each watch is a call to the store, and calls cost money: if every gateway
//! watched the store, the cost would grow with the number of gateways times the
//! number of changes. One gateway of each zone, the relay, therefore watches
//! the store, and the others follow the relay by long polls within the zone. A
//! record per zone in the store names the relay.
//!
//! The record is a hint and not a lease: nothing depends on there being only
//! one relay. All guarantees depend on freshness alone. Each response of a
//! relay states how long ago the store last responded to it. A follower whose
//! relay stops responding or reports too high an age watches the store itself
//! at once, and meanwhile looks for another relay.
//!
//! This crate opens no sockets, reads no clock and uses no randomness besides
//! its seed: a [`Member`] is driven with times and events and returns the calls
//! to make.

pub mod held;
pub mod member;
pub mod settings;
mod state;

use serde::{Deserialize, Serialize};
use threadledge_coordination::NodeIdentity;

pub use held::HeldPoll;
pub use member::{Action, Member, PollOutcome, Source};
pub use settings::Settings;

fn default_members() -> u32 {
    1
}

/// Record in the store that names the relay of one zone.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct RelayRecord {
    /// Identity of the relay.
    pub holder: NodeIdentity,
    /// Approximate number of gateways in the zone: the relay and its followers.
    #[serde(default = "default_members")]
    pub members: u32,
}
