//! Hollow nodes: thousands of production control cores in one process, in
//! virtual time.
//!
//! A hollow node is the binary's control core without its shell; the world
//! around it is the simulator's. A run goes through the failures of a day, as
//! the users' letter names them, and reports what each did and what control
//! cost. Regions decide on their own: as many as a process holds run, and the
//! others are only on the machine list.

mod layout;
mod measure;
mod memory;
mod table;

pub use layout::HollowPlan;
pub use measure::{HollowReport, measure};
pub use table::table;
