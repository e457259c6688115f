//! Baselines that run in parallel with the product, so that each measure can be
//! reported as a ratio.
//!
//! They are two simple ways to route by key: a hash ring over the back ends
//! that each router considers alive from its own health polls, and static
//! owners that never change. Neither uses leases, epochs or communication
//! between routers. A baseline has its own router processes and its own
//! stand-in back ends of the same kind and number, and gets the same load and
//! the same faults at the same times.

mod assignment;
mod comparison;
mod cpu_meter;
mod double_owner;
mod failure;
mod hash_ring;
mod health;
mod matching;
mod router;
mod router_end;
mod settings;
mod static_owners;
mod view;

pub use assignment::{Assignment, BaselineKind};
pub use comparison::{BaselineReport, MeasuredSpan, SystemMeasures, baseline_table};
pub use cpu_meter::{CpuMeter, cpu_seconds_of};
pub use double_owner::{DoubleOwner, double_owner};
pub use hash_ring::HashRing;
pub use health::Health;
pub use matching::{RequestParts, match_route};
pub use router::run_process;
pub use router_end::{RouterEnd, release_grants_of_ended_routers};
pub use settings::{BaselineBackEnd, BaselineRoute, BaselineRouterSettings, BaselineService};
pub use static_owners::StaticOwners;
pub use view::{View, ViewChange};
