//! Which gateway of a zone watches the store for the others.
//!
//! A watch is a call, and calls are paid for: where every gateway watches the
//! store, its price grows with gateways times changes. So one gateway of each
//! zone, the relay, watches it, and the others follow the relay by long polls
//! within the zone. A record in the store, one for each zone, names the relay.
//!
//! The record is a hint and no lease: nothing depends on there being only one
//! relay. What is promised depends on freshness alone. Each answer of a relay
//! says how long ago the store last answered it; a follower whose relay falls
//! silent, or is told too old an age, watches the store itself at once and
//! looks for another relay meanwhile.
//!
//! Nothing here opens a socket, reads a clock or draws randomness of its own:
//! a [`Member`] is stepped with a time and an event and says which call to
//! make.

pub mod held;
pub mod member;
pub mod settings;
mod state;

use serde::{Deserialize, Serialize};
use threadledge_coordination::NodeIdentity;

pub use held::HeldPoll;
pub use member::{Action, PollOutcome, Member, Source};
pub use settings::Settings;

fn one() -> u32 {
    1
}

/// The object of one zone that names its relay.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct RelayRecord {
    /// The relay.
    pub holder: NodeIdentity,
    /// Gateways of the zone, roughly: those that follow it, and itself.
    #[serde(default = "one")]
    pub members: u32,
}
