//! Which routers of a region are alive.
//!
//! [`Membership`] is a pure core: it is stepped with time and [`Input`]s and
//! returns [`Output`]s. It detects failures in the manner of SWIM with the
//! extensions of Lifeguard, finds routers by the platform's machine list and
//! by each other, and says when a router is provably gone.
//!
//! [`tree`] places routers in the fan-out tree by which records spread, and
//! [`group_members`] chooses who belongs to a consensus group.

mod gossip;
mod health;
mod machine_view;
mod machines;
mod member;
mod membership;
mod merge;
mod message;
mod prober;
mod proof;
mod receive;
mod roster;
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
