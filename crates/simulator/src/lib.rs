//! The production control cores in virtual time.
//!
//! A [`World`] holds routers (each a [`threadledge_control::ControlNode`], the
//! binary minus its shell), back ends (each a [`threadledge_ownership::Holder`]
//! with a model of a server around it), a model of the platform's store and
//! machine list, and a network that delays, drops, duplicates and cuts. Every
//! choice is drawn from one seed, so that a run can be repeated exactly. The
//! guarantees are checked while it runs.

mod back_end;
mod clock;
mod costs;
pub mod day;
mod event;
mod invariants;
mod measures;
mod network;
mod router;
mod scenario;
mod store;
mod world;

pub use back_end::BackEndModel;
pub use costs::RouterCost;
pub use invariants::{Invariants, Violation};
pub use measures::{Measures, MessageKind, Outage, Traffic};
pub use network::{NetworkSettings, Place};
pub use scenario::{Scenario, ServicePlan};
pub use store::StoreModel;
pub use world::{BackEndIndex, RouterIndex, World};
