//! Who owns which keys of one service, decided by one coordinator at a time.
//!
//! Two objects of a linearizable store carry everything that must last:
//!
//! - the [`CoordinatorLease`] names the coordinator. Taking it by a
//!   conditional write is the election ([`election`]);
//! - the [`OwnershipRecord`] names the owner of every key, the fence of every
//!   grant and the handovers that are running ([`ownership`]).
//!
//! The coordinator renews grants at back ends directly, without the store.
//! What makes two coordinators harmless are the fences: a new one regrants
//! every slice under a higher fence before it moves any, and from then on each
//! back end refuses the earlier one.
//!
//! Nothing here opens a socket, reads a clock or draws randomness. A
//! [`Coordinator`] is stepped with a time and an event, and says which calls
//! to make. The simulator and the binary run the same code.

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
mod slice_form;
pub mod tokens;
pub mod view;

pub use action::{Action, Notice};
pub use coordinator::Coordinator;
pub use load::{KeyCount, LoadReport, RestingBackEnd, SpeedSample};
pub use order::{
    Distance, GrantOrder, HandoverToken, Order, OrderFault, OrderId, OrderKind, OrderReply,
};
pub use record::{
    CoordinatorLease, Fence, FormerHolder, NodeIdentity, Owner, OwnershipRecord, Slice, SliceState,
    Term,
};
pub use settings::Settings;
pub use tokens::{TOKEN_LIFETIME, TokenGrant, TokenRequest};
pub use view::{KeyOwner, OwnershipView};
