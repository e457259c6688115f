//! Hollow nodes: thousands of production control cores in one process, in
//! virtual time.
//!
//! A hollow node is the binary's control core without its shell; the world
//! around it is the simulator's. Regions decide on their own, so one region's
//! share of the nodes is simulated and stands for the others.

mod measure;
mod memory;

pub use measure::{HollowPlan, HollowReport, measure, table};
