//! Experiments: TOML files that name a deployment, the load, the faults with
//! their times and the bounds to hold.

mod bounds;
mod fault;
mod file;
mod load;

pub use bounds::Bounds;
pub use fault::{Fault, FaultAction, RouterTarget};
pub use file::{Experiment, ExperimentError, list, read, shorten};
pub use load::{DirectLoad, Load, ServiceLoad};
