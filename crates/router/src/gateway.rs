//! The gateway: the router variant for platforms whose store keeps all
//! persistent state. [`threadledge_dispatch`] decides about requests and
//! [`threadledge_coordination`] about ownership; the platform is accessed
//! through [`threadledge_ports`].

mod admission;
mod answer;
mod attempt;
pub mod back_end_updates;
pub mod backoff;
mod bodies;
mod calls;
mod catch_up;
pub mod changes;
pub mod cluster_state;
mod coordination;
mod disconnects;
mod dispatch;
mod exchange;
pub mod followers;
mod initial_sync;
mod key_confirmation;
pub mod key_regions;
mod limits;
mod links;
mod log;
mod messages;
mod metrics;
mod notices;
mod notifier;
mod operator_keys;
pub mod outage;
mod peer_messages;
mod peers;
mod publisher;
mod readiness;
mod registry;
mod relay;
pub mod relay_records;
mod removals;
mod requests;
mod retries;
mod run;
pub mod settings;
pub mod sources;
mod stop;
pub mod store_health;
mod suspects;
pub mod sync;
pub mod takeover_delay;
mod tokens;
pub mod usage;
pub mod watcher;
pub mod zones;

pub use run::{GatewayError, run};
pub use settings::{GatewaySettings, SettingsFault};
