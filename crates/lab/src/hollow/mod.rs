//! Hollow nodes: thousands of production control planes in one process, in
//! virtual time.
//!
//! A hollow node runs the control logic of the production binary without its
//! I/O; the simulator provides its environment. A run goes through the failures
//! that users expect on a normal day and reports the effects of each and the
//! cost of the control plane. Regions are independent of each other: as many
//! run as fit into a process, and the others are only on the machine list.

mod layout;
mod measure;
mod memory;
mod table;

pub use layout::HollowPlan;
pub use measure::{HollowReport, measure};
pub use table::table;
