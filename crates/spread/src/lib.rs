//! Spreads copies of a group's records to every router of its region.
//!
//! [`Replica`] holds the copy and creates and applies deltas. [`SpreadNode`] is
//! the sans-I/O state machine that pulls deltas from a parent in the fan-out
//! tree, pushes them to its children, and reports as of when the copy is
//! confirmed to be up to date.

mod apply;
mod change_log;
mod children;
mod intern;
mod message;
mod node;
mod page;
mod parents;
mod puller;
mod replica;
mod settings;
mod slice_table;
mod tables;
mod transfer;

pub use apply::{Applied, ApplyError};
pub use message::{Pull, PullResponse, Resume, SpreadMessage};
pub use node::{SpreadInput, SpreadNode, SpreadOutput};
pub use page::{DeltaPage, PageLimits};
pub use replica::Replica;
pub use settings::Settings;
