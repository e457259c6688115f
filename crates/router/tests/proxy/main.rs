//! The data path between callers and back ends that fail in every way.

mod back_end;
mod caller;
mod faults;
mod metrics;
mod passing_on;
mod stopping;
mod world;
