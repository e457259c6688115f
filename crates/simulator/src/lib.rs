//! Simulation of the production control cores in virtual time.
//!
//! A [`World`] holds routers (each a [`threadledge_control::ControlNode`], the
//! program without its I/O shell), back ends (each a
//! [`threadledge_ownership::Holder`] with a model of a server around it), a
//! model of the platform's store and machine list, and a network that delays,
//! drops, duplicates and partitions. Every random choice is drawn from one
//! seed, so that a run can be repeated exactly. The invariants are checked
//! during the run.

mod back_end;
mod clock;
mod costs;
pub mod day;
mod event;
mod invariants;
mod metrics;
mod network;
mod router;
mod scenario;
mod store;
mod world;

pub use back_end::BackEndModel;
pub use costs::RouterCost;
pub use invariants::{Invariants, Violation};
pub use metrics::{MessageKind, Metrics, Outage, Traffic};
pub use network::{NetworkSettings, Place};
pub use scenario::{Scenario, ServicePlan};
pub use store::StoreModel;
pub use world::{BackEndIndex, RouterIndex, World};
