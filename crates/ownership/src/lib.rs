//! Exclusive ownership of slices by back-end sessions.
//!
//! Three parts, none of which opens a socket or reads a clock:
//!
//! - [`StateMachine`]: the replicated record of who owns what, applied on
//!   every member of a group from its log;
//! - [`Grantor`]: the leader's side of sessions, leases and grants;
//! - [`Holder`]: the back end's side, the reference for servers.
//!
//! No key has two owners at any moment: `docs/design/0005-ownership.md` holds
//! the proof sketch, and a comment marks each place that keeps a part of it.

pub mod command;
pub mod grantor;
pub mod holder;
pub mod machine;

pub use command::{Command, LeaderTerm, ObjectChange, SliceEvidence};
pub use grantor::{Grantor, GrantorInput, GrantorOutput, GrantorSettings, Observation};
pub use holder::{Holder, Permit};
pub use machine::{Applied, Rejection, Snapshot, StateMachine};
