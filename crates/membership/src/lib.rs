//! Membership and failure detection among the routers of a region.
//!
//! [`Membership`] performs no I/O: its owner steps it with the current time and
//! [`Input`]s, and it returns [`Output`]s. It detects failures with SWIM and its
//! Lifeguard extensions, discovers routers through the platform's machine list
//! and through gossip, and reports when a router process is provably gone.
//!
//! [`tree`] computes the fan-out tree through which records are distributed, and
//! [`group_members`] chooses the members of a consensus group.

mod gossip;
mod health;
mod machine_view;
mod machines;
mod member;
mod membership;
mod merge;
mod message;
mod peer_set;
mod prober;
mod proof;
mod receive;
mod settings;
mod suspicion;
mod sync;
mod table;
mod timers;

pub mod group_members;
pub mod tree;

pub use machines::{Machine, MachineList, MachineState};
pub use member::{Member, MemberState};
pub use membership::{DownReason, Input, Membership, Output};
pub use message::{MemberDigest, MemberUpdate, Message, MessageBody, RefutationNumber};
pub use proof::DeathProof;
pub use settings::Settings;
