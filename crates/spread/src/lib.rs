//! Copies of a group's records on every router of its region.
//!
//! [`Replica`] holds the copy and makes and applies deltas. [`SpreadNode`] is
//! the pure core that pulls deltas from a parent in the fan-out tree, pushes
//! them to its children, and says since when the copy is confirmed.

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
