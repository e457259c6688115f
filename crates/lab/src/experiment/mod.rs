//! Experiments: TOML files that specify the deployments, the load, the
//! scheduled faults and the bounds on the measures.

mod bounds;
mod fault;
mod file;
mod load;

pub use bounds::Bounds;
pub use fault::{Fault, FaultAction, RouterTarget};
pub use file::{Experiment, ExperimentError, list, read, set_duration};
pub use load::{DirectLoad, Load, ServiceLoad};
