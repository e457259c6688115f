//! The replicated log of one group of routers, without I/O.
//!
//! The algorithm is Raft with pre-vote, leader leases, learners, single-step
//! membership change and leadership transfer. Everything is held in memory: a
//! process that restarts is a new member with another [`RouterId`], never the
//! old one with amnesia, so a vote or an acknowledgement is kept for as long as
//! the member that gave it exists.
//!
//! [`Node`] is stepped by its owner: [`Node::tick`], [`Node::step`] and
//! [`Node::propose`] take the current time, and [`Node::ready`] hands out what
//! has to be sent and applied. The design and its invariants are described in
//! `docs/design/0002-consensus.md`.
//!
//! [`RouterId`]: threadledge_types::RouterId

mod election;
mod entry;
mod error;
mod follower;
mod generation;
mod lease;
mod log;
mod member_change;
mod members;
mod message;
mod node;
mod progress;
mod ready;
mod replication;
mod role;
mod settings;
mod status;
mod step;
mod timer;
mod transfer;

pub use entry::{Entry, Payload};
pub use error::ProposeError;
pub use log::{Log, Snapshot};
pub use members::{MemberChange, Members};
pub use message::{AppendOutcome, Body, Message, Outgoing};
pub use node::Node;
pub use progress::{Progress, ReplicationState};
pub use ready::{CommittedEntry, Ready, RestoredState};
pub use role::Role;
pub use settings::Settings;
