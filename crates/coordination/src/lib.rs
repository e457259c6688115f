//! Key ownership of one service, decided by one elected coordinator at a time.
//!
//! Two objects of a linearizable store hold all durable state:
//!
//! - the [`CoordinatorLease`] names the coordinator. A node is elected by
//!   taking it with a conditional write ([`election`]);
//! - the [`OwnershipRecord`] names the owner of every key, the fencing token of
//!   every grant and the handovers in progress ([`ownership`]).
//!
//! The coordinator renews grants directly at the back ends, without the store.
//! Fencing tokens make two concurrent coordinators safe: a new coordinator
//! regrants every slice under a higher fence before it moves any key, and from
//! then on each back end refuses orders of the earlier coordinator.
//!
//! This crate opens no socket, reads no clock and draws no randomness. The
//! caller steps a [`Coordinator`] with a time and an event, and it returns the
//! calls to make. The simulator and the binary run the same code.

pub mod action;
pub mod coordinator;
pub mod election;
pub mod holders;
pub mod load;
pub mod occupancy;
pub mod order;
pub mod ownership;
pub mod plan;
pub mod record;
pub mod settings;
mod slice_serde;
pub mod tokens;
pub mod view;

pub use action::{Action, Notice};
pub use coordinator::Coordinator;
pub use load::{KeyCount, LoadReport, RestingBackEnd, SpeedSample};
pub use order::{
    Distance, GrantOrder, HandoverToken, Order, OrderConnection, OrderFault, OrderId, OrderKind,
    OrderReply,
};
pub use record::{
    CoordinatorLease, Fence, FormerHolder, NodeIdentity, Owner, OwnershipRecord, Slice, SliceState,
    Term,
};
pub use settings::Settings;
pub use tokens::{TOKEN_LIFETIME, TokenGrant, TokenRequest};
pub use view::{KeyOwner, OwnershipView};
