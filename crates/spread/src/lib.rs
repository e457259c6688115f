//! Copies of a group's records on every router of its region.
//!
//! [`Replica`] holds the copy and makes and applies deltas. [`SpreadNode`] is
//! the pure core that pulls deltas from a parent in the fan-out tree, pushes
//! them to its children, and says since when the copy is confirmed.

mod message;
mod node;
mod replica;
mod settings;

pub use message::{Answer, Pull, Resume, SpreadMessage};
pub use node::{SpreadInput, SpreadNode, SpreadOutput};
pub use replica::{Applied, ApplyError, DeltaPage, Replica};
pub use settings::Settings;
