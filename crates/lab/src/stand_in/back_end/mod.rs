//! Stand-in back ends: servers that enforce the grants and leases they were
//! given.
//!
//! One process hosts one or many back ends. Each has a request address and a
//! control address. It executes a request only under a grant with the
//! request's epoch and a valid lease, checked when the request is admitted,
//! when a slot is free and again when the work takes effect.

mod control;
mod degradation;
mod disconnect;
mod exchange;
mod load_meter;
mod process;
mod service_time;
mod settings;
mod slots;
mod state;

pub use degradation::Degradation;
pub use exchange::{ANSWER_CHECKSUM_HEADER, LAB_REQUEST_HEADER, answer_body, answer_checksum};
pub use load_meter::LoadMeter;
pub use process::{RunningBackEnd, run_process, serve};
pub use service_time::ServiceTimes;
pub use settings::{BackEndSettings, ColdStart, ServiceTimeSettings};
pub use slots::{SlotError, SlotGuard, Slots};
pub use state::{Admission, BackEnd, StartedWork, Work};

/// Control path with which the rig degrades or restores a back end.
pub const DEGRADE_PATH: &str = "/lab/sickness";
/// Control path with which the rig starts to drain a back end.
pub const DRAIN_PATH: &str = "/lab/drain";
