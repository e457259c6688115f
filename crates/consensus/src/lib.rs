//! Raft consensus for one group of routers, without I/O.
//!
//! The implementation covers pre-vote, leader leases, learners, single-step
//! membership changes and leadership transfer. All state is held in memory. A
//! process that restarts joins as a new member with another [`RouterId`], so a
//! member never forgets a vote or an acknowledgement that it gave.
//!
//! The owner drives a [`Node`] by calling [`Node::tick`], [`Node::step`] and
//! [`Node::propose`] with the current time, and then [`Node::ready`], which
//! returns the messages to send and the entries to apply.
//! `docs/design/0002-consensus.md` describes the design and its invariants.
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
