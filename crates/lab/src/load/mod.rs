//! The load generator: open-loop callers that are seeded and record the
//! outcome of every request.

mod arrivals;
mod caller;
mod connection_pool;
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
