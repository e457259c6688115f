//! Baselines that run beside the product, so that each measure is a ratio.
//!
//! Two plain ways to route by key, as one would build them in an afternoon:
//! a hash ring over the back ends that each router believes alive by polling
//! their health, and static owners that never change. Neither has leases,
//! epochs or a word between routers. A baseline has its own router processes
//! and its own stand-in back ends of the same kind and number, and gets the
//! same load and the same faults at the same times.

mod assignment;
mod cost;
mod double_owner;
mod failure;
mod figures;
mod hash_ring;
mod health;
mod matching;
mod router;
mod router_end;
mod settings;
mod static_owners;
mod view;

pub use assignment::{Assignment, BaselineKind};
pub use cost::{CpuMeter, cpu_seconds_of};
pub use double_owner::{DoubleOwner, double_owner};
pub use figures::{BaselineReport, MeasuredSide, MeasuredSpan, baseline_table};
pub use hash_ring::HashRing;
pub use health::Health;
pub use matching::{RequestParts, key_of};
pub use router::run_process;
pub use router_end::{RouterEnd, release_views};
pub use settings::{BaselineBackEnd, BaselineRoute, BaselineRouterSettings, BaselineService};
pub use static_owners::StaticOwners;
pub use view::{View, ViewChange};
