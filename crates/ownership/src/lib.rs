//! Exclusive ownership of slices by back-end sessions.
//!
//! The crate has three parts, none of which opens a socket or reads a clock:
//!
//! - [`StateMachine`]: the replicated record of which session owns which slice,
//!   applied on every member of a group from its log;
//! - [`Grantor`]: the leader's side, which manages sessions, leases and grants;
//! - [`Holder`]: the back end's side, the reference implementation for servers.
//!
//! The invariant is that no key ever has two owners at the same time.
//! `docs/design/0005-ownership.md` holds the proof sketch; comments that start
//! with "Exclusive ownership:" mark the code that the proof relies on.

pub mod command;
pub mod grantor;
pub mod holder;
pub mod machine;

pub use command::{Command, LeaderTerm, ObjectChange, SliceEvidence};
pub use grantor::{Grantor, GrantorInput, GrantorOutput, GrantorSettings, Observation};
pub use holder::{Holder, Permit};
pub use machine::{Applied, Rejection, Snapshot, StateMachine};
