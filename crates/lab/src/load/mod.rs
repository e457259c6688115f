//! Callers: open-loop load from a seed, with the outcome of every request
//! recorded.

mod arrivals;
mod caller;
mod connections;
mod direct;
mod exchange;
mod hostile;
mod popularity;
mod process;
mod settings;

pub use arrivals::Arrivals;
pub use hostile::{HostileCounts, send_hostile_callers};
pub use popularity::{KeyPopularity, PopularitySettings};
pub use process::run_process;
pub use settings::{CallerSettings, DirectSettings, Surge, TrafficSettings, load_factor};
