//! Callers: open-loop load from a seed, with the outcome of every request
//! recorded.

mod arrivals;
mod caller;
mod connections;
mod direct;
mod exchange;
mod popularity;
mod process;
mod settings;

pub use arrivals::Arrivals;
pub use popularity::{KeyPopularity, PopularitySettings};
pub use process::run_process;
pub use settings::{CallerSettings, DirectSettings, TrafficSettings};
